"""The custody trails that a core node keeps for the proxies of its region (design 10, docs/residency.md).

Bounded: the oldest trails give way, and none is kept longer than `keep_s`. A proxy numbers its batches
within one life and closes the life with a last one, so what is missing can be told from what is clean.
"""

import collections
import json


class ReportStore:
    def __init__(self, *, now, keep_s: float, most: int):
        self._now = now
        self._keep_s = keep_s
        self._most = most
        self._rows = collections.OrderedDict()  # (id, order): (at, data)
        self._by_id = {}  # id: [keys]
        self._order = 0
        self.incarnations = {}  # (node, life): {"next", "missing", "is_closed", "gave_way"}

    def record(self, *, node: str, incarnation: str, number: int, is_last: bool, rows) -> None:
        state = self.incarnations.setdefault(
            (node, incarnation), {"next": 0, "missing": 0, "is_closed": False, "rows": 0}
        )
        if number < state["next"]:
            return  # told before
        state["missing"] += number - state["next"]
        state["next"] = number + 1
        state["is_closed"] = state["is_closed"] or is_last
        state["rows"] += len(rows)
        for request_id, data in rows:
            self._order += 1
            key = (request_id, self._order)
            self._rows[key] = (self._now(), data)
            self._by_id.setdefault(request_id, []).append(key)
        self._trim()

    def _trim(self) -> None:
        oldest = self._now() - self._keep_s
        while self._rows and (len(self._rows) > self._most or next(iter(self._rows.values()))[0] < oldest):
            key, _row = self._rows.popitem(last=False)
            keys = self._by_id[key[0]]
            keys.remove(key)
            if not keys:
                del self._by_id[key[0]]
        if len(self.incarnations) > 1000:
            for key in list(self.incarnations)[:500]:
                del self.incarnations[key]

    def find(self, request_id: str) -> list:
        self._trim()
        return [json.loads(self._rows[key][1]) for key in self._by_id.get(request_id, ())]

    def page(self, *, after: int, most: int) -> tuple:
        """(trails, the place to go on from, whether there are more)."""
        self._trim()
        rows = []
        last = after
        for key, (_at, data) in self._rows.items():
            if key[1] <= after:
                continue
            if len(rows) == most:
                return rows, last, True
            rows.append(json.loads(data))
            last = key[1]
        return rows, last, False

    def coverage(self, *, live) -> list:
        """One row a proxy life: how much came, how many batches did not, and whether it ended openly."""
        rows = []
        for (node, incarnation), state in self.incarnations.items():
            rows.append(
                {
                    "node": node,
                    "life": incarnation,
                    "trails": state["rows"],
                    "batches": state["next"],
                    "missing_batches": state["missing"],
                    "is_closed": state["is_closed"],
                    "is_live": (node, incarnation) in live,
                }
            )
        return rows

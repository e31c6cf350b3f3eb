"""What proxies counted of adapters, as one core node keeps it (docs/pins.md 3). A window of one life stands once:
a newer number replaces it, an older one or a repeat does nothing."""

import collections
import json

from ploverward.data_plane.adapter_cache import adapter_counts

KEEP_WINDOWS = 20
MAX_WINDOWS = 8000


class ReportStore:
    def __init__(self, *, now, window_s: float):
        self._now = now
        self._keep_s = window_s * KEEP_WINDOWS
        self._windows = collections.OrderedDict()  # (life, window): (number, at, node, zone, region, data)
        self.malformed = 0

    def record(
        self, *, node: str, zone: str, region: str, incarnation: str, window: int, number: int, data: bytes
    ) -> None:
        previous = self._windows.get((incarnation, window))
        if previous is not None and previous[0] >= number:
            return
        body = read(data=data)
        if body is None:
            self.malformed += 1
            return
        at = (
            previous[1] if previous is not None else self._now()
        )  # the age is that of the window, not of its last telling
        self._windows[(incarnation, window)] = (number, at, node, zone, region, body)
        self._trim()

    def _trim(self) -> None:
        oldest = self._now() - self._keep_s
        while self._windows and (len(self._windows) > MAX_WINDOWS or next(iter(self._windows.values()))[1] < oldest):
            self._windows.popitem(last=False)

    def rows(self) -> list:
        self._trim()
        now = self._now()
        return [
            {
                "life": incarnation,
                "window": window,
                "number": number,
                "age_s": round(now - at, 1),
                "node": node,
                "zone": zone,
                "region": region,
                "rows": body["rows"],
                "over": body["over"],
            }
            for (incarnation, window), (number, at, node, zone, region, body) in self._windows.items()
        ]


def read(*, data: bytes):
    """{"rows", "over"}, or None where it is no table of counts."""
    try:
        body = json.loads(data)
        rows = [list(row) for row in body["rows"]]
        over = int(body["over"])
    except (ValueError, KeyError, TypeError, UnicodeDecodeError):
        return None
    for row in rows:
        if len(row) != 5 + len(adapter_counts.FIELDS) or not all(isinstance(text, str) for text in row[:5]):
            return None
        if not all(isinstance(number, int) and number >= 0 for number in row[5:]):
            return None
    return {"rows": rows, "over": over}


def merge(*, tables) -> dict:
    """One window of a life once, whichever core nodes told it: {(life, window): its newest telling}."""
    merged = {}
    for table in tables:
        for row in table:
            key = (row["life"], row["window"])
            if key not in merged or merged[key]["number"] < row["number"]:
                merged[key] = row
    return merged

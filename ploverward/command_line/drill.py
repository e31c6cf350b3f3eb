"""ploverward drill ZONE: takes a zone out, watches the promises, takes it back (docs/drill.md)."""

import json

from ploverward.common import errors

KEPT, BROKEN, NOT_SEEN = "kept", "broken", "not seen"
POLL_INTERVAL_S = 0.5


class DrillRefusedError(errors.PloverwardError):
    """Said before anything was done."""


class DrillInterruptedError(errors.PloverwardError):
    pass


class Drill:
    """Talks only through `call(method, path)` -> (status, body); time comes from `clock` and `pause`."""

    def __init__(
        self,
        *,
        zone: str,
        call,
        trails,
        clock,
        pause,
        watch_s: float,
        receipt_s: float,
        evacuate_s: float,
        slack_s: float,
        out,
    ):
        self.zone = zone
        self.call = call
        self.trails = trails  # the custody trails told since the last look
        self.clock = clock
        self.pause = pause
        self.watch_s = watch_s
        self.receipt_s = receipt_s
        self.evacuate_s = evacuate_s
        self.slack_s = slack_s  # by how much the nodes' times of day may differ
        self.out = out
        self.promises = {
            "evacuation acknowledged in time": NOT_SEEN,
            "nothing new is sent to the zone": NOT_SEEN,
            "serving goes on": NOT_SEEN,
            "homed requests stay home": NOT_SEEN,
            "zone taken back in time": NOT_SEEN,
        }
        self.notes = []
        self._refused = 0

    def _judge(self, promise: str, verdict: str, note: str = "") -> None:
        if self.promises[promise] != BROKEN:
            self.promises[promise] = verdict
        if note:
            self.notes.append(f"{promise}: {note}")

    def check_first(self) -> None:
        status, nodes = self.call("GET", "/ploverward/nodes")
        if status != 200:
            raise DrillRefusedError(f"the core answers {status}; nothing was done", step="check")
        if self.zone not in nodes["zones"]:
            raise DrillRefusedError(
                f"unknown zone '{self.zone}'; known: {', '.join(sorted(nodes['zones']))}", step="check"
            )
        status, out = self.call("GET", "/ploverward/evacuation")
        if status != 200:
            raise DrillRefusedError(f"evacuations can't be read ({status}); nothing was done", step="check")
        if self.zone in out["zones"]:
            raise DrillRefusedError(f"{self.zone} is already out; nothing was done", step="check")
        status, configuration = self.call("GET", "/ploverward/configuration")
        if status != 200:
            raise DrillRefusedError(f"the configuration can't be read ({status}); nothing was done", step="check")
        status, listed = self.call("GET", "/ploverward/replicas")
        if status != 200:
            raise DrillRefusedError(f"the replicas can't be read ({status}); nothing was done", step="check")
        left = {}
        for row in listed["replicas"]:
            if row["zone"] != self.zone and row["zone"] not in out["zones"] and not row["is_clearing"]:
                left.setdefault(row["service"], set()).add(nodes["zones"].get(row["zone"]))
        for route in configuration["routes"]:
            homes = set(route.get("homeRegions") or ())
            portions = route.get("apportion") or [{"destination": route.get("destination"), "share": 1}]
            for part in portions:
                regions = left.get(part["destination"], set())
                if part["share"] > 0 and not (regions & homes if homes else regions):
                    raise DrillRefusedError(
                        f"without {self.zone}, route {route['name']} has no replica of {part['destination']}"
                        f"{' in ' + ', '.join(sorted(homes)) if homes else ''}; nothing was done",
                        step="check",
                    )
        self.zones = nodes["zones"]

    def _order(self, method: str) -> tuple:
        """(whether a 2xx came within receiptMs, seconds). Sent again until then."""
        begun = self.clock()
        while True:
            try:
                status, _body = self.call(method, f"/ploverward/evacuation/{self.zone}")
            except errors.QuorumUnavailableError:
                status = 0
            took = self.clock() - begun
            if 200 <= status < 300:
                return took <= self.receipt_s, took
            if took >= self.receipt_s:
                return False, took
            self.pause(min(POLL_INTERVAL_S, self.receipt_s / 10))

    def run(self) -> int:
        self.check_first()
        was_restored = None
        try:
            self._take_out()
        except DrillInterruptedError:
            self.out("interrupted: the zone is taken back")
            self.notes.append("interrupted")
        finally:
            was_restored = self._take_back()
        self.report()
        if not was_restored:
            self.out(f"{self.zone} could NOT be taken back: send DELETE /ploverward/evacuation/{self.zone}")
            return 4
        if "interrupted" in self.notes:
            return 5
        return 1 if BROKEN in self.promises.values() else 0

    def _take_out(self) -> None:
        in_time, took = self._order("POST")
        self._judge(
            "evacuation acknowledged in time", KEPT if in_time else BROKEN, f"{took:.2f} s of {self.receipt_s:g} s"
        )
        if not in_time:
            return
        quiet_from = self.clock() + self.evacuate_s + self.slack_s
        end = self.clock() + self.evacuate_s + self.watch_s
        while self.clock() < end:
            self.pause(POLL_INTERVAL_S)
            for trail in self.trails():
                self._look(trail, quiet_from)

    def _look(self, trail: dict, quiet_from: float) -> None:
        began = trail["arrived"]
        is_late = False
        for go in trail["goes"]:
            if go["end"] in ("not sent", "421"):
                continue
            sent = began + go["from_ms"] / 1000.0
            if go["zone"] == self.zone and sent > quiet_from:
                is_late = True
            if go["homes"] and self.zones.get(go["zone"]) not in go["homes"]:
                self._judge("homed requests stay home", BROKEN, f"{trail['id']} at {go['replica']} in {go['zone']}")
            elif go["homes"]:
                self._judge("homed requests stay home", KEPT)
        if began > quiet_from - self.evacuate_s:
            if 200 <= trail["status"] < 300:
                self._judge("serving goes on", KEPT)
            elif self.promises["serving goes on"] == NOT_SEEN and trail["status"] >= 500:
                self._refused += 1
        if is_late:
            self._judge("nothing new is sent to the zone", BROKEN, f"{trail['id']} after {self.evacuate_s:g} s")
        elif began > quiet_from:
            self._judge("nothing new is sent to the zone", KEPT)

    def _take_back(self) -> bool:
        if self.promises["serving goes on"] == NOT_SEEN and self._refused:
            self._judge("serving goes on", BROKEN, f"{self._refused} requests seen, none served")
        try:
            in_time, took = self._order("DELETE")
            status, out = self.call("GET", "/ploverward/evacuation")
        except errors.PloverwardError as fault:
            self._judge("zone taken back in time", BROKEN, str(fault))
            return False
        is_back = status == 200 and self.zone not in out["zones"]
        self._judge(
            "zone taken back in time", KEPT if in_time and is_back else BROKEN, f"{took:.2f} s of {self.receipt_s:g} s"
        )
        return is_back

    def report(self) -> None:
        for promise, verdict in self.promises.items():
            self.out(f"{verdict:>9}  {promise}")
        for note in self.notes:
            self.out(f"           {note}")


def as_json(drill) -> str:
    return json.dumps({"zone": drill.zone, "promises": drill.promises, "notes": drill.notes}, indent=2)

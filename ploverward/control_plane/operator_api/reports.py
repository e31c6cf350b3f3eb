"""Adapter counts and custody trails that proxies report, for operators (docs/pins.md, docs/residency.md)."""

from ploverward.control_plane.adapter_cache import adapter_usage
from ploverward.control_plane.audit import trail_store
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.operator_api import router

CUSTODY_CONTACTS = 720  # trails are kept for so many contactMs: an hour, at 5 s
TRAILS_PER_MB = 60  # of the process's memory
TRAILS_PER_PAGE = 500
WINDOW_CONTACTS = 6  # adapters are counted over so many contactMs


class Adapters:
    """What the proxies counted of adapters, for operators (docs/pins.md)."""

    def __init__(self, *, loop, publisher, proxies, settings, contact_s: float):
        self._publisher = publisher
        self._proxies = proxies
        self._settings = settings
        self._window_s = contact_s * WINDOW_CONTACTS
        self.report_store = adapter_usage.ReportStore(now=loop.now, window_s=self._window_s)

    def rules(self) -> list:
        return [router.Rule("GET", "/ploverward/adapters", self._get_adapters)]

    def _get_adapters(self, call) -> None:
        current = self._publisher.get("list")
        listed = endpoint_list.unpack_list(current.data).sorted_rows() if current is not None else []
        zones = self._settings().zones
        body = {
            "node": self._settings().node,
            "window_s": self._window_s,
            "windows": self.report_store.rows(),
            "malformed": self.report_store.malformed,
            "malformed_replicas": [row["id"] for row in listed if row.get("is_malformed")],
            "zones": zones,
            "replicas": [_replica_row(row, zones) for row in listed],
            "proxies": [
                {"address": peer.address, "life": peer.incarnation, "zone": peer.zone}
                for peer in self._proxies(is_listed=False)
            ],
        }
        call.answer(status=200, body=body)


def _replica_row(row: dict, zones: dict) -> dict:
    return {
        "id": row["id"],
        "service": row["service"],
        "zone": row["zone"],
        "region": zones.get(row["zone"], ""),
        "is_clearing": row["is_clearing"],
        "models": row["models"],
        "adapters": row.get("adapters", []),
    }


class Custody:
    """Custody trails, for operators (design 10, docs/residency.md)."""

    def __init__(self, *, loop, proxies, settings, contact_s: float, receipt_s: float):
        self._loop = loop
        self._proxies = proxies
        self._settings = settings
        self._keep_s = contact_s * CUSTODY_CONTACTS
        self._receipt_s = receipt_s
        most = int(settings().memory_mb * TRAILS_PER_MB)
        self.report_store = trail_store.ReportStore(now=loop.now, keep_s=self._keep_s, most=most)
        self._waiting = {}  # number: who waits for what a proxy knows of kept parts
        self._number = 0

    def rules(self) -> list:
        return [
            router.Rule("GET", "/ploverward/custody/<request_id>", self._get_trail),
            router.Rule("GET", "/ploverward/custody", self._get_trails),
        ]

    def handle_cache_owners(self, *, number: int, rows) -> None:
        """A proxy's answer: (replica, zone) of those that keep parts of a trail."""
        done = self._waiting.pop(number, None)
        if done is not None:
            done([{"replica": replica, "zone": zone} for replica, zone in rows])

    def _get_trail(self, call, request_id: str) -> None:
        trails = self.report_store.find(request_id)
        node = self._settings().node
        if not trails:
            call.answer(status=404, body={"error": f"no trail of '{request_id}' here", "node": node})
            return
        waiting = [trail for trail in trails if trail["parts"]]
        if not waiting or not self._proxies():
            call.answer(status=200, body={"node": node, "trails": trails, "kept_known": not waiting})
            return
        trail = waiting[-1]

        def done(rows):
            self._loop.cancel(timer=timer)
            if rows is not None:
                trail["kept"] = rows
            call.answer(status=200, body={"node": node, "trails": trails, "kept_known": rows is not None})

        number = self._request_kept(trail=trail, done=done)
        timer = self._loop.after(
            delay=self._receipt_s / 12, callback=lambda: done(None) if self._waiting.pop(number, None) else None
        )

    def _request_kept(self, *, trail: dict, done) -> int:
        self._number += 1
        self._waiting[self._number] = done
        parts = tuple((bytes.fromhex(part),) for part in trail["parts"])
        self._proxies()[0].link.send(("keeps", self._number, trail["service"], trail["model"], parts))
        return self._number

    def _get_trails(self, call) -> None:
        after = call.query.get("after", "0")
        first = int(after) if after.isascii() and after.isdecimal() and len(after) < 20 else 0
        rows, last, has_more = self.report_store.page(after=first, most=TRAILS_PER_PAGE)
        live_incarnations = {peer.incarnation for peer in self._proxies(is_listed=False)}
        live = {key for key in self.report_store.incarnations if key[1] in live_incarnations}
        body = {
            "node": self._settings().node,
            "trails": rows,
            "last": last,
            "has_more": has_more,
            "coverage": self.report_store.coverage(live=live),
            "zones": self._settings().zones,
            "keep_s": self._keep_s,
        }
        call.answer(status=200, body=body)

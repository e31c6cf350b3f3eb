"""The platform's list of replicas (design 5), by pycurl's multi interface driven by the loop (design 3)."""

import io
import json
import selectors

import pycurl

from ploverward.common import errors

MAX_PAGES = 200
PAGES_A_ZONE = 2  # a list of more pages than so many for each zone is read by zones, all beside each other


class Caller:
    """GETs where a resend harms nothing."""

    def __init__(self, *, loop):
        self._loop = loop
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._timer = None
        self._masks = {}
        self._calls = {}

    def get(self, *, url: str, limit_s: float, done) -> None:
        """`done(problem, status, body)`."""
        curl = pycurl.Curl()
        body = io.BytesIO()
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TIMEOUT_MS, int(limit_s * 1000))
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(limit_s * 1000))
        curl.setopt(pycurl.WRITEFUNCTION, body.write)
        curl.setopt(pycurl.HTTPHEADER, ["Accept: application/json"])
        self._calls[curl] = (body, done)
        self._multi.add_handle(curl)
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _on_socket(self, what, sock, _multi, _data) -> None:
        if what == pycurl.POLL_REMOVE:
            if self._masks.pop(sock, None) is not None:
                self._loop.unwatch(sock=sock)
            return
        mask = 0
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_READ
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_WRITE

        def callback(ready):
            bits = (pycurl.CSELECT_IN if ready & selectors.EVENT_READ else 0) | (
                pycurl.CSELECT_OUT if ready & selectors.EVENT_WRITE else 0
            )
            self._act(sock, bits)

        if sock in self._masks:
            self._loop.rewatch(sock=sock, mask=mask, callback=callback)
        else:
            self._loop.watch(sock=sock, mask=mask, callback=callback)
        self._masks[sock] = mask

    def _on_timer(self, wait_ms) -> None:
        self._loop.cancel(timer=self._timer)
        self._timer = None
        if wait_ms >= 0:
            self._timer = self._loop.after(delay=wait_ms / 1000.0, callback=lambda: self._act(pycurl.SOCKET_TIMEOUT, 0))

    def _act(self, sock, bits) -> None:
        self._multi.socket_action(sock, bits)
        _queued, good, bad = self._multi.info_read()
        for curl in good:
            self._end(curl, None)
        for curl, _code, text in bad:
            self._end(curl, errors.PloverwardError(text, step="call", peer=curl.getinfo(pycurl.EFFECTIVE_URL)))

    def _end(self, curl, fault) -> None:
        body, done = self._calls.pop(curl)
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        self._multi.remove_handle(curl)
        curl.close()
        self._loop.command(callback=lambda: done(fault, status, body.getvalue()))


class Reading:
    """One reading of the whole list: page by page, or the pages of each zone beside those of the others.

    `on_end` (rows, or None where a page is missing; how many pages) is called once.
    """

    def __init__(self, *, get, zones, is_by_zone: bool, on_end):
        self._pages = 0
        self._get = get  # (zone or "", token or None, done)
        self._zones = tuple(zones)
        self._on_end = on_end
        self._rows = []
        self._open = 0
        self._is_over = False
        self._attempt = 0  # answers to calls of an earlier turn are not listened to
        self._begin(self._zones if is_by_zone else ("",))

    def _begin(self, zones) -> None:
        self._attempt += 1
        self._pages = 0
        self._rows = []
        self._open = len(zones)
        for zone in zones:
            self._page(zone, None, self._attempt)

    def _page(self, zone: str, token, attempt: int) -> None:
        self._get(zone, token, lambda fault, status, body: self._handle_page(zone, attempt, fault, status, body))

    def _handle_page(self, zone: str, attempt: int, fault, status: int, body: bytes) -> None:
        if self._is_over or attempt != self._attempt:
            return
        rows, token = (None, None) if fault is not None or status != 200 else _read_page(body)
        if rows is None:
            self._end(None)
            return
        self._pages += 1
        self._rows += rows
        if token is not None and len(self._rows) <= MAX_PAGES * 1000:
            if not zone and is_long(pages=self._pages, zones=self._zones):
                self._begin(self._zones)  # one page after the other would take too long
            else:
                self._page(zone, token, attempt)
            return
        self._open -= 1
        if not self._open:
            self._end(self._rows)

    def _end(self, rows) -> None:
        self._is_over = True
        self._on_end(rows, self._pages)


def is_long(*, pages: int, zones) -> bool:
    """Whether a list of so many pages is read by zones: the platform may be a long way off, and each page waits for the
    one before it."""
    return bool(zones) and pages > PAGES_A_ZONE * len(zones)


def _read_page(body: bytes) -> tuple:
    """(rows, token of the next page or None); (None, None) where it can't be read."""
    try:
        answer = json.loads(body)
        return [read_row(platform_replica=platform_replica) for platform_replica in answer["replicas"]], answer.get(
            "nextPage"
        )
    except (ValueError, KeyError, TypeError):
        return None, None


class Watch:
    """Reads the whole list and tells it. One node does it, by duty."""

    def __init__(self, *, loop, address: str, gap_s: float, limit_s: float, on_list, zones=()):
        self._loop = loop
        self._address = address
        self._gap_s = gap_s
        self._limit_s = limit_s
        self._on_list = on_list  # (rows, taken at)
        self._zones = tuple(sorted(zones))
        self._pages = 0  # of the last whole list
        self._caller = None
        self._run = 0
        self._pause_s = gap_s
        self.is_on = False

    def start(self) -> None:
        if self.is_on:
            return
        self.is_on = True
        self._run += 1
        if self._caller is None:
            self._caller = Caller(loop=self._loop)
        self._begin(self._run)

    def stop(self) -> None:
        self.is_on = False
        self._run += 1

    def _begin(self, run: int) -> None:
        if run != self._run:
            return
        begun_at = self._loop.now()
        Reading(
            get=lambda zone, token, done: self._call(run, zone, token, done),
            zones=self._zones,
            is_by_zone=is_long(pages=self._pages, zones=self._zones),
            on_end=lambda rows, pages: self._ended(run, begun_at, rows, pages),
        )

    def _call(self, run: int, zone: str, token, done) -> None:
        query = "&".join(f"{name}={value}" for name, value in (("zone", zone), ("page", token)) if value)
        url = f"http://{self._address}/replicas" + (f"?{query}" if query else "")
        self._caller.get(
            url=url,
            limit_s=self._limit_s,
            done=lambda fault, status, body: done(fault, status, body) if run == self._run else None,
        )

    def _ended(self, run: int, begun_at: float, rows, pages: int) -> None:
        if rows is not None:
            self._pages = pages
            self._pause_s = self._gap_s
            self._on_list(rows, begun_at)
        else:
            self._pause_s = min(self._pause_s * 1.5, self._gap_s * 3)
        pause = max(0.0, begun_at + self._pause_s - self._loop.now())
        self._loop.after(delay=pause, callback=lambda: self._begin(run))


def read_row(*, platform_replica: dict) -> dict:
    """One replica, in our words."""
    return {
        "id": str(platform_replica["id"]),
        "service": str(platform_replica["destination"]),
        "address": str(platform_replica["address"]),
        "zone": str(platform_replica["zone"]),
        "edition": str(platform_replica.get("edition") or ""),
        "berths": int(platform_replica.get("berths", 1)),
        "is_clearing": platform_replica.get("condition") != "accepting",
        "cold_ms": float(platform_replica.get("warmupLeftMs") or 0),
        "left_ms": platform_replica.get("timeLeftMs"),
        "models": [model["name"] for model in platform_replica.get("models") or []],
        **_adapters(platform_replica=platform_replica),
    }


def _adapters(*, platform_replica: dict) -> dict:
    """The adapters that a replica holds, as pairs with their model. None: it can't be told (docs/pins.md 1)."""
    pairs = []
    for model in platform_replica.get("models") or []:
        named = model.get("adapters")
        if named is None or not isinstance(named, list) or not all(isinstance(name, str) for name in named):
            return {"adapters": None, "is_malformed": named is not None}
        pairs += [[str(model["name"]), name] for name in named]
    return {"adapters": pairs} if pairs else {}

"""The proxy's part of the custody trail (design 10): ids and hashes only, never text; told in batches."""

import json
import time


def trail_of(*, handler, proxy, status: int) -> dict:
    return {
        "id": handler.request_id.decode("latin-1"),
        "proxy": proxy.settings.node,
        "zone": proxy.settings.zone,
        "region": proxy.settings.region,
        "life": proxy.incarnation,
        "arrived": round(time.time() - (proxy.loop.now() - handler.request.begun_at), 3),
        "lasted_ms": round((proxy.loop.now() - handler.request.begun_at) * 1000),
        "route": handler.route.name,
        "service": handler.service,
        "model": handler.model.name,
        "edition": handler.edition,
        "homes": sorted(handler.first_homes),
        "status": status,
        "goes": handler.custody,
        "parts": [full_hash.hex() for full_hash, _tokens in handler.prompt.chain],
    }


def attempt_row(*, attempt, handler, proxy) -> dict:
    return {
        "replica": attempt.replica.id,
        "zone": attempt.replica.zone,
        "edition": proxy.routes.edition,
        "homes": sorted(attempt.permitted) if attempt.permitted is not None else [],
        "from_ms": round((attempt.sent_at - handler.request.begun_at) * 1000),
        "to_ms": None,
        "end": "",
        "is_resumption": handler.has_head,
    }


class TrailBatches:
    """Numbered within this life. What the core has not taken is told again, up to a bound; past that it is counted missing."""

    def __init__(self, *, most: int):
        self._most = most
        self._rows = []
        self._number = 0
        self._unsent = []

    def add(self, trail: dict) -> None:
        self._rows.append((trail["id"], json.dumps(trail, separators=(",", ":")).encode()))
        if len(self._rows) >= self._most:
            self.close_batch()

    def close_batch(self, *, is_last: bool = False) -> None:
        if self._rows or is_last:
            self._unsent.append((self._number, is_last, tuple(self._rows)))
            self._number += 1
            self._rows = []
        while len(self._unsent) > 20:
            self._unsent.pop(0)  # the gap in the numbers tells

    def drain(self) -> list:
        rows, self._unsent = self._unsent, []
        return rows

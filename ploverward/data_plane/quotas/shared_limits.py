"""This proxy's part of the bounds that hold over all machines (design 8)."""

import collections
import zlib


class Quota:
    def __init__(self, *, now, settings):
        self._now = now
        self._ratio = settings.bound(name="retryRatio")
        self._window_s = settings.bound(name="retryWindowS", default=10)
        self._slack = settings.bound(name="retrySlack")
        self._excess = settings.bound(name="warmupExcess", default=1.0)
        self._cold_slack = settings.bound(name="warmupSlack")
        self._entries = {}  # core node: (share of slacks, share of rates, until, part, slot, slots)
        self._asks = {}  # service: deque of times
        self._extras = {}

    def take_entry(self, core: str, message: tuple, *, sent_at: float | None = None) -> None:
        """An entry counts from when its renewal was sent: neither a slow link nor a frozen process stretches it.

        One core node has one entry here, whichever link it came by; the newest stands.
        """
        begun_at = self._now() if sent_at is None else sent_at
        until = begun_at + message[3]
        held = self._entries.get(core)
        if held is None or until >= held[2]:
            self._entries[core] = (message[1], message[2], until, *message[4:])

    def _shares(self, kind: int) -> float:
        now = self._now()
        for core in [core for core, entry in self._entries.items() if entry[2] <= now]:
            del self._entries[core]
        return sum(entry[kind] for entry in self._entries.values())

    def share(self) -> float:
        """Of bounds that are spent: the retry slack."""
        return self._shares(0)

    def rate_share(self) -> float:
        """Of bounds that hold from one second to the next: cold replicas, connections."""
        return self._shares(1)

    def _recent(self, table: dict, service: str) -> collections.deque:
        times = table.setdefault(service, collections.deque())
        now = self._now()
        while times and now - times[0] > self._window_s:
            times.popleft()
        return times

    def note_ask(self, service: str) -> None:
        self._recent(self._asks, service).append(self._now())

    def has_extra(self, service: str) -> bool:
        """Whether one more arrival beyond the first of its ask may be sent."""
        extras = self._recent(self._extras, service)
        allowed = 0.9 * self._ratio * len(self._recent(self._asks, service)) + 0.9 * self._slack * self.share()
        return len(extras) + 1 <= allowed

    def try_extra(self, service: str) -> bool:
        """The same, charged at once."""
        if not self.has_extra(service):
            return False
        self._recent(self._extras, service).append(self._now())
        return True

    def note_send(self, *, replica, service: dict) -> None:
        if service.get("warmup_per_s", 0.0) > 0:
            replica.sends.append(self._now())

    def _slots_for(self, replica, bound: float) -> int:
        """Requests a second that this node's slots at the core nodes allow for this replica."""
        now = self._now()
        found = 0
        for core, (_slack, _rate, until, part, slot, size) in self._entries.items():
            if until > now and size:
                turn = zlib.crc32(f"{replica.id} {getattr(core, 'peer', core)}".encode())
                found += (slot + turn) % size < int(bound * 0.9 * part)
        return found

    def may_send(self, *, replica, service: dict, is_hard: bool) -> bool:
        """The rate that a cold replica bears, over all machines."""
        per_s = service.get("warmup_per_s", 0.0)
        if per_s <= 0:
            return True
        allowed = (per_s * self._excess + self._cold_slack) * 0.9 * self.rate_share()
        if allowed <= 0:
            return not is_hard
        now = self._now()
        if allowed < 1:
            # An even part is less than one request a second: some nodes send to it, the others don't.
            most = self._slots_for(replica, per_s * self._excess + self._cold_slack) if is_hard else 2
            return replica.sent_within(span=1.05, now=now) < most
        return replica.sent_within(span=1.05, now=now) < int(allowed)

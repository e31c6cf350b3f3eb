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
        self._warmup_slack = settings.bound(name="warmupSlack")
        self._leases = {}  # core node: (share of slacks, share of rates, until, part, slot, slots)
        self._request_times = {}  # service: deque of times
        self._retries = {}

    def handle_share_lease(self, core: str, message: tuple, *, sent_at: float | None = None) -> None:
        """An entry counts from when its renewal was sent: neither a slow link nor a frozen process stretches it.

        One core node has one entry here, whichever link it came by; the newest stands.
        """
        begun_at = self._now() if sent_at is None else sent_at
        until = begun_at + message[3]
        current = self._leases.get(core)
        if current is None or until >= current[2]:
            self._leases[core] = (message[1], message[2], until, *message[4:])

    def _shares(self, kind: int) -> float:
        now = self._now()
        for core in [core for core, lease in self._leases.items() if lease[2] <= now]:
            del self._leases[core]
        return sum(lease[kind] for lease in self._leases.values())

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

    def record_request(self, service: str) -> None:
        self._recent(self._request_times, service).append(self._now())

    def has_retry_budget(self, service: str) -> bool:
        """Whether one more arrival beyond the first of its ask may be sent."""
        retries = self._recent(self._retries, service)
        allowed = 0.9 * self._ratio * len(self._recent(self._request_times, service)) + 0.9 * self._slack * self.share()
        return len(retries) + 1 <= allowed

    def charge_retry(self, service: str) -> bool:
        """The same, charged at once."""
        if not self.has_retry_budget(service):
            return False
        self._recent(self._retries, service).append(self._now())
        return True

    def note_send(self, *, replica, service: dict) -> None:
        if service.get("warmup_per_s", 0.0) > 0:
            replica.sends.append(self._now())

    def _slots_for(self, replica, bound: float) -> int:
        """Requests a second that this node's slots at the core nodes allow for this replica."""
        now = self._now()
        found = 0
        for core, (_slack, _rate, until, part, slot, size) in self._leases.items():
            if until > now and size:
                offset = zlib.crc32(f"{replica.id} {getattr(core, 'peer', core)}".encode())
                found += (slot + offset) % size < int(bound * 0.9 * part)
        return found

    def may_send(self, *, replica, service: dict, is_hard: bool) -> bool:
        """The rate that a cold replica bears, over all machines."""
        per_s = service.get("warmup_per_s", 0.0)
        if per_s <= 0:
            return True
        allowed = (per_s * self._excess + self._warmup_slack) * 0.9 * self.rate_share()
        if allowed <= 0:
            return not is_hard
        now = self._now()
        if allowed < 1:
            # An even part is less than one request a second: some nodes send to it, the others don't.
            most = self._slots_for(replica, per_s * self._excess + self._warmup_slack) if is_hard else 2
            return replica.sent_within(span=1.05, now=now) < most
        return replica.sent_within(span=1.05, now=now) < int(allowed)

"""A proxy's leased shares of the global limits (design 8).

`SharedLimits` owns the newest share lease of each core node. A lease counts from when its renewal was sent, so neither
a slow connection nor a frozen process extends it, and it expires unless the core node renews it.
"""

import typing
import zlib
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from ploverward.common import settings as node_settings
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.quotas import retry_budget
from ploverward.transport import messages

MARGIN = 0.9  # the share of a limit that is used: all proxies together must stay below the limit at every moment
RATE_WINDOW_S = 1.05  # window for counting requests to a replica that is warming up: 1 s, plus a margin for clock skew
SOFT_LIMIT_PER_S = 2  # this proxy's limit where its share is less than one request per second and may be exceeded


class Lease(typing.NamedTuple):
    """One core node's lease; `until` is on this proxy's clock."""

    slack_share: float  # of limits over a window, 0 to 1
    rate_share: float  # of limits that apply at each moment, 0 to 1
    until: float
    core_share: float  # the share of every limit that the core node owns
    slot: int
    slot_count: int  # 0: no slot


class SharedLimits:
    """This proxy's shares of the limits that hold over all machines.

    Args:
        now: Clock of this process, in seconds.
        settings: Has the bounds retryRatio, retryWindowS, retrySlack, warmupExcess and warmupSlack.

    Attributes:
        retry_budget: Limits retries, and spends the slack of retries.
        leases: The newest lease of each core node, by the node's address.
    """

    def __init__(self, *, now: Callable[[], float], settings: node_settings.Settings) -> None:
        self.retry_budget = retry_budget.RetryBudget(
            now=now,
            ratio=settings.bound(name="retryRatio"),
            slack=settings.bound(name="retrySlack"),
            window_s=settings.bound(name="retryWindowS", default=10),
            slack_share=self.slack_share,
        )
        self.leases: dict[str, Lease] = {}  # by address of the core node
        self._now = now
        self._warmup_excess = settings.bound(name="warmupExcess", default=1.0)
        self._warmup_slack = settings.bound(name="warmupSlack")

    def handle_share_lease(self, core: str, message: messages.ShareLease, *, sent_at: float | None = None) -> None:
        """Records a lease.

        Args:
            core: Address of the core node. Each core node has one lease here, the newest, whichever connection it
                arrived on.
            message: The lease.
            sent_at: When its renewal was sent; None: now.
        """
        until = (self._now() if sent_at is None else sent_at) + message.duration_s
        current = self.leases.get(core)
        if current is None or until >= current.until:
            self.leases[core] = Lease(
                slack_share=message.slack_share,
                rate_share=message.rate_share,
                until=until,
                core_share=message.core_share,
                slot=message.slot,
                slot_count=message.slot_count,
            )

    def _expire(self) -> None:
        now = self._now()
        for core in [core for core, lease in self.leases.items() if lease.until <= now]:
            del self.leases[core]

    def slack_share(self) -> float:
        """Returns the share of limits that are spent over a window (the slack of retries), 0 to 1."""
        self._expire()
        return sum(lease.slack_share for lease in self.leases.values())

    def rate_share(self) -> float:
        """Returns the share of limits that apply at each moment (warm-up rates, connections), 0 to 1."""
        self._expire()
        # Each choice of a replica calls this; for the few core nodes a list is faster than a generator.
        return sum([lease.rate_share for lease in self.leases.values()])

    def note_send(self, *, replica: replica_table.Replica, service: Mapping[str, Any]) -> None:
        """Records an attempt that is sent to a replica, if the service limits the rate of replicas that warm up."""
        if service.get("warmup_per_s", 0.0) > 0:
            replica.sends.append(self._now())

    def may_send(self, *, replica: replica_table.Replica, service: Mapping[str, Any], is_hard: bool) -> bool:
        """Returns whether the rate limit of slow starts lets this proxy send one more request to a replica.

        Args:
            replica: The replica.
            service: The settings of its service, with `warmup_per_s`: requests per second to each replica from all
                proxies together.
            is_hard: Whether the limit must not be exceeded.
        """
        per_s = service.get("warmup_per_s", 0.0)
        if per_s <= 0:
            return True
        limit = per_s * self._warmup_excess + self._warmup_slack
        allowed = limit * MARGIN * self.rate_share()
        if allowed <= 0:
            return not is_hard
        now = self._now()
        if allowed < 1:
            # An even share is less than one request per second: some proxies send to this replica, the others do not.
            max_requests = self._count_owned_slots(replica, limit) if is_hard else SOFT_LIMIT_PER_S
            return replica.sent_within(window_s=RATE_WINDOW_S, now=now) < max_requests
        return replica.sent_within(window_s=RATE_WINDOW_S, now=now) < int(allowed)

    def _count_owned_slots(self, replica: replica_table.Replica, limit: float) -> int:
        """Returns the requests per second to this replica that this proxy's slots at the core nodes allow.

        A slot allows one request per second if its number, rotated by a hash of replica and core node, is below the
        core node's share of the limit.
        """
        now = self._now()
        used = limit * MARGIN
        count = 0
        for core, (_slack_share, _rate_share, until, core_share, slot, slot_count) in self.leases.items():
            if until > now and slot_count:
                offset = zlib.crc32(f"{replica.id} {core}".encode())
                count += (slot + offset) % slot_count < int(used * core_share)
        return count

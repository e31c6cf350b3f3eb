"""Share leases: the shares of the global limits that nodes may use (design 8).

Each core node owns an equal share of every limit and leases it to proxies. A lease binds the owner until the lease
has expired and the window of the limit has passed as well, since requests that the node sent just before the expiry are
part of that window.

`ShareTable` owns the leases of one limit. Invariant: the leases that bind never add up to more than the owned share.
`OwnedShare` owns the size of that share while the core set changes (docs/control.md 2).
"""

import heapq
import math
import typing
from collections.abc import Callable

MAX_INCREMENTAL_CHANGES = 1024  # changes of a running total before it is recomputed: rounding errors must not add up


class BindingLease(typing.NamedTuple):
    """A lease that counts against the owned share."""

    share: float  # of the limit, 0 to 1
    binds_until: float  # end of the lease and of the limit's window


class ShareTable:
    """Leases of one limit. The cost of a renewal does not depend on the number of nodes: the sum is a running total.

    A node may have several leases that bind, of which only the largest counts, since the node uses one at a time.

    Args:
        now: Clock of this process, in seconds.
        lease_s: How long a lease lasts.
        window_s: The window of the limit.
        withheld_until: Time before which nothing is leased, since leases of before a restart of this node may bind.
    """

    def __init__(self, *, now: Callable[[], float], lease_s: float, window_s: float, withheld_until: float) -> None:
        self._now = now
        self._lease_s = lease_s
        self._window_s = window_s
        self._withheld_until = withheld_until
        self._leases: dict[str, list[BindingLease]] = {}  # by node
        self._largest: dict[str, float] = {}  # by node: its largest binding share
        self._total = 0.0
        self._expirations: list[tuple[float, str]] = []  # heap of (binds until, node)
        self._changes = 0

    def withhold_until(self, when: float) -> None:
        """Replaces the time before which nothing is leased."""
        self._withheld_until = when

    def total(self) -> float:
        """Returns the sum of the binding shares, of which each node's largest one counts."""
        self._expire()
        return self._total

    def renew(self, *, node: str, owned_share: float, live_nodes: int) -> float:
        """Leases a share to a node: an even part of the owned share, or the remainder if that is less.

        Args:
            node: The node that renews its lease.
            owned_share: The share of the limit that this core node owns, 0 to 1.
            live_nodes: Number of nodes that divide the owned share.

        Returns:
            The leased share, 0 to 1; 0 if nothing remains.
        """
        if self._now() < self._withheld_until or live_nodes <= 0:
            return 0.0
        available = owned_share - self.total() + self._largest.get(node, 0.0)
        share = max(0.0, min(owned_share / live_nodes, available))
        if share > 0.0:
            binds_until = self._now() + self._lease_s + self._window_s
            larger = [lease for lease in self._leases.get(node, ()) if lease.share > share]
            self._replace(node, [*larger, BindingLease(share, binds_until)])
            heapq.heappush(self._expirations, (binds_until, node))
        return share

    def _expire(self) -> None:
        now = self._now()
        while self._expirations and self._expirations[0][0] <= now:
            _binds_until, node = heapq.heappop(self._expirations)
            self._replace(node, [lease for lease in self._leases.get(node, ()) if lease.binds_until > now])

    def _replace(self, node: str, leases: list[BindingLease]) -> None:
        largest = max((lease.share for lease in leases), default=0.0)
        self._total += largest - self._largest.get(node, 0.0)
        if leases:
            self._leases[node], self._largest[node] = leases, largest
        else:
            self._leases.pop(node, None)
            self._largest.pop(node, None)
        self._changes += 1
        if self._changes % MAX_INCREMENTAL_CHANGES == 0:
            self._total = math.fsum(self._largest.values())


class _FormerShare(typing.NamedTuple):
    """A smaller owned share that still limits the leases although the owned share has grown since."""

    share: float
    binds_until: float


class OwnedShare:
    """The share of every limit that this core node owns, while the core set changes (docs/control.md 2).

    A smaller share applies at once. A larger one applies `transfer_wait_s` after this node learned of it: until then, a
    member that was evicted, or that does not know of the change yet, may still have leased out what now belongs to this
    node. `test_voting_set.py` runs event sequences in which the limits are exceeded without that wait.

    Args:
        now: Clock of this process, in seconds.
        transfer_wait_s: How long the leases of a former owner may bind.
        initial_share: The share that is owned before the first core set is known.
    """

    def __init__(self, *, now: Callable[[], float], transfer_wait_s: float, initial_share: float = 0.0) -> None:
        self._now = now
        self._transfer_wait_s = transfer_wait_s
        self._share = initial_share
        self._version = 0
        self._former: list[_FormerShare] = []

    def resume(self, *, share: float, version: int) -> None:
        """Restores the share that this node owned when it stopped, if its disk has that core set as agreed."""
        self._share = share
        self._version = version

    def install(self, *, share: float, version: int) -> None:
        """Installs the share under the newest core set that this node knows.

        Under a core set that this node missed, it may have owned nothing. So after a gap in the versions, the complete
        share applies only after `transfer_wait_s`.
        """
        certain = self._share if version <= self._version + 1 else 0.0
        self._version = version
        if share > certain:
            self._former.append(_FormerShare(share=certain, binds_until=self._now() + self._transfer_wait_s))
        self._share = share

    def value(self) -> float:
        """Returns the share that may be leased out now, 0 to 1."""
        now = self._now()
        self._former = [former for former in self._former if former.binds_until > now]
        return min([self._share, *(former.share for former in self._former)])

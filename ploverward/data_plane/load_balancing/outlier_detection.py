"""Suspected replicas: replicas that accept no connection, probed in the background (design 7).

A suspected replica is not chosen: rejecting a request at once is better than using it as a probe. A connection that
is established ends the suspicion. When a second replica of a zone is suspected, all replicas of the zone are probed,
as a zone's replicas are likely to fail together and each would cost requests otherwise.

Two other signals make a replica less likely to be chosen without ejecting it: failures that this proxy saw
(`Replica.recent_failures`) and the relay's judge (docs/digest.md 5). `scoring` weighs them.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from ploverward.data_plane.load_balancing import connection_pool
    from ploverward.data_plane.load_balancing import replica
    from ploverward.transport import event_loop

MAX_CONCURRENT_PROBES = 24  # suspected replicas to which connections are opened at a time: a lost zone has many
ZONE_SILENCE_SHARE = 0.1  # of contactMs: replicas of the zone that sent something more recently are not suspected


class ReplicaView(typing.Protocol):
    """The replicas that this proxy uses (`replica_table.ReplicaTable`)."""

    replicas: dict[str, replica.Replica]
    by_service: dict[str, list[replica.Replica]]

    def subset(self, service: str) -> Iterable[replica.Replica]:
        """Returns those of a service that this proxy uses."""

    def is_in_service(self, one: replica.Replica) -> bool:
        """Whether it is neither draining nor in an evacuated zone."""


class OutlierDetection:
    """Marks replicas as suspected and checks them.

    Args:
        loop: The event loop.
        table: The replicas.
        pool: Makes the connections.
        contact_s: The bound `contactMs`, in seconds.
    """

    def __init__(
        self, *, loop: event_loop.Loop, table: ReplicaView, pool: connection_pool.ConnectionPool, contact_s: float
    ) -> None:
        self._loop = loop
        self._table = table
        self._pool = pool
        self._contact_s = contact_s

    def mark_suspected(self, one: replica.Replica) -> None:
        """A connection was not established, or the replica timed out and a health check failed."""
        now = self._loop.now()
        one.is_suspected = True
        one.is_probe_failed = True
        one.close_idle()
        zone_peers = [peer for peer in self._table.replicas.values() if peer.zone == one.zone and peer is not one]
        if any(peer.is_suspected for peer in zone_peers):
            for peer in zone_peers:
                if not peer.is_suspected and now - peer.last_received_at > self._contact_s * ZONE_SILENCE_SHARE:
                    peer.is_suspected = True
                    peer.close_idle()
        self._loop.command(callback=self.check_suspected)

    def check_suspected(self) -> None:
        """Opens a connection to each suspected replica, some at a time."""
        checked = 0
        for service in self._table.by_service:
            for one in self._table.subset(service):
                if checked < MAX_CONCURRENT_PROBES and self._needs_check(one):
                    checked += 1
                    self._pool.connection(replica=one)

    def _needs_check(self, one: replica.Replica) -> bool:
        return one.is_suspected and self._table.is_in_service(one) and not one.connections

    def probe(self, one: replica.Replica) -> None:
        """Checks a replica that timed out by a new connection; if that fails, the replica is suspected."""
        pending = one.probe_connection
        if pending is not None and pending.is_open and not pending.is_up:
            return
        one.probe_connection = self._pool.open(one)

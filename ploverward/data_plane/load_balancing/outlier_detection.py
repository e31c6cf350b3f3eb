"""Outlier detection: suspects replicas that accept no connection and probes them in the background (design 7).

A suspected replica is not chosen: rejecting a request at once is better than using it as a probe. The suspicion ends
when a connection to the replica is established. When a second replica of a zone is suspected, the zone's other replicas
from which nothing was received for a short time are suspected and probed as well: replicas of a zone are likely to
fail together, and each would cost requests otherwise.

Two other signals make a replica less likely to be chosen without ejecting it: failures that this proxy saw
(`Replica.recent_failures`), and the relay's list of failing replicas, which it derives from the outcomes that all
proxies report (docs/digest.md 5). `scoring` weighs both.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Iterable

    from ploverward.data_plane.load_balancing import connection_pool
    from ploverward.data_plane.load_balancing import replica as replicas_of
    from ploverward.transport import event_loop

MAX_CONCURRENT_PROBES = 24  # connections opened by one check: a failed zone has many suspected replicas
MIN_SILENCE_SHARE = 0.1  # fraction of contactMs: zone peers that sent something more recently are not suspected


class ReplicaView(typing.Protocol):
    """The parts of the replica table that outlier detection needs (`replica_table.ReplicaTable`)."""

    replicas: dict[str, replicas_of.Replica]
    by_service: dict[str, list[replicas_of.Replica]]

    def subset(self, service: str) -> Iterable[replicas_of.Replica]:
        """Returns the replicas of a service that this proxy uses."""

    def is_in_service(self, replica: replicas_of.Replica) -> bool:
        """Returns whether a replica is neither draining nor in an evacuated zone."""


class OutlierDetection:
    """Marks replicas as suspected and probes them.

    Args:
        loop: The event loop.
        table: The replicas.
        pool: The connection pool, which opens the probes' connections.
        contact_s: The bound `contactMs`, in seconds.
    """

    def __init__(
        self, *, loop: event_loop.Loop, table: ReplicaView, pool: connection_pool.ConnectionPool, contact_s: float
    ) -> None:
        self._loop = loop
        self._table = table
        self._pool = pool
        self._contact_s = contact_s

    def mark_suspected(self, replica: replicas_of.Replica) -> None:
        """Marks a replica as suspected.

        Called when no connection could be established, or when the replica timed out and its health check failed.
        """
        now = self._loop.now()
        replica.is_suspected = True
        replica.is_probe_failed = True
        replica.close_idle()
        zone_peers = [
            peer for peer in self._table.replicas.values() if peer.zone == replica.zone and peer is not replica
        ]
        if any(peer.is_suspected for peer in zone_peers):
            for peer in zone_peers:
                if not peer.is_suspected and now - peer.last_received_at > self._contact_s * MIN_SILENCE_SHARE:
                    peer.is_suspected = True
                    peer.close_idle()
        self._loop.call_soon_threadsafe(callback=self.check_suspected)

    def check_suspected(self) -> None:
        """Opens a connection to suspected replicas that have none, to `MAX_CONCURRENT_PROBES` of them at most."""
        checked = 0
        for service in self._table.by_service:
            for replica in self._table.subset(service):
                if checked < MAX_CONCURRENT_PROBES and self._needs_check(replica):
                    checked += 1
                    self._pool.connection(replica=replica)

    def _needs_check(self, replica: replicas_of.Replica) -> bool:
        return replica.is_suspected and self._table.is_in_service(replica) and not replica.connections

    def probe(self, replica: replicas_of.Replica) -> None:
        """Opens a connection to a replica that timed out; if it is not established, the replica is suspected."""
        pending = replica.probe_connection
        if pending is not None and pending.is_open and not pending.is_up:
            return
        replica.probe_connection = self._pool.open(replica)

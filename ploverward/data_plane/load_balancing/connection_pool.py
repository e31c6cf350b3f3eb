"""The connections to all replicas: how many there may be, and which idle one may be used (docs/requests.md 2).

`ConnectionPool` owns the bound and the record of idle connections that were lost without notice; the connections
themselves are in `Replica`. All proxies together may have `maxConns` connections to a replica, of which this one
has its share.
"""

from __future__ import annotations

import typing

from ploverward.data_plane.upstream import upstream_connection

if typing.TYPE_CHECKING:
    from collections.abc import Callable

    from ploverward.common import settings as settings_files
    from ploverward.data_plane.load_balancing import network_latency
    from ploverward.data_plane.load_balancing import replica as replicas
    from ploverward.transport import event_loop

FIRST_SHARE = 0.04  # of the limit, before the first lease: as if there were a few dozen proxies
SHARE_IN_USE = 0.9  # of this proxy's share: the remainder is for connections that are still closing
MIN_CONNECTIONS = 4  # to each replica: with fewer, requests would wait for one another
DEFAULT_MAX_CONNECTIONS = 64  # to one replica, of all proxies, where nothing is known of its service
CONNECT_SHARE = 1 / 50  # of contactMs, plus three network latencies: the time-out for establishing a connection
UNKNOWN_CONNECT_SHARE = 1 / 14  # of contactMs: the same if the network latency is not known
PEER_TIMEOUT_FACTOR = 2  # of contactMs: until the kernel gives up a peer that acknowledges nothing


class ConnectionPool:
    """Opens, assigns and closes connections.

    Args:
        loop: The event loop.
        settings: Of this node.
        share: Returns this proxy's share of limits, 0 without a lease.
        max_connections: Returns the setting `maxConns` of a service.
        may_use: Whether new requests may go to a replica.
        latencies: Records how long connections take to establish.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        settings: settings_files.Settings,
        share: Callable[[], float],
        max_connections: Callable[[str], int],
        may_use: Callable[[replicas.Replica], bool],
        latencies: network_latency.NetworkLatencies,
    ) -> None:
        self._loop = loop
        self._contact_s = settings.bound_s(name="contactMs")
        self._share = share
        self._last_share = FIRST_SHARE
        self._service_limit = max_connections
        self._may_use = may_use
        self._latencies = latencies
        self._idle_trust: dict[str, tuple[float, float]] = {}  # by service: (seconds of idleness, believed until)

    def max_connections(self, service: str) -> int:
        """Returns how many connections this proxy may have to a replica of a service.

        Without a lease the last share is kept: too many connections are reset, which breaks no bound, while too few
        would reject requests that there is capacity for.
        """
        self._last_share = self._share() or self._last_share
        return max(MIN_CONNECTIONS, int(self._service_limit(service) * self._last_share * SHARE_IN_USE))

    def has_capacity(self, replica: replicas.Replica) -> bool:
        """Whether a request could be sent to the replica now."""
        return bool(replica.idle) or len(replica.connections) < self.max_connections(replica.service)

    def connection(
        self, *, replica: replicas.Replica, request_id: bytes = b""
    ) -> upstream_connection.UpstreamConnection | None:
        """Returns an idle connection that may carry this request, or a new one; None at the bound."""
        now = self._loop.now()
        _close_expired(replica, now=now)
        max_idle_s = self.max_idle_s(service=replica.service, now=now) if self._idle_trust else None
        while replica.idle:
            connection = replica.idle.pop()
            is_trusted = max_idle_s is None or now - connection.idle_since <= max_idle_s
            if is_trusted and connection.is_reusable_for(request_id=request_id):
                return connection
            connection.close()
        if len(replica.connections) >= self.max_connections(replica.service):
            return None
        return self.open(replica)

    def open(self, replica: replicas.Replica) -> upstream_connection.UpstreamConnection:
        """Returns a new connection."""
        known_s = self._latencies.estimate_s(replica)
        contact_s = self._contact_s
        connection = upstream_connection.UpstreamConnection(
            loop=self._loop,
            replica=replica,
            connect_s=contact_s * UNKNOWN_CONNECT_SHARE if known_s is None else contact_s * CONNECT_SHARE + 3 * known_s,
            peer_timeout_s=contact_s * PEER_TIMEOUT_FACTOR,
            on_free=self._on_free,
            on_connected=self._on_connected,
        )
        replica.connections.add(connection)
        return connection

    def note_stale(self, *, replica: replicas.Replica, idle_for_s: float) -> None:
        """An idle connection was lost without notice: for a while, none of its service idle half as long is used.

        The request that found it is lost where it may not be sent again; this keeps it at one for each service
        (`test_connections_that_a_replica_forgets_without_a_word_cost_one_request_not_many`).
        """
        if idle_for_s < upstream_connection.UNCHECKED_IDLE_S:
            return  # it was not idle: its end is no evidence about the others
        now = self._loop.now()
        max_idle_s = max(upstream_connection.UNCHECKED_IDLE_S, idle_for_s / 2)
        known_s = self.max_idle_s(service=replica.service, now=now)
        if known_s is not None:
            max_idle_s = min(max_idle_s, known_s)
        self._idle_trust[replica.service] = (max_idle_s, now + self._contact_s)

    def max_idle_s(self, *, service: str, now: float) -> float | None:
        """Returns for how many seconds a connection of this service may be idle and still be used, None for any."""
        max_idle_s, until = self._idle_trust.get(service, (None, 0.0))
        if until <= now:
            self._idle_trust.pop(service, None)
            return None
        return max_idle_s

    def _on_connected(self, replica: replicas.Replica, took_s: float) -> None:
        replica.is_suspected = False
        replica.is_probe_failed = False
        self._latencies.record(replica, took_s=took_s)

    def _on_free(self, connection: upstream_connection.UpstreamConnection) -> None:
        replica: replicas.Replica = connection.replica
        if replica.is_listed and self._may_use(replica):
            replica.idle.append(connection)
        else:
            connection.close()

    def close_expired(self, every: typing.Iterable[replicas.Replica]) -> None:
        """By the clock: closes connections that were idle for too long."""
        now = self._loop.now()
        for replica in every:
            _close_expired(replica, now=now)


def _close_expired(replica: replicas.Replica, *, now: float) -> None:
    for connection in list(replica.idle):
        if now >= connection.idle_until:
            connection.close()

"""The pool of connections to all replicas: limits their number and reuses idle ones (docs/requests.md 2).

`ConnectionPool` owns the connection limit and the record of idle connections that were lost without notice; the
connections themselves are in `Replica`. All proxies together may have `maxConns` connections to a replica, and this
proxy may have its share of them.
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

DEFAULT_SHARE = 0.04  # share of maxConns before the first lease: as if 25 proxies shared the limit
USABLE_SHARE = 0.9  # fraction of this proxy's share: the remainder is left for connections that are still closing
MIN_CONNECTIONS = 4  # per replica: with fewer, requests would wait for one another
DEFAULT_MAX_CONNECTIONS = 64  # per replica, of all proxies together, if the configuration names none
CONNECT_TIMEOUT_SHARE = 1 / 50  # timeout for establishing a connection: share of contactMs, plus three round trips
UNKNOWN_LATENCY_CONNECT_TIMEOUT_SHARE = 1 / 14  # the same timeout if the round trip is not known: share of contactMs
PEER_TIMEOUT_FACTOR = 2  # times contactMs: the kernel then drops a connection whose peer acknowledges nothing


class ConnectionPool:
    """Opens, assigns and closes connections to replicas.

    Args:
        loop: The event loop.
        settings: The settings of this node.
        share: Returns this proxy's share of the global limits, 0 without a lease.
        max_connections: Returns the setting `maxConns` of a service.
        may_use: Returns whether new requests may go to a replica.
        latencies: Records how long it takes to establish connections, and estimates it.
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
        self._last_share = DEFAULT_SHARE
        self._max_service_connections = max_connections
        self._may_use = may_use
        self._latencies = latencies
        self._idle_limits: dict[str, tuple[float, float]] = {}  # by service: (maximal idle seconds, valid until)

    def max_connections(self, service: str) -> int:
        """Returns how many connections this proxy may have to each replica of a service.

        Without a lease the last share is kept. Surplus connections are reset, which breaks no bound, while too low a
        limit would reject requests that the replicas have capacity for.
        """
        self._last_share = self._share() or self._last_share
        return max(MIN_CONNECTIONS, int(self._max_service_connections(service) * self._last_share * USABLE_SHARE))

    def has_capacity(self, replica: replicas.Replica) -> bool:
        """Returns whether the connection limit allows one more request to the replica now."""
        return bool(replica.idle) or len(replica.connections) < self.max_connections(replica.service)

    def connection(
        self, *, replica: replicas.Replica, request_id: bytes = b""
    ) -> upstream_connection.UpstreamConnection | None:
        """Returns an idle connection that may carry this request, or a new one; None if the limit is reached."""
        now = self._loop.now()
        _close_expired(replica, now=now)
        max_idle_s = self.max_idle_s(service=replica.service, now=now) if self._idle_limits else None
        while replica.idle:
            connection = replica.idle.pop()
            is_fresh = max_idle_s is None or now - connection.idle_since <= max_idle_s
            if is_fresh and connection.is_reusable_for(request_id=request_id):
                return connection
            connection.close()
        if len(replica.connections) >= self.max_connections(replica.service):
            return None
        return self.open(replica)

    def open(self, replica: replicas.Replica) -> upstream_connection.UpstreamConnection:
        """Opens a new connection to the replica and returns it."""
        round_trip_s = self._latencies.estimate_s(replica)
        contact_s = self._contact_s
        connection = upstream_connection.UpstreamConnection(
            loop=self._loop,
            replica=replica,
            connect_s=(
                contact_s * UNKNOWN_LATENCY_CONNECT_TIMEOUT_SHARE
                if round_trip_s is None
                else contact_s * CONNECT_TIMEOUT_SHARE + 3 * round_trip_s
            ),
            peer_timeout_s=contact_s * PEER_TIMEOUT_FACTOR,
            on_idle=self._on_idle,
            on_connected=self._on_connected,
        )
        replica.connections.add(connection)
        return connection

    def note_stale(self, *, replica: replicas.Replica, idle_for_s: float) -> None:
        """Limits the idle time of a service's connections after one was lost without notice.

        For `contactMs`, no connection of the service that was idle for more than half as long is used. The request
        that was sent on the lost connection fails if it may not be sent again; the limit keeps this to one request
        per service (`test_silently_dropped_idle_connections_fail_only_one_request`).
        """
        if idle_for_s < upstream_connection.UNCHECKED_IDLE_S:
            return  # the connection was hardly idle: its loss is no evidence about other idle connections
        now = self._loop.now()
        max_idle_s = max(upstream_connection.UNCHECKED_IDLE_S, idle_for_s / 2)
        current_s = self.max_idle_s(service=replica.service, now=now)
        if current_s is not None:
            max_idle_s = min(max_idle_s, current_s)
        self._idle_limits[replica.service] = (max_idle_s, now + self._contact_s)

    def max_idle_s(self, *, service: str, now: float) -> float | None:
        """Returns how many seconds a connection of this service may be idle and still be used, None without a limit."""
        max_idle_s, until = self._idle_limits.get(service, (None, 0.0))
        if until <= now:
            self._idle_limits.pop(service, None)
            return None
        return max_idle_s

    def _on_connected(self, replica: replicas.Replica, took_s: float) -> None:
        replica.is_suspected = False
        replica.is_probe_failed = False
        self._latencies.record(replica, took_s=took_s)

    def _on_idle(self, connection: upstream_connection.UpstreamConnection) -> None:
        replica: replicas.Replica = connection.replica
        if replica.is_listed and self._may_use(replica):
            replica.idle.append(connection)
        else:
            connection.close()

    def close_expired(self, all_replicas: typing.Iterable[replicas.Replica]) -> None:
        """Closes connections that were idle for too long; called periodically."""
        now = self._loop.now()
        for replica in all_replicas:
            _close_expired(replica, now=now)


def _close_expired(replica: replicas.Replica, *, now: float) -> None:
    for connection in list(replica.idle):
        if now >= connection.idle_until:
            connection.close()

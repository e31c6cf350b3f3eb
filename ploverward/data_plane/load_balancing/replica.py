"""The state that a proxy keeps of one replica.

`Replica` owns that state: the replica's row of the endpoint list, its connections, the attempts that run there, and its
recent failures. Other modules own the rules by which it changes: `outlier_detection`, `slow_start`, `connection_pool`.
"""

from __future__ import annotations

import collections
import typing

from ploverward.transport import row_codec

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from ploverward.data_plane.upstream import upstream_connection

MAX_RECENT_FAILURES = 8  # a replica with this many is chosen only if there is no other: counting more changes nothing


class Replica:
    """One replica, as this proxy knows it.

    Args:
        row: Its row of the endpoint list.
        endpoint: Its address and port.
        region: The region of its zone.
        now: The current time on the loop's clock, in seconds.

    Attributes:
        id: Identifies this run of the replica; another run at the same address has another id.
        key: Hash of the id, by which relays and digests name the replica.
        service: The service that it belongs to.
        endpoint: Its address and port.
        zone: The zone in which it runs.
        region: The region of its zone.
        batch_slots: The number of requests that it runs concurrently.
        edition: The version of its software.
        models: The models that it serves; empty for all models of its service.
        adapters: Since when it has each (model, adapter) loaded; None if the endpoint list does not say.
        is_draining: Whether the platform is about to remove it: no new request is sent there.
        is_listed: Whether it is on the endpoint list.
        warming_up_until: When its slow start ends, in seconds on the loop's clock, as all times here.
        idle: Open connections that carry no request.
        connections: All open connections.
        last_received_at: When this proxy last received anything from it.
        backoff_until: It declined a request and is not chosen before this time, unless there is no other replica.
        is_suspected: Whether it is not to be chosen until this proxy has established a connection to it.
        is_probe_failed: Whether this proxy's last attempt to connect failed; false if it is suspected only because of
            its zone.
        network_latency_s: Round trip, from the time to establish connections; None before the first one.
        probe_connection: The connection of a health check in progress.
        running: The number of this proxy's attempts that run there.
        prefill_tokens: The tokens of this proxy's attempts that are still to be prefilled there, by attempt number.
        sends: When this proxy sent its latest attempts.
        on_probe_failed: Called with this replica when a health check failed.
    """

    def __init__(self, *, row: Mapping[str, typing.Any], endpoint: tuple[str, int], region: str, now: float) -> None:
        self.id: str = row["id"]
        self.key = row_codec.replica_key(row["id"])
        self.service: str = row["service"]
        self.endpoint = endpoint
        self.zone: str = row["zone"]
        self.region = region
        self.batch_slots: int = row["berths"]
        self.edition: str = row.get("edition", "")
        self.models = row["models"]
        self.adapters: dict[tuple[str, str], float] | None = None
        self.update_adapters(row, now=now)
        self.is_draining: bool = row["is_clearing"]
        self.is_listed = True
        self.warming_up_until = 0.0
        self.idle: list[upstream_connection.UpstreamConnection] = []
        self.connections: set[upstream_connection.UpstreamConnection] = set()
        self.last_received_at = now
        self.backoff_until = 0.0
        self.is_suspected = False
        self.is_probe_failed = False
        self.network_latency_s: float | None = None
        self.probe_connection: upstream_connection.UpstreamConnection | None = None
        self.running = 0
        self.prefill_tokens: dict[int, int] = {}
        self.sends: collections.deque[float] = collections.deque()
        self.on_probe_failed: Callable[[Replica], None] | None = None
        self._failures: collections.deque[float] = collections.deque()  # when each failure expires

    def update_adapters(self, row: Mapping[str, typing.Any], *, now: float) -> None:
        """Installs the adapters that the endpoint list names; adapters that were known before keep their times."""
        pairs = row.get("adapters", ())
        before = self.adapters or {}
        self.adapters = (
            None if pairs is None else {(model, adapter): before.get((model, adapter), now) for model, adapter in pairs}
        )

    def remove_connection(self, connection: upstream_connection.UpstreamConnection) -> None:
        """Removes a closed connection; if it was a failed health check, reports the failure."""
        self.connections.discard(connection)
        if connection is self.probe_connection:
            self.probe_connection = None
            if not connection.is_up and self.on_probe_failed is not None:
                self.on_probe_failed(self)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        """Closes all connections that carry no request."""
        for connection in list(self.idle):
            connection.close()

    def note_failure(self, *, now: float, window_s: float) -> None:
        """Records that an attempt failed although the replica was up; the failure counts for `window_s` seconds.

        A fault may affect the requests of some proxies only, so this proxy's own observations count in addition to the
        relay's list of failing replicas.
        """
        self._failures.append(now + window_s)
        if len(self._failures) > MAX_RECENT_FAILURES:
            self._failures.popleft()

    def recent_failures(self, *, now: float) -> int:
        """Returns the number of failures that have not expired."""
        while self._failures and self._failures[0] <= now:
            self._failures.popleft()
        return len(self._failures)

    def sent_within(self, *, window_s: float, now: float) -> int:
        """Returns the number of attempts that this proxy sent there in the last `window_s` seconds."""
        while self.sends and now - self.sends[0] > window_s:
            self.sends.popleft()
        return sum(1 for sent_at in self.sends if now - sent_at <= window_s)

"""One replica, as this proxy knows it.

`Replica` owns what this proxy knows of one replica: its row of the endpoint list, its connections, the attempts that
run there, and the faults that were seen. Other modules own the rules: `outlier_detection`, `slow_start`,
`connection_pool`.
"""

from __future__ import annotations

import collections
import typing

from ploverward.transport import row_codec

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from ploverward.data_plane.upstream import upstream_connection

MAX_RECENT_FAILURES = 8  # more make no difference: a replica with so many is chosen only where there is no other


class Replica:
    """One replica.

    Args:
        row: Of the endpoint list.
        endpoint: Its address and port.
        region: Of its zone.
        now: Seconds on the loop's clock.

    Attributes:
        id: Of this run of the replica; another run at the same address has another one.
        key: The id as relays and digests name it.
        service: The service that it belongs to.
        endpoint: Its address and port.
        zone: Where it runs.
        region: Of the zone.
        batch_slots: Requests that it runs concurrently.
        edition: Version of its software.
        models: Models that it serves; empty: all of its service.
        adapters: (model, adapter) that it has loaded: since when; None if the list does not say.
        is_draining: The platform takes it away: no new request is sent there.
        is_listed: Whether it is on the endpoint list.
        warming_up_until: In slow start before then, in seconds on the loop's clock.
        idle: Connections that carry no request.
        connections: All open connections.
        last_received_at: When it last sent anything.
        backoff_until: It declined a request: not to be chosen before then, unless there is no other.
        is_suspected: Not to be chosen before a connection of this proxy is established.
        is_probe_failed: The last connection of this proxy failed; false if it is suspected only because of its zone.
        network_latency_s: Round trip, from the time to establish connections; None before the first one.
        probe_connection: The connection of a health check in progress.
        running: Attempts of this proxy that run there.
        prefill_tokens: Tokens that are still to be prefilled, by the number of the attempt.
        sends: When attempts of this proxy were sent, the latest ones.
        on_probe_failed: Called when a health check failed.
    """

    def __init__(self, *, row: Mapping[str, typing.Any], endpoint: tuple[str, int], region: str, now: float) -> None:
        self.id: str = row["id"]
        self.key = row_codec.key_of(row["id"])
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
        self._failures: collections.deque[float] = collections.deque()  # until when each counts

    def update_adapters(self, row: Mapping[str, typing.Any], *, now: float) -> None:
        """Installs the adapters that the list names; those that it named before keep their times."""
        pairs = row.get("adapters", ())
        before = self.adapters or {}
        self.adapters = (
            None if pairs is None else {(model, adapter): before.get((model, adapter), now) for model, adapter in pairs}
        )

    def forget(self, connection: upstream_connection.UpstreamConnection) -> None:
        """A connection is closed."""
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
        """An attempt failed although the replica was up; counts for `window_s` seconds.

        A fault may show to some callers only, so what this proxy saw counts here in addition to the relay's judge.
        """
        self._failures.append(now + window_s)
        if len(self._failures) > MAX_RECENT_FAILURES:
            self._failures.popleft()

    def recent_failures(self, *, now: float) -> int:
        """Returns how many failures count now."""
        while self._failures and self._failures[0] <= now:
            self._failures.popleft()
        return len(self._failures)

    def sent_within(self, *, window_s: float, now: float) -> int:
        """Returns the attempts that were sent in the last `window_s` seconds."""
        while self.sends and now - self.sends[0] > window_s:
            self.sends.popleft()
        return sum(1 for when in self.sends if now - when <= window_s)

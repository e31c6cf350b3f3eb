"""Simulated HTTP between operators and core nodes (docs/simulate.md).

A node receives real requests (ploverward.transport.http_request.Request) from `HttpServer`, which has those parts of
the interface of ploverward.transport.http_server.HttpServer that a core node uses. `Caller` models clients outside the
system, such as operators: each call has its own connection, and its answer may be lost.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import h11

from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_network
from ploverward.simulation.control_plane import simulated_peers
from ploverward.transport import http_request

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import machines

TextHeaders = Sequence[tuple[str, str]]


class Answer(NamedTuple):
    """An HTTP response.

    Attributes:
        status: The HTTP status.
        headers: Headers by lower-case name, without Content-Length.
        body: The body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


OnAnswer = Callable[[Answer | None], object]  # receives None if the connection ended without an answer


class AnswerCollector:
    """The connection of one request; collects the answer and passes it on when it is complete."""

    def __init__(self, *, on_answer: OnAnswer) -> None:
        self._on_answer = on_answer
        self._is_over = False
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body = b""

    def is_answering(self, _request: http_request.Request) -> bool:
        """Returns whether data that is written now belongs to the answer to the request."""
        return not self._is_over

    def start(self, *, status: int, headers: Iterable[tuple[bytes, bytes]], is_last: bool) -> None:
        """Takes the status and the headers of the answer."""
        self._status = status
        self._headers = {name.decode().lower(): value.decode() for name, value in headers}
        self._headers.pop("content-length", None)

    def send(self, event: Any) -> None:  # noqa: ANN401  # any h11 event
        """Takes a part of the answer."""
        if isinstance(event, h11.Data):
            self._body += event.data

    def finish(self) -> None:
        """Ends the answer and passes it on."""
        self._is_over = True
        self._on_answer(Answer(self._status, self._headers, self._body))

    def abort_response(self) -> None:
        """Ends the connection without an answer, so that a partial answer can't look complete."""
        self._is_over = True
        self._on_answer(None)

    def drop(self) -> None:
        """Ends the connection as if the client had closed it."""
        self.abort_response()

    def queued(self) -> int:
        """Returns how many bytes of answers wait to be sent."""
        return 0


def _report_client_disconnect(request: http_request.Request) -> None:
    """Notifies an unanswered request that the client closed its connection."""
    if request.on_disconnect is not None and not request.is_answered:
        request.on_disconnect()


class HttpServer:
    """The HTTP server of a core node.

    Attributes:
        loop: The event loop of the node.
        process: The process in which the server runs.
        is_draining: Whether clients are requested to use another server.
        connections: Always empty, because each call has its own connection.
    """

    def __init__(
        self,
        *,
        runtime: simulated_peers.PeerRuntime,
        loop: simulated_clock.Loop,
        address: tuple[str, int],
        on_request: Callable[[http_request.Request], object],
        limits: Callable | None = None,
        peer_timeout_s: float = 0.0,
        max_connections: int = 0,
    ) -> None:
        self.loop = loop
        self.process = runtime.process
        self.is_draining = False
        self.connections: set = set()
        _host, self._port = address
        self._servers: dict[int, HttpServer] = runtime.machine.http_servers
        self._on_request = on_request
        self._servers[self._port] = self

    def handle(self, request: http_request.Request) -> None:
        """Passes a request to the node."""
        self._on_request(request)

    def leave(self) -> None:
        """Requests clients to use another server."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Does nothing, because no connection is ever idle."""

    def stop_listening(self) -> None:
        """Stops accepting requests."""
        if self._servers.get(self._port) is self:
            del self._servers[self._port]


class Caller:
    """An HTTP client outside the system.

    Attributes:
        host: Source address of the calls, to which partitions apply.
    """

    def __init__(self, *, network: simulated_network.Network, host: str) -> None:
        self.host = host
        self._network = network

    def call(
        self,
        *,
        host: str,
        port: int,
        method: str,
        target: str,
        headers: TextHeaders = (),
        body: bytes = b"",
        limit_s: float,
        done: OnAnswer,
        on_lost: OnAnswer | None = None,
    ) -> None:
        """Makes one call.

        Args:
            host: Address of the node.
            port: Port of the node.
            method: HTTP method, in capitals.
            target: Path and query.
            headers: Names and values.
            body: The body.
            limit_s: How long to wait for the answer, in seconds.
            done: Called once, with the answer, or with None if there is none in time.
            on_lost: If given, the answer does not reach the client; this is called with the answer instead.
        """
        _Call(
            network=self._network,
            source=self.host,
            host=host,
            port=port,
            method=method,
            target=target,
            headers=headers,
            body=body,
            done=done,
            on_lost=on_lost,
        ).start(limit_s=limit_s)


class _Call:
    """A call in progress; its arguments are those of `Caller.call`."""

    def __init__(
        self,
        *,
        network: simulated_network.Network,
        source: str,
        host: str,
        port: int,
        method: str,
        target: str,
        headers: TextHeaders,
        body: bytes,
        done: OnAnswer,
        on_lost: OnAnswer | None,
    ) -> None:
        self._network = network
        self._clock = network.clock
        self._source = source
        self._host = host
        self._port = port
        self._method = method
        self._target = target
        self._headers = headers
        self._body = body
        self._done = done
        self._on_lost = on_lost
        self._is_over = False
        self._process: machines.Program | None = None
        self._request: http_request.Request | None = None

    def start(self, *, limit_s: float) -> None:
        self._clock.later(delay=self._network.delay(self._source, self._host), callback=self._arrive)
        self._clock.later(delay=limit_s, callback=self._give_up)

    def _arrive(self) -> None:
        machine = self._network.machines.get(self._host)
        if machine is None or not machine.is_powered or self._network.is_partitioned(self._source, self._host):
            return
        server = machine.http_servers.get(self._port)
        if server is None:
            self._answer(None)
            return
        self._process = server.process
        self._clock.later(
            delay=0.0,
            callback=lambda: self._handle(server),
            process=server.process,
            kind=simulated_clock.EventKind.DELIVERY,
        )

    def _handle(self, server: HttpServer) -> None:
        request = self._request = http_request.Request(
            http_connection=AnswerCollector(on_answer=self._answer),
            method=self._method.encode(),
            target=self._target.encode(),
            headers=[(name.lower().encode(), value.encode()) for name, value in self._headers],
            begun_at=server.loop.now(),
        )
        request.body = self._body
        server.handle(request)
        if self._is_over:  # the caller gave up while the request waited for a frozen process
            _report_client_disconnect(request)

    def _answer(self, answer: Answer | None) -> None:
        if self._network.is_partitioned(self._host, self._source):
            return
        if self._on_lost is not None:
            self._on_lost(answer)
            return
        delay = self._network.delay(self._host, self._source)
        self._clock.later(delay=delay, callback=lambda: self._finish(answer))

    def _finish(self, answer: Answer | None) -> None:
        if not self._is_over:
            self._is_over = True
            self._done(answer)

    def _give_up(self) -> None:
        self._finish(None)
        request = self._request
        if request is None or request.is_answered or self._network.is_partitioned(self._source, self._host):
            return
        self._clock.later(
            delay=self._network.delay(self._source, self._host),
            callback=lambda: _report_client_disconnect(request),
            process=self._process,
            kind=simulated_clock.EventKind.DELIVERY,
        )

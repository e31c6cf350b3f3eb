"""The HTTP server: listens, bounds connections and the memory of bodies, hands over complete requests.

`http_connection` has the states of one connection, `http_request` what handlers see.
"""

import math
import random
import selectors
import socket
from collections.abc import Callable
from collections.abc import Hashable

from ploverward.transport import peer_connection
from ploverward.transport.event_loop import Loop
from ploverward.transport.http_connection import HttpConnection
from ploverward.transport.http_request import Limits
from ploverward.transport.http_request import Request
from ploverward.transport.peer_connection import SocketAddress

DEFAULT_MAX_CONNECTIONS = 3000
DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024  # of the bodies of all connections
REBALANCE_AGES = (0.25, 0.75)  # of `rebalance_s`: spread, so that clients do not come back in a wave


class BodyBudget:
    """Bounds the memory that the bodies of all connections take until their requests are answered.

    Args:
        max_bytes: The bound.

    Attributes:
        max_bytes: As given.
        reserved_bytes: What is reserved now.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved_bytes = 0
        self._by_owner: dict[Hashable, int] = {}

    def reserve(self, *, owner: Hashable, size: int) -> bool:
        """Sets what a connection's body takes, in bytes; returns whether all of them stay inside the bound."""
        self.reserved_bytes += size - self._by_owner.get(owner, 0)
        self._by_owner[owner] = size
        return self.reserved_bytes <= self.max_bytes

    def release(self, *, owner: Hashable) -> None:
        """Gives back what a connection's body took."""
        self.reserved_bytes -= self._by_owner.pop(owner, 0)


class HttpServer:
    """A listener and its connections.

    Args:
        loop: Calls back.
        address: Where to listen.
        limits: Returns the limits for a connection's next request; called for each, as the configuration may change.
        peer_timeout_s: What is sent and stays unacknowledged for so long ends its connection.
        on_request: Called with each complete request. Where it raises, the connection is closed.
        max_connections: At most so many connections; further ones are closed at once.
        max_bytes: Memory for the bodies of all requests that are not answered yet.
        rebalance_s: Connections accepted within so many seconds of the start end after an answer, at an age of a
            quarter to three quarters of that; 0: none do. After a loss of many servers the first one that is back gets
            all clients, and would keep them (docs/incidents/herded-clients.md).

    Attributes:
        connections: The open connections.
        is_draining: Whether answers end their connections.
        body_budget: The memory that bodies take.

    Raises:
        OSError: The address can't be bound.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        address: SocketAddress,
        limits: Callable[[], Limits],
        peer_timeout_s: float,
        on_request: Callable[[Request], object],
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        max_bytes: int = DEFAULT_MAX_BODY_BYTES,
        rebalance_s: float = 0.0,
    ) -> None:
        self.loop = loop
        self._rebalance_s = rebalance_s
        self._started_at = loop.now()
        self.limits = limits
        self.peer_timeout_s = peer_timeout_s
        self.is_draining = False
        self.connections: set[HttpConnection] = set()
        self.body_budget = BodyBudget(max_bytes=max_bytes)
        self._max_connections = max_connections
        self._on_request = on_request
        self._sock = peer_connection.listen(address=address)
        self._acceptor = peer_connection.ConnectionAcceptor(
            sock=self._sock, now=loop.now, on_accepted=self._handle_accepted
        )
        self._is_listening = True
        loop.watch(sock=self._sock, mask=selectors.EVENT_READ, callback=self._ready)

    @property
    def address(self) -> SocketAddress:
        """The address it listens at; tests listen at a port that the kernel chooses."""
        return self._sock.getsockname()

    def handle(self, request: Request) -> None:
        """Hands a complete request over."""
        try:
            self._on_request(request)
        except Exception:
            request.http_connection.drop()  # nobody would answer it; a closed connection promises nothing
            raise

    def choose_close_time(self) -> float:
        """Returns after when a connection that is accepted now ends with its next answer; infinity for most."""
        now = self.loop.now()
        if now - self._started_at >= self._rebalance_s:
            return math.inf
        return now + self._rebalance_s * random.uniform(*REBALANCE_AGES)

    def remove_connection(self, http_connection: HttpConnection) -> None:
        """Drops a connection that was closed, and what its body took."""
        self.connections.discard(http_connection)
        self.body_budget.release(owner=http_connection)

    def leave(self) -> None:
        """Lets answers end their connections from now on; idle ones stay until `close_idle`."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Closes idle connections; called once no client finds this server by a look-up any more."""
        for http_connection in list(self.connections):
            http_connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accepts no further connections."""
        if self._is_listening:
            self._is_listening = False
            self.loop.unwatch(sock=self._sock)
            self._sock.close()

    def _ready(self, _mask: int) -> None:
        self._acceptor.accept_all()

    def _handle_accepted(self, sock: socket.socket, _address: SocketAddress) -> None:
        if len(self.connections) >= self._max_connections:
            sock.close()
            return
        self.connections.add(HttpConnection(server=self, sock=sock))

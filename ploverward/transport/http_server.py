"""HTTP server: listens, limits connections and the memory used by bodies, passes complete requests to a handler.

`http_connection` implements the states of a connection, `http_request` the requests that handlers get.
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
DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024  # for the bodies of all connections together
REBALANCE_AGES = (0.25, 0.75)  # shares of `rebalance_s`; spread, so that clients do not all reconnect at once


class BodyBudget:
    """Limits the memory used by the bodies of all connections until their requests are answered.

    Args:
        max_bytes: Limit in bytes.

    Attributes:
        max_bytes: As given.
        reserved_bytes: Currently reserved bytes; may exceed the limit until a rejected body is released.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.reserved_bytes = 0
        self._by_owner: dict[Hashable, int] = {}

    def reserve(self, *, owner: Hashable, size: int) -> bool:
        """Sets the reservation of a connection to `size` bytes; returns whether the total is within the limit."""
        self.reserved_bytes += size - self._by_owner.get(owner, 0)
        self._by_owner[owner] = size
        return self.reserved_bytes <= self.max_bytes

    def release(self, *, owner: Hashable) -> None:
        """Releases the reservation of a connection."""
        self.reserved_bytes -= self._by_owner.pop(owner, 0)


class HttpServer:
    """A listening socket and the connections accepted on it.

    Args:
        loop: The event loop.
        address: Address and port to listen on.
        limits: Returns the limits for the next request of a connection; called for each request, as the configuration
            may change.
        peer_timeout_s: A connection is closed if sent data stays unacknowledged for this long.
        on_request: Called with each complete request. If it raises, the connection is closed.
        max_connections: Maximum number of connections; further ones are closed at once.
        max_bytes: Memory for the bodies of all requests that are not answered yet.
        rebalance_s: Connections accepted within this many seconds of the start are closed after a response, at an age
            of a quarter to three quarters of this time; 0 closes none. After many servers failed, the first one that
            is back gets all clients and would otherwise keep them (docs/incidents/herded-clients.md).

    Attributes:
        connections: The open connections.
        is_draining: Whether connections are closed after their next response.
        body_budget: The memory used by bodies.

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
        """The address and port that the server listens on; tests let the kernel choose the port."""
        return self._sock.getsockname()

    def handle(self, request: Request) -> None:
        """Passes a complete request to the handler."""
        try:
            self._on_request(request)
        except Exception:
            request.http_connection.drop()  # no response would follow; a closed connection leaves the outcome open
            raise

    def choose_close_time(self) -> float:
        """Returns the time after which a connection accepted now is closed with a response; infinity for most."""
        now = self.loop.now()
        if now - self._started_at >= self._rebalance_s:
            return math.inf
        return now + self._rebalance_s * random.uniform(*REBALANCE_AGES)

    def remove_connection(self, http_connection: HttpConnection) -> None:
        """Removes a closed connection and releases the memory reserved for its body."""
        self.connections.discard(http_connection)
        self.body_budget.release(owner=http_connection)

    def leave(self) -> None:
        """Closes connections after their next response from now on; idle ones stay open until `close_idle`."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Closes idle connections; called once no lookup returns this server to clients any more."""
        for http_connection in list(self.connections):
            http_connection.close_if_idle()

    def stop_listening(self) -> None:
        """Stops accepting connections; those that are open continue."""
        if self._is_listening:
            self._is_listening = False
            self.loop.unwatch(sock=self._sock)
            self._sock.close()

    def _ready(self, _mask: int) -> None:
        self._acceptor.accept_waiting()

    def _handle_accepted(self, sock: socket.socket, _address: SocketAddress) -> None:
        if len(self.connections) >= self._max_connections:
            sock.close()
            return
        self.connections.add(HttpConnection(server=self, sock=sock))

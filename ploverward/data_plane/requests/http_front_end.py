"""The HTTP listeners of a proxy, for traffic and for readiness checks (docs/design.md 7, 9).

`HttpFrontEnd` owns the set of requests in progress, and whether new ones are rejected because the process is about to
exit. Invariant: a request's handler is in `requests` from the request's arrival until the last byte of the response is
sent or the client has disconnected; the handler removes itself.
"""

from collections.abc import Callable

from ploverward.common import settings as settings_files
from ploverward.data_plane.requests import request_handler
from ploverward.transport import event_loop
from ploverward.transport import http_request
from ploverward.transport import http_server

READINESS_PATH = b"/ploverward/ready"
TRAFFIC_HANDLES_SHARE = 0.6  # share of the process's file handles; connections to replicas need most of the rest
TRAFFIC_MEMORY_SHARE = 0.3  # share of the process's memory, for request bodies
TRAFFIC_PEER_TIMEOUT_CONTACTS = 2  # multiple of contactMs after which a client that does not read is disconnected
# Multiple of contactMs. Connections accepted that soon after the start are closed early, because clients may have found
# this proxy before the others.
REBALANCE_CONTACTS = 1
MAX_READINESS_CONNECTIONS = 100
READINESS_LIMITS = http_request.Limits(head_bytes=8192, body_bytes=8192, head_s=3.0, idle_s=10.0)
BYTES_PER_MB = 1024 * 1024


def readiness_status(*, target: bytes, is_serving: bool, is_draining: bool) -> int:
    """Returns the HTTP status for a health check by the platform: 200 if the proxy is ready, otherwise 503."""
    is_ready = is_serving and not is_draining and target.partition(b"?")[0] == READINESS_PATH
    return 200 if is_ready else 503


class HttpFrontEnd:
    """Accepts requests and tracks those in progress.

    Attributes:
        requests: the handlers of the requests in progress.
        server: the listener for traffic, once started.
        has_ended: whether arriving requests are rejected because the process is about to exit.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        settings: settings_files.Settings,
        contact_s: float,
        limits: Callable[[], http_request.Limits],
        is_serving: Callable[[], bool],
        is_draining: Callable[[], bool],
        make_handler: Callable[[http_request.Request], request_handler.RequestHandler],
        handle_batch_call: Callable[[http_request.Request], bool] = lambda _request: False,
    ) -> None:
        """Creates a front end that does not listen yet.

        Args:
            loop: the node's event loop.
            settings: the addresses of the listeners and the limits of the process.
            contact_s: the bound `contactMs`, in seconds.
            limits: returns the limits of HTTP messages in the configuration in force.
            is_serving: whether the proxy may serve.
            is_draining: whether the proxy is shutting down.
            make_handler: creates the handler of a request.
            handle_batch_call: handles a request to the batch API; returns whether it was one.
        """
        self._loop = loop
        self._settings = settings
        self._contact_s = contact_s
        self._limits = limits
        self._is_serving = is_serving
        self._is_draining = is_draining
        self._make_handler = make_handler
        self._handle_batch_call = handle_batch_call
        self.requests: set[request_handler.RequestHandler] = set()
        self.has_ended = False
        self._number = 0

    def start(self) -> None:
        """Starts listening for traffic, and for health checks if the settings have an address for them."""
        bindings = self._settings.bindings
        self.server = http_server.HttpServer(
            loop=self._loop,
            address=bindings["counter"],
            on_request=self.handle_request,
            limits=self._limits,
            peer_timeout_s=self._contact_s * TRAFFIC_PEER_TIMEOUT_CONTACTS,
            max_connections=int(self._settings.handles * TRAFFIC_HANDLES_SHARE),
            max_bytes=int(self._settings.memory_mb * BYTES_PER_MB * TRAFFIC_MEMORY_SHARE),
            rebalance_s=self._contact_s * REBALANCE_CONTACTS,
        )
        if "readiness" in bindings:
            self._readiness_server = http_server.HttpServer(
                loop=self._loop,
                address=bindings["readiness"],
                on_request=self._handle_health_check,
                limits=lambda: READINESS_LIMITS,
                peer_timeout_s=self._contact_s,
                max_connections=MAX_READINESS_CONNECTIONS,
            )

    def next_attempt_number(self) -> int:
        """Returns a number that no other attempt of this process has."""
        self._number += 1
        return self._number

    def handle_request(self, request: http_request.Request) -> None:
        """Starts handling a request, or replies 503 if the process is about to exit."""
        if self.has_ended:
            request.reply(status=503)
            return
        if self._handle_batch_call(request):
            return
        handler = self._make_handler(request)
        self.requests.add(handler)
        handler.begin()

    def _handle_health_check(self, request: http_request.Request) -> None:
        status = readiness_status(target=request.target, is_serving=self._is_serving(), is_draining=self._is_draining())
        request.reply(status=status)

    def drain(self) -> None:
        """Makes responses close their connections, so that clients reconnect elsewhere; requests are still handled."""
        self.server.leave()

    def close_idle(self) -> bool:
        """Closes connections without a request in progress; returns whether no connection and no request remains."""
        self.server.close_idle()
        return not self.server.connections and not self.requests

    def end(self) -> None:
        """Rejects all further requests and aborts those in progress."""
        self.has_ended = True
        self.server.stop_listening()
        end_requests(self.requests)


def end_requests(handlers: set[request_handler.RequestHandler]) -> None:
    """Aborts the requests in progress. One that no replica received is rejected as not run, and never runs later."""
    for handler in list(handlers):
        handler.abort_for_shutdown()

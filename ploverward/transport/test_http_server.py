"""Tests of the HTTP server: rejections, the memory limit on bodies, pipelined requests, timeouts."""

import socket

import h11
import pytest

from ploverward.simulation import loopback
from ploverward.transport import http_request
from ploverward.transport import http_server
from ploverward.transport.http_connection import State

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"


class Scene:
    def __init__(self, *, max_bytes=1000, **limits):
        self.loop = loopback.new_loop()
        self.requests = []
        self.server = http_server.HttpServer(
            loop=self.loop,
            address=(loopback.own_address(), 0),
            limits=lambda: loopback.limits(**limits),
            peer_timeout_s=5.0,
            on_request=self.requests.append,
            max_bytes=max_bytes,
        )
        self.client = loopback.Client(loop=self.loop, address=self.server.address)

    def until(self, condition) -> bool:
        return loopback.until(self.loop, condition)

    def connection(self):
        assert self.until(lambda: self.server.connections)
        return next(iter(self.server.connections))

    def until_state(self, state) -> bool:
        connection = self.connection()
        return self.until(lambda: connection.state is state)


def test_connection_state_follows_a_request_from_idle_to_closed():
    scene = Scene()
    connection = scene.connection()
    assert connection.state is State.IDLE and connection.is_idle()
    scene.client.send(REQUEST[:10])
    assert scene.until_state(State.READING_HEAD)
    scene.client.send(REQUEST[10:-1])
    assert scene.until_state(State.READING_BODY)
    scene.client.send(REQUEST[-1:])
    assert scene.until_state(State.ANSWERING)
    assert scene.requests[0].body == b"ab" and not connection.is_idle()
    scene.requests[0].reply(status=200, body=b"ok")
    assert connection.state is State.IDLE
    connection.close()
    assert connection.state is State.CLOSED and not scene.server.connections


def test_pipelined_requests_are_answered_in_order():
    scene = Scene()
    scene.client.send(REQUEST * 3)
    for number in range(3):
        assert scene.until(lambda number=number: len(scene.requests) == number + 1)
        scene.requests[number].reply(status=200, body=b"%d" % number)
    assert scene.until(lambda: scene.client.got.endswith(b"2"))
    assert scene.client.got.count(b"HTTP/1.1 200") == 3


def test_last_response_is_sent_before_connection_closes():
    scene = Scene()
    scene.client.send(REQUEST)
    assert scene.until(lambda: scene.requests)
    scene.requests[0].reply(status=200, body=b"ok", is_last=True)
    assert scene.until(lambda: scene.client.is_closed)
    assert b"close" in scene.client.got and scene.client.got.endswith(b"ok")


class SlowClient:
    """Client that reads only on `read`; its small receive buffer leaves most of a large response with the server."""

    def __init__(self, *, address):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.connect(address)
        self.sock.setblocking(False)
        self.got = b""

    def read(self) -> bool:
        """Reads what has arrived; returns whether the server closed the connection."""
        try:
            while data := self.sock.recv(1 << 16):
                self.got += data
        except BlockingIOError:
            return False
        return True


@pytest.mark.parametrize("is_last", [False, True])
@pytest.mark.parametrize("by", ["close_idle", "idle time"])
def test_connection_with_unsent_response_is_not_closed_as_idle(by, is_last):
    scene = Scene()
    slow = SlowClient(address=scene.server.address)
    slow.sock.send(REQUEST)
    assert scene.until(lambda: scene.requests)
    connection = scene.requests[0].http_connection
    scene.requests[0].reply(status=200, body=b"x" * (8 << 20), is_last=is_last)
    assert connection.queued() and not connection.is_idle()
    if by == "close_idle":
        scene.server.close_idle()
    else:
        connection._on_timeout()
    assert connection.is_open
    assert scene.until(lambda: slow.read() or slow.got.endswith(b"x") and not connection.queued())
    assert scene.until(lambda: slow.read() or len(slow.got) >= 8 << 20)
    assert slow.got.count(b"x") == 8 << 20
    scene.server.close_idle()
    assert scene.until(lambda: not scene.server.connections)


@pytest.mark.parametrize(
    "text, status",
    [
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /" + b"x" * 300 + b" HTTP/1.1\r\nHost: h\r\n\r\n", 431),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n", 413),
        (b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n63\r\n" + b"x" * 99, 413),
    ],
)
def test_malformed_or_too_large_request_is_rejected_and_connection_closed(text, status):
    scene = Scene(head_bytes=200, body_bytes=50)
    scene.client.send(text)
    assert scene.until(lambda: scene.client.is_closed)
    assert scene.client.got.startswith(b"HTTP/1.1 %d " % status) and not scene.requests


def test_body_beyond_shared_budget_gets_503_and_budget_is_released():
    scene = Scene(max_bytes=3)
    scene.client.send(REQUEST)
    assert scene.until(lambda: scene.requests)
    assert scene.server.body_budget.reserved_bytes == 2
    other = loopback.Client(loop=scene.loop, address=scene.server.address)
    other.send(REQUEST)
    assert scene.until(lambda: other.is_closed)
    assert other.got.startswith(b"HTTP/1.1 503 ")
    scene.requests[0].reply(status=200)
    assert scene.server.body_budget.reserved_bytes == 0


def test_incomplete_request_gets_408_and_idle_connection_is_closed_without_response():
    scene = Scene(head_s=0.1, idle_s=0.2)
    scene.client.send(REQUEST[:10])
    idle = loopback.Client(loop=scene.loop, address=scene.server.address)
    assert scene.until(lambda: scene.client.is_closed and idle.is_closed)
    assert scene.client.got.startswith(b"HTTP/1.1 408 ") and idle.got == b""


def test_on_disconnect_is_called_if_client_disconnects_before_response():
    gone = []
    scene = Scene()
    scene.client.send(REQUEST)
    assert scene.until(lambda: scene.requests)
    scene.requests[0].on_disconnect = lambda: gone.append(1)
    scene.client.leave()
    assert scene.until(lambda: gone) and not scene.server.connections


def test_handler_exception_closes_connection():
    errors = []
    loop = loopback.new_loop(errors=errors)
    server = http_server.HttpServer(
        loop=loop,
        address=(loopback.own_address(), 0),
        limits=loopback.limits,
        peer_timeout_s=5.0,
        on_request=lambda _request: 1 / 0,
    )
    client = loopback.Client(loop=loop, address=server.address)
    client.send(REQUEST)
    assert loopback.until(loop, lambda: client.is_closed)
    assert client.got == b"" and isinstance(errors[0], ZeroDivisionError)


def test_rejections_distinguish_client_errors_from_server_overload():
    head = h11.Request(method="POST", target="/x", headers=[("Host", "h"), ("Content-Length", "11")])
    with pytest.raises(http_request.ClientRequestError) as caught:
        http_request.check_head(head=head, limits=loopback.limits(body_bytes=10))
    assert caught.value.status == 413
    assert issubclass(http_request.ServerOverloadedError, http_request.RefusedRequestError)
    assert not issubclass(http_request.ServerOverloadedError, http_request.ClientRequestError)


def test_only_connections_accepted_soon_after_start_get_a_close_time():
    scene = Scene()
    rebalance_s = scene.server._rebalance_s = 1000.0
    delays = [scene.server.choose_close_time() - scene.loop.now() for _number in range(50)]
    low, high = http_server.REBALANCE_AGES
    assert all(low * rebalance_s - 1 <= delay <= high * rebalance_s for delay in delays) and len(set(delays)) > 1
    scene.server._started_at -= rebalance_s
    assert scene.server.choose_close_time() == float("inf")


def test_response_after_close_time_has_connection_close_header():
    scene = Scene()
    connection = scene.connection()
    for is_past_close_time in (False, True):
        scene.client.send(REQUEST)
        assert scene.until_state(State.ANSWERING)
        connection._close_at = 0.0 if is_past_close_time else float("inf")
        scene.requests[-1].reply(status=200, body=b"ok")
    assert not connection.is_open or connection.state in (State.CLOSING, State.CLOSED)
    assert scene.until(lambda: scene.client.got.lower().count(b"connection: close") == 1)

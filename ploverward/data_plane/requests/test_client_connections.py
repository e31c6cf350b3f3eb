"""Client connections: pipelining, disconnects, request smuggling and idle connections (docs/requests.md 4)."""

import re
import socket

import pytest

from ploverward.simulation import loopback
from ploverward.simulation import request_scene


def test_pipelined_requests_are_answered_in_order():
    def script(number, received):
        ids = re.findall(rb"X-Attempt-Id: (\w+)", received, re.I)
        return [request_scene.answer(ids[-1], b"body of " + ids[-1])] if request_scene.is_complete(received) else None

    scene = request_scene.Scene(script)
    for route_name in ("unsafe", "safe", "once", "unsafe"):
        scene.request(route_name)
    assert scene.until(b"body of a4") or scene.until(b"a4")
    assert re.findall(rb"X-Attempt-Id: (\w+)", scene.client.got, re.I) == [b"a1", b"a2", b"a3", b"a4"]


def test_connection_is_closed_when_pipelined_bytes_exceed_the_limit():
    scene = request_scene.Scene(lambda number, received: None)
    scene.request("once", left_ms=4000)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    for _ in range(40):
        try:
            scene.client.send(b"x" * 1000)
        except OSError:
            break
        for _ in range(3):
            scene.loop.call_soon_threadsafe(callback=lambda: None)
            scene.loop.step()
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert not scene.proxy.handlers and not scene.client.got  # closed long before the deadline of the first request


def test_writes_of_a_finished_request_do_not_reach_the_next_response():
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("safe")
    assert loopback.until(scene.loop, lambda: scene.proxy.handlers)
    first = next(iter(scene.proxy.handlers)).request
    assert scene.until(b"\r\n\r\nok")
    scene.peers[0].script = lambda number, received: None
    scene.request("once", left_ms=400)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 2)
    scene.client.got = b""
    first.data(b"stray")
    first.end()
    first.abort()
    assert request_scene.wait_until_idle(scene)
    assert (
        request_scene.statuses(scene.client) == [504]
        and b"stray" not in scene.client.got
        and not scene.client.is_closed
    )


def test_expect_100_continue_is_answered_by_the_proxy_and_not_forwarded():
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.client.send(
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
    )
    assert scene.until(b"HTTP/1.1 100")
    assert scene.arrivals() == 0
    scene.client.send(b"body")
    assert scene.until(b"\r\n\r\nok")
    assert b"xpect" not in scene.peers[0].received[0] and request_scene.statuses(scene.client) == [100, 200]


@pytest.mark.parametrize("is_reset", [False, True])
def test_client_disconnect_cancels_the_attempt_and_a_new_connection_is_served(is_reset):
    scene = request_scene.Scene(lambda number, received: None)
    scene.request("once", left_ms=4000)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    scene.client.leave(is_reset=is_reset)
    assert loopback.until(scene.loop, lambda: not scene.proxy.handlers and not scene.peers[0].socks)
    scene.client = loopback.Client(loop=scene.loop, address=scene.proxy.address)
    scene.peers[0].script = request_scene.respond_ok
    scene.request("once")
    assert scene.until(b"0\r\n\r\n")
    assert request_scene.statuses(scene.client) == [200]


def test_half_close_by_the_client_cancels_its_request():
    """A client that closes its sending half is treated as disconnected.

    Clients of the protocol keep both halves open, and the proxy cannot distinguish a half-closed connection from a
    client that is gone.
    """
    scene = request_scene.Scene(lambda number, received: None)
    scene.request("once", left_ms=4000)
    assert loopback.until(scene.loop, lambda: scene.arrivals() == 1)
    scene.client.sock.shutdown(socket.SHUT_WR)
    assert loopback.until(scene.loop, lambda: scene.client.is_closed and not scene.peers[0].socks)
    assert not scene.client.got and not scene.proxy.handlers


@pytest.mark.parametrize("more", [b"Connection: upgrade\r\nUpgrade: other\r\n", b"Expect: something\r\n"])
def test_upgrade_and_unknown_expect_headers_get_a_plain_response(more):
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("unsafe", more=more)
    assert scene.until(b"\r\n\r\nok")
    assert b"pgrade" not in scene.peers[0].received[0]
    scene.request("unsafe")
    assert loopback.until(scene.loop, lambda: request_scene.statuses(scene.client) == [200, 200])


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Content-Length: 4, 5\r\n",
        b"Content-Length: +4\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"Transfer-Encoding: chunked, chunked\r\n",
        b"Transfer-Encoding : chunked\r\n",
        b"X: a\rTransfer-Encoding: chunked\r\n",
    ],
)
def test_ambiguous_framing_closes_the_connection_without_forwarding(head):
    """The proxy closes a connection whose body length is ambiguous, and never reads the bytes after it as a request."""
    scene = request_scene.Scene(request_scene.respond_ok)
    inner_request = b"POST /unsafe/inner HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n"
    scene.client.send(
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: outer\r\n%s\r\n4\r\nbody\r\n0\r\n\r\n%s"
        % (head, inner_request)
    )
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.arrivals() == 0 and len(request_scene.statuses(scene.client)) == 1


def test_request_like_chunked_body_is_forwarded_as_a_body():
    inner_request = b"POST /unsafe/inner HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n"
    scene = request_scene.Scene(
        lambda number, received: [request_scene.answer(b"outer")] if received.endswith(inner_request) else None
    )
    scene.client.send(
        b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: outer\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%s\r\n0\r\nX-Attempt-Id: trailer\r\n\r\n" % (len(inner_request), inner_request)
    )
    assert request_scene.wait_until_idle(scene)
    received = scene.peers[0].received[0]
    assert received.count(b"HTTP/1.1") == 2 and b"trailer" not in received
    assert b"content-length: %d\r\n" % len(inner_request) in received.lower()


def test_truncated_stream_resets_the_connection_of_an_http_1_0_client():
    def cutting(number, received):
        return [request_scene.head(request_scene.request_id(received)) + request_scene.event(1), "close"]

    scene = request_scene.Scene(cutting)
    scene.client.send(b"GET /once/x HTTP/1.0\r\nHost: h\r\nX-Attempt-Id: a1\r\n\r\n")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.client.is_reset


@pytest.mark.parametrize("by", ["leaving", "idle time"])
def test_unread_request_on_an_idle_connection_is_answered_before_closing(by):
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("safe")
    assert scene.until(b"\r\n\r\nok")
    scene.client.got = b""
    scene.request("unsafe")
    connection = next(iter(scene.proxy.server.connections))
    if by == "leaving":
        scene.proxy.server.leave()
        scene.proxy.server.close_idle()
    else:
        connection._on_timeout()
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [200]

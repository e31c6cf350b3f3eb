"""Tests of reused and failing connections to replicas, with scripted peers on real sockets (docs/requests.md 2)."""

import re

import pytest

from ploverward.simulation import loopback
from ploverward.simulation import request_scene
from ploverward.transport import http_connection


def test_repeated_attempt_id_does_not_match_late_response_to_former_request():
    """A late duplicate of the former response has the same id as the response to the second request."""

    def script(number, received):
        ids = re.findall(rb"X-Attempt-Id: (\w+)", received, re.I)
        if len(ids) == 2:
            return [request_scene.answer(ids[0], b"first") + request_scene.answer(ids[1], b"second")]
        return [request_scene.answer(ids[0], b"first" if number == 0 else b"second")]

    scene = request_scene.Scene(script)
    scene.request("unsafe")
    assert scene.until(b"first")
    scene.client.got = b""
    scene.number -= 1
    scene.request("unsafe")
    assert request_scene.wait_until_idle(scene)
    assert scene.client.got.endswith(b"second")


@pytest.mark.parametrize("is_reset", [False, True])
def test_idle_connection_with_unhandled_end_is_not_reused(is_reset):
    """Both the end of the connection and the next request are pending when the event loop polls."""
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("unsafe")
    assert scene.until(b"\r\n\r\nok")
    scene.client.got = b""
    connection = scene.proxy.table.replicas["i0"].idle[0]
    scene.loop.unwatch(sock=connection.sock)  # its event is handled after the request's in the same step
    scene.loop.skip(seconds=2.0)
    scene.peers[0].end(0, is_reset=is_reset)
    scene.request("unsafe")
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [200] and scene.arrivals() == 2


def test_after_process_freeze_idle_connections_and_expired_requests_are_dropped():
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("unsafe")
    assert scene.until(b"\r\n\r\nok")
    scene.client.got = b""
    scene.client.send(b"POST /once/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: late\r\nX-Time-Left-Ms: 900\r\n")
    assert loopback.until(
        scene.loop,
        lambda: any(each.state is http_connection.State.READING_HEAD for each in scene.proxy.server.connections),
    )
    scene.loop.skip(seconds=4.0)
    scene.client.send(b"Content-Length: 4\r\n\r\nbody")
    assert loopback.until(scene.loop, lambda: scene.client.got)
    assert request_scene.statuses(scene.client) == [503] and scene.arrivals() == 1
    scene.loop.skip(seconds=16.0)
    scene.client = loopback.Client(loop=scene.loop, address=scene.proxy.address)
    scene.request("unsafe")
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [200]
    assert len(scene.peers[0].received) == 2 and scene.peers[0].received[1]  # on a new connection


def test_silently_dropped_idle_connections_fail_only_one_request():
    def script(number, received):
        is_reused = received.lower().count(b"x-attempt-id") > 1
        return ["reset"] if is_reused else request_scene.respond_with()(number, received)

    scene = request_scene.Scene(script)
    statuses = []
    for _ in range(5):
        scene.client.got = b""
        scene.request("unsafe")
        assert request_scene.wait_until_idle(scene)
        statuses += request_scene.statuses(scene.client)
        scene.loop.skip(seconds=0.7)
    assert statuses == [200, 502, 200, 200, 200]
    scene.loop.skip(seconds=4.0)  # after contactMs idle connections are reused again
    assert scene.proxy.table.pool.max_idle_s(service="llm", now=scene.loop.now()) is None


@pytest.mark.parametrize("others", [0, 1])
def test_request_on_connection_that_cannot_be_established_counts_as_unsent(others):
    scene = request_scene.Scene(request_scene.respond_ok, *[request_scene.respond_ok] * others)
    for index in range(others):
        scene.proxy.table.replicas[f"i{index + 1}"].backoff_until = scene.loop.now() + 1000.0
    scene.loop.unwatch(sock=scene.peers[0].sock)
    scene.peers[0].sock.close()
    scene.request("unsafe")
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [200 if others else 503] and scene.arrivals() == others


def test_informational_responses_of_replica_are_not_taken_as_final_response():
    def script(number, received):
        return [
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 3
            + request_scene.answer(request_scene.request_id(received))
        ]

    scene = request_scene.Scene(script)
    scene.request("unsafe")
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [200]


@pytest.mark.parametrize("lead", ["unsafe", "once"])
@pytest.mark.parametrize("end", ["close", "reset"])
def test_request_with_one_byte_sent_is_not_retried(lead, end, monkeypatch):
    scene = request_scene.Scene(lambda number, received: [end], request_scene.respond_ok)
    scene.proxy.table.replicas["i1"].backoff_until = scene.loop.now() + 1000.0
    request_scene.limit_sent_bytes(scene, monkeypatch, max_bytes=1)
    scene.request(lead)
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [502]
    assert [len(received) for peer in scene.peers for received in peer.received] == [1]


def test_request_with_no_byte_sent_is_answered_503(monkeypatch):
    scene = request_scene.Scene(request_scene.respond_ok)
    request_scene.limit_sent_bytes(scene, monkeypatch, max_bytes=0)
    scene.request("once", left_ms=200)
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [503] and scene.peers[0].received == [b""]


@pytest.mark.parametrize(
    "early, expected",
    [
        (request_scene.answer(b"a1", b"early"), [200]),
        (request_scene.answer(b"a1", status=b"503 Full", more=request_scene.NOT_RUN), [503]),
    ],
)
def test_response_before_request_is_fully_sent_is_forwarded_and_connection_closed(early, expected, monkeypatch):
    """The replica responds after a part of the request; the remainder is never sent."""
    scene = request_scene.Scene(lambda number, received: [early])
    request_scene.limit_sent_bytes(scene, monkeypatch, max_bytes=100)
    scene.request("once" if expected == [503] else "unsafe")
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == expected and len(scene.peers[0].received[0]) == 100
    assert loopback.until(scene.loop, lambda: not scene.peers[0].socks)


def test_response_before_any_request_byte_is_not_forwarded(monkeypatch):
    scene = request_scene.Scene(request_scene.respond_ok)
    request_scene.limit_sent_bytes(scene, monkeypatch, max_bytes=0)
    scene.request("once", left_ms=1000)
    assert loopback.until(scene.loop, lambda: scene.peers[0].socks)
    scene.peers[0].callback(0, [request_scene.answer(b"a1", b"early")])
    assert request_scene.wait_until_idle(scene)
    assert request_scene.statuses(scene.client) == [503]

"""Tests difficult cases of the HTTP connections with scripted replicas.

No request may run twice, no response may reach another request, and no partial response may look complete.
"""

import re

import pytest

from ploverward.simulation import loopback
from ploverward.simulation import request_scene


def test_complete_response_is_forwarded_with_postmark_and_replica_is_addressed():
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("safe")
    assert scene.until(b"\r\n\r\nok")
    assert b"200 OK" in scene.client.got and re.search(rb"x-postmark: p", scene.client.got, re.I)
    received = scene.peers[0].received[0]
    assert (
        b"X-Addressed-Replica: i0" in received and int(re.search(rb"X-Time-Left-Ms: (\d+)", received, re.I)[1]) <= 3000
    )


@pytest.mark.parametrize("lead", ["once", "unsafe"])
@pytest.mark.parametrize("end", ["close", "reset"])
def test_non_idempotent_request_is_not_resent_after_reused_connection_fails(lead, end):
    def script(number, received):
        if not request_scene.is_complete(received):
            return None
        return (
            [request_scene.answer(request_scene.request_id(received))]
            if received.count(b"\r\n\r\nbody") == 1
            else [end]
        )

    scene = request_scene.Scene(script)
    scene.request("safe")
    assert scene.until(b"\r\n\r\nok")
    scene.request(lead)
    assert scene.until(b"HTTP/1.1 50")
    assert re.search(rb"HTTP/1.1 (502|504)", scene.client.got)
    assert b"503" not in scene.client.got and b"429" not in scene.client.got
    assert scene.arrivals() == 2


def test_an_idempotent_request_is_retried_at_another_replica():
    scene = request_scene.Scene(lambda number, received: ["close"], request_scene.respond_ok)
    for _ in range(4):
        scene.client.got = b""
        scene.request("safe")
        assert scene.until(b"\r\n\r\nok")


def test_surplus_response_before_next_one_is_skipped():
    def script(number, received):
        if not request_scene.is_complete(received):
            return None
        if received.count(b"\r\n\r\nbody") == 1:
            return [request_scene.answer(request_scene.request_id(received))]
        return [
            request_scene.answer(request_scene.request_id(received, 0), b"stale"),
            request_scene.answer(request_scene.request_id(received), b"mine"),
        ]

    scene = request_scene.Scene(script)
    scene.request("unsafe")
    assert scene.until(b"\r\n\r\nok")
    scene.request("unsafe")
    assert scene.until(b"mine")
    assert b"stale" not in scene.client.got
    assert scene.arrivals() == 2


def test_bytes_after_response_are_discarded_and_connection_is_not_reused():
    def script(number, received):
        return (
            [
                request_scene.answer(request_scene.request_id(received))
                + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
            ]
            if request_scene.is_complete(received)
            else None
        )

    scene = request_scene.Scene(script)
    for _ in range(3):
        scene.client.got = b""
        scene.request("safe")
        assert scene.until(b"\r\n\r\nok")
        assert b"bad" not in scene.client.got
    assert len(scene.peers[0].received) == 3  # each request used a new connection


@pytest.mark.parametrize(
    "response",
    [
        b"not an answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: 2\r\n\r\nok",  # no X-Postmark
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nContent-Encoding: gzip\r\n"
        b"Content-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Postmark: p\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nContent-Length: 20\r\n\r\nok",  # incomplete
    ],
)
def test_invalid_response_is_answered_502(response):
    def script(number, received):
        if not request_scene.is_complete(received):
            return None
        return [response.replace(b"%s", request_scene.request_id(received)), "close"]

    scene = request_scene.Scene(script)
    scene.request("unsafe")
    assert scene.until(b"HTTP/1.1 502")
    assert b"200 OK" not in scene.client.got
    assert scene.arrivals() == 1


def test_not_run_request_is_retried_within_tries_then_answered_503():
    def full(number, received):
        return (
            [
                request_scene.answer(
                    request_scene.request_id(received), status=b"503 Service Unavailable", more=b"X-Not-Run: 1\r\n"
                )
            ]
            if request_scene.is_complete(received)
            else None
        )

    scene = request_scene.Scene(full, request_scene.respond_ok)
    scene.request("unsafe")
    assert scene.until(b"\r\n\r\nok")
    scene = request_scene.Scene(full)
    scene.request("once")
    assert scene.until(b"HTTP/1.1 503")
    assert re.search(rb"retry-after: [\d.]+", scene.client.got, re.I)
    assert scene.arrivals() == 1


def test_replica_503_without_x_not_run_is_answered_502():
    def script(number, received):
        return (
            [request_scene.answer(request_scene.request_id(received), status=b"503 Service Unavailable", more=b"")]
            if request_scene.is_complete(received)
            else None
        )

    scene = request_scene.Scene(script)
    scene.request("unsafe")
    assert scene.until(b"HTTP/1.1 502")
    assert b"503" not in scene.client.got


def test_a_stream_resumes_at_another_replica_inside_one_response():
    def interrupting(number, received):
        return (
            [
                request_scene.head(request_scene.request_id(received))
                + request_scene.event(1)
                + request_scene.event(2),
                "close",
            ]
            if request_scene.is_complete(received)
            else None
        )

    def continuing(number, received):
        if not request_scene.is_complete(received):
            return None
        last = re.search(rb"Last-Event-Id: (\d+)", received, re.I)
        first = int(last[1]) + 1 if last else 1
        return [
            request_scene.head(request_scene.request_id(received))
            + b"".join(request_scene.event(nth) for nth in range(first, 5))
            + request_scene.LAST_CHUNK
        ]

    for scripts in ((interrupting, continuing), (continuing, interrupting)):
        scene = request_scene.Scene(*scripts)
        scene.request("resume")
        assert scene.until(b"0\r\n\r\n")
        assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2", b"3", b"4"]
        assert scene.client.got.count(b"HTTP/1.1 200") == 1


def test_duplicate_events_are_forwarded_once():
    def interrupting(number, received):
        if not request_scene.is_complete(received):
            return None
        if b"Last-Event-Id" not in received:
            return [
                request_scene.head(request_scene.request_id(received))
                + request_scene.event(1)
                + request_scene.event(2)
                + request_scene.event(3)[:9],
                "close",
            ]
        return [
            request_scene.head(request_scene.request_id(received))
            + request_scene.event(2)
            + request_scene.event(3)
            + request_scene.LAST_CHUNK
        ]

    scene = request_scene.Scene(interrupting, interrupting)
    scene.request("resume")
    assert scene.until(b"0\r\n\r\n")
    assert re.findall(rb"data: t(\d)", scene.client.got) == [b"1", b"2", b"3"]


def test_interrupted_stream_that_may_not_resume_has_no_final_chunk():
    def interrupting(number, received):
        return (
            [request_scene.head(request_scene.request_id(received)) + request_scene.event(1), "close"]
            if request_scene.is_complete(received)
            else None
        )

    scene = request_scene.Scene(interrupting)
    scene.request("once")
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert b"data: t1" in scene.client.got and scene.arrivals() == 1
    assert not scene.client.got.endswith(b"0\r\n\r\n")


def test_request_is_rejected_if_its_home_region_has_no_replica():
    scene = request_scene.Scene(request_scene.respond_ok, zones=["za"])  # region north; the home region is south
    scene.request("home")
    assert scene.until(b"HTTP/1.1 503")
    assert re.search(rb"retry-after", scene.client.got, re.I)
    assert scene.arrivals() == 0
    trail = scene.proxy.trails()[0]
    assert trail["goes"] == [] and trail["homes"] == ["south"] and trail["status"] == 503


def test_custody_trail_lists_each_attempt():
    def interrupting(number, received):
        if not request_scene.is_complete(received):
            return None
        if b"Last-Event-Id" not in received:
            return [request_scene.head(request_scene.request_id(received)) + request_scene.event(1), "close"]
        return [
            request_scene.head(request_scene.request_id(received)) + request_scene.event(2) + request_scene.LAST_CHUNK
        ]

    scene = request_scene.Scene(interrupting, interrupting, zones=["zb", "zb"])
    scene.request("home")
    assert scene.until(b"0\r\n\r\n")
    trail = scene.proxy.trails()[0]
    assert trail["id"] == "a1" and trail["status"] == 200
    assert [attempt["zone"] for attempt in trail["goes"]] == ["zb", "zb"]
    assert [attempt["is_resumption"] for attempt in trail["goes"]] == [False, True]
    assert "body" not in str(trail) and all(len(part) == 16 for part in trail["parts"])


def test_421_from_another_replica_at_the_address_is_answered_503():
    def misdirected(number, received):
        return (
            [b"HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: i-x\r\nContent-Length: 0\r\n\r\n"]
            if request_scene.is_complete(received)
            else None
        )

    scene = request_scene.Scene(misdirected)
    scene.request("once")
    assert scene.until(b"HTTP/1.1 503")
    assert scene.arrivals() == 1


def test_request_without_route_is_answered_404_and_connection_stays_open():
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("nothing")
    assert scene.until(b"HTTP/1.1 404")
    scene.request("safe")
    assert scene.until(b"\r\n\r\nok")


@pytest.mark.parametrize(
    "data, status",
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 9000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\n", b"413"),
        (b"\x00\x01garbage\r\n\r\n", b"400"),
    ],
)
def test_invalid_framing_is_rejected_and_connection_closed(data, status):
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.client.send(data)
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    assert scene.client.got.startswith(b"HTTP/1.1 " + status)
    assert scene.arrivals() == 0


def test_client_disconnect_ends_the_attempt():
    def script(number, received):
        return (
            [request_scene.head(request_scene.request_id(received)) + request_scene.event(1)]
            if request_scene.is_complete(received)
            else None
        )

    scene = request_scene.Scene(script)
    scene.request("once")
    assert scene.until(b"data: t1")
    scene.client.sock.close()
    scene.loop.unwatch(sock=scene.client.sock)
    assert loopback.until(scene.loop, lambda: not scene.proxy.handlers)
    replica = next(iter(scene.proxy.table.replicas.values()))
    assert replica.running == 0 and not replica.connections


def test_sent_request_past_its_deadline_is_answered_504():
    scene = request_scene.Scene(lambda number, received: None)
    scene.request("once", left_ms=200)
    assert scene.until(b"HTTP/1.1 504")
    assert scene.arrivals() == 1


def test_client_that_does_not_read_pauses_replica_connection():
    big = b"x" * 30000

    def script(number, received):
        if not request_scene.is_complete(received):
            return None
        return [
            request_scene.head(request_scene.request_id(received))
            + b"".join(
                b"%x\r\n%s\r\n" % (len(text), text)
                for text in (b"id: %d\ndata: %s\n\n" % (nth, big) for nth in range(1, 3))
            )
        ]

    scene = request_scene.Scene(script)
    scene.loop.unwatch(sock=scene.client.sock)
    scene.request("once", left_ms=5000)
    assert loopback.until(scene.loop, lambda: any(handler.writer.has_head for handler in scene.proxy.handlers))
    handler = next(iter(scene.proxy.handlers))
    number = 3
    while not handler.attempt.connection.is_paused and number < 1000:
        number += 1
        handler.forward_event(b"id: %d\ndata: %s\n\n" % (number, big))
    assert handler.attempt.connection.is_paused and number < 1000
    assert scene.proxy.server.body_budget.reserved_bytes == 4
    scene.loop.watch(sock=scene.client.sock, mask=1, callback=scene.client._read)
    assert loopback.until(scene.loop, lambda: not handler.attempt.connection.is_paused)


def test_request_over_body_budget_is_answered_503():
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.proxy.server.body_budget.max_bytes = 3
    scene.request("safe")
    assert scene.until(b"HTTP/1.1 503")
    assert scene.arrivals() == 0

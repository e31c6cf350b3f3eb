"""Tests that a replica's answer takes a bounded part of each turn of the loop, on real sockets (review/6)."""

import re

import h11
import pytest

from ploverward.data_plane.requests import request_handler
from ploverward.data_plane.upstream import response_reader
from ploverward.simulation import loopback
from ploverward.simulation import request_scene
from ploverward.transport import event_loop
from ploverward.transport import read_share

MAX_EVENTS = 2 * read_share.MAX_EVENTS_PER_TURN  # as a ready socket, and once more as a continuation
CHUNK = b"1\r\nx\r\n"


@pytest.fixture
def parsed(monkeypatch):
    """Counts the events that readers of responses returned."""
    counts = [0]
    original = response_reader.ResponseReader.next_event

    def next_event(self, *, is_unsent):
        counts[0] += 1
        return original(self, is_unsent=is_unsent)

    monkeypatch.setattr(response_reader.ResponseReader, "next_event", next_event)
    return counts


def largest_step(scene, what, counts):
    """Steps the loop until the client has received `what`; returns the largest number of events of a step."""
    largest = 0
    for _step in range(20_000):
        if what in scene.client.got:
            return largest
        before = counts[0]
        scene.loop.call_soon_threadsafe(callback=lambda: None)  # no wait
        scene.loop.step()
        largest = max(largest, counts[0] - before)
    raise AssertionError(scene.client.got[-200:])


def chunked_head(which):
    return b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nTransfer-Encoding: chunked\r\n\r\n" % which


def test_answer_in_chunks_of_one_byte_takes_a_bounded_part_of_each_turn(parsed):
    """Guards against a replica that keeps a proxy's loop busy with one answer."""

    def script(_number, received):
        which = request_scene.request_id(received)
        return [chunked_head(which) + CHUNK * 20_000 + b"0\r\n\r\n"]

    scene = request_scene.Scene(script)
    scene.request("safe")
    assert largest_step(scene, b"x" * 20_000, parsed) <= MAX_EVENTS
    assert request_scene.statuses(scene.client) == [200]


def test_skipped_answer_in_chunks_of_one_byte_takes_a_bounded_part_of_each_turn(monkeypatch):
    """Guards against a duplicate of another answer, whose events are dropped within the parser's loop."""
    counts = [0]
    original = h11.Connection.next_event

    def next_event(self):
        counts[0] += self.our_role is h11.CLIENT
        return original(self)

    monkeypatch.setattr(h11.Connection, "next_event", next_event)

    def script(_number, received):
        which = request_scene.request_id(received)
        return [chunked_head(b"other") + CHUNK * 20_000 + b"0\r\n\r\n" + request_scene.answer(which, b"mine")]

    scene = request_scene.Scene(script)
    scene.request("safe")
    assert largest_step(scene, b"mine", counts) <= MAX_EVENTS


def test_stream_of_tiny_events_in_large_chunks_takes_a_bounded_part_of_each_turn(monkeypatch):
    """Guards against events of a stream that the parser of HTTP does not see: one chunk has thousands of them."""
    counts = [0]
    forward = request_handler.RequestHandler.forward_event

    def forward_event(self, event):
        counts[0] += 1
        forward(self, event)

    monkeypatch.setattr(request_handler.RequestHandler, "forward_event", forward_event)
    tiny = b":\n\n" * 30_000

    def script(_number, received):
        which = request_scene.request_id(received)
        return [request_scene.head(which) + b"%x\r\n%s\r\n" % (len(tiny), tiny) + b"0\r\n\r\n"]

    scene = request_scene.Scene(script)
    scene.request("safe")
    largest = largest_step(scene, b"0\r\n\r\n", counts)
    assert largest <= 2 * (response_reader.PIECE_BYTES // 3 + read_share.MAX_EVENTS_PER_TURN)
    body = b"".join(re.findall(rb"\r\n(:\n\n)", scene.client.got))
    assert body == tiny


def test_answer_is_complete_when_the_client_reads_late_and_data_waits_for_its_turn():
    """Guards against data that stays in the parser after a pause, with nothing to wake it."""
    texts = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in (b"id: %d\n\n" % n for n in range(1, 5001)))

    def script(_number, received):
        return [request_scene.head(request_scene.request_id(received)) + texts + b"0\r\n\r\n"]

    scene = request_scene.Scene(script)
    scene.request("safe")
    assert scene.until(b"id: 1\n")
    (handler,) = scene.proxy.handlers
    assert handler.attempt.connection.has_undelivered_data
    handler.attempt.connection.pause()
    for _step in range(50):
        scene.loop.step_or_skip()
    received = len(scene.client.got)
    for _step in range(20):
        scene.loop.step_or_skip()
    assert len(scene.client.got) == received  # paused
    handler.attempt.connection.resume()
    assert loopback.until(scene.loop, lambda: b"id: 5000\n" in scene.client.got)


def test_ordinary_answer_is_delivered_in_one_turn(parsed):
    """Guards against ordinary answers that are slowed down."""
    scene = request_scene.Scene(request_scene.respond_with(b"y" * 50_000))
    scene.request("safe")
    assert scene.until(b"y" * 50_000)
    assert parsed[0] <= 50_000 // response_reader.PIECE_BYTES + 8


LINES = b"a: b\r\n" * 600  # 3,600 bytes


def answer_with_long_head(which):
    return request_scene.answer(which, more=b"X-Postmark: p\r\n" + LINES)


def answer_with_long_trailers(which):
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nTransfer-Encoding: chunked\r\n\r\n" % which
    return head + b"2\r\nok\r\n0\r\n" + LINES + b"\r\n"


def duplicate_before_long_head(which):
    return request_scene.answer(b"other") + answer_with_long_head(which)


@pytest.mark.parametrize("answer", [answer_with_long_head, answer_with_long_trailers, duplicate_before_long_head])
def test_many_lines_of_replicas_wait_for_their_turn(answer, monkeypatch):
    """Guards against replicas whose lines are all parsed in one turn, whichever connections they come on."""
    parsed_lines = [0]
    next_event = h11.Connection.next_event

    def count(self):
        event = next_event(self)
        if self.our_role is h11.CLIENT and isinstance(event, h11.Response | h11.EndOfMessage):
            parsed_lines[0] += len(event.headers) > 500
        return event

    monkeypatch.setattr(h11.Connection, "next_event", count)
    monkeypatch.setattr(event_loop, "CONTINUATION_S", 0.0)  # one continuation a turn
    scene = request_scene.Scene(lambda _number, _received: None)
    clients = [loopback.Client(loop=scene.loop, address=scene.proxy.address) for _number in range(10)]
    for number, client in enumerate(clients):
        client.send(
            b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: c%d\r\nX-Time-Left-Ms: 60000\r\n"
            b"Content-Length: 4\r\n\r\nbody" % number
        )
    (replica,) = scene.peers
    assert loopback.until(scene.loop, lambda: sum(received.endswith(b"body") for received in replica.received) == 10)
    for number, received in enumerate(replica.received):
        replica.callback(number, [answer(request_scene.request_id(received))])
    largest = 0
    for _step in range(20_000):
        if all(client.got.endswith(b"\r\n\r\nok") for client in clients):
            break
        before = parsed_lines[0]
        scene.loop.call_soon_threadsafe(callback=lambda: None)  # no wait
        scene.loop.step()
        largest = max(largest, parsed_lines[0] - before)
    assert parsed_lines[0] == 10
    assert largest == 1


def test_header_lines_of_an_answer_count_as_events():
    """Guards against a replica whose answers have many lines, one after the other on a connection."""
    reader = response_reader.ResponseReader()
    reader.send_request(request_id=b"r", head=h11.Request(method="GET", target="/", headers=[("Host", "h")]), body=b"")
    reader.receive_data(b"HTTP/1.1 100 Continue\r\n" + LINES + b"\r\n")
    assert reader.next_event(is_unsent=False) is response_reader.Signal.SKIPPED
    assert reader.events > read_share.MAX_EVENTS_PER_TURN


def test_ordinary_head_of_an_answer_counts_as_one_event():
    reader = response_reader.ResponseReader()
    reader.send_request(request_id=b"r", head=h11.Request(method="GET", target="/", headers=[("Host", "h")]), body=b"")
    reader.receive_data(request_scene.answer(b"r"))
    assert not reader.may_parse_long_lines
    assert isinstance(reader.next_event(is_unsent=False), response_reader.ResponseHead)
    assert reader.events == 1

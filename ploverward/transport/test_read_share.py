"""Tests that the bytes of peers take a bounded part of each turn of the loop, on real sockets (review/6).

Work is counted in events of the parser, not in time, so that the tests do not depend on the speed of the machine.
"""

import h11
import pytest

from ploverward.simulation import loopback
from ploverward.transport import event_loop
from ploverward.transport import frames
from ploverward.transport import http_connection
from ploverward.transport import http_server
from ploverward.transport import messages
from ploverward.transport import peer_connection
from ploverward.transport import read_share

CHUNK = b"1\r\nx\r\n"
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
ORDINARY = b"POST /ordinary HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"
# A turn serves a connection as a ready socket, and at most once more as a continuation.
MAX_STEPS = 20_000
MAX_EVENTS = 2 * read_share.MAX_EVENTS_PER_TURN


@pytest.fixture
def parsed(monkeypatch):
    """Counts the events of all HTTP parsers."""
    counts = [0]
    original = h11.Connection.next_event

    def next_event(self):
        counts[0] += 1
        return original(self)

    monkeypatch.setattr(h11.Connection, "next_event", next_event)
    return counts


class Scene:
    def __init__(self, *, body_bytes=100_000, idle_s=10.0):
        self.loop = loopback.new_loop()
        self.requests = []
        self.server = http_server.HttpServer(
            loop=self.loop,
            address=(loopback.own_address(), 0),
            limits=lambda: loopback.limits(body_bytes=body_bytes, idle_s=idle_s),
            peer_timeout_s=5.0,
            on_request=self.requests.append,
        )

    def client(self):
        return loopback.Client(loop=self.loop, address=self.server.address)

    def until(self, condition):
        return loopback.until(self.loop, condition)

    def step(self):
        """Runs one step of the loop, without a wait."""
        self.loop.call_soon_threadsafe(callback=lambda: None)
        self.loop.step()

    def until_connected(self, count):
        assert self.until(lambda: len(self.server.connections) == count)


def steps_until(scene, condition, parsed):
    """Steps the loop until a condition is true and returns the largest number of events that a step processed."""
    largest = 0
    for _step in range(MAX_STEPS):
        if condition():
            return largest
        before = parsed[0]
        scene.step()
        largest = max(largest, parsed[0] - before)
    raise AssertionError("the condition did not become true")


def test_body_in_chunks_of_one_byte_takes_a_bounded_part_of_each_turn(parsed):
    """Guards against a client that keeps the loop busy for seconds with one read."""
    scene = Scene()
    client = scene.client()
    client.send(HEAD + CHUNK * 20_000 + b"0\r\n\r\n")
    assert steps_until(scene, lambda: scene.requests, parsed) <= MAX_EVENTS
    assert scene.requests[0].body == b"x" * 20_000


def test_many_clients_with_chunks_of_one_byte_leave_others_their_share(parsed):
    """Guards against a bound for one client that a hundred clients exceed together."""
    scene = Scene()
    rude = [scene.client() for _number in range(100)]
    scene.until_connected(100)
    for client in rude:
        client.send(HEAD + CHUNK * 8_000)
    ordinary = scene.client()
    ordinary.send(ORDINARY)
    assert scene.until(lambda: scene.requests)
    assert parsed[0] < 3 * 100 * MAX_EVENTS  # three turns; the others sent 800,000 events


def test_clients_that_send_little_but_often_wait_for_their_turn(monkeypatch):
    """Guards against many clients that each stay below the bound of a turn, so that turns become long all the same."""
    monkeypatch.setattr(event_loop, "CONTINUATION_S", 0.0)  # one continuation a turn
    scene = Scene()
    rude = [scene.client() for _number in range(30)]
    scene.until_connected(30)
    for client in rude:
        client.send(HEAD)
    reads = []
    receive = http_connection.HttpConnection._receive
    monkeypatch.setattr(http_connection.HttpConnection, "_receive", lambda self: (reads.append(self), receive(self))[1])
    for _round in range(20):  # until each has used its share
        for client in rude:
            client.send(CHUNK * 20)
        for _step in range(4):
            scene.step()
    for client in rude:
        client.send(CHUNK)
    for _step in range(5):
        reads.clear()
        scene.step()
        assert len(reads) <= 1


def test_timeout_does_not_end_a_request_whose_bytes_wait_for_their_turn(monkeypatch):
    """Guards against 408 for a client that was in time."""
    monkeypatch.setattr(event_loop, "CONTINUATION_S", 0.0)
    scene = Scene(idle_s=2.0)
    clients = [scene.client() for _number in range(5)]
    scene.until_connected(5)
    for client in clients:
        client.send(HEAD + CHUNK * 5_000 + b"0\r\n\r\n")
    assert scene.until(
        lambda: any(each.state is http_connection.State.READING_BODY for each in scene.server.connections)
    )
    scene.loop.skip(seconds=3.0)
    assert scene.until(lambda: len(scene.requests) == 5)


def test_large_body_is_read_in_as_few_turns_as_its_blocks(parsed):
    """Guards against ordinary bodies that are slowed down: their blocks are few events each."""
    scene = Scene(body_bytes=4_000_000)
    client = scene.client()
    body = b"x" * 3_000_000
    client.send(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body))
    sent = 0
    while sent < len(body):
        client.send(body[sent : sent + 100_000])
        sent += 100_000
        scene.step()
    assert scene.until(lambda: scene.requests)
    assert scene.requests[0].body == body
    assert parsed[0] < read_share.PROMPT_EVENTS_PER_S  # none of it waited for a turn


def test_closed_connection_stops_reading_after_a_bounded_number_of_blocks():
    """Guards against a client that keeps the loop in the close of its connection by sending on."""

    class EndlessSocket:
        reads = 0

        def recv(self, size):
            self.reads += 1
            assert self.reads < 1000
            return b"x" * size

    scene = Scene()
    scene.client()
    scene.until_connected(1)
    (connection,) = scene.server.connections
    sock, connection.sock = connection.sock, EndlessSocket()
    connection._discard_unread()
    assert connection.sock.reads == http_connection.MAX_DISCARDS
    connection.sock = sock


def test_many_frames_of_one_node_are_delivered_over_several_turns():
    """Guards against a node whose frames keep the loop busy, and against taking it for silent meanwhile."""
    loop = loopback.new_loop()
    received, connections, ends = [], [], []
    listener = peer_connection.PeerListener(
        loop=loop,
        address=(loopback.own_address(), 0),
        on_connection=connections.append,
        on_message=lambda _connection, message: received.append(message.epoch),
        on_end=lambda _connection, reason: ends.append(reason),
        peer_timeout_s=1.0,
    )
    client = loopback.Client(loop=loop, address=listener._sock.getsockname())
    client.send(b"".join(frames.pack(messages.DigestJoined(number)) for number in range(1, 5001)))
    largest = 0
    for _step in range(MAX_STEPS):
        if len(received) == 5000:
            break
        before = len(received)
        loop.call_soon_threadsafe(callback=lambda: None)
        loop.step()
        largest = max(largest, len(received) - before)
        if before < 2 * MAX_EVENTS <= len(received):
            loop.skip(seconds=5.0)  # the frames that are here show that the node is not silent
    assert largest <= MAX_EVENTS
    assert received == list(range(1, 5001)) and not ends
    listener.stop()


def test_listener_accepts_a_bounded_number_of_connections_in_a_turn():
    class Listening:
        accepts = 0

        def accept(self):
            self.accepts += 1
            return Accepted(), ("127.0.0.1", 1)

    class Accepted:
        def setblocking(self, _flag):
            """Does nothing."""

    sock = Listening()
    acceptor = peer_connection.ConnectionAcceptor(sock=sock, now=lambda: 0.0, on_accepted=lambda _sock, _address: None)
    acceptor.accept_waiting()
    assert sock.accepts == peer_connection.MAX_ACCEPTS_PER_TURN


def test_commands_that_queue_further_commands_leave_the_turn():
    """Guards against a queue that calls refill, so that sockets and timers are never served again."""
    loop = event_loop.Loop()
    calls = []

    def again():
        calls.append(1)
        loop.call_soon_threadsafe(callback=again)
        loop.at_end_of_step(callback=lambda: loop.at_end_of_step(callback=lambda: calls.append(0)))

    loop.call_soon_threadsafe(callback=again)
    loop.step()
    assert calls == [1]
    loop.step()
    assert calls == [1, 1, 0]


def test_continuations_have_a_bounded_time_in_a_turn_and_take_turns(monkeypatch):
    monkeypatch.setattr(event_loop, "CONTINUATION_S", 0.0)
    loop = event_loop.Loop()
    calls = []

    def make(name):
        def run():
            calls.append(name)
            loop.continue_later(callback=run)

        return run

    for name in "abc":
        loop.continue_later(callback=make(name))
    for _step in range(6):
        loop.step()
    assert "".join(calls) == "abcabc"


def test_due_timers_that_schedule_due_timers_leave_the_turn():
    """Guards against a queue that calls refill, so that sockets and commands are never served again."""
    loop = event_loop.Loop()
    calls = []

    def again():
        calls.append(1)
        loop.at(when=0.0, callback=again)

    loop.at(when=0.0, callback=again)
    loop.step()
    assert calls == [1]
    loop.step()
    assert calls == [1, 1]


def test_timer_that_is_cancelled_by_another_call_of_its_turn_is_not_called():
    loop = event_loop.Loop()
    calls = []
    loop.at(when=0.0, callback=lambda: loop.cancel(timer=second))
    second = loop.at(when=0.0, callback=lambda: calls.append("second"))
    loop.at(when=0.0, callback=lambda: calls.append("third"))
    loop.step()
    assert calls == ["third"]


def make_share():
    times = [100.0]
    return read_share.ReadShare(now=lambda: times[0]), times


def test_share_of_a_new_connection_is_used_up_by_few_events():
    """Guards against a peer that opens a connection for each burst of events."""
    share, times = make_share()
    share.note(read_share.NEW_CONNECTION_EVENTS - 1)
    assert not share.is_used_up
    share.note(1)
    assert share.is_used_up
    times[0] += 1 / read_share.PROMPT_EVENTS_PER_S
    assert not share.is_used_up


def test_share_of_an_idle_connection_allows_a_burst_and_no_more():
    share, times = make_share()
    times[0] += 60.0
    share.note(read_share.BURST_EVENTS - 1)
    assert not share.is_used_up
    share.note(1)
    assert share.is_used_up


def test_share_that_was_exceeded_is_available_again_once_all_of_it_has_drained():
    """Guards against a head of many lines that counts no longer than the next second."""
    share, times = make_share()
    times[0] += 60.0
    share.note(read_share.BURST_EVENTS + 10 * read_share.PROMPT_EVENTS_PER_S)
    times[0] += 9.9
    assert share.is_used_up
    times[0] += 0.2
    assert not share.is_used_up


LINES = b"a:b\r\n" * 600  # 3,600 bytes


@pytest.fixture
def large_heads(monkeypatch):
    """Counts the heads of many lines that were parsed."""
    counts = [0]
    original = http_connection.check_head

    def check_head(*, head, limits):
        counts[0] += len(head.headers) > 500
        return original(head=head, limits=limits)

    monkeypatch.setattr(http_connection, "check_head", check_head)
    return counts


@pytest.fixture
def large_trailers(monkeypatch):
    """Counts the trailers of many lines that were parsed."""
    counts = [0]
    handle_event = http_connection.HttpConnection._handle_event

    def count(self, event):
        counts[0] += isinstance(event, h11.EndOfMessage) and len(event.headers) > 500
        return handle_event(self, event)

    monkeypatch.setattr(http_connection.HttpConnection, "_handle_event", count)
    return counts


def assert_parsed_in_turn(parts, parsed, monkeypatch):
    """Sends the parts of a request on 30 new connections; checks that their blocks of lines are parsed one a turn.

    Args:
        parts: The request, in parts that are sent one after the other.
        parsed: A list with the number of blocks that were parsed so far.
        monkeypatch: pytest's fixture.
    """
    monkeypatch.setattr(event_loop, "CONTINUATION_S", 0.0)  # one continuation a turn
    scene = Scene()
    clients = [scene.client() for _number in range(30)]
    scene.until_connected(30)
    for part in parts:
        for client in clients:
            client.send(part)
        for _step in range(3):
            before = parsed[0]
            scene.step()
            assert parsed[0] - before <= 1
    ordinary = scene.client()
    ordinary.send(ORDINARY)
    assert scene.until(lambda: any(request.target == b"/ordinary" for request in scene.requests))
    assert parsed[0] < 15
    assert scene.until(lambda: len(scene.requests) == 31)


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param([b"GET /x HTTP/1.1\r\nHost: h\r\n" + LINES + b"\r\n"], id="whole"),
        pytest.param([b"GET /x HTTP/1.1\r\nHost: h\r\n" + LINES, b"\r\n"], id="its end comes later"),
        pytest.param([b"GET /x HTTP/1.1\r\nHost: h\r\n" + LINES + b"\r", b"\n"], id="its end is split"),
        pytest.param([b"GET /x HTTP/1.1\nHost: h\n" + LINES.replace(b"\r", b"") + b"\n"], id="bare line ends"),
    ],
)
def test_heads_of_many_lines_on_new_connections_wait_for_their_turn(parts, large_heads, monkeypatch):
    """Guards against peers with a hundred connections whose heads are all parsed in one turn."""
    assert_parsed_in_turn(parts, large_heads, monkeypatch)


def test_pipelined_head_of_many_lines_that_ends_later_waits_for_its_turn(large_heads, monkeypatch):
    """Guards against a head that is measured only from its last bytes on."""
    monkeypatch.setattr(event_loop, "CONTINUATION_S", 0.0)
    scene = Scene()
    clients = [scene.client() for _number in range(10)]
    scene.until_connected(10)
    for client in clients:
        client.send(ORDINARY + b"GET /x HTTP/1.1\r\nHost: h\r\n" + LINES)
    assert scene.until(lambda: len(scene.requests) == 10)
    for request in scene.requests:
        request.reply(status=200)
    for _step in range(30):
        scene.step()
    for client in clients:
        client.send(b"\r\n")
    for _step in range(20):
        before = large_heads[0]
        scene.step()
        assert large_heads[0] - before <= 1
    assert scene.until(lambda: len(scene.requests) == 20)


def test_connection_with_a_head_of_many_lines_reads_on_when_its_turn_comes(parsed, monkeypatch):
    """Guards against such heads, one after the other on a connection, that count as one event each."""
    monkeypatch.setattr(event_loop, "CONTINUATION_S", 0.0)
    scene = Scene()
    clients = [scene.client() for _number in range(10)]
    scene.until_connected(10)
    for client in clients:
        client.send(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n" + LINES + b"\r\n")
    for _step in range(20):
        scene.step()
    for client in clients:
        client.send(b"x")
    before = parsed[0]
    scene.step()
    assert parsed[0] - before <= 3  # one connection's data, and the wait for more


def test_trailers_of_many_lines_count_as_many_events():
    """Guards against lines that come after a body in place of before it."""
    scene = Scene()
    client = scene.client()
    client.send(HEAD + CHUNK + b"0\r\n" + LINES + b"\r\n")
    assert scene.until(lambda: scene.requests)
    (connection,) = scene.server.connections
    assert connection._share.is_used_up


@pytest.mark.parametrize(
    "parts",
    [
        pytest.param([HEAD + CHUNK + b"0\r\n" + LINES + b"\r\n"], id="whole"),
        pytest.param([HEAD + CHUNK + b"0\r\n" + LINES, b"\r\n"], id="their end comes later"),
        pytest.param([HEAD, CHUNK + b"0\r\n" + LINES + b"\r\n"], id="the head comes before"),
        pytest.param([HEAD + b"4\r\n\r\n\r\n\r\n0\r\n" + LINES + b"\r\n"], id="the body looks like their end"),
    ],
)
def test_trailers_of_many_lines_on_new_connections_wait_for_their_turn(parts, large_trailers, monkeypatch):
    """Guards against peers with a hundred connections whose trailers are all parsed in one turn."""
    assert_parsed_in_turn(parts, large_trailers, monkeypatch)

"""Tests of connections between nodes: half-open ones, stopped peers, malformed frames, backoff."""

import errno
import logging
import socket

import pytest

from ploverward.simulation import loopback
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import peer_connection

PEER_TIMEOUT_S = 0.4
KEEP_ALIVE = messages.KeepAlive(0)


class Scene:
    """A scripted peer on the loopback interface, and a connector to it."""

    def __init__(self, *, script=lambda _number, _heard: None):
        self.loop = loopback.new_loop()
        self.peer = loopback.ScriptedServer(loop=self.loop, script=script)
        self.connections, self.received, self.end_reasons = [], [], []
        self.connector = peer_connection.Connector(
            loop=self.loop,
            address=self.peer.address,
            on_up=self.connections.append,
            on_message=lambda _link, message: self.received.append(message),
            on_end=lambda _link, reason: self.end_reasons.append(reason),
            peer_timeout_s=PEER_TIMEOUT_S,
        )

    def until(self, condition) -> bool:
        return loopback.until(self.loop, condition)

    def until_up(self) -> bool:
        return self.until(lambda: self.connector.link is not None and self.connector.link.is_up)


def test_connection_goes_from_connecting_to_up_to_closed():
    scene = Scene()
    link = scene.connector.link
    assert link.state is peer_connection.State.CONNECTING and link.is_open and not link.is_up
    assert scene.until_up()
    assert link.state is peer_connection.State.UP
    scene.connector.stop()
    assert link.state is peer_connection.State.CLOSED and scene.end_reasons == ["stopped"]
    link.close(reason="again")
    link.send(KEEP_ALIVE)
    assert scene.end_reasons == ["stopped"] and scene.connector.link is None and link.queued() == 0


def test_message_sent_while_connecting_is_transmitted_once_up():
    scene = Scene()
    scene.connector.link.send(KEEP_ALIVE)
    assert scene.until(lambda: scene.peer.received and scene.peer.received[0] == frames.pack(KEEP_ALIVE))


def test_connection_to_silent_peer_times_out_without_has_received():
    """A stopped process does this: its kernel accepts and acknowledges, so the connection is up without any data."""
    scene = Scene()
    assert scene.until_up()
    link = scene.connector.link
    assert not link.has_received
    assert scene.until(lambda: scene.end_reasons)
    assert scene.end_reasons == ["silent"] and not link.has_received


def test_heartbeats_keep_connection_open_and_are_not_delivered():
    scene = Scene()
    assert scene.until_up()
    link = scene.connector.link
    end = scene.loop.now() + 2.5 * PEER_TIMEOUT_S

    def send_heartbeat():
        scene.peer.callback(0, (frames.pack(KEEP_ALIVE),))
        scene.loop.after(delay=PEER_TIMEOUT_S / 4, callback=send_heartbeat)

    assert scene.until(lambda: scene.peer.socks)
    send_heartbeat()
    assert scene.until(lambda: scene.loop.now() > end)
    assert scene.connector.link is link and link.has_received and not scene.end_reasons and not scene.received


@pytest.mark.parametrize("data", [b"\xff\xff\xff\xff\x01", frames.pack(KEEP_ALIVE)[:4] + b"\xee\x00"])
def test_malformed_frame_closes_connection_and_connector_reconnects(data):
    sent = []

    def script(number, _heard):
        if number == 0 and not sent:
            sent.append(number)
            return (data,)
        return None

    scene = Scene(script=script)
    scene.connector.link.send(KEEP_ALIVE)
    assert scene.until(lambda: len(scene.connections) == 2)
    assert len(scene.end_reasons) == 1 and "kind" in scene.end_reasons[0]


def test_backoff_grows_without_messages_up_to_a_quarter_of_the_timeout(monkeypatch):
    pauses = []
    monkeypatch.setattr(peer_connection.random, "uniform", lambda _low, high: high)
    scene = Scene()
    after = scene.loop.after

    def recording_after(*, delay, callback):
        if callback == scene.connector._connect:
            pauses.append(delay)
        return after(delay=delay, callback=callback)

    monkeypatch.setattr(scene.loop, "after", recording_after)
    for _attempt in range(7):
        assert scene.until_up()
        ended = len(scene.end_reasons)
        scene.connector.link.close(reason="refused")
        assert len(scene.end_reasons) == ended + 1
    assert pauses == sorted(pauses) and pauses[0] < pauses[1]
    assert pauses[-1] == pytest.approx(PEER_TIMEOUT_S * peer_connection.MAX_BACKOFF_SHARE)


def test_full_send_buffer_closes_connection():
    scene = Scene()
    assert scene.until_up()
    link = scene.connector.link
    link.sock = _FullSocket(link.sock)
    chunk = b"x" * (peer_connection.MAX_SEND_BUFFER_BYTES // 2)
    link.send_bytes(chunk)
    link.send_bytes(chunk)
    assert link.is_open and link.queued() == peer_connection.MAX_SEND_BUFFER_BYTES
    link.send_bytes(b"x")
    assert scene.end_reasons == ["peer does not read"]


class _FullSocket:
    """Wrapper of a socket whose send buffer is full."""

    def __init__(self, sock):
        self._sock = sock

    def send(self, _data):
        raise BlockingIOError

    def __getattr__(self, name):
        return getattr(self._sock, name)


class FakeListeningSocket:
    """Fake listening socket whose `accept` returns or raises the given outcomes in turn."""

    def __init__(self, *, outcomes):
        self.outcomes = list(outcomes)

    def accept(self):
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, OSError):
            raise outcome
        return outcome, ("127.0.0.1", 1)


def test_accept_failures_are_logged_once_and_recovery_once(caplog):
    caplog.set_level(logging.INFO, logger="ploverward")
    exhausted = OSError(errno.EMFILE, "Too many open files")
    clock = [5.0]
    with socket.socket() as accepted:
        sock = FakeListeningSocket(outcomes=[exhausted, exhausted, exhausted, accepted, BlockingIOError()])
        sockets = []
        acceptor = peer_connection.ConnectionAcceptor(
            sock=sock, now=lambda: clock[0], on_accepted=lambda one, _address: sockets.append(one)
        )
        for _step in range(3):
            acceptor.accept_waiting()
        clock[0] = 7.5
        acceptor.accept_waiting()
    assert sockets == [accepted]
    assert [(record.levelname, record.message) for record in caplog.records] == [
        ("ERROR", "accept_failed"),
        ("INFO", "accept_recovered"),
    ]
    assert caplog.records[1].failing_s == 2.5

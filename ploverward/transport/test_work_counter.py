"""Tests of the counts of an event loop's work."""

import socket

from ploverward.simulation import loopback
from ploverward.transport import event_loop
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import peer_connection
from ploverward.transport import work_counter


def test_steps_are_counted_by_what_they_found():
    loop = event_loop.Loop()
    loop.work = work_counter.WorkCounter()
    loop.at(when=loop.now(), callback=lambda: None)
    loop.step()
    loop.call_soon_threadsafe(callback=lambda: None)
    loop.step()
    counts = loop.work.take_counts()
    assert counts.turns == {"timers": 1, "sockets+commands": 1}  # a command wakes the loop through its pipe
    assert loop.work.take_counts().turns == {}


def test_frames_are_counted_by_kind_at_sender_and_receiver():
    loop = loopback.new_loop()
    loop.work = work_counter.WorkCounter()
    received = []
    with peer_connection.listen(address=("127.0.0.1", 0)) as listener:
        client = socket.create_connection(listener.getsockname())
        server, _address = listener.accept()
    for sock in (client, server):
        sock.setblocking(False)
    one, other = (
        peer_connection.PeerConnection(
            loop=loop,
            sock=sock,
            on_message=lambda _connection, message: received.append(message),
            on_end=lambda _connection, _reason: None,
            peer_timeout_s=5.0,
        )
        for sock in (client, server)
    )
    fetch = messages.Fetch("spec", (1, 2))
    one.send_bytes(frames.pack(fetch) + frames.pack(fetch))
    one.send(messages.KeepAlive(number=0))
    assert loopback.until(loop, lambda: len(received) == 2)
    counts = loop.work.take_counts()
    size = len(frames.pack(fetch))
    assert counts.sent == {
        "Fetch": work_counter.FrameCount(frames=2, bytes=2 * size),
        "KeepAlive": work_counter.FrameCount(frames=1, bytes=len(frames.pack(messages.KeepAlive(number=0)))),
    }
    assert counts.received["Fetch"] == counts.sent["Fetch"]
    assert any("_ready" in name for name in counts.calls)
    for connection in (one, other):
        connection.close()

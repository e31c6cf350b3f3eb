"""Requests through a proxy on the loopback, with scripted replicas: what tests of the request path have in common."""

import re

from ploverward.data_plane.load_balancing import connection_pool
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy


def request_id(heard: bytes, nth: int = -1) -> bytes:
    return re.findall(rb"X-Attempt-Id: (\w+)", heard, re.I)[nth]


def is_complete(heard: bytes) -> bool:
    return heard.count(b"\r\n\r\nbody") == len(re.findall(rb"X-Attempt-Id", heard, re.I))


def answer(which: bytes, body: bytes = b"ok", *, status=b"200 OK", more=b"X-Postmark: p\r\n") -> bytes:
    return b"HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, which, more, len(body), body)


def head(which: bytes, *, more=b"") -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nContent-Type: text/event-stream\r\n%s"
        b"Transfer-Encoding: chunked\r\n\r\n" % (which, more)
    )


def event(number: int) -> bytes:
    text = b"id: %d\ndata: t%d\n\n" % (number, number)
    return b"%x\r\n%s\r\n" % (len(text), text)


END = b"0\r\n\r\n"


NOT_RUN = b"X-Not-Run: 1\r\n"


class Scene:
    def __init__(self, *scripts, zones=None, faults=None):
        self.loop = loopback.new_loop(faults=faults)
        self.peers = [loopback.Peer(loop=self.loop, script=script) for script in scripts]
        zones = zones or ["za"] * len(scripts)
        self.entry = loopback_proxy.LoopbackProxy(loop=self.loop, peers=list(zip(self.peers, zones, strict=False)))
        self.client = loopback.Client(loop=self.loop, address=self.entry.address)
        self.number = 0

    def request(self, lead: str, *, left_ms=3000, more=b""):
        self.number += 1
        self.client.send(
            b"POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%d\r\nX-Model: m\r\nX-Token-Count: 30,8\r\n"
            b"X-Prompt-Lead: aa:10,b%d:20\r\nX-Time-Left-Ms: %d\r\n%sContent-Length: 4\r\n\r\nbody"
            % (lead.encode(), self.number, self.number, left_ms, more)
        )

    def until(self, what: bytes) -> bool:
        return loopback.until(self.loop, lambda: what in self.client.got)

    def arrivals(self) -> int:
        return sum(len(re.findall(rb"X-Attempt-Id", heard, re.I)) for peer in self.peers for heard in peer.heard)


def replying(number, heard):
    return [answer(request_id(heard))] if is_complete(heard) else None


def answering(body=b"ok", **about):
    def script(number, heard):
        return [answer(request_id(heard), body, **about)] if is_complete(heard) else None

    return script


def statuses(client) -> list:
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+)", client.got)]


def settled(scene) -> bool:
    return loopback.until(scene.loop, lambda: scene.client.got and not scene.entry.passages)


class SlowSocket:
    """Lets so many bytes out, then none."""

    def __init__(self, sock, *, most):
        self.sock = sock
        self.left = most

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def send(self, data):
        if not self.left:
            raise BlockingIOError
        count = self.sock.send(data[: self.left])
        self.left -= count
        return count


def in_part(scene, monkeypatch, *, most):
    """Connections to replicas take only so many bytes of a request."""
    open_ = connection_pool.ConnectionPool.open

    def opened(pool, replica):
        connection = open_(pool, replica)
        connection.sock = SlowSocket(connection.sock, most=most)
        return connection

    monkeypatch.setattr(connection_pool.ConnectionPool, "open", opened)


def leave(scene, *, since_s):
    """SIGTERM came so many seconds ago."""
    scene.entry.server.leave()
    scene.entry.drain_window.begin()
    scene.loop.skip(seconds=since_s)

"""Shared helpers for tests of the request path: one client, one proxy and scripted replicas on the loopback range."""

import re
import socket
import typing

import pytest

from ploverward.data_plane.load_balancing import connection_pool
from ploverward.data_plane.load_balancing import replica as replicas
from ploverward.data_plane.upstream import upstream_connection
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy


def request_id(received: bytes, nth: int = -1) -> bytes:
    """Returns the id of a request.

    Args:
        received: All bytes that a replica received on a connection.
        nth: The index of the request on that connection; the last one by default.
    """
    return re.findall(rb"X-Attempt-Id: (\w+)", received, re.I)[nth]


def is_complete(received: bytes) -> bool:
    """Returns whether the body of every request in `received` has arrived."""
    return received.count(b"\r\n\r\nbody") == len(re.findall(rb"X-Attempt-Id", received, re.I))


def answer(
    which: bytes, body: bytes = b"ok", *, status: bytes = b"200 OK", more: bytes = b"X-Postmark: p\r\n"
) -> bytes:
    """Returns a complete response.

    Args:
        which: The id of the request.
        body: The body of the response.
        status: The status code and its reason phrase.
        more: Further header lines, each with its CRLF.
    """
    return b"HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, which, more, len(body), body)


def head(which: bytes, *, more: bytes = b"") -> bytes:
    """Returns the head of a streaming response.

    Args:
        which: The id of the request.
        more: Further header lines, each with its CRLF.
    """
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nContent-Type: text/event-stream\r\n%s"
        b"Transfer-Encoding: chunked\r\n\r\n" % (which, more)
    )


def event(number: int) -> bytes:
    """Returns one event of a stream, encoded as an HTTP chunk."""
    text = b"id: %d\ndata: t%d\n\n" % (number, number)
    return b"%x\r\n%s\r\n" % (len(text), text)


LAST_CHUNK = b"0\r\n\r\n"


NOT_RUN = b"X-Not-Run: 1\r\n"


class Scene:
    """A proxy, its scripted replicas, and one client.

    Args:
        scripts: One script for each replica.
        zones: The zone of each replica, in the same order; by default, all are in za.
        errors: Collects the exceptions of callbacks; without it, the loop raises them.
    """

    def __init__(
        self,
        *scripts: loopback.Script,
        zones: list[str] | None = None,
        errors: list[Exception] | None = None,
    ) -> None:
        self.loop = loopback.new_loop(errors=errors)
        self.peers = [loopback.ScriptedServer(loop=self.loop, script=script) for script in scripts]
        zones = zones or ["za"] * len(scripts)
        self.proxy = loopback_proxy.LoopbackProxy(loop=self.loop, peers=list(zip(self.peers, zones, strict=False)))
        self.client = loopback.Client(loop=self.loop, address=self.proxy.address)
        self.number = 0

    def request(self, lead: str, *, left_ms: int = 3000, more: bytes = b"") -> None:
        """Sends a request from the client.

        Args:
            lead: The path prefix, which selects the route.
            left_ms: The time left until the request's deadline.
            more: Further header lines, each with its CRLF.
        """
        self.number += 1
        self.client.send(
            b"POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%d\r\nX-Model: m\r\nX-Token-Count: 30,8\r\n"
            b"X-Prompt-Lead: aa:10,b%d:20\r\nX-Time-Left-Ms: %d\r\n%sContent-Length: 4\r\n\r\nbody"
            % (lead.encode(), self.number, self.number, left_ms, more)
        )

    def until(self, what: bytes) -> bool:
        """Steps the loop until the client has received `what`; returns False on a timeout."""
        return loopback.until(self.loop, lambda: what in self.client.got)

    def arrivals(self) -> int:
        """Returns the number of requests that the replicas received."""
        return sum(
            len(re.findall(rb"X-Attempt-Id", received, re.I)) for peer in self.peers for received in peer.received
        )


def respond_ok(number: int, received: bytes) -> list[loopback.Action] | None:
    """Responds 200 to each complete request; this is a script."""
    return [answer(request_id(received))] if is_complete(received) else None


def respond_with(body: bytes = b"ok", **about: bytes) -> loopback.Script:
    """Returns a script that sends this response to each complete request; `about` is passed to `answer`."""

    def script(number: int, received: bytes) -> list[loopback.Action] | None:
        return [answer(request_id(received), body, **about)] if is_complete(received) else None

    return script


def statuses(client: loopback.Client) -> list[int]:
    """Returns the status codes of all responses that a client received."""
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+)", client.got)]


def wait_until_idle(scene: Scene) -> bool:
    """Steps the loop until the client has received data and no request is in progress; returns False on a timeout."""
    return loopback.until(scene.loop, lambda: scene.client.got and not scene.proxy.handlers)


class LimitedSocket:
    """A socket that accepts at most `max_bytes` bytes for sending, then blocks."""

    def __init__(self, sock: socket.socket, *, max_bytes: int) -> None:
        self.sock = sock
        self.left = max_bytes

    def __getattr__(self, name: str) -> object:
        return getattr(self.sock, name)

    def send(self, data: bytes) -> int:
        """Sends as many bytes as the limit still allows.

        Raises:
            BlockingIOError: The limit is used up.
        """
        if not self.left:
            raise BlockingIOError
        count = self.sock.send(data[: self.left])
        self.left -= count
        return count


def limit_sent_bytes(scene: Scene, monkeypatch: pytest.MonkeyPatch, *, max_bytes: int) -> None:
    """Makes each new connection to a replica accept at most `max_bytes` bytes of requests."""
    open_connection = connection_pool.ConnectionPool.open

    def open_limited(
        pool: connection_pool.ConnectionPool, replica: replicas.Replica
    ) -> upstream_connection.UpstreamConnection:
        connection = open_connection(pool, replica)
        connection.sock = typing.cast(socket.socket, LimitedSocket(connection.sock, max_bytes=max_bytes))
        return connection

    monkeypatch.setattr(connection_pool.ConnectionPool, "open", open_limited)


def leave(scene: Scene, *, since_s: float) -> None:
    """Puts the proxy into the state that it has `since_s` seconds after SIGTERM."""
    scene.proxy.server.leave()
    scene.proxy.drain_window.begin()
    scene.loop.skip(seconds=since_s)

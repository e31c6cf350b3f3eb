"""Seeded histories of rude clients and replicas at one proxy, on real sockets (docs/design.md 2).

Rude clients send bodies in chunks of one byte, a few bytes at a time, many requests at once, or heads or trailers of
many lines; they keep their connections open, leave in the middle of a request, or reset. Rude replicas answer in chunks
of one byte, with thousands of events in one chunk, or with many lines in the head or the trailers. Ordinary clients
send requests meanwhile.

`RudePeersHistory` counts turns of the loop and events of the parsers, not time, so its checks do not depend on the
speed of the machine:

* TURN: in one turn, no parser processes more events than the share of its connection.
* HEAD: a head or trailers of many lines are parsed as a continuation, not as soon as they arrive.
* LATE: an ordinary request is answered within `MAX_TURNS` turns.
* LOST: each complete request on a connection that stays open is answered.

python3 -m ploverward.simulation.rude_peers --first 1000 --seeds 50 --jobs 4
"""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import contextlib
import random
import sys
import typing
import unittest.mock

import h11

from ploverward.data_plane.requests import route_table
from ploverward.data_plane.upstream import upstream_connection
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene
from ploverward.transport import http_connection

STEPS = 300
FINAL_TURNS = 6000  # within which all complete requests have to be answered
MAX_TURNS = 60  # within which an ordinary request has to be answered; without rude peers it takes about ten
MAX_EVENTS = 2 * 64  # of one parser in a turn: as a ready socket, and once more as a continuation
RUDE_CLIENTS = (5, 40)
MAX_BODY_BYTES = 200_000
# The deadline of a request and the latency target are far beyond the length of a history on any machine.
ROUTE = loopback_proxy.route(
    "safe", "/safe/", kind="retry_safe", sticky=False, tries=3, expiryMs=600_000, targetMs=60_000
)
CHUNK = b"1\r\nx\r\n"
LAST_CHUNK = b"0\r\n\r\n"
LINES = b"a: b\r\n" * 600
MANY_LINES = 500
KINDS = (
    "plain",
    "plain",
    "plain",
    "chunks",
    "events",
    "lines",
    "trailers",
)  # of requests of ordinary clients, as drawn


def answer_rudely(_number: int, received: bytes) -> list[loopback.Action] | None:
    """A script of a replica: the id of a request says how it is answered."""
    if not received.endswith(b"body"):
        return None
    which = request_scene.request_id(received)
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nTransfer-Encoding: chunked\r\n\r\n" % which
    if which.startswith(b"trailers"):
        return [head + b"2\r\nok\r\n0\r\n" + LINES + b"\r\n"]
    if which.startswith(b"chunks"):
        return [head + CHUNK * 3000 + LAST_CHUNK]
    if which.startswith(b"events"):
        events = b":\n\n" * 3000
        return [request_scene.head(which) + b"%x\r\n%s\r\n" % (len(events), events) + LAST_CHUNK]
    more = LINES if which.startswith(b"lines") else b""
    return [request_scene.answer(which, b"ok", more=b"X-Postmark: p\r\n" + more)]


class SentRequest(typing.NamedTuple):
    """A complete request of an ordinary client.

    Attributes:
        request_id: Its id.
        client: The connection on which it was sent.
        turn: Number of the turn before which it was sent.
        is_ordinary: Whether its answer is an ordinary one, too.
    """

    request_id: bytes
    client: loopback.Client
    turn: int
    is_ordinary: bool

    @property
    def is_answered(self) -> bool:
        """Whether the client has the complete answer."""
        _before, found, answer = self.client.got.partition(b"x-attempt-id: " + self.request_id + b"\r\n")
        if not found:
            return False
        return answer.endswith(b"ok") if self.is_ordinary else LAST_CHUNK in answer or b"x" * 3000 in answer


class RudeClient:
    """One connection of a rude client.

    Attributes:
        requests: Number of complete requests that it sent.
    """

    def __init__(self, *, scene: request_scene.Scene) -> None:
        self.requests = 0
        self._is_in_body = False
        self._client = loopback.Client(loop=scene.loop, address=scene.proxy.address)

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return not self._client.is_closed

    @property
    def answers(self) -> int:
        """Number of answers that it received."""
        return self._client.got.count(b"HTTP/1.1 ")

    def send_chunks(self, count: int) -> None:
        """Sends chunks of one byte, after the head of a request if none is in progress."""
        head = b"" if self._is_in_body else b"POST /none HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self._is_in_body = True
        self._send(head + CHUNK * count)

    def finish_body(self) -> None:
        """Ends the request in progress."""
        if self._is_in_body:
            self._is_in_body = False
            self.requests += 1
            self._send(LAST_CHUNK)

    def send_many(self, count: int) -> None:
        """Sends complete requests without waiting for answers."""
        self.finish_body()
        self.requests += count
        self._send(b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n" * count)

    def send_large_head(self) -> None:
        """Sends a complete request with many header lines."""
        self.finish_body()
        self.requests += 1
        self._send(b"GET /none HTTP/1.1\r\nHost: h\r\n" + LINES + b"\r\n")

    def send_large_trailers(self, *, is_whole: bool) -> None:
        """Ends the request in progress, or sends a complete one if `is_whole`, with trailers of many lines."""
        if is_whole:
            self.finish_body()
        self.send_chunks(1)
        self._is_in_body = False
        self.requests += 1
        self._send(b"0\r\n" + LINES + b"\r\n")

    def leave(self, *, is_reset: bool) -> None:
        """Leaves, whatever is in progress."""
        if self.is_open:
            self._client.leave(is_reset=is_reset)

    def _send(self, data: bytes) -> None:
        try:
            self._client.send(data)
        except OSError:  # the proxy does not read, or has closed the connection
            self.leave(is_reset=True)


class RudePeersHistory:
    """One history.

    Args:
        seed: Seed of the random generator.

    Attributes:
        findings: Descriptions of failed checks.
        answered: Number of ordinary requests that were answered.
        largest: Largest number of events that a parser processed in a turn.
    """

    def __init__(self, *, seed: int) -> None:
        self.findings: list[str] = []
        self.answered = 0
        self.largest = 0
        self._chance = random.Random(seed)
        self._scene = request_scene.Scene(answer_rudely, answer_rudely)
        limits = loopback.limits(head_bytes=16_384, body_bytes=MAX_BODY_BYTES, idle_s=600.0, head_s=600.0)
        self._scene.proxy.server.limits = lambda: limits
        self._scene.proxy.routes = route_table.Routes(body={**loopback_proxy.CONFIGURATION, "routes": [ROUTE]})
        self._rude = [RudeClient(scene=self._scene) for _number in range(self._chance.randint(*RUDE_CLIENTS))]
        self._waiting: list[SentRequest] = []
        self._kept: list[loopback.Client] = []  # connections of ordinary clients without a request
        self._turn = 0
        self._sent = 0
        self._events: collections.Counter[int] = collections.Counter()  # of this turn, by parser
        self._is_serving_socket = False  # rather than a continuation

    def play(self) -> list[str]:
        """Plays the history and returns the descriptions of failed checks."""
        with self._counting():
            for _step in range(STEPS):
                self._act()
                self._run_turns(self._chance.randint(1, 3))
            for client in self._rude:
                client.finish_body()
            for _turn in range(FINAL_TURNS):
                if not self._unanswered():
                    break
                self._run_turns(1)
        self.findings += [f"LOST: {text}" for text in self._unanswered()]
        return self.findings

    @contextlib.contextmanager
    def _counting(self) -> typing.Iterator[None]:
        next_event = h11.Connection.next_event

        def count(parser: h11.Connection) -> object:
            self._events[id(parser)] += 1
            event = next_event(parser)
            if isinstance(event, h11.Request | h11.Response | h11.EndOfMessage) and self._is_serving_socket:
                self._check_lines(event)
            return event

        with contextlib.ExitStack() as patches:
            patches.enter_context(unittest.mock.patch.object(h11.Connection, "next_event", count))
            for connection_type in (http_connection.HttpConnection, upstream_connection.UpstreamConnection):
                patches.enter_context(
                    unittest.mock.patch.object(connection_type, "_ready", self._marking(connection_type._ready))
                )
            yield

    def _check_lines(self, event: h11.Request | h11.Response | h11.EndOfMessage) -> None:
        if len(event.headers) > MANY_LINES:
            self.findings.append(f"HEAD: {len(event.headers)} lines were parsed as soon as they arrived")

    def _marking(self, ready: typing.Callable[[typing.Any, int], None]) -> typing.Callable[[typing.Any, int], None]:
        """Returns a callback of a ready socket that says while it runs."""

        def run(connection: object, mask: int) -> None:
            self._is_serving_socket = True
            try:
                ready(connection, mask)
            finally:
                self._is_serving_socket = False

        return run

    # Peers.
    def _act(self) -> None:
        if self._chance.random() < 0.3:
            self._send_ordinary(self._chance.choice(KINDS))
            return
        number = self._chance.randrange(len(self._rude))
        client = self._rude[number]
        if not client.is_open:
            self._rude[number] = RudeClient(scene=self._scene)
            return
        chance = self._chance.random()
        if chance < 0.4:
            client.send_chunks(self._chance.randint(500, 6000))
        elif chance < 0.7:
            client.send_chunks(self._chance.randint(1, 60))
        elif chance < 0.8:
            client.finish_body()
        elif chance < 0.85:
            client.send_many(self._chance.randint(1, 30))
        elif chance < 0.88:
            client.send_large_head()
        elif chance < 0.92:
            client.send_large_trailers(is_whole=self._chance.random() < 0.5)
        else:
            client.leave(is_reset=self._chance.random() < 0.5)

    def _send_ordinary(self, kind: str) -> None:
        if self._kept and self._chance.random() < 0.7:
            client = self._kept.pop()
        else:
            client = loopback.Client(loop=self._scene.loop, address=self._scene.proxy.address)
        self._sent += 1
        request_id = f"{kind}{self._sent}".encode()
        client.got = b""
        client.send(
            b"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 600000\r\n"
            b"Content-Length: 4\r\n\r\nbody" % request_id
        )
        self._waiting.append(SentRequest(request_id, client, self._turn, kind in ("plain", "lines", "trailers")))

    # Turns and checks.
    def _run_turns(self, count: int) -> None:
        for _turn in range(count):
            self._events.clear()
            self._scene.loop.call_soon_threadsafe(callback=lambda: None)  # no wait
            self._scene.loop.step()
            self._turn += 1
            self.largest = max(self.largest, *self._events.values(), 0)
            if self.largest > MAX_EVENTS:
                self.findings.append(f"TURN: a parser processed {self.largest} events in turn {self._turn}")
            self._check_waiting()

    def _check_waiting(self) -> None:
        for request in list(self._waiting):
            if request.is_answered:
                self._waiting.remove(request)
                self._kept.append(request.client)
                self.answered += 1
            elif request.is_ordinary and self._turn - request.turn > MAX_TURNS:
                self.findings.append(f"LATE: {request.request_id!r} waits for {self._turn - request.turn} turns")
                self._waiting.remove(request)

    def _unanswered(self) -> list[str]:
        late = [f"{request.request_id!r} is answered {request.client.got[:100]!r}" for request in self._waiting]
        rude = [
            f"a rude client has {client.answers} answers to {client.requests} requests"
            for client in self._rude
            if client.is_open and client.answers < client.requests
        ]
        return late + rude


def play(seed: int) -> tuple[int, list[str], int]:
    """Plays the history of a seed; returns the seed, the descriptions of failed checks, and the requests answered."""
    history = RudePeersHistory(seed=seed)
    return seed, history.play(), history.answered


def main(arguments: list[str] | None = None) -> int:
    """Plays histories of a range of seeds, prints those that fail a check, and returns 1 if one does."""
    parser = argparse.ArgumentParser(prog="python3 -m ploverward.simulation.rude_peers", description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="seed of the first history")
    parser.add_argument("--seeds", type=int, default=10, help="number of histories")
    parser.add_argument("--jobs", type=int, default=1, help="number of parallel processes")
    options = parser.parse_args(arguments)
    broken = answered = 0
    with concurrent.futures.ProcessPoolExecutor(max_workers=options.jobs) as pool:
        for seed, findings, count in pool.map(play, range(options.first, options.first + options.seeds)):
            answered += count
            if findings:
                broken += 1
                print(f"seed {seed}: {findings[0]}")
    print(f"{options.seeds} histories of rude peers, {answered} ordinary requests answered, {broken} broke a check")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())

"""A replica on a real socket with a random behavior for each request (docs/requests.md 5).

It owns its connections and the data still to be sent on them. It records each run in the log before it answers.
"""

import collections
import enum
import functools
import random
import socket

import h11

from ploverward.simulation import loopback
from ploverward.simulation.request_log import EVENTS
from ploverward.simulation.request_log import STREAM_ROUTES
from ploverward.simulation.request_log import ReceivedRequest
from ploverward.simulation.request_log import ReplicaRun
from ploverward.simulation.request_log import RequestLog
from ploverward.simulation.request_log import Stamp

READ_BYTES = 65536


class Behavior(enum.Enum):
    """The behavior of a replica for a request."""

    OK = "ok"
    SLOW = "slow"
    TWICE = "twice"  # sends the answer twice
    LATE_TWICE = "late twice"  # repeats the answer before the answer to the next request
    FULL = "full"
    FULL_TWICE = "full twice"
    ANOTHER = "another"  # is not the replica that the request names
    BARE_503 = "bare 503"  # does not state that nothing was run
    BROKEN = "broken"
    ENDS = "ends"  # ends the connection without an answer
    CUT = "cut"  # truncates the answer anywhere
    CUT_BEHIND_EVENT = "cut behind an event"
    SILENT = "silent"
    WAKES = "wakes"  # answers later than most requests wait
    FOREIGN = "foreign"  # the answer names another request
    NAMELESS = "nameless"  # the answer names no request
    UNSTAMPED = "unstamped"
    EARLY_FULL = "early full"  # rejects the request before it was read
    EARLY_END = "early end"
    HINTS = "hints"  # sends an informational response first
    GARBAGE = "garbage"


WEIGHTS = {
    Behavior.OK: 12,
    Behavior.SLOW: 3,
    Behavior.TWICE: 3,
    Behavior.LATE_TWICE: 4,
    Behavior.FULL: 3,
    Behavior.FULL_TWICE: 2,
    Behavior.ANOTHER: 1,
    Behavior.BARE_503: 2,
    Behavior.BROKEN: 3,
    Behavior.ENDS: 3,
    Behavior.CUT: 4,
    Behavior.CUT_BEHIND_EVENT: 8,
    Behavior.SILENT: 2,
    Behavior.WAKES: 2,
    Behavior.FOREIGN: 3,
    Behavior.NAMELESS: 1,
    Behavior.UNSTAMPED: 1,
    Behavior.EARLY_FULL: 2,
    Behavior.EARLY_END: 2,
    Behavior.HINTS: 1,
    Behavior.GARBAGE: 1,
}
# Seconds between the pieces of an answer.
SLOW_S = (0.01, 0.1)
WAKES_S = (0.1, 0.6)


def answer_head(status: int, request_id: bytes, headers: tuple[bytes, ...] = (), *, length: int | None = None) -> bytes:
    """Returns the head of an answer.

    Args:
        status: Status code.
        request_id: Identifier of the request that the answer names; empty for none.
        headers: Further header lines.
        length: Length of the body; None for a chunked body.
    """
    lines = [b"HTTP/1.1 %d Said" % status]
    if request_id:
        lines.append(b"X-Attempt-Id: " + request_id)
    lines += headers
    lines.append(b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def complete_answer(status: int, request_id: bytes, headers: tuple[bytes, ...] = (), body: bytes = b"") -> bytes:
    """Returns an answer with its complete body."""
    return answer_head(status, request_id, headers, length=len(body)) + body


def chunk(data: bytes) -> bytes:
    """Encodes one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Replica(loopback.ScriptedServer):
    """A replica with a behavior drawn for each request.

    Args:
        loop: The event loop.
        chance: Random generator of its behaviors.
        log: Log in which it records its runs.
        name: Its identifier, which requests have to name.
    """

    def __init__(self, *, loop: loopback.SkippingLoop, chance: random.Random, log: RequestLog, name: str) -> None:
        super().__init__(loop=loop, script=lambda _number, _data: None)
        self.chance = chance
        self.log = log
        self.name = name
        # All of these are keyed by the number of the connection.
        self._parsers: dict[int, h11.Connection] = {}
        self._requests: dict[int, ReceivedRequest] = {}  # requests not yet read completely
        self._behaviors: dict[int, Behavior] = {}
        self._surplus: dict[int, list[loopback.Action]] = collections.defaultdict(list)  # answers still to be repeated

    def replace(self, name: str) -> None:
        """Starts another incarnation, with another identifier, at the same address; resets all connections."""
        self.name = name
        for number in list(self.socks):
            self.end(number, is_reset=True)

    # Reading requests.
    def _read(self, sock: socket.socket, number: int) -> None:
        try:
            data = sock.recv(READ_BYTES)
        except OSError:
            data = b""
        if not data:
            self.end(number)
            return
        parser = self._parsers.setdefault(number, h11.Connection(h11.SERVER))
        parser.receive_data(data)
        while number in self.socks:
            event = parser.next_event()
            if isinstance(event, h11.Request):
                self._handle_head(number, event)
            elif isinstance(event, h11.Data):
                self._requests[number].body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                # The answer is not written through h11, so a new parser reads the next request.
                trailing = parser.trailing_data[0]
                parser = self._parsers[number] = h11.Connection(h11.SERVER)
                if trailing:
                    parser.receive_data(trailing)
                self._handle_request(number, self._requests.pop(number))
            else:
                return

    def _handle_head(self, number: int, event: h11.Request) -> None:
        headers = dict(event.headers)
        request = ReceivedRequest(
            id=headers.get(b"x-attempt-id", b""),
            addressed=headers.get(b"x-addressed-replica", b""),
            last_event=headers.get(b"last-event-id", b"0"),
            method=event.method,
            target=event.target,
        )
        self._requests[number] = request
        self.log.arrivals[request.id] += 1
        behavior = self._behaviors[number] = self.chance.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        if request.addressed != self.name.encode():
            self._behaviors[number] = Behavior.ANOTHER
        elif behavior is Behavior.EARLY_FULL:
            self.callback(number, [complete_answer(503, request.id, (b"X-Not-Run: 1",)), self._draw_ending()])
        elif behavior is Behavior.EARLY_END:
            self.callback(number, [self._draw_ending()])

    # Sending answers.
    def _draw_ending(self) -> str:
        return self.chance.choice(("close", "reset"))

    def _handle_request(self, number: int, request: ReceivedRequest) -> None:
        behavior = self._behaviors[number]
        surplus = self._surplus.pop(number, [])
        if behavior is Behavior.ANOTHER:
            rejection = complete_answer(421, request.id, (b"X-Replica-Id: " + self.name.encode(),))
            self.callback(number, [*surplus, rejection])
        elif behavior in (Behavior.FULL, Behavior.FULL_TWICE):
            rejection = complete_answer(self.chance.choice((503, 429)), request.id, (b"X-Not-Run: 1",))
            self.callback(number, [*surplus, rejection])
            if behavior is Behavior.FULL_TWICE:
                self._surplus[number].append(rejection)
        elif behavior in (Behavior.ENDS, Behavior.SILENT):
            if self.chance.random() < 0.5:
                self.log.record_run(request=request, replica=self.name)
            if behavior is Behavior.ENDS:
                self.callback(number, [*surplus, self._draw_ending()])
        else:
            self._run(number, request, behavior, surplus)

    def _run(self, number: int, request: ReceivedRequest, behavior: Behavior, surplus: list[loopback.Action]) -> None:
        run = self.log.record_run(request=request, replica=self.name, first_event=int(request.last_event) + 1)
        overload = self.chance.choice((503, 429, 408))
        status = {Behavior.BARE_503: overload, Behavior.BROKEN: 500}.get(behavior, 200)
        is_stream = status == 200 and request.target.split(b"/")[1].decode() in STREAM_ROUTES
        body = None if is_stream else b"run %d of %s" % (run.number, request.id) * self.chance.choice((1, 1, 50))
        headers = self._headers(run, behavior, status, body)
        request_id = {Behavior.FOREIGN: b"elsewhere", Behavior.NAMELESS: b""}.get(behavior, request.id)
        pieces = self._answer(run, request_id, headers, status, body)
        if behavior is Behavior.FOREIGN and self.chance.random() < 0.5:
            pieces = [*pieces, *self._answer(run, request.id, headers, 200, body)]
        acts = self._apply_behavior(behavior, pieces, is_stream=is_stream)
        if behavior is Behavior.LATE_TWICE:
            self._surplus[number] += acts
        self._send_acts(number, behavior, [*surplus, *acts])

    def _headers(self, run: ReplicaRun, behavior: Behavior, status: int, body: bytes | None) -> tuple[bytes, ...]:
        stamp = b"s%d" % run.number
        self.log.stamps[stamp] = Stamp(run.id, status, body)
        headers = [] if behavior is Behavior.UNSTAMPED else [b"X-Postmark: " + stamp]
        if self.chance.random() < 0.1:
            headers.append(b"Connection: close")
        if self.chance.random() < 0.5:
            headers.append(b"Keep-Alive: timeout=%d" % self.chance.choice((1, 5)))
        return tuple(headers)

    def _answer(
        self, run: ReplicaRun, request_id: bytes, headers: tuple[bytes, ...], status: int, body: bytes | None
    ) -> list[bytes]:
        if body is not None:
            return [complete_answer(status, request_id, headers, body)]
        # Sometimes repeats the last event that the client received.
        is_repeating = run.first_event > 1 and self.chance.random() < 0.5
        pieces = [answer_head(200, request_id, (*headers, b"Content-Type: text/event-stream"))]
        for number in range(run.first_event - int(is_repeating), EVENTS + 1):
            pieces.append(chunk(b"id: %d\ndata: %s %d\n\n" % (number, run.id, number)))
        return [*pieces, b"0\r\n\r\n"]

    def _apply_behavior(self, behavior: Behavior, pieces: list[bytes], *, is_stream: bool) -> list[loopback.Action]:
        """Returns the pieces and endings that the behavior sends in place of a correct answer."""
        if behavior is Behavior.CUT:
            data = b"".join(pieces)
            return [data[: self.chance.randrange(1, len(data))], self._draw_ending()]
        if behavior is Behavior.CUT_BEHIND_EVENT and is_stream:
            count = self.chance.randrange(1, len(pieces))
            return [*pieces[:count], pieces[count][: self.chance.randrange(len(pieces[count]))], "close"]
        if behavior is Behavior.HINTS:
            return [b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", *pieces]
        if behavior is Behavior.GARBAGE:
            return [b"\x00\xff what\r\n\r\n"]
        if behavior is Behavior.TWICE:
            return [*pieces, *pieces]
        return [*pieces]

    def _send_acts(self, number: int, behavior: Behavior, acts: list[loopback.Action]) -> None:
        if behavior in (Behavior.SLOW, Behavior.WAKES):
            pause_s = SLOW_S if behavior is Behavior.SLOW else WAKES_S
            at = 0.0
            for act in acts:
                at += self.chance.uniform(*pause_s)
                self.loop.after(delay=at, callback=functools.partial(self.callback, number, [act]))
            return
        self.callback(number, acts)
        if self.chance.random() < 0.15:  # ends the idle connection
            delay = self.chance.choice((0.0, 0.05, 1.0, 3.0))
            ending = self._draw_ending()
            self.loop.after(delay=delay, callback=lambda: self.callback(number, [ending]))

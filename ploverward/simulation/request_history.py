"""Drawn replicas and clients of the request path, and the checker that compares what ran with what was answered."""

import collections
import dataclasses

import h11

from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy

PROMISES = (408, 421, 429, 503)


TRIES = {row["name"]: row["tries"] for row in loopback_proxy.CONFIGURATION["routes"]}


REPEATABLE = ("safe", "resume")


STREAMS = ("once", "resume")


EVENTS = 5


MAX_STEPS = 40000


@dataclasses.dataclass
class Sent:
    """A request as a client sent it."""

    id: bytes
    lead: str
    method: bytes
    target: bytes
    body: bytes
    is_complete: bool = True


@dataclasses.dataclass(frozen=True)
class Run:
    """A request as a replica began to work on it."""

    number: int
    id: bytes
    replica: str
    method: bytes
    target: bytes
    body: bytes
    first_event: int


class Log:
    """What the world outside the proxy saw."""

    def __init__(self):
        self.sent = {}  # id: Sent
        self.runs = []
        self.arrivals = collections.Counter()  # id: requests of which a replica had a byte
        self.stamps = {}  # stamp: (id, status, body or None for a stream)

    def begin(self, *, request, replica: str, first_event: int = 1) -> Run:
        run = Run(
            number=len(self.runs) + 1,
            id=request.id,
            replica=replica,
            method=request.method,
            target=request.target,
            body=request.body,
            first_event=first_event,
        )
        self.runs.append(run)
        return run


@dataclasses.dataclass
class Heard:
    """A request as a replica reads it."""

    id: bytes
    addressed: bytes
    last_event: bytes
    method: bytes
    target: bytes
    body: bytes = b""


def answer_head(status: int, which: bytes, headers=(), *, length=None) -> bytes:
    lines = [b"HTTP/1.1 %d Said" % status]
    if which:
        lines.append(b"X-Attempt-Id: " + which)
    lines += headers
    lines.append(b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def complete_answer(status: int, which: bytes, headers=(), body: bytes = b"") -> bytes:
    return answer_head(status, which, headers, length=len(body)) + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class Replica(loopback.Peer):
    """A replica with a manner drawn for each request."""

    MANNERS = (
        ("ok", 12),
        ("slow", 3),
        ("twice", 3),
        ("late twice", 4),
        ("full", 3),
        ("full twice", 2),
        ("another", 1),
        ("bare 503", 2),
        ("broken", 3),
        ("ends", 3),
        ("cut", 4),
        ("cut behind an event", 8),
        ("silent", 2),
        ("wakes", 2),
        ("foreign", 3),
        ("nameless", 1),
        ("unstamped", 1),
        ("early full", 2),
        ("early end", 2),
        ("hints", 1),
        ("garbage", 1),
    )

    def __init__(self, *, loop, chance, log, name):
        super().__init__(loop=loop, script=None)
        self.chance = chance
        self.log = log
        self.name = name
        self.parsers = {}
        self.requests = {}  # connection number: Heard, while it is read
        self.manners = {}
        self.owed = collections.defaultdict(list)  # connection number: answers too many, still to come

    def _read(self, sock, number):
        try:
            data = sock.recv(65536)
        except OSError:
            data = b""
        if not data:
            self.end(number)
            return
        parser = self.parsers.setdefault(number, h11.Connection(h11.SERVER))
        parser.receive_data(data)
        while number in self.socks:
            event = parser.next_event()
            kind = type(event)
            if kind is h11.Request:
                self.handle_head(number, event)
            elif kind is h11.Data:
                self.requests[number].body += bytes(event.data)
            elif kind is h11.EndOfMessage:
                # The answer is written by hand; the parser only has to read on.
                trailing = parser.trailing_data[0]
                parser = self.parsers[number] = h11.Connection(h11.SERVER)
                parser.receive_data(trailing) if trailing else None
                self.take(number, self.requests.pop(number))
            else:
                return

    def handle_head(self, number, event):
        table = dict(event.headers)
        heard = Heard(
            id=table.get(b"x-attempt-id", b""),
            addressed=table.get(b"x-addressed-replica", b""),
            last_event=table.get(b"last-event-id", b"0"),
            method=event.method,
            target=event.target,
        )
        self.requests[number] = heard
        self.log.arrivals[heard.id] += 1
        names, weights = zip(*self.MANNERS, strict=True)
        manner = self.manners[number] = self.chance.choices(names, weights)[0]
        if heard.addressed != self.name.encode():
            self.manners[number] = "another"
        elif manner == "early full":
            self.callback(number, [complete_answer(503, heard.id, [b"X-Not-Run: 1"]), self.ending()])
        elif manner == "early end":
            self.callback(number, [self.ending()])

    def ending(self):
        return self.chance.choice(("close", "reset"))

    def stamp(self, run, status, body):
        postmark = b"s%d" % run.number
        self.log.stamps[postmark] = (run.id, status, body)
        return b"X-Postmark: " + postmark

    def take(self, number, heard):
        manner = self.manners[number]
        stale = self.owed.pop(number, [])
        if manner == "another":
            self.callback(number, [*stale, complete_answer(421, heard.id, [b"X-Replica-Id: " + self.name.encode()])])
        elif manner in ("full", "full twice"):
            refusal = complete_answer(self.chance.choice((503, 429)), heard.id, [b"X-Not-Run: 1"])
            self.callback(number, [*stale, refusal])
            if manner == "full twice":
                self.owed[number].append(refusal)
        elif manner in ("ends", "silent"):
            if self.chance.random() < 0.5:
                self.log.begin(request=heard, replica=self.name)
            if manner == "ends":
                self.callback(number, [*stale, self.ending()])
        else:
            self.run(number, heard, manner, stale)

    def run(self, number, heard, manner, stale):
        run = self.log.begin(request=heard, replica=self.name, first_event=int(heard.last_event) + 1)
        status = {"bare 503": self.chance.choice((503, 429, 408)), "broken": 500}.get(manner, 200)
        is_stream = status == 200 and heard.target.split(b"/")[1].decode() in STREAMS
        body = None if is_stream else b"run %d of %s" % (run.number, heard.id) * self.chance.choice((1, 1, 50))
        headers = [self.stamp(run, status, body)]
        if manner == "unstamped":
            headers = []
        if self.chance.random() < 0.1:
            headers.append(b"Connection: close")
        if self.chance.random() < 0.5:
            headers.append(b"Keep-Alive: timeout=%d" % self.chance.choice((1, 5)))
        which = {"foreign": b"elsewhere", "nameless": b""}.get(manner, heard.id)
        if is_stream:
            pieces = self.stream(run, which, headers)
        else:
            pieces = [complete_answer(status, which, headers, body)]
        if manner == "cut":
            data = b"".join(pieces)
            pieces = [data[: self.chance.randrange(1, len(data))], self.ending()]
        elif manner == "cut behind an event" and is_stream:
            count = self.chance.randrange(1, len(pieces))
            pieces = [*pieces[:count], pieces[count][: self.chance.randrange(len(pieces[count]))], "close"]
        elif manner == "hints":
            pieces = [b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n", *pieces]
        elif manner == "garbage":
            pieces = [b"\x00\xff what\r\n\r\n"]
        elif manner == "twice":
            pieces = [*pieces, *pieces]
        elif manner == "foreign" and self.chance.random() < 0.5:
            pieces = [
                *pieces,
                *(
                    self.stream(run, heard.id, headers)
                    if is_stream
                    else [complete_answer(200, heard.id, headers, body)]
                ),
            ]
        if manner == "late twice":
            self.owed[number] += pieces
        pieces = [*stale, *pieces]
        if manner in ("slow", "wakes"):
            at = 0.0
            for piece in pieces:
                at += self.chance.uniform(0.01, 0.1) if manner == "slow" else self.chance.uniform(0.1, 0.6)
                self.loop.after(delay=at, callback=lambda piece=piece: self.callback(number, [piece]))
            return
        self.callback(number, pieces)
        if self.chance.random() < 0.15:  # an idle connection that ends
            delay = self.chance.choice((0.0, 0.05, 1.0, 3.0))
            ending = self.ending()
            self.loop.after(delay=delay, callback=lambda: self.callback(number, [ending]))

    def stream(self, run, which, headers):
        first = run.first_event - (1 if run.first_event > 1 and self.chance.random() < 0.5 else 0)  # told again
        pieces = [answer_head(200, which, [*headers, b"Content-Type: text/event-stream"])]
        for number in range(first, EVENTS + 1):
            pieces.append(chunk(b"id: %d\ndata: %s %d\n\n" % (number, run.id, number)))
        return [*pieces, b"0\r\n\r\n"]

    def replace(self, name: str) -> None:
        """Another life at the same address."""
        self.name = name
        for number in list(self.socks):
            self.end(number, is_reset=True)


@dataclasses.dataclass
class Answer:
    """What a client has of one answer."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class User(loopback.Client):
    """A client's connection and what was sent on it, in order."""

    def __init__(self, *, loop, address):
        super().__init__(loop=loop, address=address)
        self.requests = []
        self.is_left = False

    def leave(self, *, is_reset: bool = False) -> None:
        if not self.is_closed:
            self.is_left = True
            super().leave(is_reset=is_reset)

    def answers(self) -> tuple:
        """({id: Answer}, bytes behind the last one), read anew from all bytes."""
        rest = self.got
        found = {}
        for sent in self.requests:
            answer = Answer()
            reader = h11.Connection(h11.CLIENT)
            reader.send(h11.Request(method=sent.method, target=sent.target, headers=[(b"Host", b"h")]))
            reader.send(h11.EndOfMessage())
            if rest:
                reader.receive_data(rest)
            rest = b""
            try:
                while True:
                    event = reader.next_event()
                    if event is h11.NEED_DATA:
                        if not self.is_closed:
                            break
                        reader.receive_data(b"")
                        continue
                    if type(event) is h11.Response:
                        answer.status, answer.headers = event.status_code, dict(event.headers)
                        found[sent.id] = answer
                    elif type(event) is h11.Data:
                        answer.body += bytes(event.data)
                    elif type(event) is h11.EndOfMessage:
                        answer.is_complete = True
                        rest = reader.trailing_data[0]
                        break
                    elif type(event) is h11.ConnectionClosed:
                        break
            except h11.RemoteProtocolError:
                break
        return found, rest

    def is_done(self) -> bool:
        found, _rest = self.answers()
        return self.is_closed or all(sent.id in found and found[sent.id].is_complete for sent in self.requests)


class Checker:
    """The rules, over what was seen outside. `found` names each breach by its rule."""

    def __init__(self, *, log, users):
        self.log = log
        self.users = users
        self.runs = collections.defaultdict(list)
        for run in log.runs:
            self.runs[run.id].append(run)

    def found(self) -> list:
        breaches = [*self.of_runs()]
        for user in self.users:
            answers, rest = user.answers()
            if rest and not user.is_left:
                breaches.append(f"MIXED bytes that answer nothing: {rest[:60]!r}")
            for which, answer in answers.items():
                breaches += [f"{rule} {which}" for rule in self.of_answer(self.log.sent[which], answer)]
        return breaches

    def of_runs(self):
        for which, runs in self.runs.items():
            sent = self.log.sent.get(which)
            if sent is None or not sent.is_complete:
                yield f"UNASKED {which}"
                continue
            for run in runs:
                if (run.method, run.target, run.body) != (sent.method, sent.target, sent.body):
                    yield f"UNASKED changed {which}"
            if sent.lead not in REPEATABLE and len(runs) > 1:
                yield f"TWICE {which}"
        for which, count in self.log.arrivals.items():
            sent = self.log.sent.get(which)
            if sent is not None and count > TRIES[sent.lead]:
                yield f"BUDGET tries {which}: {count}"

    def of_answer(self, sent, answer):
        runs = self.runs[sent.id]
        if answer.status in PROMISES and sent.lead not in REPEATABLE and runs:
            yield "REFUSED"
        stamp = answer.headers.get(b"x-postmark")
        reported_id = self.log.stamps.get(stamp)
        if stamp is not None and reported_id is None:
            yield "MIXED unknown stamp"
        if reported_id is not None and reported_id[0] != sent.id:
            yield "MIXED another's stamp"
        if reported_id is not None and reported_id[1] != answer.status:
            yield "MIXED status"
        if answer.headers.get(b"x-attempt-id", sent.id) != sent.id:
            yield "MIXED another's id"
        if 200 <= answer.status < 300:
            if reported_id is None:
                yield "MIXED success without a stamp"
            elif sent.lead in STREAMS:
                yield from self.of_stream(sent, answer)
            elif answer.is_complete and answer.body != reported_id[2]:
                yield "MIXED body"
            elif not reported_id[2].startswith(answer.body):
                yield "MIXED part of a body"

    def of_stream(self, sent, answer):
        wanted = [b"id: %d\ndata: %s %d\n\n" % (number, sent.id, number) for number in range(1, EVENTS + 1)]
        if not b"".join(wanted).startswith(answer.body):
            yield "ORDER"
        if answer.is_complete and answer.body != b"".join(wanted):
            yield "ORDER ended as complete"
        if len(self.runs[sent.id]) > 1 and sent.lead not in REPEATABLE:
            yield "ORDER two runs"

"""Clients of a proxy on real sockets, and a checker that compares what replicas ran with the responses of clients.

`HistoryChecker` defines the rules (docs/requests.md 3 and 5). It reads the log of the replicas and all bytes that the
clients received, but no state of the proxy.
"""

import collections
import collections.abc
import dataclasses

import h11

from ploverward.simulation import loopback
from ploverward.simulation.request_log import EVENTS
from ploverward.simulation.request_log import IDEMPOTENT_ROUTES
from ploverward.simulation.request_log import MAX_ATTEMPTS
from ploverward.simulation.request_log import STREAM_ROUTES
from ploverward.simulation.request_log import ReplicaRun
from ploverward.simulation.request_log import RequestLog
from ploverward.simulation.request_log import SentRequest
from ploverward.simulation.request_log import Stamp

NOT_RUN_STATUSES = (408, 421, 429, 503)  # with these, the proxy promises that no replica ran the request
MAX_STEPS = 40000  # limit on the steps of the loop in one wait of a history


@dataclasses.dataclass
class Answer:
    """The part of a response that a client has received; status 0 until its head is complete."""

    status: int = 0
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class HistoryClient(loopback.Client):
    """One connection of a client, with the requests that it sent.

    Args:
        loop: The event loop.
        address: The address of the proxy.

    Attributes:
        requests: The requests that were sent on the connection, in order.
        has_left: Whether the client has closed the connection.
    """

    def __init__(self, *, loop: loopback.SkippingLoop, address: tuple[str, int]) -> None:
        super().__init__(loop=loop, address=address)
        self.requests: list[SentRequest] = []
        self.has_left = False

    def leave(self, *, is_reset: bool = False) -> None:
        """Closes or resets the connection, if it is still open."""
        if not self.is_closed:
            self.has_left = True
            super().leave(is_reset=is_reset)

    def answers(self) -> tuple[dict[bytes, Answer], bytes]:
        """Parses all received bytes.

        Returns:
            The responses by request id, and the bytes after the last response.
        """
        trailing = self.got
        answers = {}
        for sent in self.requests:
            answer = Answer()
            is_readable = True
            try:
                trailing = self._read_answer(sent, trailing, answer)
            except h11.RemoteProtocolError:
                trailing, is_readable = b"", False
            if answer.status:
                answers[sent.id] = answer
            if not is_readable:
                break
        return answers, trailing

    def _read_answer(self, sent: SentRequest, data: bytes, answer: Answer) -> bytes:
        """Fills in `answer` from the beginning of `data`; returns the bytes after it.

        Raises:
            h11.RemoteProtocolError: The bytes are not a response to this request.
        """
        reader = h11.Connection(h11.CLIENT)
        reader.send(h11.Request(method=sent.method, target=sent.target, headers=[(b"Host", b"h")]))
        reader.send(h11.EndOfMessage())
        if data:
            reader.receive_data(data)
        while True:
            event = reader.next_event()
            if event is h11.NEED_DATA:
                if not self.is_closed:
                    return b""
                reader.receive_data(b"")
            elif isinstance(event, h11.Response):
                answer.status, answer.headers = event.status_code, dict(event.headers)
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete = True
                return reader.trailing_data[0]
            elif isinstance(event, h11.ConnectionClosed):
                return b""

    def is_done(self) -> bool:
        """Returns whether the connection is closed or every request has its complete response."""
        answers, _trailing = self.answers()
        return self.is_closed or all(sent.id in answers and answers[sent.id].is_complete for sent in self.requests)


Violations = collections.abc.Iterator[str]


class HistoryChecker:
    """Checks the rules of the request path against what clients and replicas observed.

    Each violation begins with the name of its rule:
        UNASKED: A replica ran a request that no client sent completely, or a changed one.
        TWICE: A request that is not idempotent ran more than once.
        BUDGET: A request reached replicas more often than its route allows attempts.
        REFUSED: A response said that a request that is not idempotent was not run, but it was.
        MIXED: A client received bytes that are not the response to its request.
        ORDER: A stream has other events than expected, or ran twice although its route is not idempotent.

    Args:
        log: The log of the replicas.
        users: All clients.
    """

    def __init__(self, *, log: RequestLog, users: collections.abc.Sequence[HistoryClient]) -> None:
        self.log = log
        self.users = users
        self.runs: dict[bytes, list[ReplicaRun]] = collections.defaultdict(list)
        for run in log.runs:
            self.runs[run.id].append(run)

    def violations(self) -> list[str]:
        """Returns all violations, each beginning with the name of its rule."""
        violations = [*self._check_runs(), *self._check_arrivals()]
        for user in self.users:
            answers, trailing = user.answers()
            if trailing and not user.has_left:
                violations.append(f"MIXED bytes that answer nothing: {trailing[:60]!r}")
            for request_id, answer in answers.items():
                violations += [
                    f"{rule} {request_id!r}" for rule in self._check_answer(self.log.sent[request_id], answer)
                ]
        return violations

    def _check_runs(self) -> Violations:
        for request_id, runs in self.runs.items():
            sent = self.log.sent.get(request_id)
            if sent is None or not sent.is_complete:
                yield f"UNASKED {request_id!r}"
                continue
            for run in runs:
                if (run.method, run.target, run.body) != (sent.method, sent.target, sent.body):
                    yield f"UNASKED changed {request_id!r}"
            if sent.lead not in IDEMPOTENT_ROUTES and len(runs) > 1:
                yield f"TWICE {request_id!r}"

    def _check_arrivals(self) -> Violations:
        for request_id, count in self.log.arrivals.items():
            sent = self.log.sent.get(request_id)
            if sent is not None and count > MAX_ATTEMPTS[sent.lead]:
                yield f"BUDGET tries {request_id!r}: {count}"

    def _check_answer(self, sent: SentRequest, answer: Answer) -> Violations:
        if answer.status in NOT_RUN_STATUSES and sent.lead not in IDEMPOTENT_ROUTES and self.runs[sent.id]:
            yield "REFUSED"
        header = answer.headers.get(b"x-postmark")
        stamp = self.log.stamps.get(header) if header is not None else None
        if header is not None and stamp is None:
            yield "MIXED unknown stamp"
        if stamp is not None and stamp.id != sent.id:
            yield "MIXED another's stamp"
        if stamp is not None and stamp.status != answer.status:
            yield "MIXED status"
        if answer.headers.get(b"x-attempt-id", sent.id) != sent.id:
            yield "MIXED another's id"
        if 200 <= answer.status < 300:
            yield from self._check_success(sent, answer, stamp)

    def _check_success(self, sent: SentRequest, answer: Answer, stamp: Stamp | None) -> Violations:
        if stamp is None:
            yield "MIXED success without a stamp"
        elif sent.lead in STREAM_ROUTES:
            yield from self._check_stream(sent, answer)
        elif answer.is_complete and answer.body != stamp.body:
            yield "MIXED body"
        elif stamp.body is None or not stamp.body.startswith(answer.body):
            yield "MIXED part of a body"

    def _check_stream(self, sent: SentRequest, answer: Answer) -> Violations:
        expected = b"".join(b"id: %d\ndata: %s %d\n\n" % (number, sent.id, number) for number in range(1, EVENTS + 1))
        if not expected.startswith(answer.body):
            yield "ORDER"
        if answer.is_complete and answer.body != expected:
            yield "ORDER ended as complete"
        if len(self.runs[sent.id]) > 1 and sent.lead not in IDEMPOTENT_ROUTES:
            yield "ORDER two runs"

"""Clients of a proxy on real sockets, and the checker that compares what ran with what was answered.

The checker owns the rules (docs/requests.md 3 and 5). It reads the log of the replicas and all bytes that the clients
received, and nothing of the proxy.
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

NOT_RUN_STATUSES = (408, 421, 429, 503)  # with these the proxy promises that nothing was run
MAX_STEPS = 40000  # of the loop, until what a history waits for has come


@dataclasses.dataclass
class Answer:
    """What a client has of one answer; status 0: nothing yet."""

    status: int = 0
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


class HistoryClient(loopback.Client):
    """A client's connection.

    Args:
        loop: The event loop.
        address: Of the proxy.

    Attributes:
        requests: What was sent on it, in order.
        is_left: Whether the client has ended it.
    """

    def __init__(self, *, loop: loopback.SkippingLoop, address: tuple[str, int]) -> None:
        super().__init__(loop=loop, address=address)
        self.requests: list[SentRequest] = []
        self.is_left = False

    def leave(self, *, is_reset: bool = False) -> None:
        """Ends the connection, if it is still there."""
        if not self.is_closed:
            self.is_left = True
            super().leave(is_reset=is_reset)

    def answers(self) -> tuple[dict[bytes, Answer], bytes]:
        """({id: answer}, bytes behind the last one), read again from all bytes."""
        trailing = self.got
        violations = {}
        for sent in self.requests:
            answer = Answer()
            is_readable = True
            try:
                trailing = self._read_answer(sent, trailing, answer)
            except h11.RemoteProtocolError:
                trailing, is_readable = b"", False
            if answer.status:
                violations[sent.id] = answer
            if not is_readable:
                break
        return violations, trailing

    def _read_answer(self, sent: SentRequest, data: bytes, answer: Answer) -> bytes:
        """Fills in an answer; returns the bytes behind it.

        Raises:
            h11.RemoteProtocolError: the bytes are no answer to this request.
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
        """Whether nothing more is to come."""
        violations, _trailing = self.answers()
        return self.is_closed or all(
            sent.id in violations and violations[sent.id].is_complete for sent in self.requests
        )


Breaches = collections.abc.Iterator[str]


class HistoryChecker:
    """The rules, over what was seen outside.

    Args:
        log: Of the replicas.
        users: All clients.
    """

    def __init__(self, *, log: RequestLog, users: collections.abc.Sequence[HistoryClient]) -> None:
        self.log = log
        self.users = users
        self.runs: dict[bytes, list[ReplicaRun]] = collections.defaultdict(list)
        for run in log.runs:
            self.runs[run.id].append(run)

    def violations(self) -> list[str]:
        """All breaches, each with the name of its rule first."""
        breaches = [*self._of_runs(), *self._of_arrivals()]
        for user in self.users:
            answers, trailing = user.answers()
            if trailing and not user.is_left:
                breaches.append(f"MIXED bytes that answer nothing: {trailing[:60]!r}")
            for which, answer in answers.items():
                breaches += [f"{rule} {which!r}" for rule in self._of_answer(self.log.sent[which], answer)]
        return breaches

    def _of_runs(self) -> Breaches:
        for which, runs in self.runs.items():
            sent = self.log.sent.get(which)
            if sent is None or not sent.is_complete:
                yield f"UNASKED {which!r}"
                continue
            for run in runs:
                if (run.method, run.target, run.body) != (sent.method, sent.target, sent.body):
                    yield f"UNASKED changed {which!r}"
            if sent.lead not in IDEMPOTENT_ROUTES and len(runs) > 1:
                yield f"TWICE {which!r}"

    def _of_arrivals(self) -> Breaches:
        for which, count in self.log.arrivals.items():
            sent = self.log.sent.get(which)
            if sent is not None and count > MAX_ATTEMPTS[sent.lead]:
                yield f"BUDGET tries {which!r}: {count}"

    def _of_answer(self, sent: SentRequest, answer: Answer) -> Breaches:
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
            yield from self._of_success(sent, answer, stamp)

    def _of_success(self, sent: SentRequest, answer: Answer, stamp: Stamp | None) -> Breaches:
        if stamp is None:
            yield "MIXED success without a stamp"
        elif sent.lead in STREAM_ROUTES:
            yield from self._of_stream(sent, answer)
        elif answer.is_complete and answer.body != stamp.body:
            yield "MIXED body"
        elif stamp.body is None or not stamp.body.startswith(answer.body):
            yield "MIXED part of a body"

    def _of_stream(self, sent: SentRequest, answer: Answer) -> Breaches:
        wanted = b"".join(b"id: %d\ndata: %s %d\n\n" % (number, sent.id, number) for number in range(1, EVENTS + 1))
        if not wanted.startswith(answer.body):
            yield "ORDER"
        if answer.is_complete and answer.body != wanted:
            yield "ORDER ended as complete"
        if len(self.runs[sent.id]) > 1 and sent.lead not in IDEMPOTENT_ROUTES:
            yield "ORDER two runs"

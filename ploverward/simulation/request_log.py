"""A log of the requests that clients sent and replicas ran, independent of the proxy (docs/requests.md 5).

Replicas and clients write to `RequestLog`, and `ploverward.simulation.request_history.HistoryChecker` reads it; the
proxy does neither.
"""

import collections
import dataclasses
import typing

from ploverward.simulation import loopback_proxy

_ROUTES = typing.cast(list[dict[str, typing.Any]], loopback_proxy.CONFIGURATION["routes"])

# The number of attempts that a request may have, by route.
MAX_ATTEMPTS: dict[str, int] = {row["name"]: row["tries"] for row in _ROUTES}
IDEMPOTENT_ROUTES = ("safe", "resume")
STREAM_ROUTES = ("once", "resume")
EVENTS = 5  # in a complete stream


@dataclasses.dataclass
class SentRequest:
    """A request as a client sent it.

    Attributes:
        id: The unique id of the request.
        lead: The name of its route, which is also the first part of the path.
        method: The HTTP method.
        target: The request target.
        body: The complete body.
        is_complete: Whether the client sent all of the request.
    """

    id: bytes
    lead: str
    method: bytes
    target: bytes
    body: bytes
    is_complete: bool = True


@dataclasses.dataclass
class ReceivedRequest:
    """A request as a replica received it.

    Attributes:
        id: The id of the request.
        addressed: The id of the replica that the request is addressed to.
        last_event: The number of the newest event that the client has; 0 if it has none.
        method: The HTTP method.
        target: The request target.
        body: The part of the body that was read so far.
    """

    id: bytes
    addressed: bytes
    last_event: bytes
    method: bytes
    target: bytes
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class ReplicaRun:
    """One execution of a request by a replica, as recorded at its start.

    Attributes:
        number: The position of the run in the log, from 1.
        id: The id of the request.
        replica: The name of the replica.
        method: The HTTP method.
        target: The request target.
        body: The complete body.
        first_event: The number of the first event that the replica will send.
    """

    number: int
    id: bytes
    replica: str
    method: bytes
    target: bytes
    body: bytes
    first_event: int


class Stamp(typing.NamedTuple):
    """The expected response for one value of the X-Postmark header."""

    id: bytes  # the id of the request
    status: int
    body: bytes | None  # None for a stream


class RequestLog:
    """The requests of all clients, and what replicas received and ran.

    Attributes:
        sent: The requests of clients, by id.
        runs: The executions by replicas, in the order in which they started.
        arrivals: By request id, the number of request heads that replicas received.
        stamps: The expected responses, by the value of the X-Postmark header.
    """

    def __init__(self) -> None:
        self.sent: dict[bytes, SentRequest] = {}
        self.runs: list[ReplicaRun] = []
        self.arrivals: collections.Counter[bytes] = collections.Counter()
        self.stamps: dict[bytes, Stamp] = {}

    def record_run(self, *, request: ReceivedRequest, replica: str, first_event: int = 1) -> ReplicaRun:
        """Records that a replica started to run a request."""
        run = ReplicaRun(
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

"""What the world outside a proxy saw of its requests: sent by clients, run by replicas (docs/requests.md 5).

`RequestLog` owns it. Replicas and clients write to it, `ploverward.simulation.request_history.HistoryChecker` reads it;
the proxy does neither.
"""

import collections
import dataclasses
import typing

from ploverward.simulation import loopback_proxy

_ROUTES = typing.cast(list[dict[str, typing.Any]], loopback_proxy.CONFIGURATION["routes"])

# Route to the attempts that its requests may have.
MAX_ATTEMPTS: dict[str, int] = {row["name"]: row["tries"] for row in _ROUTES}
IDEMPOTENT_ROUTES = ("safe", "resume")
STREAM_ROUTES = ("once", "resume")
EVENTS = 5  # of a complete stream


@dataclasses.dataclass
class SentRequest:
    """A request as a client sent it.

    Attributes:
        id: of the request; unique.
        lead: the route, which is also the first part of the path.
        method: of the request.
        target: of the request.
        body: of the request.
        is_complete: whether the client sent all of it.
    """

    id: bytes
    lead: str
    method: bytes
    target: bytes
    body: bytes
    is_complete: bool = True


@dataclasses.dataclass
class ReceivedRequest:
    """A request as a replica reads it.

    Attributes:
        id: of the request.
        addressed: the replica that it names.
        last_event: the newest event that the client has; 0: none.
        method: of the request.
        target: of the request.
        body: as much as was read.
    """

    id: bytes
    addressed: bytes
    last_event: bytes
    method: bytes
    target: bytes
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class ReplicaRun:
    """A request as a replica began to process it."""

    number: int
    id: bytes
    replica: str
    method: bytes
    target: bytes
    body: bytes
    first_event: int


class Stamp(typing.NamedTuple):
    """What an answer with this stamp has to be."""

    id: bytes  # of the request
    status: int
    body: bytes | None  # None: a stream


class RequestLog:
    """What the world outside the proxy saw.

    Attributes:
        sent: requests by id.
        runs: in the order of their beginning.
        arrivals: id to the number of requests of which a replica had a byte.
        stamps: by the value of the header that carries it.
    """

    def __init__(self) -> None:
        self.sent: dict[bytes, SentRequest] = {}
        self.runs: list[ReplicaRun] = []
        self.arrivals: collections.Counter[bytes] = collections.Counter()
        self.stamps: dict[bytes, Stamp] = {}

    def record_run(self, *, request: ReceivedRequest, replica: str, first_event: int = 1) -> ReplicaRun:
        """A replica begins to process a request."""
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

"""The proxy's records of the custody trail (design 10, docs/residency.md): ids and hashes only, never text.

`TrailBatches` owns the trails that are being sent to the core nodes. Keys of the rows are stored and read elsewhere
(`ploverward.control_plane.audit`), so they keep their names.
"""

from __future__ import annotations

import json
import time
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Sequence

    from ploverward.data_plane.requests import admission_filters
    from ploverward.data_plane.requests import attempts
    from ploverward.data_plane.requests import handler_context
    from ploverward.data_plane.requests import route_table
    from ploverward.transport import http_request

MAX_UNSENT_BATCHES = 20  # the oldest is dropped beyond: the gap in the numbers shows how many trails are missing


class AttemptRow(typing.TypedDict):
    """One attempt in a trail; `to_ms` is None during the attempt. Times are milliseconds since the request began."""

    replica: str
    zone: str
    edition: int
    homes: list[str]
    from_ms: int
    to_ms: int | None
    end: str
    is_resumption: bool


class TracedRequest(typing.Protocol):
    """What a trail states of a request.

    Attributes:
        request_id: Its X-Attempt-Id.
        request: The client's request.
        facts: What the filters settled; a request without a route leaves no trail.
        edition: Version of the configuration that it arrived under.
        custody: One row for each attempt.
    """

    request_id: bytes
    request: http_request.Request
    facts: admission_filters.RequestFacts
    edition: int
    custody: list[AttemptRow]


def build_trail(
    *, handler: TracedRequest, route: route_table.Route, context: handler_context.HandlerContext, status: int
) -> dict[str, object]:
    """Returns the trail of a request that is over; `status`: of its answer, 0 where it was broken off."""
    facts = handler.facts
    lasted_s = context.loop.now() - handler.request.begun_at
    return {
        "id": handler.request_id.decode("latin-1"),
        "proxy": context.settings.node,
        "zone": context.settings.zone,
        "region": context.settings.region,
        "life": context.incarnation,
        "arrived": round(time.time() - lasted_s, 3),
        "lasted_ms": round(lasted_s * 1000),
        "route": route.name,
        "service": facts.service,
        "model": facts.model.name,
        "edition": handler.edition,
        "homes": sorted(facts.first_homes),
        "status": status,
        "goes": handler.custody,
        "parts": [full_hash.hex() for full_hash, _tokens in facts.prompt.chain],
    }


def begin_row(
    *, attempt: attempts.Attempt, begun_at: float, is_resumption: bool, context: handler_context.HandlerContext
) -> AttemptRow:
    """Returns the row of an attempt that begins.

    Args:
        attempt: The attempt.
        begun_at: When the request began, in seconds on the loop's clock.
        is_resumption: Whether the client has the head of the answer already.
        context: The proxy.
    """
    return {
        "replica": attempt.replica.id,
        "zone": attempt.replica.zone,
        "edition": context.routes.edition,
        "homes": sorted(attempt.permitted) if attempt.permitted is not None else [],
        "from_ms": round((attempt.sent_at - begun_at) * 1000),
        "to_ms": None,
        "end": "",
        "is_resumption": is_resumption,
    }


def end_row(row: AttemptRow, *, attempt: attempts.Attempt, begun_at: float, now: float) -> None:
    """The attempt is over: completes its row."""
    row["to_ms"] = round((now - begun_at) * 1000)
    if attempt.connection.is_unsent:
        row["end"] = "not sent"
    else:
        row["end"] = str(attempt.status) if attempt.status else "no answer"


class Batch(typing.NamedTuple):
    """Trails that are sent together."""

    number: int  # from 0 in each incarnation
    is_last: bool  # the process ends
    rows: Sequence[tuple[str, bytes]]  # (request id, trail as JSON)


class TrailBatches:
    """Batches, numbered within this incarnation. What the core has not acknowledged is sent again, up to a bound.

    Args:
        max_trails: Trails in a batch, at most.
    """

    def __init__(self, *, max_trails: int) -> None:
        self._max_trails = max_trails
        self._rows: list[tuple[str, bytes]] = []
        self._number = 0
        self._unsent: list[Batch] = []

    def add(self, trail: dict) -> None:
        """Adds the trail of a request that is over."""
        self._rows.append((trail["id"], json.dumps(trail, separators=(",", ":")).encode()))
        if len(self._rows) >= self._max_trails:
            self.close_batch()

    def close_batch(self, *, is_last: bool = False) -> None:
        """What is there becomes a batch; a last one is made even if it is empty."""
        if self._rows or is_last:
            self._unsent.append(Batch(self._number, is_last, tuple(self._rows)))
            self._number += 1
            self._rows = []
        while len(self._unsent) > MAX_UNSENT_BATCHES:
            self._unsent.pop(0)

    def drain(self) -> list[Batch]:
        """Returns the batches that are to be sent now, the oldest first."""
        batches, self._unsent = self._unsent, []
        return batches

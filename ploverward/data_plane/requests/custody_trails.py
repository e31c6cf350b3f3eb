"""Custody trails: records of which replicas received each request (design 10, docs/residency.md).

A trail contains ids and hashes only, never text of a prompt or a response. `TrailBatches` owns the trails that wait to
be sent to the core nodes. The keys of a trail are a stored format, which `ploverward.control_plane.audit` reads.
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

MAX_UNSENT_BATCHES = 20  # beyond this the oldest batches are dropped; a gap in the batch numbers shows the loss


class AttemptRow(typing.TypedDict):
    """One attempt in a trail. Times are milliseconds since the request began; `to_ms` is None during the attempt."""

    replica: str
    zone: str
    edition: int
    homes: list[str]
    from_ms: int
    to_ms: int | None
    end: str
    is_resumption: bool


class TracedRequest(typing.Protocol):
    """The properties of a request that its trail records.

    Attributes:
        request_id: The value of its X-Attempt-Id header.
        request: The client's request.
        facts: The results of the admission filters. A request without a route has no trail.
        edition: Version of the configuration in force when the request arrived.
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
    """Returns the trail of a completed request; `status`: HTTP status of its response, 0 if it was aborted."""
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
    """Returns the row of an attempt that is starting.

    Args:
        attempt: The attempt.
        begun_at: When the request began, in seconds on the loop's clock.
        is_resumption: Whether the client has already received the head of the response.
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
    """Completes the row of an attempt that has ended."""
    row["to_ms"] = round((now - begun_at) * 1000)
    if attempt.connection.is_unsent:
        row["end"] = "not sent"
    else:
        row["end"] = str(attempt.status) if attempt.status else "no answer"


class Batch(typing.NamedTuple):
    """Trails that are sent in one message."""

    number: int  # counts from 0 in each incarnation
    is_last: bool  # the process sends no more batches, because it is about to exit
    rows: Sequence[tuple[str, bytes]]  # (request id, trail as JSON)


class TrailBatches:
    """The batches that wait to be sent, numbered within this incarnation.

    Batches are kept while no core node is in reach, at most `MAX_UNSENT_BATCHES` of them.

    Args:
        max_trails: The maximum number of trails in a batch.
    """

    def __init__(self, *, max_trails: int) -> None:
        self._max_trails = max_trails
        self._rows: list[tuple[str, bytes]] = []
        self._number = 0
        self._unsent: list[Batch] = []

    def add(self, trail: dict) -> None:
        """Adds the trail of a completed request; a batch that reaches `max_trails` is closed."""
        self._rows.append((trail["id"], json.dumps(trail, separators=(",", ":")).encode()))
        if len(self._rows) >= self._max_trails:
            self.close_batch()

    def close_batch(self, *, is_last: bool = False) -> None:
        """Closes the current batch. An empty one is dropped, unless it is the last of the process."""
        if self._rows or is_last:
            self._unsent.append(Batch(self._number, is_last, tuple(self._rows)))
            self._number += 1
            self._rows = []
        while len(self._unsent) > MAX_UNSENT_BATCHES:
            self._unsent.pop(0)

    def drain(self) -> list[Batch]:
        """Removes and returns the batches to send now, the oldest first."""
        batches, self._unsent = self._unsent, []
        return batches

"""One attempt of a request at one replica: the head that it is sent with, and what its answer means (design 7).

`Attempt` owns what is known of one attempt. Its invariant: once it is over, nothing that arrives on its connection
reaches the request, so late answers of a replica are ignored (docs/requests.md 1.7).
"""

from __future__ import annotations

import enum
import typing

import h11

from ploverward.data_plane.upstream import upstream_connection

if typing.TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from ploverward.data_plane.adapter_cache import adapter_counts
    from ploverward.data_plane.load_balancing import replica_table
    from ploverward.data_plane.quotas import tenant_directory
    from ploverward.data_plane.requests import custody_trails
    from ploverward.data_plane.requests import route_table
    from ploverward.transport import event_loop
    from ploverward.transport import http_request

NOT_FORWARDED = frozenset(
    (
        b"content-length",
        b"expect",
        b"x-time-left-ms",
        b"x-addressed-replica",
        b"last-event-id",
        b"x-urgency",
    )
)
TENANT_HEADERS = frozenset((b"authorization", b"x-sender"))  # keys stay here, and only this system names a tenant
MAX_PRIORITY = 9  # of X-Urgency, by the protocol
STALE_RESET_S = 0.05  # plus the round trip: within it the reset of a connection that a replica had closed arrives


class ResponseClass(enum.Enum):
    """How an answer is classified by its head."""

    NOT_RUN = "not run"  # the replica states that it did not run the request
    SUCCESS = "success"
    UNUSABLE = "spoiled"  # not to be forwarded: a success that lacks its proof headers, or one that was not run
    FAILURE = "failure"


def classify_response(*, status: int, table: dict[bytes, bytes], is_framed: bool) -> ResponseClass:
    """Returns what a replica's answer means.

    Args:
        status: Of the answer.
        table: Its headers.
        is_framed: Whether its length is certain: by Content-Length or by chunks, not both.
    """
    is_denied = b"x-not-run" in table
    if status == 421 or (is_denied and status >= 400):
        return ResponseClass.NOT_RUN
    if 200 <= status < 300:
        is_complete = b"x-postmark" in table and b"content-encoding" not in table and is_framed
        return ResponseClass.SUCCESS if is_complete and not is_denied else ResponseClass.UNUSABLE
    return ResponseClass.UNUSABLE if is_denied else ResponseClass.FAILURE


def forwarded_headers(
    *, headers: Iterable[tuple[bytes, bytes]], table: dict[bytes, bytes]
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a replica that are forwarded. With chunks a length does not count (RFC 9112, 6.3)."""
    has_chunks = b"transfer-encoding" in table
    return [
        (name, value)
        for name, value in headers
        if name not in upstream_connection.HOP_BY_HOP_HEADERS and not (has_chunks and name == b"content-length")
    ]


def request_head(
    *,
    request: http_request.Request,
    route: route_table.Route,
    replica_id: str,
    left_s: float,
    last_id: bytes | None,
    has_tenants: bool = False,
    tenant: tenant_directory.Tenant | None = None,
) -> h11.Request:
    """Returns the client's head as it is sent to one replica.

    Args:
        request: The client's request.
        route: The route in force for it.
        replica_id: The replica that is meant; another one at its address answers 421.
        left_s: Seconds until the deadline.
        last_id: The event behind which a stream continues, None for its beginning.
        has_tenants: Whether the configuration names tenants: then a client's key is not forwarded.
        tenant: Who sent the request.
    """
    dropped = NOT_FORWARDED | TENANT_HEADERS if has_tenants else NOT_FORWARDED
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in upstream_connection.HOP_BY_HOP_HEADERS and name not in dropped
    ]
    priority = route.priority
    if tenant is not None:
        headers.append((b"X-Sender", tenant.name.encode()))
        priority = route.priority if tenant.priority is None else tenant.priority
    headers.append((b"X-Time-Left-Ms", b"%d" % max(1, int(left_s * 1000))))
    headers.append((b"X-Addressed-Replica", replica_id.encode()))
    if route.is_sticky:
        headers.append((b"X-Urgency", b"%d" % max(0, min(MAX_PRIORITY, priority))))
    if last_id is not None:
        headers.append((b"Last-Event-Id", last_id))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return h11.Request(method=request.method, target=request.target, headers=headers)


class AttemptListener(typing.Protocol):
    """What an attempt notifies: the request handler."""

    loop: event_loop.Loop
    request_id: bytes

    def handle_head(
        self, attempt: Attempt, *, headers: Iterable[tuple[bytes, bytes]], table: dict[bytes, bytes]
    ) -> None:
        """The head of an answer was received; `attempt.response_class` is set."""

    def handle_data(self, attempt: Attempt, data: bytes) -> None:
        """A chunk of its body was received."""

    def handle_end(self, attempt: Attempt) -> None:
        """The answer was received completely."""

    def handle_failure(self, attempt: Attempt, *, reason: str, was_sent: bool, was_up: bool) -> None:
        """The connection ended before that; `was_sent`: a byte of the request was sent, `was_up`: it was connected."""


class Attempt:
    """One attempt at one replica. Its connection calls `on_head`, `on_data`, and then one of `on_end`, `on_fail`.

    Attributes:
        number: Of this attempt, within this process.
        prefill_tokens: Tokens that the replica has to prefill, as far as this proxy knows.
        permitted: Regions that were permitted when it began, None for all.
        status: Of the answer, 0 before its head.
        meaning: Of the answer, None before its head.
        is_known_not_run: A complete answer of the replica states that it did not run it.
        is_over: Whatever still arrives on its connection is ignored.
        is_read: The first event arrived, so the prompt is prefilled.
        is_first_counted: The time to its first event counts already as evidence about its version.
        is_complete: The complete answer arrived, whatever its meaning.
        pieces: Events of a stream that arrived.
        first_at: When the first one arrived, in seconds on the loop's clock.
        last_at: When the last one arrived.
        sent_at: When the attempt began.
        heard_at: When the replica last sent something on it.
        was_connected: Whether its connection was up already when it began.
        row: Its row in the custody trail.
        arrival: Its place in the counts of adapters, None where it needs none (docs/pins.md 2).
    """

    def __init__(
        self,
        *,
        handler: AttemptListener,
        replica: replica_table.Replica,
        connection: upstream_connection.UpstreamConnection,
        number: int,
        prefill_tokens: int,
        permitted: Collection[str] | None,
        now: float,
    ) -> None:
        self.handler = handler
        self.replica = replica
        self.connection = connection
        self.number = number
        self.prefill_tokens = prefill_tokens
        self.permitted = permitted
        self.request_id = handler.request_id
        self.status = 0
        self.response_class: ResponseClass | None = None
        self.is_known_not_run = False
        self.is_over = False
        self.is_read = False
        self.is_first_event_counted = False
        self.is_complete = False
        self.event_count = 0
        self.first_event_at: float | None = None
        self.last_event_at: float | None = None
        self.sent_at = now
        self.heard_at = now
        self.was_connected = connection.is_up
        self.row: custody_trails.AttemptRow | None = None
        self.arrival: adapter_counts.Arrival | None = None

    def on_head(
        self, *, status: int, headers: Iterable[tuple[bytes, bytes]], table: dict[bytes, bytes], is_framed: bool
    ) -> None:
        """The head of the answer was received."""
        if self.is_over:
            return
        self.heard_at = self.handler.loop.now()
        self.status = status
        self.response_class = classify_response(status=status, table=table, is_framed=is_framed)
        self.handler.handle_head(self, headers=headers, table=table)

    def note_event(self, *, now: float) -> None:
        """One complete event was received."""
        self.event_count += 1
        self.first_event_at = self.first_event_at if self.first_event_at is not None else now
        self.last_event_at = now

    def on_data(self, data: bytes) -> None:
        """A chunk of the body was received."""
        if not self.is_over:
            self.heard_at = self.handler.loop.now()
            self.handler.handle_data(self, data)

    def on_end(self) -> None:
        """The answer was received completely."""
        if not self.is_over:
            self.is_complete = True
            self.handler.handle_end(self)

    def on_fail(self, *, reason: str, was_sent: bool, was_up: bool) -> None:
        """The connection ended before the answer was complete."""
        if not self.is_over:
            self.handler.handle_failure(self, reason=reason, was_sent=was_sent, was_up=was_up)

    @property
    def is_connection_stale(self) -> bool:
        """Whether it failed because its replica had closed an idle connection: that is no failure of the replica.

        Assumed if a connection that was used before is reset at once, before any answer.
        """
        network_latency_s = self.replica.network_latency_s or 0.0
        return (
            self.connection.served > 0
            and not self.status
            and self.handler.loop.now() - self.sent_at < STALE_RESET_S + 2 * network_latency_s
        )

    def quiet_s(self, *, now: float) -> float:
        """Returns the seconds since it was sent, or since the replica last sent something on it."""
        return now - max(self.sent_at, self.heard_at)

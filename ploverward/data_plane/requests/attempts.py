"""One attempt of a request at one replica: the head that it is sent with, and what its answer means (design 7)."""

import enum

import h11

from ploverward.data_plane.upstream import upstream_connection

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
TENANT_HEADERS = frozenset(
    (b"authorization", b"x-sender")
)  # a key goes nowhere, and a tenant is named by this system alone
MAX_PRIORITY = 9


class Meaning(enum.Enum):
    """What the head of an answer says of the attempt."""

    NOT_RUN = "not run"  # the replica says that it did not run the request
    SUCCESS = "success"
    UNUSABLE = "spoiled"  # not to be passed on: a success that lacks its marks, or one that was not run
    FAILURE = "failure"


def classify_response(*, status: int, table: dict, is_framed: bool) -> Meaning:
    is_denied = b"x-not-run" in table
    if status == 421 or (is_denied and status >= 400):
        return Meaning.NOT_RUN
    if 200 <= status < 300:
        is_complete = b"x-postmark" in table and b"content-encoding" not in table and is_framed
        return Meaning.SUCCESS if is_complete and not is_denied else Meaning.UNUSABLE
    return Meaning.UNUSABLE if is_denied else Meaning.FAILURE


def forwarded_headers(*, headers, table: dict) -> list:
    """What of a replica's head goes back to the client. A length beside chunks is none (RFC 9112, 6.3)."""
    has_chunks = b"transfer-encoding" in table
    return [
        (name, value)
        for name, value in headers
        if name not in upstream_connection.HOP_BY_HOP_HEADERS and not (has_chunks and name == b"content-length")
    ]


def request_head(
    *, request, route, replica_id: str, left_s: float, last_id, has_tenants: bool = False, tenant=None
) -> h11.Request:
    """The client's head as one replica gets it. `sender`: the tenant; `has_tenants`: whether there are any."""
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


class Attempt:
    """One attempt at one replica. Its connection tells it what comes; once it is over, nothing more reaches the request."""

    def __init__(self, *, handler, replica, connection, number, prefill_tokens, permitted, now):
        self.handler = handler
        self.replica = replica
        self.connection = connection
        self.number = number
        self.prefill_tokens = prefill_tokens
        self.permitted = permitted
        self.request_id = handler.request_id
        self.status = 0
        self.meaning = None
        self.is_known_not_run = False  # by a whole answer of the replica that says so
        self.is_over = False
        self.is_read = False
        self.is_complete = False  # a whole answer came, of whatever meaning
        self.pieces = 0  # events of a stream
        self.first_at = None  # when the first one came
        self.last_at = None
        self.sent_at = now
        self.heard_at = now
        self.was_connected = connection.is_up  # else its connection had to come up first
        self.row = None
        self.arrival = None  # of an adapter (docs/pins.md 2)

    def on_head(self, *, status, headers, table, is_framed) -> None:
        if self.is_over:
            return
        self.heard_at = self.handler.loop.now()
        self.status = status
        self.meaning = classify_response(status=status, table=table, is_framed=is_framed)
        self.handler.handle_head(self, headers=headers, table=table)

    def note_event(self, *, now: float) -> None:
        """One event of a stream came whole."""
        self.pieces += 1
        self.first_at = self.first_at if self.first_at is not None else now
        self.last_at = now

    def on_data(self, data: bytes) -> None:
        if not self.is_over:
            self.heard_at = self.handler.loop.now()
            self.handler.handle_data(self, data)

    def on_end(self) -> None:
        if not self.is_over:
            self.is_complete = True
            self.handler.handle_end(self)

    def on_fail(self, *, reason: str, was_sent: bool, was_up: bool) -> None:
        if not self.is_over:
            self.handler.handle_failure(self, reason=reason, was_sent=was_sent, was_up=was_up)

"""One attempt of a request at one replica: the head that it is sent with, and what its answer means (design 7)."""

import enum

import h11

from ploverward.data_plane.upstream import upstream_connection

NOT_PASSED_ON = frozenset(
    (
        b"content-length",
        b"expect",
        b"x-time-left-ms",
        b"x-addressed-replica",
        b"last-event-id",
        b"x-urgency",
    )
)
TENANT_NAMES = frozenset(
    (b"authorization", b"x-sender")
)  # a key goes nowhere, and a tenant is named by this system alone
MOST_URGENCY = 9


class Meaning(enum.Enum):
    """What the head of an answer says of the attempt."""

    NOT_RUN = "not run"  # the replica says that it did not run the request
    SUCCESS = "success"
    SPOILED = "spoiled"  # not to be passed on: a success that lacks its marks, or one that was not run
    FAILURE = "failure"


def meaning_of(*, status: int, table: dict, is_framed: bool) -> Meaning:
    is_denied = b"x-not-run" in table
    if status == 421 or (is_denied and status >= 400):
        return Meaning.NOT_RUN
    if 200 <= status < 300:
        is_whole = b"x-postmark" in table and b"content-encoding" not in table and is_framed
        return Meaning.SUCCESS if is_whole and not is_denied else Meaning.SPOILED
    return Meaning.SPOILED if is_denied else Meaning.FAILURE


def kept_headers(*, headers, table: dict) -> list:
    """What of a replica's head goes back to the client. A length beside chunks is none (RFC 9112, 6.3)."""
    has_chunks = b"transfer-encoding" in table
    return [
        (name, value)
        for name, value in headers
        if name not in upstream_connection.HOP_NAMES and not (has_chunks and name == b"content-length")
    ]


def request_head(
    *, request, route, replica_id: str, left_s: float, last_id, has_tenants: bool = False, sender=None
) -> h11.Request:
    """The client's head as one replica gets it. `sender`: the tenant; `has_tenants`: whether there are any."""
    dropped = NOT_PASSED_ON | TENANT_NAMES if has_tenants else NOT_PASSED_ON
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in upstream_connection.HOP_NAMES and name not in dropped
    ]
    urgency = route.urgency
    if sender is not None:
        headers.append((b"X-Sender", sender.name.encode()))
        urgency = route.urgency if sender.urgency is None else sender.urgency
    headers.append((b"X-Time-Left-Ms", b"%d" % max(1, int(left_s * 1000))))
    headers.append((b"X-Addressed-Replica", replica_id.encode()))
    if route.is_sticky:
        headers.append((b"X-Urgency", b"%d" % max(0, min(MOST_URGENCY, urgency))))
    if last_id is not None:
        headers.append((b"Last-Event-Id", last_id))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return h11.Request(method=request.method, target=request.target, headers=headers)


class Attempt:
    """One attempt at one replica. Its connection tells it what comes; once it is over, nothing more reaches the request."""

    def __init__(self, *, passage, replica, outlet, number, to_read, permitted, now):
        self.passage = passage
        self.replica = replica
        self.outlet = outlet
        self.number = number
        self.to_read = to_read
        self.permitted = permitted
        self.request_id = passage.request_id
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
        self.was_connected = outlet.is_up  # else its connection had to come up first
        self.row = None
        self.arrival = None  # of an adapter (docs/pins.md 2)

    def on_head(self, *, status, headers, table, is_framed) -> None:
        if self.is_over:
            return
        self.heard_at = self.passage.loop.now()
        self.status = status
        self.meaning = meaning_of(status=status, table=table, is_framed=is_framed)
        self.passage.take_head(self, headers=headers, table=table)

    def note_piece(self, *, now: float) -> None:
        """One event of a stream came whole."""
        self.pieces += 1
        self.first_at = self.first_at if self.first_at is not None else now
        self.last_at = now

    def on_data(self, data: bytes) -> None:
        if not self.is_over:
            self.heard_at = self.passage.loop.now()
            self.passage.take_data(self, data)

    def on_end(self) -> None:
        if not self.is_over:
            self.is_complete = True
            self.passage.take_end(self)

    def on_fail(self, *, reason: str, was_sent: bool, was_up: bool) -> None:
        if not self.is_over:
            self.passage.take_fail(self, reason=reason, was_sent=was_sent, was_up=was_up)

"""The protocol of one connection to a replica, without I/O: requests to bytes, bytes to events (design 3).

`ResponseReader` owns the h11 state of the connection and decides which answer belongs to the request. One request is
sent at a time. An answer is ours if it has our request's id and a byte of the request was sent (docs/requests.md
1.3):

* An answer of another request at the head of ours is one that the replica sent twice. It is skipped, two of them at
  most, and the connection is not used again.
* An answer without an id is ours only where it is a failure and the connection has carried nothing else.
* Bytes behind our answer belong to no request: the connection is not used again.
"""

from __future__ import annotations

import enum
import typing

import h11

from ploverward.data_plane.upstream import upstream_errors

MAX_SKIPPED_RESPONSES = 2  # one for each time that a replica is known to answer twice, and one to spare
MAX_HEAD_BYTES = 65536  # of an answer; h11 buffers no more of an incomplete head


class ResponseHead(typing.NamedTuple):
    """The head of our answer.

    Attributes:
        status: Of the answer.
        headers: As received, names in lower case.
        table: The same by name; of a repeated header the last one.
        is_framed: Whether its length is certain: by Content-Length or by chunks, not both.
    """

    status: int
    headers: typing.Iterable[tuple[bytes, bytes]]
    table: dict[bytes, bytes]
    is_framed: bool


class Signal(enum.Enum):
    """What `next_event` returns besides a head and the bytes of a body."""

    NEED_DATA = "need data"  # nothing more until `receive_data`
    RESPONSE_END = "response end"  # the answer is complete


class ResponseReader:
    """One connection's requests and answers.

    Attributes:
        served: Answers that were received completely.
        last_request_id: Id of the last request, None before the first one.
        keep_alive_s: Idle time that the replica stated with its last answer, None where it stated none.
    """

    def __init__(self) -> None:
        self.served = 0
        self.last_request_id: bytes | None = None
        self.keep_alive_s: float | None = None
        self._h11 = _new_connection()
        self._sent: tuple[h11.Request, bytes] | None = None  # head and body, until the answer is complete
        self._skipped = 0
        self._is_skipping = False
        self._is_tainted = False  # an extra answer was received: later ones can't be distinguished
        self._must_close = False

    def send_request(self, *, request_id: bytes, head: h11.Request, body: bytes) -> bytes:
        """Returns a request's bytes."""
        self.last_request_id = request_id
        self._sent = (head, body)
        self._skipped = 0
        self._is_skipping = False
        return _send(self._h11, head=head, body=body)

    def receive_data(self, data: bytes) -> None:
        """Receives bytes; empty ones are the end of the connection."""
        self._h11.receive_data(data)

    def next_event(self, *, is_unsent: bool) -> ResponseHead | bytes | Signal:
        """Returns the events in the received bytes, one at a time.

        Args:
            is_unsent: Whether no byte of the request was sent: then no answer can be ours.

        Returns:
            The head of our answer, then the bytes of its body, then RESPONSE_END; NEED_DATA between them.

        Raises:
            h11.RemoteProtocolError: The bytes are not HTTP.
            upstream_errors.RemoteProtocolError: An answer that is not ours, beyond what is skipped.
            upstream_errors.ConnectionEndedError: The connection ended in order, without an answer.
        """
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Data):
                if not self._is_skipping:
                    return bytes(event.data)
            elif event is h11.NEED_DATA or event is h11.PAUSED:
                return Signal.NEED_DATA
            elif isinstance(event, h11.Response):
                head = self._read_head(event, is_unsent=is_unsent)
                if head is not None:
                    return head
            elif isinstance(event, h11.EndOfMessage):
                if not self._is_skipping:
                    self._sent = None
                    self.served += 1
                    return Signal.RESPONSE_END
                self._begin_anew()
            elif isinstance(event, h11.ConnectionClosed):
                raise upstream_errors.ConnectionEndedError("closed")

    def _read_head(self, event: h11.Response, *, is_unsent: bool) -> ResponseHead | None:
        """Returns the head if it is ours, None where its answer is skipped."""
        if is_unsent:
            raise upstream_errors.RemoteProtocolError("answer before its request")
        table = dict(event.headers)
        reported_id = table.get(b"x-attempt-id")
        if not self._is_ours(status=event.status_code, reported_id=reported_id):
            if self._skipped >= MAX_SKIPPED_RESPONSES or reported_id is None:
                raise upstream_errors.RemoteProtocolError("answer of another request")
            self._skipped += 1
            self._is_skipping = True
            self._is_tainted = True
            return None
        self._must_close = b"close" in table.get(b"connection", b"").lower() or event.http_version < b"1.1"
        self.keep_alive_s = keep_alive_timeout_s(table.get(b"keep-alive", b""))
        has_chunks = b"chunked" in table.get(b"transfer-encoding", b"").lower()
        is_framed = (b"content-length" in table) != has_chunks  # with both, it is uncertain which one applies
        return ResponseHead(event.status_code, event.headers, table, is_framed)

    def _is_ours(self, *, status: int, reported_id: bytes | None) -> bool:
        """An answer is paired by its id; without one, only a failure on a connection that carried nothing but this."""
        if reported_id is not None:
            return reported_id == self.last_request_id
        return self.served == 0 and self._skipped == 0 and status >= 400

    def _begin_anew(self) -> None:
        """The skipped answer is complete: h11 returns to its state after our request, with the bytes that followed."""
        trailing = self._h11.trailing_data[0]
        self._is_skipping = False
        self._h11 = _new_connection()
        if self._sent is not None:
            head, body = self._sent
            _send(self._h11, head=head, body=body)
        if trailing:
            self._h11.receive_data(trailing)

    def start_next_cycle(self) -> bool:
        """After an answer: whether another request may follow on this connection. It is made ready for that."""
        is_reusable = (
            not self._h11.trailing_data[0]
            and not self._is_tainted
            and not self._must_close
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )
        if is_reusable:
            self._h11.start_next_cycle()
        return is_reusable


def keep_alive_timeout_s(value: bytes) -> float | None:
    """Returns the time-out in a Keep-Alive header, None where it has none."""
    for part in value.split(b","):
        name, _equals, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


def _new_connection() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _send(connection: h11.Connection, *, head: h11.Request, body: bytes) -> bytes:
    data: bytes = connection.send(head)
    if body:
        data += connection.send(h11.Data(data=body))
    data += connection.send(h11.EndOfMessage())
    return data

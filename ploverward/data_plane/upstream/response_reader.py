"""The HTTP protocol of one connection to a replica, without I/O: requests to bytes, bytes to events (design 3).

`ResponseReader` owns the h11 state of the connection and decides which response belongs to the request. One request
is sent at a time. A response belongs to it if it has the request's id and a byte of the request was sent
(docs/requests.md 1.3):

* A response to another request ahead of the expected one is a duplicate that the replica sent. At most two of them
  are skipped, and the connection is not reused afterwards.
* A response without an id is accepted only if it is an error and the connection has carried no other response.
* Bytes after the response belong to no request: the connection is not reused.
"""

from __future__ import annotations

import enum
import typing

import h11

from ploverward.data_plane.upstream import upstream_errors
from ploverward.transport import read_share

MAX_SKIPPED_RESPONSES = 2  # replicas are known to send one duplicate; the second is a margin
PIECE_BYTES = 4096  # of a stream, as passed to the attempt at a time: bounds the events of the stream in one piece
MAX_HEAD_BYTES = 65536  # per response; h11 buffers no more of an incomplete head


class ResponseHead(typing.NamedTuple):
    """The head of the response to the current request.

    Attributes:
        status: Status code.
        headers: Headers as received, with names in lower case.
        table: Headers by name; the last one of a repeated header.
        is_framed: Whether its length is unambiguous: given by Content-Length or by chunks, not by both.
    """

    status: int
    headers: typing.Iterable[tuple[bytes, bytes]]
    table: dict[bytes, bytes]
    is_framed: bool


class Signal(enum.Enum):
    """The results of `next_event` besides a head and bytes of a body."""

    NEED_DATA = "need data"  # no event until more data is passed to `receive_data`
    RESPONSE_END = "response end"  # the response is complete
    SKIPPED = "skipped"  # a part of a duplicate response


class ResponseReader:
    """Serializes the requests of one connection and parses its responses.

    Attributes:
        served: Number of responses that were received completely.
        last_request_id: Id of the last request, None before the first one.
        keep_alive_s: Idle timeout that the replica stated in its last response, None if it stated none.
        events: Number of events that were processed, as they count towards a turn of the loop (`read_share`).
        is_event_stream: Whether the body of the response is a stream of events, so that it is returned in pieces of
            `PIECE_BYTES`. Set by the owner after each head.
    """

    def __init__(self) -> None:
        self.served = 0
        self.last_request_id: bytes | None = None
        self.keep_alive_s: float | None = None
        self.events = 0
        self.is_event_stream = False
        self._h11 = _new_connection()
        self._sent: tuple[h11.Request, bytes] | None = None  # head and body, until the response is complete
        self._data = b""  # received bytes of the body
        self._data_start = 0  # where those begin in `_data` that `next_event` has not returned yet
        self._skipped = 0
        self._is_skipping = False
        self._has_skipped = False  # after a duplicate response the connection is not reused: others may follow
        self._must_close = False
        self._has_chunks = False  # whether the body of the response being read comes in chunks

    def send_request(self, *, request_id: bytes, head: h11.Request, body: bytes) -> bytes:
        """Records a request as the current one and returns its bytes."""
        self.last_request_id = request_id
        self._sent = (head, body)
        self._skipped = 0
        self._is_skipping = False
        return _send(self._h11, head=head, body=body)

    def receive_data(self, data: bytes) -> None:
        """Buffers received bytes; empty bytes mean that the replica closed the connection."""
        self._h11.receive_data(data)

    def next_event(self, *, is_unsent: bool) -> ResponseHead | bytes | Signal:
        """Returns the next event in the received bytes.

        Args:
            is_unsent: Whether no byte of the request was sent, so that no response can belong to it.

        Returns:
            The head of the response, then the bytes of its body, then RESPONSE_END; SKIPPED in place of the events of
            a duplicate response; NEED_DATA if the received bytes contain no further event.

        Raises:
            h11.RemoteProtocolError: The bytes are not valid HTTP.
            upstream_errors.RemoteProtocolError: A response does not belong to the request and may not be skipped.
            upstream_errors.ConnectionEndedError: The connection was closed cleanly, without a response.
        """
        self.events += 1
        if self._data_start < len(self._data):
            return self._next_piece()
        event = self._h11.next_event()
        self.events += _further_events(event)
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return Signal.NEED_DATA
        if isinstance(event, h11.Response):
            self._has_chunks = any(name == b"transfer-encoding" for name, _value in event.headers)
            return self._read_head(event, is_unsent=is_unsent) or Signal.SKIPPED
        if isinstance(event, h11.ConnectionClosed):
            raise upstream_errors.ConnectionEndedError("connection closed by the replica before its response")
        if self._is_skipping:
            if isinstance(event, h11.EndOfMessage):
                self._resume_after_skipped()
            return Signal.SKIPPED
        if isinstance(event, h11.Data):
            if not self.is_event_stream:
                return bytes(event.data)
            self._data = bytes(event.data)
            self._data_start = 0
            return self._next_piece()
        if isinstance(event, h11.EndOfMessage):
            self._sent = None
            self.served += 1
            return Signal.RESPONSE_END
        return Signal.SKIPPED  # an interim response

    def _next_piece(self) -> bytes:
        start, self._data_start = self._data_start, self._data_start + PIECE_BYTES
        piece = self._data[start : self._data_start]
        if self._data_start >= len(self._data):
            self._data, self._data_start = b"", 0
        return piece

    def _read_head(self, event: h11.Response, *, is_unsent: bool) -> ResponseHead | None:
        """Returns the head if it belongs to the request, None if its response is skipped."""
        if is_unsent:
            raise upstream_errors.RemoteProtocolError("response received before any byte of the request was sent")
        table = dict(event.headers)
        reported_id = table.get(b"x-attempt-id")
        if not self._is_ours(status=event.status_code, reported_id=reported_id):
            if self._skipped >= MAX_SKIPPED_RESPONSES or reported_id is None:
                raise upstream_errors.RemoteProtocolError("response without the id of the request")
            self._skipped += 1
            self._is_skipping = True
            self._has_skipped = True
            return None
        self._must_close = b"close" in table.get(b"connection", b"").lower() or event.http_version < b"1.1"
        self.keep_alive_s = keep_alive_timeout_s(table.get(b"keep-alive", b""))
        has_chunks = b"chunked" in table.get(b"transfer-encoding", b"").lower()
        is_framed = (b"content-length" in table) != has_chunks  # with both, it is ambiguous which one applies
        return ResponseHead(event.status_code, event.headers, table, is_framed)

    def _is_ours(self, *, status: int, reported_id: bytes | None) -> bool:
        """Returns whether a response belongs to the current request.

        It is matched by its id. Without an id it belongs to the request only if it is an error and no other response
        was received on this connection.
        """
        if reported_id is not None:
            return reported_id == self.last_request_id
        return self.served == 0 and self._skipped == 0 and status >= 400

    def _resume_after_skipped(self) -> None:
        """Restores h11's state after the request was sent, with the bytes that followed the skipped response."""
        trailing = self._h11.trailing_data[0]
        self._is_skipping = False
        self._h11 = _new_connection()
        if self._sent is not None:
            head, body = self._sent
            _send(self._h11, head=head, body=body)
        if trailing:
            self._h11.receive_data(trailing)

    @property
    def may_parse_long_lines(self) -> bool:
        """Whether the next event may be a large head, or a body's end with large trailers."""
        state = self._h11.their_state
        if state is h11.SEND_RESPONSE:
            return read_share.may_be_long_head(self._h11.trailing_data[0])
        is_in_chunks = self._has_chunks and state is h11.SEND_BODY
        return is_in_chunks and read_share.may_be_long_trailers(self._h11.trailing_data[0])

    def start_next_cycle(self) -> bool:
        """Prepares for another request after a response, and returns whether the connection may be reused."""
        is_reusable = (
            not self._h11.trailing_data[0]
            and not self._has_skipped
            and not self._must_close
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )
        if is_reusable:
            self._h11.start_next_cycle()
        return is_reusable


def keep_alive_timeout_s(value: bytes) -> float | None:
    """Returns the timeout in the value of a Keep-Alive header, None if it has none."""
    for part in value.split(b","):
        name, _equals, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


def _further_events(event: object) -> int:
    """Returns the number of events that the header lines of an event count as."""
    if not isinstance(event, h11.Response | h11.InformationalResponse | h11.EndOfMessage):
        return 0
    return read_share.count_line_events(len(event.headers))


def _new_connection() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _send(connection: h11.Connection, *, head: h11.Request, body: bytes) -> bytes:
    data: bytes = connection.send(head)
    if body:
        data += connection.send(h11.Data(data=body))
    data += connection.send(h11.EndOfMessage())
    return data

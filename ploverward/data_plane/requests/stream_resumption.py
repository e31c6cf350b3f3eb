"""Parses a streamed response so that another replica can continue it (docs/requests.md 3).

`ResumableStream` tracks the last event that was forwarded to the client. Invariant: the client gets each event once, in
order and complete, regardless of how many replicas contribute to the stream. It does no I/O.

A segment is the part of the stream that one replica sends. An interrupted segment may end inside an event, so the
incomplete event is dropped: the next replica is requested to send everything after `last_id`, including that event from
its beginning. A replica may also repeat events that the client has; these are recognised by their ids and dropped.
"""

import re

EVENT_TERMINATOR = re.compile(rb"\n\n|\r\n\r\n|\r\r")
MAX_PARTIAL_TERMINATOR_BYTES = 3  # at the end of the data, of which the next data may complete a terminator


def event_id(event: bytes) -> bytes | None:
    """Returns the id of a complete event, None if it has none."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def _is_repeated(current_id: bytes, last_id: bytes) -> bool:
    try:
        return int(current_id) <= int(last_id)
    except ValueError:
        return current_id == last_id  # non-numeric ids have no order: only an equal id is known to be a repetition


class ResumableStream:
    """The events of one streamed response, over all its segments.

    Attributes:
        last_id: Id of the last forwarded event; before the first one, the Last-Event-Id that the client sent.
        is_resumable: Whether all forwarded events had an id; otherwise no id identifies where to continue.
    """

    def __init__(self, *, last_id: bytes | None) -> None:
        self.last_id = last_id
        self.is_resumable = True
        self._buffer = bytearray()
        self._searched_bytes = 0  # at the start of the buffer, which contain no terminator
        self._has_accepted_event = False

    def begin_segment(self) -> None:
        """Starts the segment of another replica and drops the incomplete event of the previous segment."""
        self._buffer = bytearray()
        self._searched_bytes = 0

    def receive_data(self, data: bytes) -> list[bytes]:
        """Adds received data, and returns the complete new events in order, for forwarding."""
        self._buffer += data
        new_events: list[bytes] = []
        start = 0
        for found in EVENT_TERMINATOR.finditer(self._buffer, self._searched_bytes):
            event = bytes(self._buffer[start : found.end()])
            start = found.end()
            if self._accept(event):
                new_events.append(event)
        self._buffer = self._buffer[start:] if start else self._buffer
        self._searched_bytes = max(0, len(self._buffer) - MAX_PARTIAL_TERMINATOR_BYTES)
        return new_events

    def take_remainder(self) -> bytes:
        """Removes and returns the data after the last complete event; used when a segment ended regularly."""
        remainder, self._buffer = bytes(self._buffer), bytearray()
        self._searched_bytes = 0
        return remainder

    def _accept(self, event: bytes) -> bool:
        current_id = event_id(event)
        if current_id is not None:
            if self._has_accepted_event and self.last_id is not None and _is_repeated(current_id, self.last_id):
                return False
            self.last_id = current_id
        else:
            self.is_resumable = False
        self._has_accepted_event = True
        return True

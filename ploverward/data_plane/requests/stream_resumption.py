"""Parses a streamed response so that another replica can continue it (docs/requests.md 3).

`ResumableStream` tracks the last event that was forwarded to the client. Invariant: the client gets each event once, in
order and complete, regardless of how many replicas contribute to the stream. It does no I/O.

A segment is the part of the stream that one replica sends. An interrupted segment may end inside an event, so the
incomplete event is dropped: the next replica is requested to send everything after `last_id`, including that event from
its beginning. A replica may also repeat events that the client has; these are recognised by their ids and dropped.
"""

EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")


def event_id(event: bytes) -> bytes | None:
    """Returns the id of a complete event, None if it has none."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def _event_end(data: bytes) -> int:
    """Returns the length of the first complete event, or -1."""
    ends = [start + len(terminator) for terminator in EVENT_TERMINATORS if (start := data.find(terminator)) >= 0]
    return min(ends) if ends else -1


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
        self._buffer = b""
        self._has_accepted_event = False

    def begin_segment(self) -> None:
        """Starts the segment of another replica and drops the incomplete event of the previous segment."""
        self._buffer = b""

    def receive_data(self, data: bytes) -> list[bytes]:
        """Adds received data, and returns the complete new events in order, for forwarding."""
        self._buffer += data
        new_events: list[bytes] = []
        while self._buffer:
            event_end = _event_end(self._buffer)
            if event_end < 0:
                break
            event = self._buffer[:event_end]
            self._buffer = self._buffer[event_end:]
            if self._accept(event):
                new_events.append(event)
        return new_events

    def take_remainder(self) -> bytes:
        """Removes and returns the data after the last complete event; used when a segment ended regularly."""
        remainder, self._buffer = self._buffer, b""
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

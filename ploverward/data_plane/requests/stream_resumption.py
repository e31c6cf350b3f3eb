"""A streamed answer that may continue at another replica (docs/requests.md 3).

`ResumableStream` owns what the client has of the stream: the id of the last event that was forwarded. Its invariant:
the client gets each event once, in order and complete, however many replicas the stream is made of. It does no I/O.

One run is what one replica sends. A run that is interrupted may end inside an event, so the incomplete event is
dropped: the next run is requested to send everything after `last_id`, including that event from its beginning. A
replica may also repeat events that the client has; these are dropped by their ids.
"""

EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


def event_id(event: bytes) -> bytes | None:
    """Returns the id in a complete event, None where it has none."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def _event_end(data: bytes) -> int:
    """Returns the length of the first complete event, -1 where none is complete."""
    ends = [start + len(terminator) for terminator in EVENT_ENDS if (start := data.find(terminator)) >= 0]
    return min(ends) if ends else -1


def _is_not_after(number: bytes, last: bytes) -> bool:
    try:
        return int(number) <= int(last)
    except ValueError:
        return number == last  # ids without an order: only the very same one is known to be a repetition


class ResumableStream:
    """The events of one answer, over all runs that it is made of.

    Attributes:
        last_id: Id of the last forwarded event; before the first one, what the client sent as Last-Event-Id.
        is_resumable: False once an event without an id was forwarded: no id names what follows it.
    """

    def __init__(self, *, last_id: bytes | None) -> None:
        self.last_id = last_id
        self.is_resumable = True
        self._buffer = b""
        self._is_begun = False

    def begin_run(self) -> None:
        """Another replica continues: the incomplete event of the former run is dropped."""
        self._buffer = b""

    def receive_data(self, data: bytes) -> list[bytes]:
        """Returns the complete events that are to be forwarded now, each once, in order."""
        self._buffer += data
        found: list[bytes] = []
        while self._buffer:
            event_end = _event_end(self._buffer)
            if event_end < 0:
                break
            event = self._buffer[:event_end]
            self._buffer = self._buffer[event_end:]
            if self._is_new(event):
                found.append(event)
        return found

    def take_remainder(self) -> bytes:
        """Returns, once, what follows the last complete event of a run that ended in order."""
        remainder, self._buffer = self._buffer, b""
        return remainder

    def _is_new(self, event: bytes) -> bool:
        number = event_id(event)
        if number is not None:
            if self._is_begun and self.last_id is not None and _is_not_after(number, self.last_id):
                return False
            self.last_id = number
        else:
            self.is_resumable = False
        self._is_begun = True
        return True

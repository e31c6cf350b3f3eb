"""Streams of events: cut into whole events, and followed by their ids from one run to the next (design 7)."""

EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


def event_id(event: bytes):
    """The id that an event bears, or None."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def _event_end(data: bytes) -> int:
    places = [start + len(terminator) for terminator in EVENT_ENDS if (start := data.find(terminator)) >= 0]
    return min(places) if places else -1


def _is_not_after(number: bytes, last: bytes) -> bool:
    try:
        return int(number) <= int(last)
    except ValueError:
        return number == last


class Stream:
    """The events of one answer, over all runs that it is made of.

    A partial event at the end of a run that was cut is dropped; an event that a later run tells again is left out.
    """

    def __init__(self, *, last_id):
        self.last_id = last_id  # of the last event passed on; before the first one: what the client named
        self.is_resumable = True  # until an event without an id was passed on: nothing can name what follows it
        self._buffer = b""
        self._is_begun = False

    def begin_run(self) -> None:
        self._buffer = b""

    def take(self, data: bytes) -> list:
        """Whole events that are to be passed on now, each once, in order."""
        self._buffer += data
        found = []
        while True:
            event_end = _event_end(self._buffer)
            if event_end < 0:
                return found
            event = self._buffer[:event_end]
            self._buffer = self._buffer[event_end:]
            if self._is_new(event):
                found.append(event)

    def rest(self) -> bytes:
        """What stands behind the last whole event of a run that ended in order."""
        rest, self._buffer = self._buffer, b""
        return rest

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

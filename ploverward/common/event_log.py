"""Log of a node: JSON lines on standard error, with the events that preceded an error.

Modules log with `logging.getLogger(__name__)`. The message is the name of the event (`noun_verb`), its fields are in
`extra`. The level determines when an event is written:

* DEBUG: buffered in memory. An error writes the newest buffered events, so that the log shows what led to it.
* INFO: written immediately (steps of a roll-out).
* ERROR: written immediately, followed by the buffered events.

Programs that do not call `start` (tests, simulations, tools) neither buffer nor write events below ERROR.
docs/operations.md, "Log events", lists each event with its fields and the recommended action.
"""

import collections
import logging
import sys
import time
from collections.abc import Callable

BUFFERED_EVENTS = 200  # a few screens of text
# Between two dumps of the buffer: thousands of errors may follow each other, but their cause occurs once.
DUMP_INTERVAL_S = 5.0

_LOGGER_NAME = "ploverward"


def start(*, node: str, role: str, is_verbose: bool = False) -> None:
    """Starts logging of this process to standard error; called once when a node starts.

    Args:
        node: Name of the node in the settings; part of each line.
        role: `core` or `proxy`; part of each line.
        is_verbose: Whether to write DEBUG events immediately, too.
    """
    from ploverward.common import log_formatter  # only programs that write the log load the formatter

    _drop_unused_record_fields()
    stream = logging.StreamHandler(sys.stderr)
    stream.setFormatter(log_formatter.EventFormatter(node=node, role=role))
    log = logging.getLogger(_LOGGER_NAME)
    log.handlers[:] = [EventBuffer(target=stream, write_level=logging.DEBUG if is_verbose else logging.INFO)]
    log.setLevel(logging.DEBUG)
    log.propagate = False


def _drop_unused_record_fields() -> None:
    """Omits record fields that are never written, as described under "Optimization" in Python's logging HOWTO.

    Successful requests log nothing, but each failed attempt logs an event. Buffering one takes about 2.2 microseconds;
    with these fields it takes about 3.5 (Python 3.11).
    """
    logging._srcfile = None  # type: ignore[attr-defined]  # the caller's file and line; finding them walks the stack
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False


class EventBuffer(logging.Handler):
    """Buffers the newest events of low level, and writes them after an error.

    Like `logging.handlers.MemoryHandler`, but a full buffer drops its oldest events, an error is written immediately,
    and buffered events are discarded at the end of the process.

    Args:
        target: Handler that writes the events.
        write_level: Events of this level and above are written immediately and not buffered.
        capacity: Maximum number of buffered events.
        now: Returns the time of a monotonic clock, in seconds.
    """

    def __init__(
        self,
        *,
        target: logging.Handler,
        write_level: int = logging.INFO,
        capacity: int = BUFFERED_EVENTS,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._target = target
        self._write_level = write_level
        self._records: collections.deque[logging.LogRecord] = collections.deque(maxlen=capacity)
        self._now = now
        self._dumped_at = -DUMP_INTERVAL_S

    def emit(self, record: logging.LogRecord) -> None:
        """Writes or buffers an event; an error also writes the buffer, at most once per `DUMP_INTERVAL_S`."""
        if record.levelno < self._write_level:
            record.at = self._now()
            self._records.append(record)
            return
        self._target.handle(record)
        if record.levelno >= logging.ERROR and self._now() - self._dumped_at >= DUMP_INTERVAL_S:
            self._dumped_at = self._now()
            while self._records:
                self._target.handle(self._records.popleft())

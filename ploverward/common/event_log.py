"""The log of a node: JSON lines on standard error, few of them, and what came before an error.

Modules log by `logging.getLogger(__name__)`. The message is the event's name (`noun_verb`), what it is about stands in
`extra`. The level says when the event is written:

* DEBUG: kept in memory. An error writes the newest of them, so that its line comes with what led to it.
* INFO: written at once (steps of a roll-out).
* ERROR: written at once, followed by the events in memory.

Programs that do not call `start` (tests, simulations, operators' tools) keep and write none of the events below ERROR.
docs/operations.md, "Log events", lists each event with its fields and what to do about it.
"""

import collections
import logging
import sys
import time
from collections.abc import Callable

BUFFERED_EVENTS = 200  # a few screens of lines
DUMP_INTERVAL_S = 5.0  # between two dumps of the memory: errors may come by the thousand, their cause comes once

_LOGGER_NAME = "ploverward"


def start(*, node: str, role: str, is_verbose: bool = False) -> None:
    """Has the events of this process written to standard error; called once, by a node that starts.

    Args:
        node: The node's name in the settings; each line carries it.
        role: `core` or `proxy`; each line carries it.
        is_verbose: Writes events of level DEBUG at once, too.
    """
    from ploverward.common import log_formatter  # only programs that write need the formatter

    _drop_unused_record_fields()
    stream = logging.StreamHandler(sys.stderr)
    stream.setFormatter(log_formatter.EventFormatter(node=node, role=role))
    log = logging.getLogger(_LOGGER_NAME)
    log.handlers[:] = [EventBuffer(target=stream, write_level=logging.DEBUG if is_verbose else logging.INFO)]
    log.setLevel(logging.DEBUG)
    log.propagate = False


def _drop_unused_record_fields() -> None:
    """Makes records cheaper by what no line shows, as the logging HOWTO's chapter on optimization describes.

    Requests that go well log nothing, each failed attempt logs an event. Kept in memory it costs about 2.2 microseconds
    (timeit, Python 3.11); with these fields it was about 3.5.
    """
    logging._srcfile = None  # type: ignore[attr-defined]  # the caller's file and line: a walk up the stack
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False


class EventBuffer(logging.Handler):
    """Keeps the newest events that are not written at once, and writes them after an error.

    Like `logging.handlers.MemoryHandler`, but it drops its oldest events when it is full, writes an error at once, and
    leaves its events unwritten at the end of the process.

    Args:
        target: Writes the events.
        write_level: Events of this level and above are written at once and not kept.
        capacity: How many events are kept.
        now: A clock that only grows, in seconds.
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
        """Writes or keeps an event; after an error all that is kept is written, at most every `DUMP_INTERVAL_S`."""
        if record.levelno < self._write_level:
            record.at = self._now()
            self._records.append(record)
            return
        self._target.handle(record)
        if record.levelno >= logging.ERROR and self._now() - self._dumped_at >= DUMP_INTERVAL_S:
            self._dumped_at = self._now()
            while self._records:
                self._target.handle(self._records.popleft())

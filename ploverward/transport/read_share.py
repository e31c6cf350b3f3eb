"""Limits how much of a turn of the event loop the bytes of one connection may take (docs/design.md 2).

How long it takes to process what a peer sent depends on its content: 128 KiB may be one event of the parser or twenty
thousand. Each connection therefore processes at most `MAX_EVENTS_PER_TURN` events in a turn. It leaves the rest in the
parser, stops reading from its socket and goes on through `Loop.continue_later`, so that all such connections together
have a bounded part of each turn and take turns within it.

A peer that sends few events at a time, but often, stays below that limit. `ReadShare` counts the events of a
connection: beyond `PROMPT_EVENTS_PER_S` it reads from its socket through `Loop.continue_later` as well.
"""

from collections.abc import Callable

MAX_EVENTS_PER_TURN = 64  # several times the events of an ordinary message
PROMPT_EVENTS_PER_S = 128
WINDOW_S = 1.0


class ReadShare:
    """Counts the events that one connection processed in the current window.

    Args:
        now: Returns the time of a monotonic clock, in seconds.
    """

    __slots__ = ("_now", "_events", "_window_began_at")

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._events = 0
        self._window_began_at = 0.0

    def note(self, events: int) -> None:
        """Counts processed events."""
        self._events += events

    @property
    def is_used_up(self) -> bool:
        """Whether the connection has to wait for its turn before it reads from its socket."""
        if self._events < PROMPT_EVENTS_PER_S * WINDOW_S:
            return False
        now = self._now()
        if now - self._window_began_at < WINDOW_S:
            return True
        self._window_began_at = now
        self._events = 0
        return False

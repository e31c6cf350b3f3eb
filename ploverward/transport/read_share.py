"""Limits how much of a turn of the event loop the bytes of one connection may take (docs/design.md 2).

How long it takes to process what a peer sent depends on its content: 128 KiB may be one event of the parser or twenty
thousand. Each connection therefore processes at most `MAX_EVENTS_PER_TURN` events in a turn. It leaves the rest in the
parser, stops reading from its socket and goes on through `Loop.continue_later`, so that all such connections together
have a bounded part of each turn and take turns within it.

A head, or the trailers after a body in chunks, are one event of the parser as well, but their lines are processed one
by one: a head of 16 KiB in short lines takes as long as a thousand events. `count_head_events` counts it as that many,
by its size: a long line may be a list that is processed one by one. `may_be_long_head` and `may_be_long_trailers`
recognise such lines before they are parsed, so that they are parsed through `Loop.continue_later`, whichever connection
they arrive on.

A peer that sends few events at a time, but often, stays below the limit of a turn. `ReadShare` counts the events of a
connection over time: one that exceeds `PROMPT_EVENTS_PER_S` reads through `Loop.continue_later` as well. A new
connection has only `NEW_CONNECTION_EVENTS` before that, so that a peer gains nothing by opening another one.
"""

from collections.abc import Callable

MAX_EVENTS_PER_TURN = 64  # several times the events of an ordinary message
PROMPT_EVENTS_PER_S = 128
BURST_EVENTS = 2 * PROMPT_EVENTS_PER_S
NEW_CONNECTION_EVENTS = 64  # enough for the first requests of an ordinary connection
ORDINARY_HEAD_BYTES = 2048  # a head of up to this size counts as one event
HEAD_BYTES_PER_EVENT = 8  # beyond that size: about one short header line
ORDINARY_HEADER_LINES = 64  # further lines of a response, or of trailers, count as one event each
HEAD_END = b"\r\n\r\n"


def count_head_events(size: int) -> int:
    """Returns the number of events that the head of a request counts as, besides the one that it is.

    Args:
        size: Its size in bytes.
    """
    return max(0, size - ORDINARY_HEAD_BYTES) // HEAD_BYTES_PER_EVENT


def count_line_events(lines: int) -> int:
    """Returns the number of events that header lines of a response or of trailers count as, besides their own one."""
    return max(0, lines - ORDINARY_HEADER_LINES)


def may_be_long_head(unparsed: bytes) -> bool:
    """Returns whether the head at the start of unparsed bytes is larger than an ordinary one, as far as it is here."""
    if len(unparsed) <= ORDINARY_HEAD_BYTES:
        return False
    return unparsed.find(HEAD_END, 0, ORDINARY_HEAD_BYTES + len(HEAD_END)) < 0


def may_be_long_trailers(unparsed: bytes) -> bool:
    """Returns whether unparsed bytes of a body in chunks may contain trailers larger than an ordinary head.

    Only the parser can tell where the last chunk ends, so the chunks before the trailers count as well.
    """
    return len(unparsed) > ORDINARY_HEAD_BYTES


class ReadShare:
    """The events that one connection processed recently, as a leaky bucket: it drains at `PROMPT_EVENTS_PER_S`.

    Args:
        now: Returns the time of a monotonic clock, in seconds.
    """

    __slots__ = ("_now", "_level", "_noted_at")

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._level = float(BURST_EVENTS - NEW_CONNECTION_EVENTS)  # events that have not drained, at the last note
        self._noted_at = now()

    def note(self, events: int) -> None:
        """Counts processed events."""
        now = self._now()
        self._level = self._level_at(now) + events
        self._noted_at = now

    def _level_at(self, now: float) -> float:
        return max(0.0, self._level - (now - self._noted_at) * PROMPT_EVENTS_PER_S)

    @property
    def is_used_up(self) -> bool:
        """Whether the connection has to wait for its turn before it reads from its socket."""
        return self._level >= BURST_EVENTS and self._level_at(self._now()) >= BURST_EVENTS

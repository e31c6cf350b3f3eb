"""Counts the work of a node's event loop: steps by what they found, calls, frames and bytes (docs/operations.md).

A `WorkCounter` is attached to a loop as its `work` and is notified of each step, call and frame; `take_counts` returns
the counts since its last call. A loop without one counts nothing.
"""

import collections
import dataclasses
from collections.abc import Callable

from ploverward.transport import frames

MAX_LISTED = 20  # functions and kinds of frames in a report; the most frequent are kept


@dataclasses.dataclass(frozen=True)
class FrameCount:
    """Number of frames of one kind, and their total size in bytes."""

    frames: int
    bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkCounts:
    """Counts since the previous report.

    Attributes:
        turns: Steps of the loop, by what they found: "sockets", "commands" and "timers", joined with "+", or "nothing".
        calls: Calls that the loop made, by the qualified name of the function.
        sent: Frames sent to other nodes, by kind.
        received: Frames received from other nodes, by kind.
    """

    turns: dict[str, int]
    calls: dict[str, int]
    sent: dict[str, FrameCount]
    received: dict[str, FrameCount]


class WorkCounter:
    """Counters of one event loop."""

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self._turns: collections.Counter[str] = collections.Counter()
        self._calls: collections.Counter[str] = collections.Counter()
        self._sent: dict[str, FrameCount] = {}
        self._received: dict[str, FrameCount] = {}

    def note_turn(self, *, has_sockets: bool, has_commands: bool, has_timers: bool) -> None:
        """Counts a step of the loop by what it found."""
        found = (("sockets", has_sockets), ("commands", has_commands), ("timers", has_timers))
        self._turns["+".join(name for name, is_found in found if is_found) or "nothing"] += 1

    def note_call(self, callback: Callable) -> None:
        """Counts a call that the loop makes."""
        self._calls[getattr(callback, "__qualname__", type(callback).__name__)] += 1

    def note_sent(self, data: bytes) -> None:
        """Counts complete frames that are sent to another node."""
        self._count(self._sent, data)

    def note_received(self, frame: bytes) -> None:
        """Counts a complete frame received from another node."""
        self._count(self._received, frame)

    def take_counts(self) -> WorkCounts:
        """Returns the counts since the last call and resets them."""
        counts = WorkCounts(
            turns=dict(self._turns),
            calls=dict(self._calls.most_common(MAX_LISTED)),
            sent=_largest(self._sent),
            received=_largest(self._received),
        )
        self._clear()
        return counts

    def _count(self, counts: dict[str, FrameCount], data: bytes) -> None:
        for name, size in frames.list_frame_sizes(data):
            known = counts.get(name, FrameCount(0, 0))
            counts[name] = FrameCount(known.frames + 1, known.bytes + size)


def _largest(counts: dict[str, FrameCount]) -> dict[str, FrameCount]:
    ordered = sorted(counts.items(), key=lambda item: -item[1].frames)
    return dict(ordered[:MAX_LISTED])

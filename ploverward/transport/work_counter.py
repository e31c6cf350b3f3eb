"""Counts what a node's loop does: turns by what woke it, calls, frames and bytes by kind (docs/operations.md).

`WorkCounter` is attached to a loop as its `work` and told of each turn, call and frame; `take` returns the counts since
the last call of it. A loop without one counts nothing.
"""

import collections
import dataclasses
from collections.abc import Callable

from ploverward.transport import frames

MAX_LISTED = 20  # calls and kinds of frames that are listed, those with the most first


@dataclasses.dataclass(frozen=True)
class FrameCount:
    """Frames of one kind, and their bytes."""

    frames: int
    bytes: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkCounts:
    """What was done since the last counts.

    Attributes:
        turns: Steps of the loop, by what they found: "sockets", "commands", "timers", joined by "+"; "nothing".
        calls: Calls of the loop, by the name of the function.
        sent: Frames sent to other nodes, by kind.
        received: Frames received from other nodes, by kind.
    """

    turns: dict[str, int]
    calls: dict[str, int]
    sent: dict[str, FrameCount]
    received: dict[str, FrameCount]


class WorkCounter:
    """The counts of one loop."""

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self._turns: collections.Counter[str] = collections.Counter()
        self._calls: collections.Counter[str] = collections.Counter()
        self._sent: dict[str, FrameCount] = {}
        self._received: dict[str, FrameCount] = {}

    def note_turn(self, *, has_sockets: bool, has_commands: bool, has_timers: bool) -> None:
        """The loop made a turn, with calls for these reasons."""
        found = (("sockets", has_sockets), ("commands", has_commands), ("timers", has_timers))
        self._turns["+".join(name for name, is_found in found if is_found) or "nothing"] += 1

    def note_call(self, callback: Callable) -> None:
        """The loop calls back."""
        self._calls[getattr(callback, "__qualname__", type(callback).__name__)] += 1

    def note_sent(self, data: bytes) -> None:
        """Complete frames are sent to another node."""
        self._count(self._sent, data)

    def note_received(self, frame: bytes) -> None:
        """A complete frame of another node arrived."""
        self._count(self._received, frame)

    def take(self) -> WorkCounts:
        """Returns the counts since the last call."""
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

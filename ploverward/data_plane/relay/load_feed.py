"""Loads of replicas as published at one interval: largest changes first, a bounded number of rows at a time.

A `LoadFeed` owns what its subscribers were sent. Invariant: a replica whose published load differs from its current
load is queued, and its priority grows each time that it is passed over (docs/scale.md 4).
"""

import dataclasses
import typing
from collections.abc import Callable

from ploverward.transport import row_codec

FAILING, FULL = 1, 2  # flags of a load frame's row
FULL_SHARE = 0.75  # of a replica's batch slots: with so many attempts running it is published as full
AGE_WEIGHT = 1 / 16  # of all batch slots of a replica, for each time that its row was passed over


class Load(typing.NamedTuple):
    """One replica's load, summed over all proxies, as a row of a load frame has it."""

    running: int = 0  # attempts in flight
    tokens: int = 0  # prompt tokens still to be processed
    suspect_count: int = 0  # proxies that suspect it
    flags: int = 0  # `FAILING`, `FULL`

    def pack(self, key: bytes) -> bytes:
        """The row, for the replica of this key; numbers that are too large become the largest."""
        return row_codec.LOAD_ROW.pack(
            key,
            row_codec.clamp_uint16(self.running),
            row_codec.clamp_uint32(self.tokens),
            row_codec.clamp_uint16(self.suspect_count),
            self.flags,
        )


@dataclasses.dataclass(frozen=True)
class Scale:
    """The capacity of a replica."""

    batch_slots: int = 0  # 0: not known
    tokens: int = 1  # of its cache


NO_LOAD = Load()
NO_SCALE = Scale()


class LoadFeed:
    """What all subscribers of one kind were sent, and what is still to be sent to them."""

    def __init__(self) -> None:
        self._published: dict[bytes, Load] = {}  # by replica key; those without load are omitted
        self._waiting: dict[bytes, int] = {}  # replica key: how often it was passed over

    def record(self, key: bytes) -> None:
        """This replica's load changed."""
        self._waiting.setdefault(key, 0)

    def snapshot(self) -> bytes:
        """Rows of all that was published, for a subscriber that joins now."""
        return b"".join(self._published[key].pack(key) for key in sorted(self._published))

    def next_rows(self, *, load_of: Callable[[bytes], Load], scale_of: Callable[[bytes], Scale], most: int) -> bytes:
        """Rows to be published now: of the replicas whose load changed most, and eventually of each.

        Args:
            load_of: gives the present load of a replica key.
            scale_of: gives the capacity of a replica key.
            most: how many rows at most.
        """
        moved = {}
        for key in list(self._waiting):
            load = load_of(key)
            if load == self._published.get(key, NO_LOAD):
                del self._waiting[key]
            else:
                moved[key] = load
        chosen = list(moved)
        if len(moved) > most:
            chosen = sorted(moved, key=lambda key: -self._moved_by(key, moved[key], scale_of(key)))[:most]
        for key in chosen:
            del self._waiting[key]
            self._note_published(key, moved[key])
        for key in self._waiting:
            self._waiting[key] += 1
        return b"".join(moved[key].pack(key) for key in sorted(chosen))

    def _moved_by(self, key: bytes, load: Load, scale: Scale) -> float:
        """How far the load is from the published one, in shares of the replica's capacity."""
        published = self._published.get(key, NO_LOAD)
        moved = abs(load.running - published.running) / max(1, scale.batch_slots)
        moved += abs(load.tokens - published.tokens) / max(1, scale.tokens)
        if (load.suspect_count > 0, load.flags) != (published.suspect_count > 0, published.flags):
            moved += 1.0
        return moved + self._waiting[key] * AGE_WEIGHT

    def _note_published(self, key: bytes, load: Load) -> None:
        if load == NO_LOAD:
            self._published.pop(key, None)
        else:
            self._published[key] = load

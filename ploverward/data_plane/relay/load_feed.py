"""Publication of replica loads: the largest changes first, in a bounded number of rows at a time.

A `LoadFeed` owns the loads that its subscribers were sent; all of them are sent rows at the same interval. Invariant: a
replica whose published load differs from its current load is queued, and its priority grows each time that its row is
not selected (docs/scale.md 4).
"""

import dataclasses
import typing
from collections.abc import Callable

from ploverward.transport import row_codec

FAILING, FULL = 1, 2  # flags in the rows of a load frame
FULL_LOAD_SHARE = 0.75  # share of a replica's batch slots; with so many running attempts it is published as full
AGE_WEIGHT = 1 / 16  # priority added each time that a row is not selected, as a share of the replica's capacity


class Load(typing.NamedTuple):
    """The load on one replica, summed over all proxies, as published in a row of a load frame."""

    running: int = 0  # attempts in flight
    tokens: int = 0  # prompt tokens that the replica still has to process
    suspect_count: int = 0  # proxies that suspect the replica
    flags: int = 0  # `FAILING`, `FULL`

    def pack(self, key: bytes) -> bytes:
        """Encodes the row of the replica with this key; numbers that do not fit are capped."""
        return row_codec.LOAD_ROW.pack(
            key,
            row_codec.clamp_uint16(self.running),
            row_codec.clamp_uint32(self.tokens),
            row_codec.clamp_uint16(self.suspect_count),
            self.flags,
        )


@dataclasses.dataclass(frozen=True)
class Capacity:
    """The capacity of a replica."""

    batch_slots: int = 0  # 0: not known
    tokens: int = 1  # tokens that its cache holds


NO_LOAD = Load()
UNKNOWN_CAPACITY = Capacity()


class LoadFeed:
    """Tracks which loads the subscribers were sent, and which changes are still to be sent to them."""

    def __init__(self) -> None:
        self._published: dict[bytes, Load] = {}  # by replica key; replicas without load are omitted
        self._skip_counts: dict[bytes, int] = {}  # replica key: number of times that its row was not selected

    def record(self, key: bytes) -> None:
        """Queues a replica whose load changed."""
        self._skip_counts.setdefault(key, 0)

    def snapshot(self) -> bytes:
        """Returns the rows of all published loads, for a subscriber that joins now."""
        return b"".join(self._published[key].pack(key) for key in sorted(self._published))

    def next_rows(
        self, *, load_of: Callable[[bytes], Load], capacity_of: Callable[[bytes], Capacity], most: int
    ) -> bytes:
        """Returns the rows to publish now: those of the replicas whose load changed most, and eventually all.

        Args:
            load_of: Returns the present load of the replica with a key.
            capacity_of: Returns the capacity of the replica with a key.
            most: Maximum number of rows.
        """
        changed = {}
        for key in list(self._skip_counts):
            load = load_of(key)
            if load == self._published.get(key, NO_LOAD):
                del self._skip_counts[key]
            else:
                changed[key] = load
        chosen = list(changed)
        if len(changed) > most:
            chosen = sorted(changed, key=lambda key: -self._priority(key, changed[key], capacity_of(key)))[:most]
        for key in chosen:
            del self._skip_counts[key]
            self._set_published(key, changed[key])
        for key in self._skip_counts:
            self._skip_counts[key] += 1
        return b"".join(changed[key].pack(key) for key in sorted(chosen))

    def _priority(self, key: bytes, load: Load, capacity: Capacity) -> float:
        """Returns the difference from the published load as a share of the capacity, plus the bonus for waiting."""
        published = self._published.get(key, NO_LOAD)
        priority = abs(load.running - published.running) / max(1, capacity.batch_slots)
        priority += abs(load.tokens - published.tokens) / max(1, capacity.tokens)
        if (load.suspect_count > 0, load.flags) != (published.suspect_count > 0, published.flags):
            priority += 1.0
        return priority + self._skip_counts[key] * AGE_WEIGHT

    def _set_published(self, key: bytes, load: Load) -> None:
        if load == NO_LOAD:
            self._published.pop(key, None)
        else:
            self._published[key] = load

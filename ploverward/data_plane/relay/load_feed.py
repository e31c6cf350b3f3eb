"""Loads of replicas as they are told to subscribers at one pace: what moved most first, a bounded number at a time."""

import dataclasses
import typing

from ploverward.transport import row_codec

FAILING, FULL = 1, 2  # flags of a load frame's row
FULL_SHARE = 0.75  # of a replica's places: from there on it is told as full
AGE_WEIGHT = 1 / 16  # of a whole replica's places, for each time that a row was passed over


class Load(typing.NamedTuple):
    """One replica's load, summed over all proxies, as a load frame carries it."""

    running: int = 0
    tokens: int = 0  # still to be read
    suspect_count: int = 0  # proxies that mark it as silent
    flags: int = 0

    def pack(self, key: bytes) -> bytes:
        return row_codec.LOAD.pack(
            key,
            row_codec.short(self.running),
            row_codec.long(self.tokens),
            row_codec.short(self.suspect_count),
            self.flags,
        )


@dataclasses.dataclass(frozen=True)
class Scale:
    """What a replica takes at most: its places, and the tokens that it keeps."""

    batch_slots: int = 0  # 0: not known
    tokens: int = 1


NO_LOAD = Load()
NO_SCALE = Scale()


class LoadFeed:
    """What all subscribers of one pace were told, and what is still to be told to them."""

    def __init__(self):
        self._published = {}  # replica key: Load; none is NO_LOAD
        self._waiting = {}  # replica key: how often it was passed over

    def record(self, key: bytes) -> None:
        """This replica's load changed."""
        self._waiting.setdefault(key, 0)

    def snapshot(self) -> bytes:
        """Rows of all that was told: where a subscriber stands that joins now."""
        return b"".join(self._published[key].pack(key) for key in sorted(self._published))

    def take(self, *, load_of, scale_of, most: int) -> bytes:
        """Rows to be told now, at most so many: those that moved most, and in time each.

        `load_of` and `scale_of` give a Load and a Scale for a replica's key.
        """
        moved = {}
        for key in list(self._waiting):
            load = load_of(key)
            if load == self._published.get(key, NO_LOAD):
                del self._waiting[key]
            else:
                moved[key] = load
        chosen = moved
        if len(moved) > most:
            chosen = sorted(moved, key=lambda key: -self._moved_by(key, moved[key], scale_of(key)))[:most]
        for key in chosen:
            del self._waiting[key]
            self._keep(key, moved[key])
        for key in self._waiting:
            self._waiting[key] += 1
        return b"".join(moved[key].pack(key) for key in sorted(chosen))

    def _moved_by(self, key: bytes, load: Load, scale: Scale) -> float:
        """How far the load is from what was told, in parts of what the replica takes."""
        published = self._published.get(key, NO_LOAD)
        moved = abs(load.running - published.running) / max(1, scale.batch_slots)
        moved += abs(load.tokens - published.tokens) / max(1, scale.tokens)
        if (load.suspect_count > 0, load.flags) != (published.suspect_count > 0, published.flags):
            moved += 1.0
        return moved + self._waiting[key] * AGE_WEIGHT

    def _keep(self, key: bytes, load: Load) -> None:
        if load == NO_LOAD:
            self._published.pop(key, None)
        else:
            self._published[key] = load

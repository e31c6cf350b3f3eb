"""Ballots and the sets of core nodes that a value stands under (docs/register.md 2)."""

import functools
import json
import zlib

NONE = (0, "")
COMPRESSION = 1
HEADS_KEPT = 8
NEVER = 1 << 62  # later than any rev


def majority(members) -> int:
    return len(members) // 2 + 1


def has_majority(*, of, among) -> bool:
    return sum(1 for member in of if member in among) >= majority(of)


def pack(*, members, payload, previous=(), moved_at=NEVER) -> bytes:
    """A value under the set `members`. Where that is not yet known to be chosen, `previous` is the set before it, and
    `moved_at` the rev with which the move began."""
    fields = [list(members), payload]
    if previous:
        fields += [list(previous), moved_at]
    return zlib.compress(json.dumps(fields, separators=(",", ":")).encode(), COMPRESSION)


def unpack(value: bytes) -> tuple:
    """(members, payload)."""
    members, payload, *_previous = json.loads(zlib.decompress(value))
    return tuple(members), payload


@functools.lru_cache(maxsize=HEADS_KEPT)
def _head(value: bytes) -> tuple:
    """(members, the set before it or (), the rev with which the move began or 0). A large value is not read twice."""
    members, _payload, *move = json.loads(zlib.decompress(value))
    previous, moved_at = move or ((), 0)
    return tuple(members), tuple(previous), moved_at


def members_of(value: bytes) -> tuple:
    return _head(value)[0]


def member_sets(value: bytes) -> tuple:
    """The sets that a round has to reckon with which found this value accepted: the chosen one first."""
    members, previous, _moved_at = _head(value)
    return (previous, members) if previous else (members,)


def moved_at(value: bytes) -> int:
    """The rev with which a move began that this value does not know to be over; 0 where there is none."""
    return _head(value)[2]

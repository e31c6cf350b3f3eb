"""Ballots and the sets of core nodes that a value stands under (docs/register.md 2)."""

import json
import zlib

NONE = (0, "")
COMPRESSION = 1
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


def way(value: bytes) -> tuple:
    """The sets that a round has to reckon with which found this value accepted: the chosen one first."""
    members, _payload, *move = json.loads(zlib.decompress(value))
    return (tuple(move[0]), tuple(members)) if move else (tuple(members),)


def moved_at(value: bytes) -> int:
    """The rev with which a move began that this value does not know to be over; 0 where there is none."""
    _members, _payload, *move = json.loads(zlib.decompress(value))
    return move[1] if move else 0

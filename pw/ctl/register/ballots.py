"""Ballots and the sets of core nodes that a value stands under (docs/register.md 2)."""

import json
import zlib

NONE = (0, "")
COMPRESSION = 1


def majority(members) -> int:
    return len(members) // 2 + 1


def has_majority(*, of, among) -> bool:
    return sum(1 for member in of if member in among) >= majority(of)


def pack(*, members, payload, previous=()) -> bytes:
    """A value under the set `members`. `previous` is the last set known to be chosen where `members` is not yet."""
    fields = [list(members), payload]
    if previous:
        fields.append(list(previous))
    return zlib.compress(json.dumps(fields, separators=(",", ":")).encode(), COMPRESSION)


def unpack(value: bytes) -> tuple:
    """(members, payload)."""
    members, payload, *_previous = json.loads(zlib.decompress(value))
    return tuple(members), payload


def way(value: bytes) -> tuple:
    """The sets that a round has to reckon with which found this value accepted: the chosen one first."""
    members, _payload, *previous = json.loads(zlib.decompress(value))
    return (*(tuple(row) for row in previous), tuple(members))

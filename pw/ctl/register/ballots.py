"""Ballots and the sets of core nodes that a value stands under (design 4)."""

import json
import zlib

NONE = (0, "")


def majority(members) -> int:
    return len(members) // 2 + 1


def has_majority(*, of, among) -> bool:
    return sum(1 for member in of if member in among) >= majority(of)


def pack(*, members, payload) -> bytes:
    return zlib.compress(json.dumps([list(members), payload], separators=(",", ":")).encode(), 1)


def unpack(value: bytes) -> tuple:
    members, payload = json.loads(zlib.decompress(value))
    return tuple(members), payload

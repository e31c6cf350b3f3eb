"""Majorities, and the encoding of register values together with their sets of core nodes (docs/register.md 2).

A register's value is compressed JSON: its members, its payload and, while a move of the set is not known to be chosen,
the previous set and the revision with which the move began. The format is stored and sent, so it must not change.
"""

import collections.abc
import functools
import json
import typing
import zlib

from ploverward.common.identifiers import NO_BALLOT

NONE = NO_BALLOT
COMPRESSION_LEVEL = 1  # the fastest zlib level, as values are packed on the event loop
HEADER_CACHE_SIZE = 8  # number of parsed headers; more than the registers of a node
NEVER = 1 << 62  # later than any revision


class _Header(typing.NamedTuple):
    """The member sets of a value, without its payload."""

    members: tuple[str, ...]
    previous: tuple[str, ...]  # the set before `members`; () if `members` is known to be chosen
    moved_at: int  # revision with which the move from `previous` began; 0 if there is none


def majority(members: collections.abc.Sized) -> int:
    """Returns the number of members that form a majority."""
    return len(members) // 2 + 1


def has_majority(*, of: collections.abc.Collection[str], among: collections.abc.Container[str]) -> bool:
    """Returns whether `among` contains a majority of the members `of`."""
    return sum(1 for member in of if member in among) >= majority(of)


def pack(
    *,
    members: collections.abc.Iterable[str],
    payload: object,
    previous: collections.abc.Iterable[str] = (),
    moved_at: int = NEVER,
) -> bytes:
    """Encodes a value whose core set is `members`.

    Args:
        members: the core set of the value.
        payload: content of the register, of JSON types.
        previous: the set before `members`, while `members` is not known to be chosen.
        moved_at: the revision with which the move from `previous` began.
    """
    fields = [list(members), payload]
    if previous:
        fields += [list(previous), moved_at]
    return zlib.compress(json.dumps(fields, separators=(",", ":")).encode(), COMPRESSION_LEVEL)


def unpack(value: bytes) -> tuple[tuple[str, ...], typing.Any]:
    """Decodes a value: (members, payload)."""
    members, payload, *_move = json.loads(zlib.decompress(value))
    return tuple(members), payload


@functools.lru_cache(maxsize=HEADER_CACHE_SIZE)
def _header(value: bytes) -> _Header:
    """Returns the header of a value; cached, so that a large value is not decoded for each reply that carries it."""
    members, _payload, *move = json.loads(zlib.decompress(value))
    previous, moved_at = move or ((), 0)
    return _Header(members=tuple(members), previous=tuple(previous), moved_at=moved_at)


def members_of(value: bytes) -> tuple[str, ...]:
    """Returns the core set of a value."""
    return _header(value).members


def member_sets(value: bytes) -> tuple[tuple[str, ...], ...]:
    """Returns the sets of which a proposer that found this value needs a majority; the first is known to be chosen."""
    header = _header(value)
    return (header.previous, header.members) if header.previous else (header.members,)


def is_moving(value: bytes) -> bool:
    """Returns whether a stored value also names the set before a move; False for an empty value."""
    return bool(value) and len(member_sets(value)) > 1


def moved_at(value: bytes) -> int:
    """Returns the revision with which a move began that is not known to be finished; 0 if there is none."""
    return _header(value).moved_at

"""Majorities, and the encoding of values with their sets of core nodes (docs/register.md 2).

A register's value is JSON: its members, its payload and, while a move of the set is not known to be chosen, the set
before it and the revision with which the move began. The form is stored and sent; it does not change.
"""

import collections.abc
import functools
import json
import typing
import zlib

from ploverward.common.identifiers import NO_BALLOT

NONE = NO_BALLOT
COMPRESSION = 1  # zlib level: values are packed on the event loop
CACHED_HEADERS = 8  # parsed headers of values; more than the registers of a node
NEVER = 1 << 62  # later than any revision


class _Header(typing.NamedTuple):
    """A value without its payload."""

    members: tuple[str, ...]
    previous: tuple[str, ...]  # the set before `members`; () where `members` is known to be chosen
    moved_at: int  # revision with which the move from `previous` began; 0 where there is none


def majority(members: collections.abc.Sized) -> int:
    """How many of the members are a majority."""
    return len(members) // 2 + 1


def has_majority(*, of: collections.abc.Collection[str], among: collections.abc.Container[str]) -> bool:
    """Whether a majority of the members `of` is contained in `among`."""
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
        members: the set of the value.
        payload: what the register is for; JSON types.
        previous: the set before it, while `members` is not known to be chosen.
        moved_at: the revision with which the move from `previous` began.
    """
    fields = [list(members), payload]
    if previous:
        fields += [list(previous), moved_at]
    return zlib.compress(json.dumps(fields, separators=(",", ":")).encode(), COMPRESSION)


def unpack(value: bytes) -> tuple[tuple[str, ...], typing.Any]:
    """Decodes a value: (members, payload)."""
    members, payload, *_move = json.loads(zlib.decompress(value))
    return tuple(members), payload


@functools.lru_cache(maxsize=CACHED_HEADERS)
def _header(value: bytes) -> _Header:
    """Cached, so that a large value is not decoded for each reply that carries it."""
    members, _payload, *move = json.loads(zlib.decompress(value))
    previous, moved_at = move or ((), 0)
    return _Header(members=tuple(members), previous=tuple(previous), moved_at=moved_at)


def members_of(value: bytes) -> tuple[str, ...]:
    """The core set of the value."""
    return _header(value).members


def member_sets(value: bytes) -> tuple[tuple[str, ...], ...]:
    """The sets of which a proposer that found this value needs a majority, the one known to be chosen first."""
    header = _header(value)
    return (header.previous, header.members) if header.previous else (header.members,)


def is_moving(value: bytes) -> bool:
    """Whether a stored value names the set before a move, too; False for an empty value."""
    return bool(value) and len(member_sets(value)) > 1


def moved_at(value: bytes) -> int:
    """The revision with which a move began that is not known to be over; 0 where there is none."""
    return _header(value).moved_at

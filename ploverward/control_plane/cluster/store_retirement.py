"""Stores that are to be emptied and taken away: the rows that say so, and when it is done (docs/batch.md 6).

The order is a row of the register of singleton roles, `retire/NAME`: the store's address and its disk. Placement moves
the store's copies away; once no arrangement names the store it may go, and nothing is placed on that disk any more.
"""

from __future__ import annotations

import typing
from collections.abc import Iterable
from collections.abc import Mapping

from ploverward.common import batch_partitions

ROLE_PREFIX = "retire/"

Roles = Mapping[str, typing.Sequence]


class RetiringStore(typing.NamedTuple):
    """A store that is to be emptied.

    Attributes:
        address: Of the store.
        disk: Its disk: another one at the same address is not meant.
    """

    address: str
    disk: str


def retiring_stores(roles: Roles) -> dict[str, RetiringStore]:
    """Returns the stores that are to be emptied, by name."""
    return {
        name.removeprefix(ROLE_PREFIX): RetiringStore(row[1], row[2])
        for name, row in roles.items()
        if name.startswith(ROLE_PREFIX)
    }


def with_retirement(roles: Roles, *, name: str, store: RetiringStore) -> dict[str, typing.Sequence]:
    """Returns the register with the order to empty a store; unchanged where it has it."""
    row = roles.get(ROLE_PREFIX + name, (0, "", ""))
    if RetiringStore(row[1], row[2]) == store:
        return {**roles}
    return {**roles, ROLE_PREFIX + name: [row[0] + 1, *store]}


def is_emptied(roles: Roles, store: RetiringStore) -> bool:
    """Whether no arrangement names a store any more."""
    for number in range(batch_partitions.PARTITIONS):
        owners = batch_partitions.owners_of(partition=number, roles=roles)
        is_member = any(
            member.address == store.address and batch_partitions.is_same_disk(member, store.disk)
            for member in owners.members
        )
        if is_member or store.address in owners.learners:
            return False
    return True


def has_enough_zones(zones_of_others: Iterable[str], *, copies: int) -> bool:
    """Whether partitions can have their copies, each in another zone, without a store.

    Args:
        zones_of_others: Of the other stores that are connected and stay.
        copies: How many a partition has.
    """
    return len(set(zones_of_others)) >= copies

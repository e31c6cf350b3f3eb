"""Retirement of stores: an operator has a store emptied so that it can be removed (docs/batch.md 6).

A retirement is a row of the register of singleton roles, `retire/NAME`, with the store's address and disk. Partition
placement moves the store's copies to other stores. Once no arrangement contains the store, it can be removed. The row
stays, and nothing is placed on that disk again.
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
        address: Address of the store.
        disk: Identifier of its disk. A store with another disk at the same address is not retiring.
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
    """Returns the register with the retirement of a store; the rows stay as they are if it is already there."""
    row = roles.get(ROLE_PREFIX + name, (0, "", ""))
    if RetiringStore(row[1], row[2]) == store:
        return {**roles}
    return {**roles, ROLE_PREFIX + name: [row[0] + 1, *store]}


def is_emptied(roles: Roles, store: RetiringStore) -> bool:
    """Whether no arrangement contains the store any more, neither as a member nor as a learner."""
    for number in range(batch_partitions.PARTITIONS):
        owners = batch_partitions.owners_of(partition=number, roles=roles)
        is_member = any(
            member.address == store.address and batch_partitions.is_same_disk(member, store.disk)
            for member in owners.members
        )
        if is_member or store.address in owners.learners:
            return False
    return True


def copies_of(roles: Roles, address: str) -> list[str]:
    """Returns the copies that arrangements place at an address: each partition, with the disk of its member."""
    copies = []
    for number in range(batch_partitions.PARTITIONS):
        owners = batch_partitions.owners_of(partition=number, roles=roles)
        name = batch_partitions.role_name(number)
        copies += [f"{name} {member.disk}" for member in owners.members if member.address == address]
        copies += [f"{name} learner" for learner in owners.learners if learner == address]
    return copies


def has_enough_zones(other_zones: Iterable[str], *, copies: int) -> bool:
    """Whether partitions can have all their copies in different zones after a store is removed.

    Args:
        other_zones: Zones of the other stores that are connected and not retiring.
        copies: Number of copies of a partition.
    """
    return len(set(other_zones)) >= copies

"""Retirement of stores: an operator has a store emptied so that it can be removed (docs/batch.md 6).

A retirement is a row of the register of singleton roles, `retire/NAME`, with the store's address and disk at the time
of the order. It applies to the store of that name whatever disk it has: a store that loses its disk while it is emptied
still has to be emptied. Partition placement moves the store's copies to other stores and places none on it. Once no
arrangement names the store and all copies exist without it, the store can be removed.

A retirement is open until the emptied store has been away for so long that it was removed, or until the operator
withdraws it. Then the address of the row is empty, and a store that connects under that name with another disk is a new
one. Nothing is placed on the disk that was removed, and after a withdrawal the disk of the row is empty, too. Earlier
versions of this software read a row without an address as one that applies to no store.
"""

from __future__ import annotations

import typing
from collections.abc import Callable
from collections.abc import Mapping

from ploverward.common import batch_partitions
from ploverward.common import errors
from ploverward.control_plane.cluster import singleton_roles
from ploverward.transport import batch_messages

ROLE_PREFIX = "retire/"

Roles = Mapping[str, typing.Sequence]
KnownStores = Mapping[str, batch_messages.StoreIdentity]


class Retirement(typing.NamedTuple):
    """The order to empty a store.

    Attributes:
        epoch: Number of changes of the row; 0 if there is none.
        address: Address of the store at the time of the order; empty if the retirement is not open any more.
        disk: Identifier of its disk at the time of the order, or at its removal; empty if the order was withdrawn.
    """

    epoch: int
    address: str
    disk: str

    @property
    def is_open(self) -> bool:
        """Whether the store is still to be emptied, or has been emptied and may not have been removed yet."""
        return bool(self.address)

    @property
    def is_ordered(self) -> bool:
        """Whether the store was to be emptied and the order was not withdrawn."""
        return bool(self.address or self.disk)


NO_RETIREMENT = Retirement(0, "", "")


def retirement_of(roles: Roles, name: str) -> Retirement:
    """Returns the retirement of the store with this name; `NO_RETIREMENT` if none was ever ordered."""
    row = roles.get(ROLE_PREFIX + name)
    return Retirement(*row) if row is not None else NO_RETIREMENT


def _retirements(roles: Roles) -> dict[str, Retirement]:
    names = [role.removeprefix(ROLE_PREFIX) for role in roles if role.startswith(ROLE_PREFIX)]
    return {name: retirement_of(roles, name) for name in names}


def addresses_of(name: str, retirement: Retirement, *, known: KnownStores) -> set[str]:
    """Returns the addresses at which a store with a retirement has or may have copies.

    Args:
        name: Name of the store.
        retirement: Its retirement.
        known: Identities of the stores that are or were connected, by address.
    """
    addresses = {address for address, identity in known.items() if identity.node == name}
    return addresses | {retirement.address} if retirement.is_open else addresses


def retiring_addresses(roles: Roles, *, known: KnownStores) -> set[str]:
    """Returns the addresses at which nothing may be placed.

    These are the addresses of stores whose retirement is open, and of removed stores that came back with their disks.

    Args:
        roles: The register of singleton roles.
        known: Identities of the stores that are or were connected, by address.
    """
    retiring = set()
    for name, retirement in _retirements(roles).items():
        for address in addresses_of(name, retirement, known=known):
            if retirement.is_open or known[address].disk == retirement.disk:
                retiring.add(address)
    return retiring


def with_retirement(
    roles: Roles, *, name: str, address: str, known: KnownStores, zones: Mapping[str, str], copies: int
) -> Roles:
    """Returns the register with an open retirement of a store; the register as it is if it is already there.

    The register's value at the time of the change decides which other stores are retiring, so that of several orders at
    once only as many are accepted as leave enough stores.

    Args:
        roles: The register of singleton roles.
        name: Name of the store.
        address: Its address, which is known.
        known: Identities of the stores that are or were connected, by address.
        zones: Zones of the connected stores, by address.
        copies: Number of members that a partition is to have.

    Raises:
        TooFewStoresError: The stores that would be left are in too few zones.
    """
    retiring = retiring_addresses(roles, known=known)
    others = {zone for other, zone in zones.items() if other not in {*retiring, address}}
    if address not in retiring and len(others) < copies:
        raise errors.TooFewStoresError(
            f"without '{name}' too few stores would be left for {copies} copies", step="retire", peer=name
        )
    current, disk = retirement_of(roles, name), known[address].disk
    if (current.address, current.disk) == (address, disk):
        return roles
    return {**roles, ROLE_PREFIX + name: [current.epoch + 1, address, disk]}


def without_retirement(roles: Roles, *, name: str) -> Roles:
    """Returns the register with the retirement of a store withdrawn: the store may get copies again."""
    current = retirement_of(roles, name)
    if not current.is_ordered:
        return roles
    return {**roles, ROLE_PREFIX + name: [current.epoch + 1, "", ""]}


def is_emptied(roles: Roles, addresses: set[str], *, copies: int) -> bool:
    """Whether a store can be removed: no arrangement names it, and no partition lacks copies without it.

    Args:
        roles: The register of singleton roles.
        addresses: The store's addresses. A copy at one of them counts with whatever disk it is named.
        copies: Number of members that a partition is to have.
    """
    for number in range(batch_partitions.PARTITIONS):
        owners = batch_partitions.owners_of(partition=number, roles=roles)
        if addresses & {*owners.stores, *owners.learners}:
            return False
        if 0 < len(owners.members) < copies:
            return False
    return True


def copies_of(roles: Roles, addresses: set[str]) -> list[str]:
    """Returns the copies that arrangements place at some addresses: each partition, with the disk of its member."""
    copies = []
    for number in range(batch_partitions.PARTITIONS):
        owners = batch_partitions.owners_of(partition=number, roles=roles)
        name = batch_partitions.role_name(number)
        copies += [f"{name} {member.disk}" for member in owners.members if member.address in addresses]
        copies += [f"{name} learner" for learner in owners.learners if learner in addresses]
    return copies


def admits(roles: Roles, name: str, row: singleton_roles.RoleOwner, *, known: KnownStores) -> bool:
    """Whether the register may take a row: an arrangement may not give a copy to a retiring store.

    The coordinator decides on a copy of the register that may lack the latest orders. Without this check, a store could
    get a copy after it was reported as emptied.

    Args:
        roles: The register of singleton roles, with all orders that were acknowledged.
        name: Name of the row.
        row: The row that is to replace the current one.
        known: Identities of the stores that are or were connected, by address.
    """
    if not name.startswith(batch_partitions.ROLE + "/"):
        return True
    current, new = batch_partitions.unpack_owners(roles.get(name, (0, "", ""))), batch_partitions.unpack_owners(row)
    added = {*new.stores, *new.learners} - {*current.stores, *current.learners}
    return not added & retiring_addresses(roles, known=known)


def completed_retirements(
    roles: Roles, *, known: KnownStores, copies: int, is_removed: Callable[[str], bool]
) -> dict[str, singleton_roles.RoleOwner]:
    """Returns the rows that end the retirements of stores that were emptied and removed.

    Args:
        roles: The register of singleton roles.
        known: Identities of the stores that are or were connected, by address.
        copies: Number of members that a partition is to have.
        is_removed: Whether the store with a given name has been away for long enough to count as removed.
    """
    rows = {}
    for name, retirement in _retirements(roles).items():
        addresses = addresses_of(name, retirement, known=known)
        if retirement.is_open and is_removed(name) and is_emptied(roles, addresses, copies=copies):
            disks = [identity.disk for identity in known.values() if identity.node == name]
            rows[ROLE_PREFIX + name] = singleton_roles.RoleOwner(retirement.epoch, "", [retirement.disk, *disks][-1])
    return rows

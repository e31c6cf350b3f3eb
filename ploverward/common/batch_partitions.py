"""Partitions of the batch tier: the partition of a tenant's jobs, and the stored form of a partition's owners.

A partition has members, which are stores whose copies contain everything committed, and learners, which are stores that
are still catching up. The first member is the primary. The row of a partition in the register of singleton roles names
all of them, so that each epoch belongs to exactly one arrangement (docs/batch.md 2). A member is a store with a
particular disk: a store that returns with an empty disk is not a member.

A row has three columns: the epoch; the addresses of the members, separated by commas, then after a semicolon those of
the learners; the process of the primary, then after a semicolon the disks of the members in the same order. Rows of the
first version have neither process nor disks.
"""

from __future__ import annotations

import typing
import zlib
from collections.abc import Mapping

PARTITIONS = 32  # must not change: the partition of a tenant is fixed
ROLE = "jobs"
UNKNOWN_DISK = ""  # disk of the members in rows of the first version


class Member(typing.NamedTuple):
    """A store whose copy contains everything committed.

    Attributes:
        address: Address of the store.
        disk: Identifier of the disk that has the copy; empty if the row does not state it.
    """

    address: str
    disk: str


class PartitionOwners(typing.NamedTuple):
    """The stores that a partition is assigned to.

    Attributes:
        epoch: Number of the arrangement; increases with each new one, 0 if there is none yet.
        members: The members, the primary first; empty if there are none yet.
        learners: Addresses of the stores that are still catching up.
        process: Identifier of the primary's process that the epoch was given to; a restart changes it. Empty if any
            process may use the epoch.
    """

    epoch: int
    members: tuple[Member, ...]
    learners: tuple[str, ...] = ()
    process: str = ""

    @property
    def stores(self) -> tuple[str, ...]:
        """The addresses of the members."""
        return tuple(member.address for member in self.members)

    @property
    def primary(self) -> str:
        """Address of the primary, which handles requests; empty if there is none yet."""
        return self.members[0].address if self.members else ""

    @property
    def backups(self) -> tuple[str, ...]:
        """Addresses of the members other than the primary."""
        return self.stores[1:]


NO_OWNERS = PartitionOwners(0, ())


def partition_of(tenant: str) -> int:
    """Returns the partition of a tenant's jobs."""
    return zlib.crc32(tenant.encode()) % PARTITIONS


def role_name(partition: int) -> str:
    """Returns the name of a partition's role."""
    return f"{ROLE}/{partition}"


def pack_owners(owners: PartitionOwners) -> tuple[int, str, str]:
    """Returns the stored form of a partition's owners."""
    addresses = ",".join(owners.stores)
    if owners.learners:
        addresses += ";" + ",".join(owners.learners)
    return owners.epoch, addresses, f"{owners.process};{','.join(member.disk for member in owners.members)}"


def owners_of(*, partition: int, roles: Mapping[str, typing.Sequence]) -> PartitionOwners:
    """Returns the owners of a partition from the register of singleton roles."""
    return unpack_owners(roles.get(role_name(partition), (0, "", "")))


def unpack_owners(row: typing.Sequence) -> PartitionOwners:
    """Parses the stored form of a partition's owners."""
    epoch, addresses, identities = row
    member_text, _semicolon, learner_text = addresses.partition(";")
    process, _semicolon, disk_text = identities.partition(";")
    stores = _split(member_text)
    disks = disk_text.split(",") if disk_text else [UNKNOWN_DISK] * len(stores)
    return PartitionOwners(epoch, tuple(map(Member, stores, disks)), tuple(_split(learner_text)), process)


def _split(text: str) -> list[str]:
    return text.split(",") if text else []


def is_same_disk(member: Member, disk: str) -> bool:
    """Returns whether `disk` is the disk of the member, or the member's disk is unknown."""
    return member.disk in (disk, UNKNOWN_DISK)

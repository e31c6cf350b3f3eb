"""Partitions of the batch tier: which one a tenant's jobs belong to, and how the roles of their owners are written.

A partition has members, stores whose copies have all that was committed, the first of them its primary, and learners,
stores that are brought level. Its row in the register of singleton roles names them all, so that an epoch belongs to
one arrangement (docs/batch.md 2). A member is a store with a certain disk: one that comes back with an empty disk is
none.

The row's stored form: the epoch, then the members' addresses parted by commas, behind a semicolon those of the
learners, then the primary's process and, behind a semicolon, the disks of the members in the same order. Rows of the
first version have no process and no disks.
"""

from __future__ import annotations

import typing
import zlib
from collections.abc import Mapping

PARTITIONS = 32  # fixed: a tenant's partition never changes
ROLE = "jobs"
UNKNOWN_DISK = ""  # of a row of the first version


class Member(typing.NamedTuple):
    """A store whose copy has all that was committed.

    Attributes:
        address: Of the store.
        disk: Identifies the disk that has the copy; empty where the row does not say.
    """

    address: str
    disk: str


class PartitionOwners(typing.NamedTuple):
    """The arrangement of a partition.

    Attributes:
        epoch: Rises with each arrangement; 0: there is none yet.
        members: The primary first; empty where there is none yet.
        learners: Addresses of stores that are brought level.
        process: Identifies the start of the primary's process that the epoch was given to; empty: any.
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
        """The store that answers; empty where there is none yet."""
        return self.members[0].address if self.members else ""

    @property
    def backups(self) -> tuple[str, ...]:
        """The other members."""
        return self.stores[1:]


NO_OWNERS = PartitionOwners(0, ())


def partition_of(tenant: str) -> int:
    """Returns the partition of a tenant's jobs."""
    return zlib.crc32(tenant.encode()) % PARTITIONS


def role_name(partition: int) -> str:
    """Returns the name of a partition's role."""
    return f"{ROLE}/{partition}"


def pack_owners(owners: PartitionOwners) -> tuple[int, str, str]:
    """Returns the row of an arrangement."""
    addresses = ",".join(owners.stores)
    if owners.learners:
        addresses += ";" + ",".join(owners.learners)
    return owners.epoch, addresses, f"{owners.process};{','.join(member.disk for member in owners.members)}"


def owners_of(*, partition: int, roles: Mapping[str, typing.Sequence]) -> PartitionOwners:
    """Reads a partition's arrangement from the register of singleton roles."""
    return unpack_owners(roles.get(role_name(partition), (0, "", "")))


def unpack_owners(row: typing.Sequence) -> PartitionOwners:
    """Reads the row of an arrangement."""
    epoch, addresses, identities = row
    member_text, _semicolon, learner_text = addresses.partition(";")
    process, _semicolon, disk_text = identities.partition(";")
    stores = _parts(member_text)
    disks = disk_text.split(",") if disk_text else [UNKNOWN_DISK] * len(stores)
    return PartitionOwners(epoch, tuple(map(Member, stores, disks)), tuple(_parts(learner_text)), process)


def _parts(text: str) -> list[str]:
    return text.split(",") if text else []


def is_same_disk(member: Member, disk: str) -> bool:
    """Whether a store's disk is the one that the arrangement names."""
    return member.disk in (disk, UNKNOWN_DISK)

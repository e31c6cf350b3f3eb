"""Partitions of the batch tier: which one a tenant's jobs belong to, and how the roles of their owners are written.

A partition is owned by one store, its primary, and copied to backups in other zones. Its row in the register of
singleton roles names them all, the primary first, so that an epoch belongs to one arrangement (docs/batch.md 2).
"""

import typing
import zlib
from collections.abc import Mapping

PARTITIONS = 32  # fixed: a tenant's partition never changes
ROLE = "jobs"


class PartitionOwners(typing.NamedTuple):
    """The stores of a partition.

    Attributes:
        epoch: Rises with each arrangement; 0: there is none yet.
        stores: Their addresses, the primary first; empty where there is none yet.
    """

    epoch: int
    stores: tuple[str, ...]

    @property
    def primary(self) -> str:
        """The store that answers; empty where there is none yet."""
        return self.stores[0] if self.stores else ""

    @property
    def backups(self) -> tuple[str, ...]:
        """The stores that keep copies."""
        return self.stores[1:]


def partition_of(tenant: str) -> int:
    """Returns the partition of a tenant's jobs."""
    return zlib.crc32(tenant.encode()) % PARTITIONS


def role_name(partition: int) -> str:
    """Returns the name of a partition's role."""
    return f"{ROLE}/{partition}"


def join_stores(stores: typing.Iterable[str]) -> str:
    """Returns addresses as the role's row has them."""
    return ",".join(stores)


def owners_of(*, partition: int, roles: Mapping[str, typing.Sequence]) -> PartitionOwners:
    """Reads a partition's owners from the register of singleton roles."""
    epoch, stores, _incarnation = roles.get(role_name(partition), (0, "", ""))
    return PartitionOwners(epoch, tuple(stores.split(",")) if stores else ())

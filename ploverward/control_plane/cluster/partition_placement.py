"""Which stores own the partitions of the batch tier (docs/batch.md 2).

A pure function: the partitions without owners get a primary and backups, each in another zone, evenly over the stores.
An arrangement that exists stays as it is.
"""

import dataclasses
import typing
import zlib
from collections.abc import Sequence

from ploverward.common import batch_partitions
from ploverward.control_plane.cluster import singleton_roles


class StoreIdentity(typing.NamedTuple):
    """A connected store."""

    address: str
    zone: str


def placement_changes(
    *, stores: Sequence[StoreIdentity], copies: int, find_role: singleton_roles.FindRole
) -> dict[str, singleton_roles.RoleOwner]:
    """Returns the rows of partitions that have no owners yet.

    Args:
        stores: The connected ones.
        copies: How many stores a partition has.
        find_role: Finds the present owner of a role.
    """
    rows: dict[str, singleton_roles.RoleOwner] = {}
    if len({store.zone for store in stores}) < copies:
        return rows
    load = {store.address: _Load() for store in stores}
    for partition in range(batch_partitions.PARTITIONS):
        name = batch_partitions.role_name(partition)
        epoch, addresses, _incarnation = find_role(name)
        if addresses:
            continue
        chosen = _choose(partition, stores=stores, copies=copies, load=load)
        rows[name] = singleton_roles.RoleOwner(epoch, batch_partitions.join_stores(chosen), "")
    return rows


@dataclasses.dataclass(slots=True)
class _Load:
    """What a store has been given."""

    primaries: int = 0
    copies: int = 0


def _choose(partition: int, *, stores: Sequence[StoreIdentity], copies: int, load: dict[str, _Load]) -> list[str]:
    """The store that is primary of the fewest partitions, and those of other zones that have the fewest copies."""
    chosen: list[StoreIdentity] = []
    while len(chosen) < copies:
        zones = {store.zone for store in chosen}
        free = [store for store in stores if store.zone not in zones]
        best = min(free, key=lambda store: _weight(partition, store, load[store.address], is_primary=not chosen))
        load[best.address].primaries += not chosen
        load[best.address].copies += 1
        chosen.append(best)
    return [store.address for store in chosen]


def _weight(partition: int, store: StoreIdentity, load: _Load, *, is_primary: bool) -> tuple[int, int, int]:
    return (load.primaries if is_primary else 0, load.copies, _rank(partition, store))


def _rank(partition: int, store: StoreIdentity) -> int:
    return zlib.crc32(f"{partition} {store.address}".encode())

"""Which stores own partitions: each in another zone, evenly, and what there is stays."""

import collections

import pytest

from ploverward.common import batch_partitions
from ploverward.control_plane.cluster import partition_placement

STORES = [
    partition_placement.StoreIdentity(address=f"10.{zone}.0.{number}", zone=f"z{zone}")
    for zone in range(5)
    for number in range(2)
]
ZONES = {store.address: store.zone for store in STORES}


def placed(stores=STORES, *, copies=3, roles=None):
    roles = roles or {}
    return partition_placement.placement_changes(
        stores=stores, copies=copies, find_role=lambda name: roles.get(name, (0, "", ""))
    )


def test_each_partition_has_its_copies_in_different_zones():
    rows = placed()
    assert len(rows) == batch_partitions.PARTITIONS
    for row in rows.values():
        stores = row.address.split(",")
        assert len({ZONES[store] for store in stores}) == 3 == len(stores)


def test_primaries_and_copies_are_spread_evenly():
    rows = [row.address.split(",") for row in placed().values()]
    primaries = collections.Counter(stores[0] for stores in rows)
    copies = collections.Counter(store for stores in rows for store in stores)
    assert max(primaries.values()) - min(primaries.values()) <= 2 and len(primaries) == len(STORES)
    assert max(copies.values()) - min(copies.values()) <= 4


def test_an_arrangement_that_exists_stays_whatever_stores_there_are():
    rows = placed()
    roles = {name: (row.epoch + 1, row.address, "") for name, row in rows.items()}
    assert placed(STORES[:4], roles=roles) == {}
    del roles[batch_partitions.role_name(7)]
    assert list(placed(roles=roles)) == [batch_partitions.role_name(7)]


@pytest.mark.parametrize("count", [0, 2, 4])
def test_too_few_zones_place_nothing(count):
    assert placed(STORES[:count]) == {}


def test_owners_are_read_as_they_were_written():
    roles = {"jobs/3": [4, batch_partitions.join_stores(("a", "b", "c")), ""]}
    owners = batch_partitions.owners_of(partition=3, roles=roles)
    assert (owners.epoch, owners.primary, owners.backups) == (4, "a", ("b", "c"))
    nobody = batch_partitions.owners_of(partition=4, roles=roles)
    assert (nobody.epoch, nobody.primary, nobody.backups) == (0, "", ())

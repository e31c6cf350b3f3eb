"""Retirement of stores: its row in the register, and the conditions for its start and its end."""

from ploverward.common import batch_partitions
from ploverward.control_plane.cluster import store_retirement

STORE = store_retirement.RetiringStore("10.1.0.1", "disk-1")


def roles_with(*members, learners=()):
    owners = batch_partitions.PartitionOwners(3, tuple(batch_partitions.Member(*row) for row in members), learners)
    return {"jobs/4": list(batch_partitions.pack_owners(owners))}


def test_retirement_is_added_once_and_read_back():
    roles = store_retirement.with_retirement({"watch": [1, "x", "y"]}, name="store-1", store=STORE)
    assert store_retirement.retiring_stores(roles) == {"store-1": STORE}
    assert store_retirement.with_retirement(roles, name="store-1", store=STORE) == roles
    assert roles["watch"] == [1, "x", "y"]


def test_store_of_same_name_with_new_disk_gets_its_own_retirement():
    roles = store_retirement.with_retirement({}, name="store-1", store=STORE)
    other = STORE._replace(disk="disk-2")
    changed = store_retirement.with_retirement(roles, name="store-1", store=other)
    assert store_retirement.retiring_stores(changed) == {"store-1": other}


def test_store_is_emptied_when_no_arrangement_contains_it():
    others = (("10.2.0.1", "disk-2"), ("10.3.0.1", "disk-3"))
    assert not store_retirement.is_emptied(roles_with(*others, STORE), STORE)
    assert not store_retirement.is_emptied(roles_with(*others, learners=(STORE.address,)), STORE)
    assert not store_retirement.is_emptied(
        roles_with(*others, (STORE.address, "")), STORE
    )  # the arrangement does not name the member's disk
    assert store_retirement.is_emptied(roles_with(*others), STORE)
    assert store_retirement.is_emptied(roles_with(*others, (STORE.address, "disk-9")), STORE)
    assert store_retirement.is_emptied({}, STORE)


def test_remaining_zones_must_suffice_for_copies():
    assert store_retirement.has_enough_zones(["a", "b", "c"], copies=3)
    assert not store_retirement.has_enough_zones(["a", "b", "b", "a"], copies=3)

"""Retirement of stores: its row in the register, the stores that it applies to, and the conditions for its end."""

import pytest

from ploverward.common import batch_partitions
from ploverward.common import errors
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.cluster import store_retirement
from ploverward.transport import batch_messages

NAME, ADDRESS, DISK = "store-1", "10.1.0.1", "disk-1"
OTHERS = (("10.2.0.1", "disk-2"), ("10.3.0.1", "disk-3"), ("10.4.0.1", "disk-4"))


def known(**disks):
    """Returns the identities of stores that are known at 10.N.0.1, by address; store_N=disk."""
    return {
        f"10.{name[-1]}.0.1": batch_messages.StoreIdentity(name.replace("_", "-"), disk, "p")
        for name, disk in disks.items()
    }


def packed(*members, learners=(), epoch=3):
    owners = batch_partitions.PartitionOwners(epoch, tuple(batch_partitions.Member(*row) for row in members), learners)
    return list(batch_partitions.pack_owners(owners))


def roles_with(*members, learners=()):
    return {"jobs/4": packed(*members, learners=learners)}


ZONES = {f"10.{number}.0.1": f"z{number}" for number in range(1, 5)}


def ordered(roles=None, *, name=NAME, address=ADDRESS, zones=ZONES):
    stores = known(store_1=DISK, store_2="disk-2", store_3="disk-3", store_4="disk-4")
    return store_retirement.with_retirement(
        roles or {}, name=name, address=address, known=stores, zones=zones, copies=3
    )


def complete(roles, **disks):
    """Returns the register after the coordinator has found the store removed; unchanged if it is not complete."""
    rows = store_retirement.completed_retirements(roles, known=known(**disks), copies=3, is_removed=lambda _name: True)
    return {**roles, **{name: [row.epoch + 1, row.address, row.incarnation] for name, row in rows.items()}}


def test_retirement_is_added_once_and_read_back():
    roles = ordered({"watch": [1, "x", "y"]})
    assert store_retirement.retirement_of(roles, NAME) == (1, ADDRESS, DISK)
    assert ordered(roles) is roles
    assert roles["watch"] == [1, "x", "y"]
    assert store_retirement.retirement_of(roles, "store-2") == store_retirement.NO_RETIREMENT


def test_store_is_retiring_whatever_disk_it_has_since_the_order():
    """Guards against a store that loses its disk while it is emptied being given copies again."""
    roles = ordered()
    for disks in ({}, {"store_1": DISK}, {"store_1": "disk-9"}):
        assert store_retirement.retiring_addresses(roles, known=known(**disks)) == {ADDRESS}


def test_store_that_moved_to_another_address_is_retiring_at_both():
    moved = {"10.7.0.1": batch_messages.StoreIdentity(NAME, "disk-9", "p")}
    assert store_retirement.retiring_addresses(ordered(), known=moved) == {ADDRESS, "10.7.0.1"}


def test_store_is_emptied_when_no_arrangement_names_it_with_any_disk():
    addresses = {ADDRESS}
    is_emptied = store_retirement.is_emptied
    assert not is_emptied(roles_with(*OTHERS, (ADDRESS, DISK)), addresses, copies=3)
    assert not is_emptied(roles_with(*OTHERS, learners=(ADDRESS,)), addresses, copies=3)
    assert not is_emptied(roles_with(*OTHERS, (ADDRESS, "")), addresses, copies=3)  # the row names no disks
    assert is_emptied(roles_with(*OTHERS), addresses, copies=3)
    assert is_emptied({}, addresses, copies=3)


def test_store_with_copies_on_another_disk_than_the_order_names_is_not_emptied():
    """Guards against `delivered` for a store that lost its disk after the order and has copies on the next one."""
    assert not store_retirement.is_emptied(roles_with(*OTHERS, (ADDRESS, "disk-9")), {ADDRESS}, copies=3)


def test_store_is_not_emptied_while_a_partition_lacks_copies():
    """Guards against `delivered` while copies that the store lost with its disk exist nowhere else yet."""
    assert not store_retirement.is_emptied(roles_with(*OTHERS[:2], learners=("10.4.0.1",)), {ADDRESS}, copies=3)


def test_arrangement_that_adds_a_retiring_store_is_rejected_when_it_is_written():
    """Guards against a coordinator that has not seen the order placing a copy after `delivered` was answered."""

    def admits(current, *new, learners=()):
        row = singleton_roles.RoleOwner(*packed(*new, learners=learners))
        return store_retirement.admits({**ordered(), **current}, "jobs/4", row, known={})

    without, with_store = roles_with(*OTHERS), roles_with(*OTHERS, (ADDRESS, DISK))
    assert not admits(without, *OTHERS, learners=(ADDRESS,))
    assert not admits({}, *OTHERS[:2], (ADDRESS, DISK))
    assert admits(with_store, *OTHERS[:2], (ADDRESS, DISK))  # it had a copy before the order
    assert admits(with_store, *OTHERS[:2], learners=(ADDRESS,))  # its disk was lost
    assert admits(without, *OTHERS[:2])
    assert store_retirement.admits(ordered(), "digest/za", singleton_roles.RoleOwner(1, ADDRESS, "p"), known={})


def test_retirement_is_complete_once_the_store_is_emptied_and_removed():
    holding = ordered(roles_with(*OTHERS, (ADDRESS, DISK)))
    assert complete(holding) == holding
    roles = complete(ordered(roles_with(*OTHERS)), store_1="disk-9")
    assert store_retirement.retirement_of(roles, NAME) == (2, "", "disk-9")
    assert store_retirement.retirement_of(roles, NAME).is_ordered
    assert complete(roles) == roles


def test_store_that_is_present_keeps_its_retirement():
    rows = store_retirement.completed_retirements(ordered(), known={}, copies=3, is_removed=lambda _name: False)
    assert rows == {}


@pytest.mark.parametrize("disk, is_retiring", [("disk-1", True), ("disk-9", False)])
def test_after_completion_a_new_disk_is_in_service_and_the_removed_one_is_not(disk, is_retiring):
    roles = complete(ordered(), store_1=DISK)
    found = store_retirement.retiring_addresses(roles, known=known(store_1=disk))
    assert (found == {ADDRESS}) == is_retiring


def test_another_store_at_the_address_is_in_service_after_completion():
    roles = complete(ordered())
    assert store_retirement.retiring_addresses(roles, known=known(store_1=DISK, store_2="disk-2")) == {ADDRESS}
    other = {ADDRESS: batch_messages.StoreIdentity("store-7", "disk-7", "p")}
    assert store_retirement.retiring_addresses(roles, known=other) == set()


def test_withdrawn_retirement_applies_to_no_store_and_can_be_ordered_again():
    roles = store_retirement.without_retirement(ordered(), name=NAME)
    assert not store_retirement.retirement_of(roles, NAME).is_ordered
    assert store_retirement.retiring_addresses(roles, known=known(store_1=DISK)) == set()
    assert store_retirement.without_retirement(roles, name=NAME) is roles
    assert store_retirement.retirement_of(ordered(roles), NAME) == (3, ADDRESS, DISK)


@pytest.mark.parametrize(
    "zones",
    [
        {address: zone for address, zone in ZONES.items() if zone != "z4"},
        {**ZONES, "10.4.0.1": "z3"},
    ],
    ids=["a store is not connected", "two stores are in one zone"],
)
def test_order_is_refused_if_the_stores_left_are_in_too_few_zones(zones):
    with pytest.raises(errors.TooFewStoresError, match="store-1"):
        ordered(zones=zones)
    assert ordered(ordered(), zones=zones)  # a repeated order is not refused


def test_second_order_counts_the_first_one():
    """Guards against two orders at once that together leave too few stores; each alone would be accepted."""
    with pytest.raises(errors.TooFewStoresError):
        ordered(ordered(), name="store-2", address="10.2.0.1")

"""Placement of partitions at first, and after lost stores, emptied disks, retirements and added stores."""

import collections

import pytest

from ploverward.common import batch_partitions
from ploverward.common.batch_partitions import Member
from ploverward.control_plane.cluster import partition_placement
from ploverward.transport import batch_messages

ADDRESSES = [f"10.{zone}.0.{number}" for zone in range(5) for number in range(2)]
TIMEOUTS = partition_placement.PlacementTimeouts(failover_s=0.5, replacement_s=4.0)
NUMBER = 7
A, B, C, D = "10.0.0.0", "10.1.0.0", "10.2.0.0", "10.3.0.0"


def store(address, **changes):
    state = partition_placement.StoreState(
        address=address,
        zone=address.split(".")[1],
        disk=f"disk-{address}",
        process=f"process-{address}",
        is_connected=True,
        disconnected_for_s=0.0,
        is_retiring=False,
    )
    return state._replace(**changes)


def lost(address, disconnected_for_s=1.0):
    return store(address, is_connected=False, disconnected_for_s=disconnected_for_s)


def member(address):
    return Member(address, f"disk-{address}")


def owners(*members, learners=(), epoch=3, process=None):
    return batch_partitions.PartitionOwners(
        epoch, tuple(map(member, members)), tuple(learners), process or f"process-{members[0]}"
    )


def view(
    arrangement=None, *, changed=(), reports=None, addresses=ADDRESSES, may_place=False, never_connected_for_s=0.0
):
    stores = {address: store(address) for address in addresses} | {state.address: state for state in changed}
    return partition_placement.PlacementView(
        stores=stores,
        arrangements={NUMBER: arrangement} if arrangement is not None else {},
        reports=reports or {},
        copies=3,
        may_place=may_place,
        timeouts=TIMEOUTS,
        never_connected_for_s=never_connected_for_s,
    )


def report(caught_up=(), lost=(), epoch=3):
    rows = tuple(batch_messages.CaughtUpCopy(address, f"disk-{address}") for address in caught_up)
    return {NUMBER: batch_messages.CopyReport(NUMBER, epoch, rows, tuple(map(batch_messages.LostCopy, lost)))}


def next_arrangement(arrangement, **more):
    """Returns the arrangement after one call of `arrangement_changes`; None if it does not change."""
    rows = partition_placement.arrangement_changes(view(arrangement, **more))
    row = rows.get(batch_partitions.role_name(NUMBER))
    return batch_partitions.unpack_owners(row) if row is not None else None


def initial_arrangements(addresses=ADDRESSES, **more):
    rows = partition_placement.arrangement_changes(view(addresses=addresses, may_place=True, **more))
    return {name: batch_partitions.unpack_owners(row) for name, row in rows.items()}


# Initial arrangement.
def test_initial_copies_are_in_different_zones():
    rows = initial_arrangements()
    assert len(rows) == batch_partitions.PARTITIONS
    for row in rows.values():
        assert len({address.split(".")[1] for address in row.stores}) == 3 == len(row.stores)
        assert row.members == tuple(map(member, row.stores)) and row.process == f"process-{row.primary}"


def test_initial_primaries_and_copies_are_balanced():
    rows = initial_arrangements().values()
    primaries = collections.Counter(row.primary for row in rows)
    copies = collections.Counter(address for row in rows for address in row.stores)
    assert max(primaries.values()) - min(primaries.values()) <= 2 and len(primaries) == len(ADDRESSES)
    assert max(copies.values()) - min(copies.values()) <= 4


def test_nothing_is_placed_before_all_stores_have_had_time_to_connect():
    assert not partition_placement.arrangement_changes(view())


@pytest.mark.parametrize("count", [0, 2, 4])
def test_nothing_is_placed_with_fewer_zones_than_copies(count):
    assert not initial_arrangements(ADDRESSES[:count])


def test_nothing_is_placed_on_retiring_store():
    rows = initial_arrangements(changed=[store(A, is_retiring=True)])
    assert rows and not any(A in row.stores for row in rows.values())


def test_complete_arrangement_is_unchanged():
    assert next_arrangement(owners(A, B, C)) is None


def test_packed_owners_are_unpacked_unchanged():
    written = owners(A, B, learners=(C,), epoch=4)
    roles = {"jobs/3": list(batch_partitions.pack_owners(written))}
    assert batch_partitions.owners_of(partition=3, roles=roles) == written
    assert batch_partitions.owners_of(partition=4, roles=roles) == batch_partitions.NO_OWNERS


def test_first_version_row_is_unpacked_and_primary_gets_new_epoch():
    found = batch_partitions.unpack_owners([4, f"{A},{B},{C}", ""])
    assert (found.epoch, found.primary, found.backups, found.learners) == (4, A, (B, C), ())
    changed = next_arrangement(found)
    assert (changed.stores, changed.process) == ((A, B, C), f"process-{A}")


# Lost and replaced stores.
def test_lost_primary_is_replaced_after_failover_timeout_and_becomes_learner():
    assert next_arrangement(owners(A, B, C), changed=[lost(A, 0.4)]) is None
    changed = next_arrangement(owners(A, B, C), changed=[lost(A, 0.6)])
    assert changed.primary in (B, C) and set(changed.stores) == {B, C} and changed.learners == (A,)
    assert changed.process == f"process-{changed.primary}"


def test_store_with_new_disk_never_becomes_primary():
    emptied = store(B, disk="another")
    changed = next_arrangement(owners(A, B, C), changed=[lost(A), emptied])
    assert changed.stores == (C,) and set(changed.learners) == {A, B}
    changed = next_arrangement(owners(A, B, C), changed=[lost(A), emptied, lost(C)])  # no member can take over yet
    assert (changed.stores, changed.learners) == ((A, C), (B,))
    changed = next_arrangement(owners(A, B), changed=[lost(A), emptied])
    assert changed.stores == (A,) and B in changed.learners


def test_primary_with_new_disk_is_replaced_without_timeout():
    changed = next_arrangement(owners(A, B, C), changed=[store(A, disk="another")])
    assert changed.primary in (B, C) and changed.learners == (A,)


def test_restarted_primary_gets_new_epoch():
    changed = next_arrangement(owners(A, B, C), changed=[store(A, process="next")])
    assert (changed.stores, changed.process) == ((A, B, C), "next")


def test_member_reported_as_lost_becomes_learner():
    changed = next_arrangement(owners(A, B, C), reports=report(lost=[B]))
    assert (changed.stores, changed.learners) == ((A, C), (B,))


def test_primary_that_reports_all_connected_members_as_lost_is_replaced():
    changed = next_arrangement(owners(A, B, C), reports=report(lost=[B, C]))
    assert changed.primary in (B, C) and A not in changed.stores


def test_all_other_members_become_learners_if_reported_and_disconnected():
    changed = next_arrangement(owners(A, B, C), reports=report(lost=[B, C]), changed=[lost(B, 0.1), lost(C, 0.1)])
    assert (changed.stores, set(changed.learners)) == ((A,), {B, C})


def test_learner_reported_as_lost_stays_learner_under_new_epoch():
    changed = next_arrangement(owners(A, B, learners=[C]), reports=report(lost=[C]))
    assert changed == owners(A, B, learners=[C])


def test_lost_primary_is_kept_if_no_member_is_connected():
    assert next_arrangement(owners(A, B, C), changed=[lost(A), lost(B), lost(C)]) is None


def test_never_connected_primary_is_replaced_after_failover_timeout():
    others = [address for address in ADDRESSES if address != A]
    assert next_arrangement(owners(A, B, C), addresses=others, never_connected_for_s=0.1) is None
    assert next_arrangement(owners(A, B, C), addresses=others, never_connected_for_s=0.6).primary in (B, C)


# Learners.
def test_learner_reported_as_level_becomes_member():
    changed = next_arrangement(owners(A, B, learners=[C]), reports=report(caught_up=[C]))
    assert (changed.members, changed.learners) == (tuple(map(member, (A, B, C))), ())


def test_learner_with_new_disk_since_report_stays_learner():
    emptied = store(C, disk="another")
    assert next_arrangement(owners(A, B, learners=[C]), reports=report(caught_up=[C]), changed=[emptied]) is None


def test_missing_copy_gets_learner_in_another_zone():
    changed = next_arrangement(owners(A, B))
    (learner,) = changed.learners
    assert changed.stores == (A, B) and learner.split(".")[1] not in ("0", "1")


def test_lost_learner_is_replaced_after_replacement_timeout():
    assert next_arrangement(owners(A, B, learners=[C]), changed=[lost(C, 3.9)]) is None
    changed = next_arrangement(owners(A, B, learners=[C]), changed=[lost(C, 4.1)])
    assert changed.learners and C not in changed.learners


def test_lost_learner_is_kept_if_no_other_store_is_free():
    assert next_arrangement(owners(A, B, learners=[C]), changed=[lost(C, 9.0)], addresses=[A, B]) is None


# Retiring and added stores.
def test_retiring_store_leaves_once_enough_other_members_exist():
    leaving = [store(A, is_retiring=True)]
    changed = next_arrangement(owners(A, B, C), changed=leaving)
    assert changed.stores == (A, B, C) and len(changed.learners) == 1 and A not in changed.learners
    (learner,) = changed.learners
    changed = next_arrangement(changed._replace(epoch=3), changed=leaving, reports=report(caught_up=[learner]))
    assert changed.stores == (A, B, C, learner)
    changed = next_arrangement(changed, changed=leaving)
    assert len(changed.stores) == 3 and A not in changed.stores and changed.process == f"process-{changed.primary}"
    assert next_arrangement(changed, changed=leaving) is None


def test_retiring_store_stays_while_another_member_is_disconnected():
    leaving = [store(A, is_retiring=True), lost(D, 0.1)]
    assert next_arrangement(owners(A, B, C, D), changed=leaving) is None


def test_added_stores_take_over_copies_one_at_a_time():
    old = [address for address in ADDRESSES if not address.startswith("10.4")]
    arrangements = {
        number: owners(*row.stores, epoch=1) for number, row in enumerate(initial_arrangements(old).values())
    }
    moved = 0
    for _round in range(200):
        now = view(addresses=ADDRESSES)._replace(arrangements=arrangements)
        rows = partition_placement.arrangement_changes(now)
        if not rows:
            break
        assert sum(bool(batch_partitions.unpack_owners(row).learners) for row in rows.values()) <= 1
        for name, row in rows.items():
            number = int(name.partition("/")[2])
            changed = batch_partitions.unpack_owners(row)
            caught_up = tuple(map(member, changed.learners))
            arrangements[number] = changed._replace(members=(*changed.members, *caught_up), learners=())
            moved += len(caught_up)
    counts = collections.Counter(address for row in arrangements.values() for address in row.stores)
    assert moved and not rows and max(counts.values()) - min(counts[address] for address in ADDRESSES) <= 4
    assert all(len(row.stores) == 3 for row in arrangements.values())

"""Assigns the partitions of the batch tier to stores as stores connect, fail, retire or lose their disks.

`arrangement_changes` is a pure function of one view. It takes at most one step per partition at a time, and each step
is a new epoch (docs/batch.md 2). The rules that keep a step safe:

- A member has all committed data, as long as its disk is the one named in the arrangement. Only members become primary.
- A learner becomes a member only when the primary of that epoch reports it as caught up. From then on the primary
  commits nothing without it.
- A member is removed because its store came back with another disk, or because it does not reply to the primary. At
  least one member stays.
- A primary gets a new epoch when its process has restarted. It is replaced when its disk is another one, when it is
  lost, or when it reports all other members as lost although they are connected to the coordinator.
- A retiring store leaves a partition only once there are enough other members.
"""

from __future__ import annotations

import collections
import dataclasses
import typing
import zlib
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from ploverward.common import batch_partitions
from ploverward.common.batch_partitions import Member
from ploverward.common.batch_partitions import PartitionOwners
from ploverward.control_plane.cluster import singleton_roles
from ploverward.transport import batch_messages

MIN_IMBALANCE = 3  # a copy is moved only between stores whose numbers of copies differ by at least this


class StoreState(typing.NamedTuple):
    """State of a store as known to the coordinator.

    Attributes:
        address: Address of the store.
        zone: Zone of the store; empty if it was never connected.
        disk: Identifier of its disk; an emptied disk gets another one.
        process: Identifier of this start of its process.
        is_connected: Whether it is connected now.
        disconnected_for_s: Time in seconds since it was connected last.
        is_retiring: Whether all its copies are to be moved to other stores.
    """

    address: str
    zone: str
    disk: str
    process: str
    is_connected: bool
    disconnected_for_s: float
    is_retiring: bool


class PlacementTimeouts(typing.NamedTuple):
    """Timeouts of disconnected stores, in seconds.

    Attributes:
        failover_s: Time after which a disconnected store counts as lost, and another member replaces it as primary.
        replacement_s: Time after which another store gets the copy of a disconnected learner.
    """

    failover_s: float
    replacement_s: float


class PlacementView(typing.NamedTuple):
    """Input of a placement decision.

    Attributes:
        stores: Stores that have ever been connected, by address.
        arrangements: Current arrangements, by partition.
        reports: Reports from the primaries of these arrangements, by partition.
        copies: Number of members that a partition is to have.
        may_place: Whether partitions may get their first arrangement: all stores have had time to connect.
        timeouts: Timeouts of disconnected stores.
        never_connected_for_s: Value of `disconnected_for_s` for a store that was never connected.
    """

    stores: Mapping[str, StoreState]
    arrangements: Mapping[int, PartitionOwners]
    reports: Mapping[int, batch_messages.CopyReport]
    copies: int
    may_place: bool
    timeouts: PlacementTimeouts
    never_connected_for_s: float

    def store(self, address: str) -> StoreState:
        """Returns the state of a store, also of one that was never connected."""
        never_connected = StoreState(
            address, "", "", "", is_connected=False, disconnected_for_s=self.never_connected_for_s, is_retiring=False
        )
        return self.stores.get(address, never_connected)

    def is_present(self, member: Member) -> bool:
        """Whether a member is connected with the disk that the arrangement names."""
        store = self.store(member.address)
        return store.is_connected and batch_partitions.is_same_disk(member, store.disk)

    def is_lost(self, address: str) -> bool:
        """Whether a store has been disconnected for at least the failover timeout."""
        store = self.store(address)
        return not store.is_connected and store.disconnected_for_s >= self.timeouts.failover_s

    def has_other_disk(self, member: Member) -> bool:
        """Whether a member is connected with another disk than the arrangement names, so its copy is gone."""
        return self.store(member.address).is_connected and not self.is_present(member)


@dataclasses.dataclass(slots=True)
class _Load:
    """Number of partitions of which a store is the primary or has a copy."""

    primaries: int = 0
    copies: int = 0


class _Loads:
    """Loads of the stores, by address."""

    def __init__(self, arrangements: Iterable[PartitionOwners]) -> None:
        self.by_address: dict[str, _Load] = collections.defaultdict(_Load)
        for owners in arrangements:
            self.add(owners, 1)

    def add(self, owners: PartitionOwners, count: int) -> None:
        """Adds an arrangement to the loads of its stores; a count of -1 removes it."""
        if owners.members:
            self.by_address[owners.primary].primaries += count
        for address in (*owners.stores, *owners.learners):
            self.by_address[address].copies += count


def arrangement_changes(view: PlacementView) -> dict[str, singleton_roles.RoleOwner]:
    """Returns the new rows of partitions whose arrangement changes.

    Each row has the epoch of the arrangement that it replaces; the register increments it. At most one copy at a time
    is moved to balance the load: only if no partition has a learner and no partition before it changes in this call.
    """
    loads = _Loads(view.arrangements.values())
    rows: dict[str, singleton_roles.RoleOwner] = {}
    is_moving = any(owners.learners for owners in view.arrangements.values())
    for number in range(batch_partitions.PARTITIONS):
        owners = view.arrangements.get(number, batch_partitions.NO_OWNERS)
        changed = _next_owners(number, owners, view, loads)
        if changed is None and not is_moving and not rows:
            changed = _move_copy(number, owners, view, loads)
            is_moving = changed is not None
        if changed is not None:
            loads.add(owners, -1)
            loads.add(changed, 1)
            rows[batch_partitions.role_name(number)] = singleton_roles.RoleOwner(*batch_partitions.pack_owners(changed))
    return rows


# Returns the arrangement after one kind of change, or None if the change does not apply.
Step = Callable[[int, PartitionOwners, PlacementView, _Loads], PartitionOwners | None]


def _next_owners(number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads) -> PartitionOwners | None:
    if not owners.members:
        return _initial_owners(number, view, loads)
    for step in _STEPS:
        changed = step(number, owners, view, loads)
        if changed is not None:
            return changed
    return None


def _initial_owners(number: int, view: PlacementView, loads: _Loads) -> PartitionOwners | None:
    """Returns the first arrangement: the stores in different zones with the fewest primaries and copies."""
    if not view.may_place:
        return None
    chosen: list[StoreState] = []
    while len(chosen) < view.copies:
        store = _least_loaded_store(number, view, loads, existing=chosen, is_primary=not chosen)
        if store is None:
            return None
        chosen.append(store)
    return PartitionOwners(0, tuple(Member(store.address, store.disk) for store in chosen), (), chosen[0].process)


def _least_loaded_store(
    number: int, view: PlacementView, loads: _Loads, *, existing: Iterable[StoreState], is_primary: bool = False
) -> StoreState | None:
    """Returns the least loaded store in a zone without an existing copy; None if there is none."""
    zones = {store.zone for store in existing}
    usable = (store for store in view.stores.values() if store.is_connected and not store.is_retiring)
    free = [store for store in usable if store.zone not in zones]

    def weight(store: StoreState) -> tuple[int, int, int]:
        load = loads.by_address[store.address]
        return load.primaries if is_primary else 0, load.copies, _tie_break(number, store.address)

    return min(free, key=weight, default=None)


def _tie_break(number: int, address: str) -> int:
    """Returns a hash that orders equally loaded stores differently for each partition."""
    return zlib.crc32(f"{number} {address}".encode())


# Changes of the primary.
def _replace_primary(
    number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads
) -> PartitionOwners | None:
    """Replaces a primary that is lost, has another disk, or is cut off from all other members."""
    primary = owners.members[0]
    if not (view.is_lost(primary.address) or view.has_other_disk(primary) or _is_cut_off(number, owners, view)):
        return None
    candidates = [member for member in owners.members[1:] if view.is_present(member)]
    return _with_primary(_choose_primary(candidates, view, loads, number), owners, view)


def _is_cut_off(number: int, owners: PartitionOwners, view: PlacementView) -> bool:
    """Whether the primary reports all other members as lost while they are connected to the coordinator.

    A primary with a single other member is never taken for cut off.
    """
    report = view.reports.get(number)
    others = owners.members[1:]
    if report is None or len(others) <= 1:
        return False
    lost = {row.address for row in report.lost}
    return all(member.address in lost and view.is_present(member) for member in others)


def _choose_primary(candidates: list[Member], view: PlacementView, loads: _Loads, number: int) -> Member | None:
    """Returns the candidate whose store is the primary of the fewest partitions, a retiring store last."""

    def weight(member: Member) -> tuple[bool, int, int]:
        load = loads.by_address[member.address]
        return view.store(member.address).is_retiring, load.primaries, _tie_break(number, member.address)

    return min(candidates, key=weight, default=None)


def _with_primary(new_primary: Member | None, owners: PartitionOwners, view: PlacementView) -> PartitionOwners | None:
    """Returns the arrangement with this member as primary; None if there is no such member.

    The former primary becomes a learner, as do members that are lost or have another disk: each has to catch up again.
    """
    if new_primary is None:
        return None
    others = [member for member in owners.members[1:] if member != new_primary]
    kept = [member for member in others if not view.has_other_disk(member) and not view.is_lost(member.address)]
    left = [owners.primary, *(member.address for member in others if member not in kept)]
    return PartitionOwners(
        owners.epoch,
        (new_primary, *kept),
        _without_duplicates(owners.learners, left),
        view.store(new_primary.address).process,
    )


def _without_duplicates(learners: Iterable[str], more: Iterable[str]) -> tuple[str, ...]:
    return tuple(dict.fromkeys((*learners, *more)))


def _renew_epoch(_number: int, owners: PartitionOwners, view: PlacementView, _loads: _Loads) -> PartitionOwners | None:
    """Gives a primary a new epoch if its process has restarted."""
    primary = owners.members[0]
    store = view.store(primary.address)
    if not view.is_present(primary) or store.process == owners.process:
        return None
    return owners._replace(process=store.process, members=(Member(primary.address, store.disk), *owners.members[1:]))


# Changes of members and learners.
def _demote_lost_members(
    number: int, owners: PartitionOwners, view: PlacementView, _loads: _Loads
) -> PartitionOwners | None:
    """Turns members that have another disk, or that the primary reports as lost, into learners."""
    report = view.reports.get(number)
    reported = {row.address for row in report.lost} if report is not None else set()
    lost = [
        member.address for member in owners.members[1:] if member.address in reported or view.has_other_disk(member)
    ]
    if not lost and not reported & {*owners.learners}:
        return None  # a reported learner needs a new epoch to be tried again: the primary no longer waits for it
    kept = tuple(member for member in owners.members if member.address not in lost)
    return owners._replace(members=kept, learners=_without_duplicates(owners.learners, lost))


def _promote_level_learners(
    number: int, owners: PartitionOwners, view: PlacementView, _loads: _Loads
) -> PartitionOwners | None:
    """Turns learners that the primary reports as caught up into members."""
    report = view.reports.get(number)
    rows = report.caught_up if report is not None else ()
    caught_up = [Member(*row) for row in rows if row.address in owners.learners and view.is_present(Member(*row))]
    if not caught_up:
        return None
    addresses = {member.address for member in caught_up}
    learners = tuple(address for address in owners.learners if address not in addresses)
    return owners._replace(members=(*owners.members, *caught_up), learners=learners)


def _remove_surplus_member(
    number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads
) -> PartitionOwners | None:
    """Removes a surplus member: a retiring store if there is one, else the most loaded store."""
    if len(owners.members) <= view.copies or not all(map(view.is_present, owners.members)):
        return None

    def weight(member: Member) -> tuple[bool, int, int]:
        load = loads.by_address[member.address]
        return view.store(member.address).is_retiring, load.copies, _tie_break(number, member.address)

    leaving = max(owners.members, key=weight)
    kept = [member for member in owners.members if member != leaving]
    if leaving == owners.members[0]:
        new_primary = _choose_primary(kept, view, loads, number)
        assert new_primary is not None
        kept.remove(new_primary)
        return owners._replace(members=(new_primary, *kept), process=view.store(new_primary.address).process)
    return owners._replace(members=tuple(kept))


def _adjust_learners(
    number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads
) -> PartitionOwners | None:
    """Removes learners that are lost, retiring or not needed, and adds one if copies are missing."""
    staying = [member for member in owners.members if not view.store(member.address).is_retiring]
    missing = view.copies - len(staying)
    if missing <= 0:
        # The learner that stays is to take over the copy of a more loaded store.
        learners = [address for address in owners.learners if view.store(address).is_connected][:1]
    else:
        learners = _choose_learners(number, owners, view, loads, missing=missing)
    return owners._replace(learners=tuple(learners)) if tuple(learners) != owners.learners else None


def _choose_learners(
    number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads, *, missing: int
) -> list[str]:
    learners = [address for address in owners.learners if _can_learn(view.store(address), view)][:missing]
    if len(learners) == missing:
        return learners
    copies = [view.store(address) for address in (*owners.stores, *learners)]
    existing = [store for store in copies if not store.is_retiring]
    store = _least_loaded_store(number, view, loads, existing=existing)
    if store is not None:
        return [*learners, store.address]
    # No other store can take the copy: keep the lost learners until they return.
    return [address for address in owners.learners if not view.store(address).is_retiring][:missing]


def _can_learn(store: StoreState, view: PlacementView) -> bool:
    return not store.is_retiring and (store.is_connected or store.disconnected_for_s < view.timeouts.replacement_s)


def _move_copy(number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads) -> PartitionOwners | None:
    """Adds the least loaded store as a learner to take over the most loaded store's copy, if they differ enough."""
    if len(owners.members) != view.copies or not all(map(view.is_present, owners.members)):
        return None
    most_loaded = max(owners.members, key=lambda member: loads.by_address[member.address].copies)
    others = [view.store(member.address) for member in owners.members if member != most_loaded]
    store = _least_loaded_store(number, view, loads, existing=others)
    if store is None or store.address in owners.stores:
        return None
    difference = loads.by_address[most_loaded.address].copies - loads.by_address[store.address].copies
    return owners._replace(learners=(store.address,)) if difference >= MIN_IMBALANCE else None


_STEPS: tuple[Step, ...] = (
    _replace_primary,
    _renew_epoch,
    _demote_lost_members,
    _promote_level_learners,
    _remove_surplus_member,
    _adjust_learners,
)

"""Which stores own the partitions of the batch tier, and what follows when stores come, go, or lose their disks.

`arrangement_changes` is a pure function of one view. At most one step is taken for a partition at a time; each is a new
epoch (docs/batch.md 2). What makes a step safe:

- A member has all that was committed, as long as its disk is the one that the arrangement names. Only members become
  primary.
- A learner becomes a member only on the word of the primary of that epoch, which from then on commits nothing without
  it.
- A member is taken out because its disk was emptied, or because it does not answer the primary. At least one stays.
- A primary is replaced when its process restarted (it is given a new epoch), when its disk was emptied, when it is
  lost, or when no other member hears it.
- A store that is to be emptied leaves a partition only once there are enough members elsewhere.
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

MIN_IMBALANCE = 3  # copies that one store has more than another before one is moved


class StoreState(typing.NamedTuple):
    """What the coordinator knows of a store.

    Attributes:
        address: Of the store.
        zone: Where it is; empty where it was never connected.
        disk: Identifies its disk.
        process: Identifies the start of its process.
        is_connected: Whether it is connected now.
        disconnected_for_s: For how long it is not connected.
        is_retiring: Whether it is to be emptied.
    """

    address: str
    zone: str
    disk: str
    process: str
    is_connected: bool
    disconnected_for_s: float
    is_retiring: bool


class PlacementTimeouts(typing.NamedTuple):
    """Durations in seconds.

    Attributes:
        failover_s: For how long a primary is lost before another member takes over.
        replacement_s: For how long a store is lost before another one gets its copy.
    """

    failover_s: float
    replacement_s: float


class PlacementView(typing.NamedTuple):
    """All that is decided on.

    Attributes:
        stores: By address, those that were ever connected.
        arrangements: In force, by partition.
        reports: Of the primaries of these arrangements, by partition.
        copies: How many members a partition is to have.
        may_place: Whether all stores have had the time to connect.
        timeouts: Durations.
        never_connected_for_s: For how long a store is lost that was never connected.
    """

    stores: Mapping[str, StoreState]
    arrangements: Mapping[int, PartitionOwners]
    reports: Mapping[int, batch_messages.CopyReport]
    copies: int
    may_place: bool
    timeouts: PlacementTimeouts
    never_connected_for_s: float

    def store(self, address: str) -> StoreState:
        """Returns what is known of a store, whether it was ever connected or not."""
        unseen = StoreState(
            address, "", "", "", is_connected=False, disconnected_for_s=self.never_connected_for_s, is_retiring=False
        )
        return self.stores.get(address, unseen)

    def is_present(self, member: Member) -> bool:
        """Whether a member is connected with the disk that makes it one."""
        store = self.store(member.address)
        return store.is_connected and batch_partitions.is_same_disk(member, store.disk)

    def is_lost(self, address: str) -> bool:
        """Whether a store is lost for long enough that another one takes its place as primary."""
        store = self.store(address)
        return not store.is_connected and store.disconnected_for_s >= self.timeouts.failover_s

    def is_emptied(self, member: Member) -> bool:
        """Whether a member came back with another disk."""
        return self.store(member.address).is_connected and not self.is_present(member)


@dataclasses.dataclass(slots=True)
class _Load:
    """What a store has been given."""

    primaries: int = 0
    copies: int = 0


class _Loads:
    """What each store has been given, by address."""

    def __init__(self, arrangements: Iterable[PartitionOwners]) -> None:
        self.by_address: dict[str, _Load] = collections.defaultdict(_Load)
        for owners in arrangements:
            self.add(owners, 1)

    def add(self, owners: PartitionOwners, count: int) -> None:
        """Counts an arrangement, or with -1 counts it no more."""
        if owners.members:
            self.by_address[owners.primary].primaries += count
        for address in (*owners.stores, *owners.learners):
            self.by_address[address].copies += count


def arrangement_changes(view: PlacementView) -> dict[str, singleton_roles.RoleOwner]:
    """Returns the rows of partitions whose arrangement changes, with the epochs that were seen."""
    loads = _Loads(view.arrangements.values())
    rows: dict[str, singleton_roles.RoleOwner] = {}
    is_moving = any(owners.learners for owners in view.arrangements.values())
    for number in range(batch_partitions.PARTITIONS):
        owners = view.arrangements.get(number, batch_partitions.NO_OWNERS)
        changed = _next_owners(number, owners, view, loads)
        if changed is None and not is_moving and not rows:
            changed = _balanced(number, owners, view, loads)
            is_moving = changed is not None
        if changed is not None:
            loads.add(owners, -1)
            loads.add(changed, 1)
            rows[batch_partitions.role_name(number)] = singleton_roles.RoleOwner(*batch_partitions.pack_owners(changed))
    return rows


Step = Callable[[int, PartitionOwners, PlacementView, _Loads], PartitionOwners | None]


def _next_owners(number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads) -> PartitionOwners | None:
    if not owners.members:
        return _first_owners(number, view, loads)
    for step in _STEPS:
        changed = step(number, owners, view, loads)
        if changed is not None:
            return changed
    return None


def _first_owners(number: int, view: PlacementView, loads: _Loads) -> PartitionOwners | None:
    """The first arrangement: stores of different zones that have the fewest primaries and copies."""
    if not view.may_place:
        return None
    chosen: list[StoreState] = []
    while len(chosen) < view.copies:
        store = _best_store(number, view, loads, besides=chosen, is_primary=not chosen)
        if store is None:
            return None
        chosen.append(store)
    return PartitionOwners(0, tuple(Member(store.address, store.disk) for store in chosen), (), chosen[0].process)


def _best_store(
    number: int, view: PlacementView, loads: _Loads, *, besides: Iterable[StoreState], is_primary: bool = False
) -> StoreState | None:
    """The least loaded store in a zone without a copy; None where there is none."""
    zones = {store.zone for store in besides}
    usable = (store for store in view.stores.values() if store.is_connected and not store.is_retiring)
    free = [store for store in usable if store.zone not in zones]

    def weight(store: StoreState) -> tuple[int, int, int]:
        load = loads.by_address[store.address]
        return load.primaries if is_primary else 0, load.copies, _rank(number, store.address)

    return min(free, key=weight, default=None)


def _rank(number: int, address: str) -> int:
    return zlib.crc32(f"{number} {address}".encode())


# Primaries.
def _after_failover(number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads) -> PartitionOwners | None:
    """Another member becomes primary where the present one is lost, emptied, or cut off from all others."""
    primary = owners.members[0]
    if not (view.is_lost(primary.address) or view.is_emptied(primary) or _is_cut_off(number, owners, view)):
        return None
    candidates = [member for member in owners.members[1:] if view.is_present(member)]
    return _led_by(_least_leading(candidates, view, loads, number), owners, view)


def _is_cut_off(number: int, owners: PartitionOwners, view: PlacementView) -> bool:
    """Whether the primary reports several members, all it has, as lost, and the coordinator is connected to them."""
    report = view.reports.get(number)
    others = owners.members[1:]
    if report is None or len(others) <= 1:
        return False
    lost = {row.address for row in report.lost}
    return all(member.address in lost and view.is_present(member) for member in others)


def _least_leading(candidates: list[Member], view: PlacementView, loads: _Loads, number: int) -> Member | None:
    def weight(member: Member) -> tuple[bool, int, int]:
        load = loads.by_address[member.address]
        return view.store(member.address).is_retiring, load.primaries, _rank(number, member.address)

    return min(candidates, key=weight, default=None)


def _led_by(leader: Member | None, owners: PartitionOwners, view: PlacementView) -> PartitionOwners | None:
    """The arrangement with another primary; the former one has to be brought level again, as does who is not there."""
    if leader is None:
        return None
    others = [member for member in owners.members[1:] if member != leader]
    kept = [member for member in others if not view.is_emptied(member) and not view.is_lost(member.address)]
    left = [owners.primary, *(member.address for member in others if member not in kept)]
    return PartitionOwners(
        owners.epoch, (leader, *kept), _joined(owners.learners, left), view.store(leader.address).process
    )


def _joined(learners: Iterable[str], more: Iterable[str]) -> tuple[str, ...]:
    return tuple(dict.fromkeys((*learners, *more)))


def _after_restart(
    _number: int, owners: PartitionOwners, view: PlacementView, _loads: _Loads
) -> PartitionOwners | None:
    """The primary's process is another: it gets an epoch of its own."""
    primary = owners.members[0]
    store = view.store(primary.address)
    if not view.is_present(primary) or store.process == owners.process:
        return None
    return owners._replace(process=store.process, members=(Member(primary.address, store.disk), *owners.members[1:]))


# Members and learners.
def _without_lost(number: int, owners: PartitionOwners, view: PlacementView, _loads: _Loads) -> PartitionOwners | None:
    """Members that were emptied, or that the primary reports as lost, become learners."""
    report = view.reports.get(number)
    reported = {row.address for row in report.lost} if report is not None else set()
    lost = [member.address for member in owners.members[1:] if member.address in reported or view.is_emptied(member)]
    if not lost and not reported & {*owners.learners}:
        return None  # a learner that is reported has its chance under a new epoch: the primary waits for it no more
    kept = tuple(member for member in owners.members if member.address not in lost)
    return owners._replace(members=kept, learners=_joined(owners.learners, lost))


def _with_level(number: int, owners: PartitionOwners, view: PlacementView, _loads: _Loads) -> PartitionOwners | None:
    """Learners that the primary reports as level become members."""
    report = view.reports.get(number)
    rows = report.level if report is not None else ()
    level = [Member(*row) for row in rows if row.address in owners.learners and view.is_present(Member(*row))]
    if not level:
        return None
    addresses = {member.address for member in level}
    learners = tuple(address for address in owners.learners if address not in addresses)
    return owners._replace(members=(*owners.members, *level), learners=learners)


def _without_surplus(
    number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads
) -> PartitionOwners | None:
    """With enough members elsewhere, a store that is to be emptied leaves, else the most loaded one."""
    if len(owners.members) <= view.copies or not all(map(view.is_present, owners.members)):
        return None

    def weight(member: Member) -> tuple[bool, int, int]:
        load = loads.by_address[member.address]
        return view.store(member.address).is_retiring, load.copies, _rank(number, member.address)

    leaving = max(owners.members, key=weight)
    kept = [member for member in owners.members if member != leaving]
    if leaving == owners.members[0]:
        leader = _least_leading(kept, view, loads, number)
        assert leader is not None
        kept.remove(leader)
        return owners._replace(members=(leader, *kept), process=view.store(leader.address).process)
    return owners._replace(members=tuple(kept))


def _with_learners(number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads) -> PartitionOwners | None:
    """Learners that are lost, are to be emptied, or are not needed go; where copies are missing one is added."""
    staying = [member for member in owners.members if not view.store(member.address).is_retiring]
    missing = view.copies - len(staying)
    if missing <= 0:
        # The one that stays takes over the copy of a more loaded store.
        learners = [address for address in owners.learners if view.store(address).is_connected][:1]
    else:
        learners = _missing_learners(number, owners, view, loads, missing=missing)
    return owners._replace(learners=tuple(learners)) if tuple(learners) != owners.learners else None


def _missing_learners(
    number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads, *, missing: int
) -> list[str]:
    learners = [address for address in owners.learners if _may_learn(view.store(address), view)][:missing]
    if len(learners) == missing:
        return learners
    copies = [view.store(address) for address in (*owners.stores, *learners)]
    besides = [store for store in copies if not store.is_retiring]
    store = _best_store(number, view, loads, besides=besides)
    if store is not None:
        return [*learners, store.address]
    # Nobody else is there: who is lost is waited for.
    return [address for address in owners.learners if not view.store(address).is_retiring][:missing]


def _may_learn(store: StoreState, view: PlacementView) -> bool:
    return not store.is_retiring and (store.is_connected or store.disconnected_for_s < view.timeouts.replacement_s)


def _balanced(number: int, owners: PartitionOwners, view: PlacementView, loads: _Loads) -> PartitionOwners | None:
    """A copy of the most loaded store is begun at the least loaded one, where they differ much."""
    if len(owners.members) != view.copies or not all(map(view.is_present, owners.members)):
        return None
    heaviest = max(owners.members, key=lambda member: loads.by_address[member.address].copies)
    others = [view.store(member.address) for member in owners.members if member != heaviest]
    store = _best_store(number, view, loads, besides=others)
    if store is None or store.address in owners.stores:
        return None
    difference = loads.by_address[heaviest.address].copies - loads.by_address[store.address].copies
    return owners._replace(learners=(store.address,)) if difference >= MIN_IMBALANCE else None


_STEPS: tuple[Step, ...] = (
    _after_failover,
    _after_restart,
    _without_lost,
    _with_level,
    _without_surplus,
    _with_learners,
)

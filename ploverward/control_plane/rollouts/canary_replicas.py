"""Which replicas the canary uses: few, spread over regions, the same at each coordinator (docs/rollouts.md 4). Pure."""

import hashlib
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from ploverward.control_plane.rollouts import replica_inventory

CANARY_LOAD = 0.5  # of a replica of the former version, that one of the canary carries: its cache is empty


def choose(
    *,
    replicas: Sequence[replica_inventory.ListedReplica],
    share: float,
    bad_groups: Collection[int],
    is_load_test: bool = False,
) -> tuple[str, ...]:
    """Chooses the replicas of the canary, each of which carries the load of one in full service.

    They are spread over regions by size, and over groups as far as there are enough. A group that has shown faults
    makes room for others, which confirm them or not. A load test has one replica: it shows what a full one does.

    Args:
        replicas: Those of the new version.
        share: Of all requests, that the canary is meant to get.
        bad_groups: Groups that have shown faults.
        is_load_test: Whether the canary is under load.

    Returns:
        Their ids; empty where there are no replicas.
    """
    wanted = 1 if is_load_test else max(1, round(share * len(replicas) / CANARY_LOAD))
    by_region: dict[str, list[replica_inventory.ListedReplica]] = {}
    for replica in sorted(replicas, key=lambda replica: hashlib.blake2b(replica.id.encode(), digest_size=8).digest()):
        by_region.setdefault(replica.region, []).append(replica)
    chosen: list[str] = []
    groups = set(bad_groups)
    for region in _regions_by_seat(sizes={name: len(rows) for name, rows in by_region.items()}, wanted=wanted):
        candidates = [replica for replica in by_region[region] if replica.id not in chosen]
        if candidates:
            pick = next((replica for replica in candidates if replica.group not in groups), candidates[0])
            chosen.append(pick.id)
            groups.add(pick.group)
    return tuple(chosen)


def _regions_by_seat(*, sizes: Mapping[str, int], wanted: int) -> list[str]:
    """The region of each of `wanted` seats: always the one that is worst represented so far."""
    seats: list[str] = []
    assigned = dict.fromkeys(sizes, 0)
    while len(seats) < min(wanted, sum(sizes.values())):
        open_regions = [name for name in sizes if assigned[name] < sizes[name]]
        region = max(open_regions, key=lambda name: (sizes[name] / (assigned[name] + 0.5), name))
        assigned[region] += 1
        seats.append(region)
    return seats

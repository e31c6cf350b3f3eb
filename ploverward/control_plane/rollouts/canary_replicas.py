"""Choice of the replicas that the canary uses (docs/rollouts.md 4).

Pure functions: few replicas are chosen, spread over regions, and every coordinator chooses the same ones.
"""

import hashlib
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from ploverward.control_plane.rollouts import replica_inventory

CANARY_LOAD = 0.5  # load of a canary replica as a share of a former one's; lower since its cache is empty


def choose(
    *,
    replicas: Sequence[replica_inventory.ListedReplica],
    share: float,
    bad_groups: Collection[int],
    is_load_test: bool = False,
) -> tuple[str, ...]:
    """Chooses the replicas of the canary: as many as carry its share of the requests at `CANARY_LOAD` each.

    They are spread over regions in proportion to the replicas there, and over groups as far as there are enough groups.
    Groups that have shown faults are avoided, so that the answers of other groups confirm or refute the faults. A load
    test uses a single replica, to show how one performs at full load.

    Args:
        replicas: The replicas of the new version.
        share: The share of all requests that the canary is meant to get, 0 to 1.
        bad_groups: Groups that have shown faults.
        is_load_test: Whether the canary is in its load test.

    Returns:
        The ids of the replicas; empty if there are none.
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
    """Returns the region of each of `wanted` replicas, by the Sainte-Laguë method.

    Each seat goes to the region that is represented worst so far in proportion to its size.
    """
    seats: list[str] = []
    assigned = dict.fromkeys(sizes, 0)
    while len(seats) < min(wanted, sum(sizes.values())):
        open_regions = [name for name in sizes if assigned[name] < sizes[name]]
        region = max(open_regions, key=lambda name: (sizes[name] / (assigned[name] + 0.5), name))
        assigned[region] += 1
        seats.append(region)
    return seats

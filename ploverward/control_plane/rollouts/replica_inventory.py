"""The replicas of a service as roll-outs see them: parsed rows of the platform's list, with their regions.

`ReplicaInventory` has no state of its own: it reads the coordinator's current list and configuration at each call.
"""

import dataclasses
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import state
from ploverward.transport import row_codec

MIN_CAPACITY = 0.8  # batch slots of warm new replicas, as a share of the former version's in the same region


@dataclasses.dataclass(frozen=True, slots=True)
class ListedReplica:
    """A replica of the platform's list that is neither draining nor in an evacuated zone."""

    id: str
    region: str
    version: str
    batch_slots: int
    is_warming_up: bool

    @property
    def group(self) -> int:
        """The group in which the judge counts its answers."""
        return rollout_evidence.group_of(row_codec.replica_key(self.id))


class ReplicaInventory:
    """Parses the platform's list for roll-outs.

    Args:
        listed: Returns the rows of the platform's list.
        zones: Returns the region of each zone.
        evacuated_zones: Returns the zones to which no requests are sent.
    """

    def __init__(
        self,
        *,
        listed: Callable[[], Iterable[Mapping[str, Any]]],
        zones: Callable[[], Mapping[str, str]],
        evacuated_zones: Callable[[], Collection[str]],
    ) -> None:
        self._listed = listed
        self._zones = zones
        self._evacuated_zones = evacuated_zones

    def replicas(self, service: str) -> list[ListedReplica]:
        """Returns the usable replicas of a service, in the order of the list."""
        zones, evacuated_zones = self._zones(), self._evacuated_zones()
        return [
            ListedReplica(
                id=row["id"],
                region=zones.get(row["zone"], ""),
                version=row.get("edition") or "",
                batch_slots=row["berths"],
                is_warming_up=row["cold_ms"] > 0,
            )
            for row in self._listed()
            if row["service"] == service and not row["is_clearing"] and row["zone"] not in evacuated_zones
        ]

    def versions(self) -> dict[str, set[str]]:
        """Returns the versions of the listed replicas that are not draining, by service, in all zones."""
        found: dict[str, set[str]] = {}
        for row in self._listed():
            if not row["is_clearing"] and row.get("edition"):
                found.setdefault(row["service"], set()).add(row["edition"])
        return found


def has_capacity(*, replicas: Iterable[ListedReplica], rollout: state.Rollout) -> bool:
    """Returns whether warm replicas of the new version can carry the traffic of each region."""
    former: dict[str, int] = {}
    new: dict[str, int] = {}
    for replica in replicas:
        if replica.version == rollout.target:
            if not replica.is_warming_up:
                new[replica.region] = new.get(replica.region, 0) + replica.batch_slots
        elif rollout.is_admitted(replica.version):
            former[replica.region] = former.get(replica.region, 0) + replica.batch_slots
    if not new:
        return False
    return all(new.get(region, 0) >= MIN_CAPACITY * batch_slots for region, batch_slots in former.items())

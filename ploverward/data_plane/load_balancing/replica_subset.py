"""Which replicas a proxy uses if there are many: a stable subset by rendezvous hashing (docs/scale.md 5).

Each proxy ranks the replicas of a service by a hash of its own address and the replica's id, and uses the first ones.
A replica that is added or removed changes one entry of the subsets that it is in. In a small region the subset has all
replicas.

`Subsets` owns the subsets of one proxy, `Ring` an order of replicas that all proxies share, and `SubsetView` both of
them, recomputed when the list, the evacuations or the size of the fleet change.
"""

from __future__ import annotations

import bisect
import hashlib
import heapq
import math
import typing

from ploverward.data_plane.relay import cuckoo_filter

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ploverward.data_plane.load_balancing import replica as replicas_of

MIN_NEAR_REPLICAS = 48  # replicas of a service in the proxy's own region: enough to find a free one (docs/scale.md 5)
MIN_FAR_REPLICAS = 40  # the same in each other region
RING_POINTS = 4  # of each replica on the ring of its region: more would even out the ranges, at a longer ring
MIN_PROXIES_PER_REPLICA = 4  # proxies that use each replica, at least, on the average


def rank(*, own: str, replica_id: str) -> bytes:
    """Returns a proxy's rank of a replica: the lowest ones are its subset."""
    return hashlib.blake2b(f"{own} {replica_id}".encode(), digest_size=8).digest()


def size(*, replicas: int, proxies: float, is_near: bool) -> int:
    """Returns how many of a region's replicas a proxy uses; rounded up, so that it seldom changes.

    Args:
        replicas: Of a service in the region.
        proxies: About how many a region has.
        is_near: Whether it is the proxy's own region.
    """
    least = MIN_NEAR_REPLICAS if is_near else MIN_FAR_REPLICAS
    wanted = MIN_PROXIES_PER_REPLICA * replicas / max(1.0, proxies)
    return min(replicas, least * max(1, math.ceil(wanted / least)))


class Subsets:
    """The subsets of one proxy.

    Args:
        own: The proxy's address.
        region: The proxy's region.
    """

    def __init__(self, *, own: str, region: str) -> None:
        self._own = own
        self._region = region
        self._ranks: dict[str, bytes] = {}  # by replica id
        self._chosen: dict[tuple[str, str], list[replicas_of.Replica]] = {}  # by service and region
        self._has_all_replicas: dict[str, bool] = {}  # by service

    def clear(self) -> None:
        """Drops the subsets, but keeps the ranks."""
        self._chosen = {}
        self._has_all_replicas = {}

    def forget(self, replica_id: str) -> None:
        """Removes a replica that is no longer listed."""
        self._ranks.pop(replica_id, None)

    def has_all_replicas(self, service: str) -> bool:
        """Whether the subsets of a service leave no replica out."""
        return self._has_all_replicas.get(service, True)

    def install(self, *, service: str, replicas: list[replicas_of.Replica], proxies: float) -> None:
        """Makes the subsets of a service.

        Args:
            service: The service.
            replicas: Its replicas that may be used.
            proxies: About how many a region has.
        """
        by_region: dict[str, list[replicas_of.Replica]] = {}
        for replica in replicas:
            by_region.setdefault(replica.region, []).append(replica)
        self._has_all_replicas[service] = True
        for region, rows in by_region.items():
            count = size(replicas=len(rows), proxies=proxies, is_near=region == self._region)
            if count < len(rows):
                self._has_all_replicas[service] = False
                nearest = heapq.nsmallest(count, rows, key=self._rank)
            else:
                nearest = rows
            self._chosen[service, region] = nearest

    def _rank(self, replica: replicas_of.Replica) -> bytes:
        known = self._ranks.get(replica.id)
        if known is None:
            known = self._ranks[replica.id] = rank(own=self._own, replica_id=replica.id)
        return known

    def of(self, service: str) -> list[replicas_of.Replica]:
        """Returns the replicas of a service that this proxy uses, of all regions."""
        return [replica for (name, _region), rows in self._chosen.items() if name == service for replica in rows]


class Points:
    """Points of replicas on rings: computed once, for all later rings."""

    def __init__(self) -> None:
        self._places: dict[str, tuple[bytes, ...]] = {}  # by replica id

    def of(self, replica_id: str) -> tuple[bytes, ...]:
        """Returns the points of a replica."""
        places = self._places.get(replica_id)
        if places is None:
            places = self._places[replica_id] = tuple(
                hashlib.blake2b(f"{number} {replica_id}".encode(), digest_size=8).digest()
                for number in range(RING_POINTS)
            )
        return places

    def forget(self, replica_id: str) -> None:
        """Removes a replica that is no longer listed."""
        self._places.pop(replica_id, None)


class Ring:
    """Replicas of one region in an order that all proxies share.

    It determines the replica that prefills a part first that no replica has cached.

    Args:
        replicas: Of one service and region.
        points: Of all replicas.
    """

    def __init__(self, *, replicas: Iterable[replicas_of.Replica], points: Points) -> None:
        rows = [(point, replica.id, replica) for replica in replicas for point in points.of(replica.id)]
        rows.sort(key=lambda row: row[:2])
        self._places = [point for point, _name, _replica in rows]
        self._replicas = [replica for _point, _name, replica in rows]

    def first(self, *, part: bytes, is_usable: Callable[[replicas_of.Replica], bool]) -> replicas_of.Replica | None:
        """Returns the first usable replica after the point of a part (its hash), None where there is none."""
        begin = bisect.bisect(self._places, part)
        count = len(self._replicas)
        for step in range(count):
            replica = self._replicas[(begin + step) % count]
            if is_usable(replica):
                return replica
        return None


class SubsetView:
    """The subsets and rings of one proxy, by the state of its replica table.

    Args:
        own: The proxy's address.
        region: The proxy's region.
        share: Returns this proxy's share of limits, 0 without a lease: the number of proxies is estimated from it.
        region_count: Returns how many regions there are.
        is_in_service: Whether a replica is neither draining nor in an evacuated zone.
    """

    def __init__(
        self,
        *,
        own: str,
        region: str,
        share: Callable[[], float],
        region_count: Callable[[], int],
        is_in_service: Callable[[replicas_of.Replica], bool],
    ) -> None:
        self._region = region
        self._share = share
        self._region_count = region_count
        self._is_in_service = is_in_service
        self._subsets = Subsets(own=own, region=region)
        self._points = Points()
        self._by_service: Mapping[str, list[replicas_of.Replica]] = {}
        self._regions: dict[str, list[str]] = {}  # by service: its regions, the own one first
        self._fleet = 0.0  # proxies of a region that the subsets were made for
        self._is_stale = True
        self._rings: dict[tuple[str, str], Ring] = {}  # by service and region
        self._by_tag: dict[str, dict[bytes, replicas_of.Replica]] = {}  # by service, by the tag of a replica's key

    def install(self, by_service: Mapping[str, list[replicas_of.Replica]]) -> None:
        """The list changed: all replicas by their service."""
        self._by_service = by_service
        self._regions = {
            service: sorted({one.region for one in rows}, key=lambda name: (name != self._region, name))
            for service, rows in by_service.items()
        }
        self._is_stale = True

    def mark_stale(self) -> None:
        """Replicas entered or left service: the subsets are recomputed at their next use."""
        self._is_stale = True

    def forget(self, replica_id: str) -> None:
        """The replica is no longer listed."""
        self._subsets.forget(replica_id)
        self._points.forget(replica_id)

    def refresh_fleet_size(self) -> None:
        """Called periodically: adapts the subsets to the size of the fleet."""
        if self._proxies() != self._fleet:
            self._is_stale = True

    def _proxies(self) -> float:
        """About how many proxies a region has, by this one's share of what all have; rounded up to a power of two."""
        share = self._share()
        if share <= 0:
            return self._fleet
        regions = max(1, self._region_count())
        return 2.0 ** math.ceil(math.log2(max(1.0, 1.0 / (share * regions))))

    def _refresh(self) -> None:
        if not self._is_stale:
            return
        self._is_stale = False
        self._fleet = self._proxies()
        self._subsets.clear()
        self._by_tag = {}
        self._rings = {}
        for service, rows in self._by_service.items():
            usable = [one for one in rows if self._is_in_service(one)]
            self._subsets.install(service=service, replicas=usable, proxies=self._fleet)
            if not self._subsets.has_all_replicas(service):
                self._by_tag[service] = {one.key[: cuckoo_filter.TAG_SIZE]: one for one in usable}

    def has_all_replicas(self, service: str) -> bool:
        """Whether this proxy uses all replicas of a service."""
        self._refresh()
        return self._subsets.has_all_replicas(service)

    def of(self, service: str) -> list[replicas_of.Replica]:
        """Returns the replicas of a service that this proxy uses."""
        self._refresh()
        if self._subsets.has_all_replicas(service):
            return self._by_service.get(service, [])
        return self._subsets.of(service)

    def by_tags(self, *, service: str, tags: Iterable[bytes]) -> list[replicas_of.Replica]:
        """Returns replicas by the tags that a mirror names, of a service of which this proxy uses a subset."""
        self._refresh()
        table = self._by_tag.get(service, {})
        return [table[tag] for tag in tags if tag in table]

    def followed_keys(self) -> frozenset[bytes] | None:
        """Returns the keys of all replicas that this proxy uses, None for all that are listed."""
        self._refresh()
        if all(self._subsets.has_all_replicas(service) for service in self._by_service):
            return None
        return frozenset(one.key for service in self._by_service for one in self.of(service))

    def prefill_owner(
        self,
        *,
        service: str,
        part: bytes,
        permitted: frozenset[str] | None,
        is_usable: Callable[[replicas_of.Replica], bool],
    ) -> replicas_of.Replica | None:
        """Returns the replica that all proxies of this region agree on for a part that no replica has cached.

        Args:
            service: The service.
            part: Hash of the part.
            permitted: Regions that may be used, None for all; the own one is tried first.
            is_usable: Whether a replica may be chosen.
        """
        self._refresh()
        for region in self._regions.get(service, ()):
            if permitted is None or region in permitted:
                found = self._ring(service, region).first(part=part, is_usable=is_usable)
                if found is not None:
                    return found
        return None

    def _ring(self, service: str, region: str) -> Ring:
        ring = self._rings.get((service, region))
        if ring is None:
            rows = self._by_service[service]
            usable = [one for one in rows if one.region == region and self._is_in_service(one)]
            ring = self._rings[service, region] = Ring(replicas=usable, points=self._points)
        return ring

"""Subsetting: a proxy uses a stable subset of a large region's replicas, by rendezvous hashing (docs/scale.md 5).

Each proxy ranks the replicas of a service by a hash of its own address and the replica's id, and uses those with the
lowest hashes. A replica that is added or removed changes one entry of the subsets that it is in. In a small region the
subset contains all replicas.

`ReplicaSubsets` owns the subsets of one proxy and `HashRing` an order of replicas that is the same at all proxies.
`SubsetView` owns both, and recomputes them when the endpoint list, the evacuations or the size of the fleet change.
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

MIN_NEAR_REPLICAS = 48  # per service, in the proxy's own region: enough to find a free one (docs/scale.md 5)
MIN_FAR_REPLICAS = 40  # the same in each other region
RING_POINTS = 4  # per replica on the ring of its region: more would even out the ranges, but lengthen the ring
MIN_PROXIES_PER_REPLICA = 4  # proxies that use each replica: at least this many on average


def rank(*, own: str, replica_id: str) -> bytes:
    """Returns the rank of a replica at a proxy: the replicas with the lowest ranks are the proxy's subset."""
    return hashlib.blake2b(f"{own} {replica_id}".encode(), digest_size=8).digest()


def subset_size(*, replicas: int, proxies: float, is_near: bool) -> int:
    """Returns how many of a region's replicas a proxy uses.

    The size is rounded up to a multiple of the minimum, so that it seldom changes.

    Args:
        replicas: The number of replicas of a service in the region.
        proxies: The estimated number of proxies in a region.
        is_near: Whether the region is the proxy's own.
    """
    minimum = MIN_NEAR_REPLICAS if is_near else MIN_FAR_REPLICAS
    wanted = MIN_PROXIES_PER_REPLICA * replicas / max(1.0, proxies)
    return min(replicas, minimum * max(1, math.ceil(wanted / minimum)))


class ReplicaSubsets:
    """The subsets of one proxy, by service and region.

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
        """Returns whether the subsets of a service contain all its replicas."""
        return self._has_all_replicas.get(service, True)

    def install(self, *, service: str, replicas: list[replicas_of.Replica], proxies: float) -> None:
        """Computes the subsets of a service.

        Args:
            service: The service.
            replicas: The replicas of the service that may be used.
            proxies: The estimated number of proxies in a region.
        """
        by_region: dict[str, list[replicas_of.Replica]] = {}
        for replica in replicas:
            by_region.setdefault(replica.region, []).append(replica)
        self._has_all_replicas[service] = True
        for region, rows in by_region.items():
            count = subset_size(replicas=len(rows), proxies=proxies, is_near=region == self._region)
            if count < len(rows):
                self._has_all_replicas[service] = False
                chosen = heapq.nsmallest(count, rows, key=self._rank)
            else:
                chosen = rows
            self._chosen[service, region] = chosen

    def _rank(self, replica: replicas_of.Replica) -> bytes:
        cached = self._ranks.get(replica.id)
        if cached is None:
            cached = self._ranks[replica.id] = rank(own=self._own, replica_id=replica.id)
        return cached

    def replicas_for(self, service: str) -> list[replicas_of.Replica]:
        """Returns the replicas of a service that this proxy uses, of all regions."""
        return [replica for (name, _region), rows in self._chosen.items() if name == service for replica in rows]


class RingPoints:
    """The points of replicas on hash rings, computed once per replica and kept for later rings."""

    def __init__(self) -> None:
        self._points: dict[str, tuple[bytes, ...]] = {}  # by replica id

    def points_of(self, replica_id: str) -> tuple[bytes, ...]:
        """Returns the points of a replica."""
        points = self._points.get(replica_id)
        if points is None:
            points = self._points[replica_id] = tuple(
                hashlib.blake2b(f"{number} {replica_id}".encode(), digest_size=8).digest()
                for number in range(RING_POINTS)
            )
        return points

    def forget(self, replica_id: str) -> None:
        """Removes a replica that is no longer listed."""
        self._points.pop(replica_id, None)


class HashRing:
    """A consistent-hash ring of one region's replicas, the same at all proxies.

    It determines which replica prefills a part of a prompt that no replica has cached yet.

    Args:
        replicas: The replicas of one service and region.
        points: The points of all replicas.
    """

    def __init__(self, *, replicas: Iterable[replicas_of.Replica], points: RingPoints) -> None:
        rows = [(point, replica.id, replica) for replica in replicas for point in points.points_of(replica.id)]
        rows.sort(key=lambda row: row[:2])
        self._points = [point for point, _name, _replica in rows]
        self._replicas = [replica for _point, _name, replica in rows]

    def first_usable(
        self, *, part: bytes, is_usable: Callable[[replicas_of.Replica], bool]
    ) -> replicas_of.Replica | None:
        """Returns the first usable replica on the ring after the hash of a part, None if there is none."""
        begin = bisect.bisect(self._points, part)
        count = len(self._replicas)
        for step in range(count):
            replica = self._replicas[(begin + step) % count]
            if is_usable(replica):
                return replica
        return None


class SubsetView:
    """The subsets and rings of one proxy, kept up to date with its replica table.

    Args:
        own: The proxy's address.
        region: The proxy's region.
        share: Returns this proxy's share of the global limits, 0 without a lease; the number of proxies is estimated
            from it.
        region_count: Returns how many regions there are.
        is_in_service: Returns whether a replica is neither draining nor in an evacuated zone.
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
        self._subsets = ReplicaSubsets(own=own, region=region)
        self._points = RingPoints()
        self._by_service: Mapping[str, list[replicas_of.Replica]] = {}
        self._regions: dict[str, list[str]] = {}  # regions of each service, this proxy's own one first
        self._fleet_size = 0.0  # the number of proxies in a region for which the subsets were computed
        self._is_stale = True
        self._rings: dict[tuple[str, str], HashRing] = {}  # by service and region
        self._by_tag: dict[str, dict[bytes, replicas_of.Replica]] = {}  # by service and by the tag of the replica's key

    def install(self, by_service: Mapping[str, list[replicas_of.Replica]]) -> None:
        """Installs the replicas of a changed endpoint list, by service."""
        self._by_service = by_service
        self._regions = {
            service: sorted({replica.region for replica in rows}, key=lambda name: (name != self._region, name))
            for service, rows in by_service.items()
        }
        self._is_stale = True

    def mark_stale(self) -> None:
        """Marks the subsets to be recomputed at their next use, after replicas entered or left service."""
        self._is_stale = True

    def forget(self, replica_id: str) -> None:
        """Removes a replica that is no longer listed."""
        self._subsets.forget(replica_id)
        self._points.forget(replica_id)

    def refresh_fleet_size(self) -> None:
        """Adapts the subsets to the size of the fleet; called periodically."""
        if self._estimate_proxies() != self._fleet_size:
            self._is_stale = True

    def _estimate_proxies(self) -> float:
        """Estimates the number of proxies in a region, rounded up to a power of two.

        The estimate assumes that all proxies have the same share of the global limits as this one. Without a lease, the
        last estimate is kept.
        """
        share = self._share()
        if share <= 0:
            return self._fleet_size
        regions = max(1, self._region_count())
        return 2.0 ** math.ceil(math.log2(max(1.0, 1.0 / (share * regions))))

    def _refresh(self) -> None:
        if not self._is_stale:
            return
        self._is_stale = False
        self._fleet_size = self._estimate_proxies()
        self._subsets.clear()
        self._by_tag = {}
        self._rings = {}
        for service, rows in self._by_service.items():
            usable = [replica for replica in rows if self._is_in_service(replica)]
            self._subsets.install(service=service, replicas=usable, proxies=self._fleet_size)
            if not self._subsets.has_all_replicas(service):
                self._by_tag[service] = {replica.key[: cuckoo_filter.TAG_SIZE]: replica for replica in usable}

    def has_all_replicas(self, service: str) -> bool:
        """Returns whether this proxy uses all replicas of a service."""
        self._refresh()
        return self._subsets.has_all_replicas(service)

    def replicas_for(self, service: str) -> list[replicas_of.Replica]:
        """Returns the replicas of a service that this proxy uses."""
        self._refresh()
        if self._subsets.has_all_replicas(service):
            return self._by_service.get(service, [])
        return self._subsets.replicas_for(service)

    def by_tags(self, *, service: str, tags: Iterable[bytes]) -> list[replicas_of.Replica]:
        """Returns the replicas that a mirror names by tags, for a service of which this proxy uses a subset."""
        self._refresh()
        table = self._by_tag.get(service, {})
        return [table[tag] for tag in tags if tag in table]

    def followed_keys(self) -> frozenset[bytes] | None:
        """Returns the keys of all replicas that this proxy uses, None if it uses all listed replicas."""
        self._refresh()
        if all(self._subsets.has_all_replicas(service) for service in self._by_service):
            return None
        return frozenset(replica.key for service in self._by_service for replica in self.replicas_for(service))

    def prefill_owner(
        self,
        *,
        service: str,
        part: bytes,
        permitted: frozenset[str] | None,
        is_usable: Callable[[replicas_of.Replica], bool],
    ) -> replicas_of.Replica | None:
        """Returns the replica that all proxies of this region choose to prefill a part that no replica has cached.

        Args:
            service: The service.
            part: The hash of the part.
            permitted: Regions that may be used, None for all; this proxy's own one is tried first.
            is_usable: Returns whether a replica may be chosen.
        """
        self._refresh()
        for region in self._regions.get(service, ()):
            if permitted is None or region in permitted:
                found = self._ring(service, region).first_usable(part=part, is_usable=is_usable)
                if found is not None:
                    return found
        return None

    def _ring(self, service: str, region: str) -> HashRing:
        ring = self._rings.get((service, region))
        if ring is None:
            rows = self._by_service[service]
            usable = [replica for replica in rows if replica.region == region and self._is_in_service(replica)]
            ring = self._rings[service, region] = HashRing(replicas=usable, points=self._points)
        return ring

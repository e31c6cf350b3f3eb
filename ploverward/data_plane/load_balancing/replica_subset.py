"""Which replicas a proxy looks at where there are many: a stable subset by rendezvous hash (docs/scale.md 5).

Each proxy ranks the replicas of a service by a hash of its own address and the replica's id, and takes the first ones. A
replica that comes or goes changes one place of the subsets that it stands in. In a small region the subset is the whole.
"""

import bisect
import hashlib
import heapq
import math

MIN_NEAR_REPLICAS = 48  # replicas of a service in the proxy's own region
MIN_FAR_REPLICAS = 40  # the same in each other region
RING_POINTS = 4  # places of each replica on the ring of its region
MIN_PROXIES_PER_REPLICA = 4  # proxies that look at each replica, at least, on the average


def rank(*, own: str, replica_id: str) -> bytes:
    """The lower, the sooner this proxy takes the replica."""
    return hashlib.blake2b(f"{own} {replica_id}".encode(), digest_size=8).digest()


def size(*, replicas: int, proxies: float, is_near: bool) -> int:
    """How many of a region's replicas one of so many proxies looks at; rounded, so that it seldom changes."""
    least = MIN_NEAR_REPLICAS if is_near else MIN_FAR_REPLICAS
    wanted = MIN_PROXIES_PER_REPLICA * replicas / max(1.0, proxies)
    return min(replicas, least * max(1, math.ceil(wanted / least)))


class Subsets:
    """The subsets of one proxy, made anew when the list, the evacuations or the size of the fleet change."""

    def __init__(self, *, own: str, region: str):
        self._own = own
        self._region = region
        self._ranks = {}  # replica id: its rank here
        self._chosen = {}  # (service, region): replicas
        self._has_all_replicas = {}  # service: whether its subsets leave nobody out

    def clear(self) -> None:
        self._chosen = {}
        self._has_all_replicas = {}

    def forget(self, replica_id: str) -> None:
        self._ranks.pop(replica_id, None)

    def has_all_replicas(self, service: str) -> bool:
        return self._has_all_replicas.get(service, True)

    def install(self, *, service: str, replicas: list, proxies: float) -> None:
        """`replicas` of one service that may be used; `proxies`: about how many there are in a region."""
        by_region = {}
        for replica in replicas:
            by_region.setdefault(replica.region, []).append(replica)
        self._has_all_replicas[service] = True
        for region, rows in by_region.items():
            count = size(replicas=len(rows), proxies=proxies, is_near=region == self._region)
            if count < len(rows):
                self._has_all_replicas[service] = False
                rows = heapq.nsmallest(count, rows, key=self._rank)
            self._chosen[service, region] = rows

    def _rank(self, replica) -> bytes:
        known = self._ranks.get(replica.id)
        if known is None:
            known = self._ranks[replica.id] = rank(own=self._own, replica_id=replica.id)
        return known

    def of(self, service: str) -> list:
        """The replicas of a service that this proxy looks at, of all regions."""
        return [replica for (name, _region), rows in self._chosen.items() if name == service for replica in rows]


class Points:
    """Places of replicas on rings, kept from one ring to the next."""

    def __init__(self):
        self._places = {}  # replica id: its places

    def of(self, replica_id: str) -> tuple:
        places = self._places.get(replica_id)
        if places is None:
            places = self._places[replica_id] = tuple(
                hashlib.blake2b(f"{number} {replica_id}".encode(), digest_size=8).digest()
                for number in range(RING_POINTS)
            )
        return places

    def forget(self, replica_id: str) -> None:
        self._places.pop(replica_id, None)


class Ring:
    """Replicas of one region in an order that all proxies share: who is to read a part first that nobody keeps."""

    def __init__(self, *, replicas, points: Points):
        rows = [(point, replica.id, replica) for replica in replicas for point in points.of(replica.id)]
        rows.sort(key=lambda row: row[:2])
        self._places = [point for point, _name, _replica in rows]
        self._replicas = [replica for _point, _name, replica in rows]

    def first(self, *, part: bytes, is_usable):
        """The first replica from this part's place on that may be used, or None."""
        begin = bisect.bisect(self._places, part)
        count = len(self._replicas)
        for step in range(count):
            replica = self._replicas[(begin + step) % count]
            if is_usable(replica):
                return replica
        return None

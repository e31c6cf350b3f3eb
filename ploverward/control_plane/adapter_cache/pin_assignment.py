"""Assigns pins to replicas (docs/pins.md 4).

Previous pins are kept first. Then copies are assigned one by one, each time to the claim with the highest value and
preferably in a zone without a copy.

Invariants: a replica has at most as many pins as the capacity of its service and only adapters that may be loaded in
its region. A pin that was set in this run is not replaced in the same run, which ensures that the assignment ends.
"""

import collections.abc
import dataclasses
import typing

REPLACEMENT_FACTOR = 3.0  # a pin is replaced only by a copy whose value is more than this many times as high
REDUNDANCY_FACTOR = 4.0  # multiplies the value of the first copy in a region and of one in a second zone

Pair: typing.TypeAlias = tuple[str, str]  # (model, adapter)


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """A replica to which pins are assigned.

    Attributes:
        id: identifier of the replica.
        service: the service that it belongs to.
        zone: the zone that it runs in.
        region: the region of that zone.
        adapters: the adapters that it has loaded, or None if unknown.
    """

    id: str
    service: str
    zone: str
    region: str
    adapters: tuple[Pair, ...] | None

    def has(self, pair: Pair) -> bool:
        """Returns whether the replica is known to have this adapter loaded."""
        return pair in (self.adapters or ())


class Claim(typing.NamedTuple):
    """A demand for an adapter in a region."""

    service: str
    pair: Pair
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Claims:
    """All claims, and where they may be met.

    Attributes:
        weights: the weight of the demand of each claim.
        allowed: the regions in which each adapter of a service may be loaded.
    """

    weights: dict[Claim, float]
    allowed: dict[tuple[str, Pair], set[str]]


class PinAssignment:
    """Assigns pins to replicas in one run.

    Attributes:
        pins: the pins of each replica, by its identifier.
        claims: the claims to be met.

    Args:
        claims: the claims to be met.
        replicas: the replicas to which pins are assigned.
        capacity: maximum number of pins of a replica, by service.
    """

    def __init__(
        self,
        *,
        claims: Claims,
        replicas: collections.abc.Sequence[Replica],
        capacity: collections.abc.Mapping[str, int],
    ) -> None:
        self.claims = claims
        self.pins: dict[str, list[Pair]] = {replica.id: [] for replica in replicas}
        self._replicas = replicas
        self._capacity = capacity
        self._new_pins: set[tuple[str, Pair]] = set()  # pins that were set in this run

    def keep(self, previous: collections.abc.Mapping[str, collections.abc.Sequence[Pair]]) -> None:
        """Keeps previous pins, as far as the capacity allows and the adapters are still requested and permitted."""
        for replica in self._replicas:
            known = [pair for pair in previous.get(replica.id, ()) if self.may_load(replica, pair)]
            self.pins[replica.id].extend(known[: self._capacity.get(replica.service, 0)])

    def assign(self) -> list[Claim]:
        """Adds copies until no claim can have another one.

        Returns:
            The claims without a copy in their region although some replica may load the adapter.
        """
        unassigned = []
        waiting = set(self.claims.weights.keys())
        while waiting:
            claim = max(waiting, key=lambda one: (self.value(one), *one))
            if self._add_copy(claim) or self._replace_pin(claim):
                continue
            waiting.discard(claim)
            if not self.copies(claim.service, claim.pair, claim.region) and self._candidates(claim):
                unassigned.append(claim)
        return unassigned

    def copies(self, service: str, pair: Pair, region: str | None = None) -> list[Replica]:
        """Returns the replicas with this pin, in one region or, if `region` is None, in all regions."""
        return [
            replica
            for replica in self._replicas
            if replica.service == service
            and pair in self.pins[replica.id]
            and (region is None or replica.region == region)
        ]

    def may_load(self, replica: Replica, pair: Pair) -> bool:
        """Returns whether the adapter may be loaded in the replica's region."""
        return replica.region in self.claims.allowed.get((replica.service, pair), ())

    def value(self, claim: Claim) -> float:
        """Returns the value of one more copy for a claim."""
        weight = self.claims.weights.get(claim, 0.0)
        factor = REDUNDANCY_FACTOR if self._is_next_copy_redundancy(claim) else 1.0
        return weight / (len(self.copies(*claim)) + 1) * factor

    def _is_next_copy_redundancy(self, claim: Claim) -> bool:
        """Returns whether a next copy would be the first in its region, or the second while all are in one zone."""
        copies = self.copies(*claim)
        return not copies or (len(copies) == 1 and len(self._zones_with(claim)) < 2)

    def _zones_with(self, claim: Claim) -> set[str]:
        return {replica.zone for replica in self.copies(claim.service, claim.pair)}

    def _value_of_pin(self, replica: Replica, pair: Pair) -> float:
        """Returns the value that would be lost if this pin were removed."""
        claim = Claim(replica.service, pair, replica.region)
        weight = self.claims.weights.get(claim, 0.0)
        copies = self.copies(*claim)
        other_zones = {other.zone for other in self.copies(replica.service, pair) if other is not replica}
        if len(copies) <= 1 or len(other_zones) < 2:
            return weight * REDUNDANCY_FACTOR
        return weight / len(copies)

    def _candidates(self, claim: Claim) -> list[Replica]:
        """Returns the replicas that may receive a copy for a claim.

        They are in the claim's region. A second copy may be in another region if no other zone of the claim's region
        has a replica of the service.
        """
        of_service = [replica for replica in self._replicas if replica.service == claim.service]
        candidates = [replica for replica in of_service if replica.region == claim.region]
        if self.copies(*claim) and self._is_next_copy_redundancy(claim):
            zones = self._zones_with(claim)
            elsewhere = [replica for replica in of_service if replica.zone not in zones]
            candidates = [replica for replica in candidates if replica.zone not in zones] or elsewhere or candidates
        return [
            replica
            for replica in candidates
            if claim.pair not in self.pins[replica.id] and self.may_load(replica, claim.pair)
        ]

    def _add_copy(self, claim: Claim) -> bool:
        """Adds a copy to a replica with free capacity; returns False if there is none."""
        free = [
            replica
            for replica in self._candidates(claim)
            if len(self.pins[replica.id]) < self._capacity.get(replica.service, 0)
        ]
        if not free:
            return False
        zones = self._zones_with(claim)

        def cost(replica: Replica) -> tuple[bool, bool, int, str]:
            return replica.zone in zones, not replica.has(claim.pair), len(self.pins[replica.id]), replica.id

        self._pin(min(free, key=cost).id, claim.pair)
        return True

    def _replace_pin(self, claim: Claim) -> bool:
        """Replaces the pin with the lowest value; returns False if nothing was replaced.

        It does so only for redundancy, since moving a pin makes requests wait for the load of the adapter.
        """
        if not self._is_next_copy_redundancy(claim):
            return False
        values = [
            (self._value_of_pin(replica, pair), replica.id, pair)
            for replica in self._candidates(claim)
            for pair in self.pins[replica.id]
            if (replica.id, pair) not in self._new_pins
        ]
        if not values:
            return False
        pin_value, replica_id, pair = min(values)
        if pin_value * REPLACEMENT_FACTOR >= self.value(claim):
            return False
        self.pins[replica_id].remove(pair)
        self._pin(replica_id, claim.pair)
        return True

    def _pin(self, replica_id: str, pair: Pair) -> None:
        self.pins[replica_id].append(pair)
        self._new_pins.add((replica_id, pair))

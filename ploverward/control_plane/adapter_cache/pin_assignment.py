"""Assigns pins to replicas (docs/pins.md 4).

Earlier pins are kept. Then copies are assigned one by one to the claim with the highest value, each in the zone that
has the fewest. Invariants: a replica has at most the capacity of its service, only adapters that may be loaded in its
region, and no pin that was set in this run is replaced in it, so that the assignment ends.
"""

import collections.abc
import dataclasses
import typing

REPLACEMENT_FACTOR = 3.0  # a pin is replaced only by a copy whose value is so many times as high
REDUNDANCY_FACTOR = 4.0  # for the first copy in a region and one in another zone: multiplies the value of their share

Pair: typing.TypeAlias = tuple[str, str]  # (model, adapter)


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """A replica that serves requests.

    Attributes:
        id: its identifier.
        service: its service.
        zone: its zone.
        region: the region of that.
        adapters: what it has loaded; None where that is not known.
    """

    id: str
    service: str
    zone: str
    region: str
    adapters: tuple[Pair, ...] | None

    def has(self, pair: Pair) -> bool:
        """Whether it is known to have this adapter loaded."""
        return pair in (self.adapters or ())


class Claim(typing.NamedTuple):
    """An adapter that is wanted in a region."""

    service: str
    pair: Pair
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Claims:
    """All that is wanted.

    Attributes:
        weights: the demand behind each claim.
        allowed: the regions in which an adapter of a service may be loaded.
    """

    weights: dict[Claim, float]
    allowed: dict[tuple[str, Pair], set[str]]


class PinAssignment:
    """Pins while they are assigned.

    Attributes:
        pins: the pins of each replica, by its identifier.
        claims: what is wanted.

    Args:
        claims: what is wanted.
        replicas: the replicas.
        capacity: pins that a replica of each service can have.
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
        self._settled: set[tuple[str, Pair]] = set()  # pins of this run

    def keep(self, previous: collections.abc.Mapping[str, collections.abc.Sequence[Pair]]) -> None:
        """Sets the pins that were set before, as far as the capacity allows and the adapters are still requested."""
        for replica in self._replicas:
            known = [pair for pair in previous.get(replica.id, ()) if self.may_load(replica, pair)]
            self.pins[replica.id].extend(known[: self._capacity.get(replica.service, 0)])

    def assign(self) -> list[Claim]:
        """Sets copies until no claim can have another one.

        Returns:
            The claims that have no copy although there are replicas that may load the adapter.
        """
        without_capacity = []
        waiting = set(self.claims.weights.keys())
        while waiting:
            claim = max(waiting, key=lambda one: (self.value(one), *one))
            if self._place(claim) or self._replace(claim):
                continue
            waiting.discard(claim)
            if not self.copies(claim.service, claim.pair, claim.region) and self._candidates(claim):
                without_capacity.append(claim)
        return without_capacity

    def copies(self, service: str, pair: Pair, region: str | None = None) -> list[Replica]:
        """The replicas with this pin, in a region or in all."""
        return [
            replica
            for replica in self._replicas
            if replica.service == service
            and pair in self.pins[replica.id]
            and (region is None or replica.region == region)
        ]

    def may_load(self, replica: Replica, pair: Pair) -> bool:
        """Whether the adapter may be loaded in the replica's region."""
        return replica.region in self.claims.allowed.get((replica.service, pair), ())

    def value(self, claim: Claim) -> float:
        """The value of one more copy."""
        weight = self.claims.weights.get(claim, 0.0)
        factor = REDUNDANCY_FACTOR if self._is_redundancy(claim) else 1.0
        return weight / (len(self.copies(*claim)) + 1) * factor

    def _is_redundancy(self, claim: Claim) -> bool:
        """Whether the next copy is the first one in its region, or the second one while there is no other zone."""
        copies = self.copies(*claim)
        return not copies or (len(copies) == 1 and len(self._zones_with(claim)) < 2)

    def _zones_with(self, claim: Claim) -> set[str]:
        return {replica.zone for replica in self.copies(claim.service, claim.pair)}

    def _loss(self, replica: Replica, pair: Pair) -> float:
        """What is lost with this copy."""
        claim = Claim(replica.service, pair, replica.region)
        weight = self.claims.weights.get(claim, 0.0)
        copies = self.copies(*claim)
        other_zones = {other.zone for other in self.copies(replica.service, pair) if other is not replica}
        if len(copies) <= 1 or len(other_zones) < 2:
            return weight * REDUNDANCY_FACTOR
        return weight / len(copies)

    def _candidates(self, claim: Claim) -> list[Replica]:
        """Where a copy may be set: in the region; a second one, where no other zone there can have it, elsewhere."""
        of_service = [replica for replica in self._replicas if replica.service == claim.service]
        candidates = [replica for replica in of_service if replica.region == claim.region]
        if self.copies(*claim) and self._is_redundancy(claim):
            zones = self._zones_with(claim)
            elsewhere = [replica for replica in of_service if replica.zone not in zones]
            candidates = [replica for replica in candidates if replica.zone not in zones] or elsewhere or candidates
        return [
            replica
            for replica in candidates
            if claim.pair not in self.pins[replica.id] and self.may_load(replica, claim.pair)
        ]

    def _place(self, claim: Claim) -> bool:
        """Sets a copy where there is capacity."""
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

    def _replace(self, claim: Claim) -> bool:
        """Replaces the pin with the lowest value, but only for redundancy: a pin that moves costs waits of its own."""
        if not self._is_redundancy(claim):
            return False
        losses = [
            (self._loss(replica, pair), replica.id, pair)
            for replica in self._candidates(claim)
            for pair in self.pins[replica.id]
            if (replica.id, pair) not in self._settled
        ]
        if not losses:
            return False
        loss, replica_id, pair = min(losses)
        if loss * REPLACEMENT_FACTOR >= self.value(claim):
            return False
        self.pins[replica_id].remove(pair)
        self._pin(replica_id, claim.pair)
        return True

    def _pin(self, replica_id: str, pair: Pair) -> None:
        self.pins[replica_id].append(pair)
        self._settled.add((replica_id, pair))

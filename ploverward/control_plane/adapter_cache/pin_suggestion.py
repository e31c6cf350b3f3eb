"""Suggests from request counts which adapters each replica should keep pinned (docs/pins.md 4), without side effects.

The suggestion is JSON. Operators' tools print it and pass it to the next run as the previous suggestion.
"""

import collections
import collections.abc
import dataclasses
import typing

from ploverward.control_plane.adapter_cache import adapter_demand
from ploverward.control_plane.adapter_cache.adapter_demand import AdapterKey
from ploverward.control_plane.adapter_cache.adapter_demand import RegionDemand
from ploverward.control_plane.adapter_cache.pin_assignment import REDUNDANCY_FACTOR
from ploverward.control_plane.adapter_cache.pin_assignment import Claim
from ploverward.control_plane.adapter_cache.pin_assignment import Claims
from ploverward.control_plane.adapter_cache.pin_assignment import Pair
from ploverward.control_plane.adapter_cache.pin_assignment import PinAssignment
from ploverward.control_plane.adapter_cache.pin_assignment import Replica

MIN_ARRIVALS = 3  # an adapter with fewer arrivals is not pinned, unless it was pinned before
OTHER_REGION_FACTOR = 1 / 8  # reduces the value for a new replica of an adapter that is claimed in another region

Json: typing.TypeAlias = dict[str, typing.Any]
Demand: typing.TypeAlias = dict[AdapterKey, dict[str, RegionDemand]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DemandedPins:
    """The claims that result from the demand, and the adapters that cannot or should not be pinned.

    Attributes:
        claims: claims for adapters that some replica may load.
        without_replica: rows on adapters that no replica may load, one for each region in which a replica would help.
        without_evidence: rows on adapters with too few arrivals, one for each region.
    """

    claims: Claims
    without_replica: list[Json]
    without_evidence: list[Json]


def suggest(
    *,
    windows: collections.abc.Collection[Json],
    replicas: collections.abc.Iterable[Json],
    routes: collections.abc.Mapping[str, Json],
    capacity: collections.abc.Mapping[str, int],
    previous: Json | None = None,
) -> Json:
    """Suggests pins for all replicas.

    Args:
        windows: windows of counts, as core nodes report them.
        replicas: "id", "service", "zone", "region" and "adapters" (pairs, or None if unknown) of each replica.
        routes: "urgency", "target_ms" and "homes" of each route.
        capacity: maximum number of pins of a replica, by service.
        previous: the previous suggestion. Its pins are kept if possible: the old copy of a moved pin is evicted
            later, and requests are sent to it until the endpoint list shows the eviction.

    Returns:
        The pins of each replica, the adapters that new replicas should load, the expected saving, and the adapters that
        are missing or have too little evidence.
    """
    rows = [_replica(row) for row in replicas]
    demand = adapter_demand.demand(windows=windows, routes=routes)
    homes = adapter_demand.home_regions(windows=windows, routes=routes)
    pins_before = _previous_pins(rows, previous)
    demanded = _demanded_pins(demand, homes, rows, pins_before)
    assignment = PinAssignment(claims=demanded.claims, replicas=rows, capacity=capacity)
    assignment.keep(pins_before)
    without_capacity = [
        _adapter_body(
            AdapterKey(claim.service, *claim.pair), claim.region, why="no room: raise the capacity or add replicas"
        )
        for claim in assignment.assign()
    ]
    return {
        "replicas": {replica.id: _replica_body(replica, assignment.pins[replica.id]) for replica in rows},
        "new": _loads_of_new_replicas(assignment, rows, capacity),
        "saving": _saving(demand, assignment.pins, rows),
        "missing": without_capacity + demanded.without_replica,
        "too_little_evidence": demanded.without_evidence,
    }


def _replica(row: Json) -> Replica:
    adapters = None if row["adapters"] is None else tuple(row["adapters"])
    return Replica(id=row["id"], service=row["service"], zone=row["zone"], region=row["region"], adapters=adapters)


def _replica_body(replica: Replica, pins: list[Pair]) -> Json:
    return {
        "service": replica.service,
        "zone": replica.zone,
        "region": replica.region,
        "pins": sorted(pins),
        "is_known": replica.adapters is not None,
        "to_load": sorted(set(pins) - set(replica.adapters or ())),
    }


def _adapter_body(adapter: AdapterKey, region: str, **about: object) -> Json:
    return {**adapter._asdict(), "region": region, **about}


def _previous_pins(replicas: list[Replica], previous: Json | None) -> dict[str, list[Pair]]:
    """Returns the previous pins of each replica.

    For a new replica these are the adapters that it has loaded; those suggested for new replicas of its zone are first.
    """
    if not previous:
        return {}
    pins: dict[str, list[Pair]] = {}
    for replica in replicas:
        known = previous["replicas"].get(replica.id)
        if known is not None:
            pins[replica.id] = _pairs(known["pins"])
            continue
        first = _pairs(previous.get("new", {}).get(replica.service, {}).get(replica.zone, ()))
        loaded = sorted(replica.adapters or ())
        pins[replica.id] = [pair for pair in loaded if pair in first] + [pair for pair in loaded if pair not in first]
    return pins


def _pairs(rows: collections.abc.Iterable[collections.abc.Iterable[str]]) -> list[Pair]:
    return [typing.cast(Pair, tuple(row)) for row in rows]


def _demanded_pins(
    demand: Demand,
    homes: dict[AdapterKey, frozenset[str] | None],
    replicas: list[Replica],
    pins_before: dict[str, list[Pair]],
) -> DemandedPins:
    """Derives the claims from the demand. Requests without a known adapter are skipped."""
    demanded = DemandedPins(claims=Claims(weights={}, allowed={}), without_replica=[], without_evidence=[])
    for adapter, regions in demand.items():
        if not adapter.adapter:
            continue
        of_service = [replica for replica in replicas if replica.service == adapter.service]
        permitted = homes[adapter]
        allowed = {replica.region for replica in of_service if permitted is None or replica.region in permitted}
        was_pinned = any(adapter.pair in pins_before.get(replica.id, ()) for replica in of_service)
        if sum(row.counts.arrivals for row in regions.values()) < MIN_ARRIVALS and not was_pinned:
            demanded.without_evidence.extend(
                _adapter_body(adapter, region, arrivals=row.counts.arrivals) for region, row in regions.items()
            )
            continue
        if not allowed:
            demanded.without_replica.extend(
                _adapter_body(adapter, region, why="no replica may load it: add one in this region")
                for region in sorted(permitted or regions)
            )
            continue
        is_known = was_pinned or any(replica.has(adapter.pair) for replica in of_service)
        weights = _weights_by_region(regions, allowed=allowed, is_known=is_known)
        for region, weight in weights.items():
            demanded.claims.weights[Claim(adapter.service, adapter.pair, region)] = weight
            demanded.claims.allowed[(adapter.service, adapter.pair)] = allowed
    return demanded


def _weights_by_region(
    regions: dict[str, RegionDemand], *, allowed: set[str], is_known: bool
) -> collections.Counter[str]:
    """Returns the weight of the demand for an adapter by the regions in which it may be loaded.

    Args:
        regions: the demand by the region in which the requests arrived.
        allowed: the regions in which the adapter may be loaded.
        is_known: whether some replica has the adapter loaded or had it pinned. If not, a region in which it was always
            warm has no claim.
    """
    weights: collections.Counter[str] = collections.Counter()
    for region, row in regions.items():
        if not row.counts.cold and not row.counts.unknown and not is_known:
            continue
        if region in allowed:
            weights[region] += row.weight  # type: ignore[assignment]  # a Counter of floats
        else:  # its requests may be served in any allowed region
            for other in sorted(allowed):
                weights[other] += row.weight / len(allowed)  # type: ignore[assignment]
    return weights


def _loads_of_new_replicas(
    assignment: PinAssignment, replicas: list[Replica], capacity: collections.abc.Mapping[str, int]
) -> dict[str, dict[str, list[list[str]]]]:
    """Returns the adapters that a replica starting in a zone should load first, by service and zone.

    Adapters with the fewest copies relative to their weight are first, so that replicas that are replaced one by one do
    not all load the same adapters.
    """
    loads: dict[str, dict[str, list[list[str]]]] = {}
    for replica in replicas:
        zones = loads.setdefault(replica.service, {})
        if replica.zone in zones:
            continue
        by_value = sorted((-value, pair) for pair, value in _values_in_zone(assignment, replica).items())
        zones[replica.zone] = [list(pair) for _value, pair in by_value[: capacity.get(replica.service, 0)]]
    return {service: dict(sorted(zones.items())) for service, zones in sorted(loads.items())}


def _values_in_zone(assignment: PinAssignment, replica: Replica) -> dict[Pair, float]:
    """Returns the value of each adapter on a new replica in the zone of this replica."""
    values: dict[Pair, float] = {}
    for claim in assignment.claims.weights:
        if claim.service != replica.service or not assignment.may_load(replica, claim.pair):
            continue
        in_zone = [other for other in assignment.copies(*claim) if other.zone == replica.zone]
        value = assignment.value(claim) * (REDUNDANCY_FACTOR if len(in_zone) <= 1 else 1.0)
        if claim.region != replica.region:
            value *= OTHER_REGION_FACTOR
        values[claim.pair] = max(values.get(claim.pair, 0.0), value)
    return values


def _saving(demand: Demand, pins: dict[str, list[Pair]], replicas: list[Replica]) -> Json:
    """Returns how many of the counted cold waits a pinned copy in their region would have avoided."""
    saved_waits, saved_ms, all_waits = 0, 0, 0
    for adapter, regions in demand.items():
        pinned_regions = {
            replica.region
            for replica in replicas
            if replica.service == adapter.service and adapter.pair in pins[replica.id]
        }
        for region, row in regions.items():
            all_waits += row.counts.waits
            if region in pinned_regions:
                saved_waits += row.counts.waits
                saved_ms += row.counts.wait_ms
    return {"cold_waits": saved_waits, "wait_ms": saved_ms, "of_cold_waits": all_waits}

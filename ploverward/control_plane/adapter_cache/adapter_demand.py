"""Demand of adapters by region, from the counts of proxies (docs/pins.md 4). Pure."""

import collections.abc
import dataclasses
import typing

from ploverward.data_plane.adapter_cache import count_table

Json: typing.TypeAlias = dict[str, typing.Any]

MAX_PRIORITY = 9  # the least urgent; 0 is the most urgent
DEFAULT_PRIORITY = 5  # of a route that the configuration does not have


class AdapterKey(typing.NamedTuple):
    """An adapter of a model of a service; the adapter is "" for requests that name none that is known."""

    service: str
    model: str
    adapter: str

    @property
    def pair(self) -> tuple[str, str]:
        """(model, adapter), as replicas name what they have loaded."""
        return self.model, self.adapter


@dataclasses.dataclass(slots=True)
class RegionDemand:
    """What arrived for an adapter in one region.

    Attributes:
        counts: the sums of all windows.
        weight: arrivals, weighted by the priority of their route and by how near their waits come to its target.
    """

    counts: count_table.ArrivalCounts = count_table.ArrivalCounts()
    weight: float = 0.0


def demand(
    *, windows: collections.abc.Iterable[Json], routes: collections.abc.Mapping[str, Json]
) -> dict[AdapterKey, dict[str, RegionDemand]]:
    """Sums what arrived.

    Args:
        windows: windows of counts, as core nodes report them.
        routes: of each route "urgency" and "target_ms".

    Returns:
        For each adapter the demand by region.
    """
    table: dict[AdapterKey, dict[str, RegionDemand]] = {}
    for window in windows:
        for key, counts in count_table.parse_rows(window):
            adapter = AdapterKey(key.service, key.model, key.adapter)
            row = table.setdefault(adapter, {}).setdefault(window["region"], RegionDemand())
            row.counts = row.counts.plus(counts)
            row.weight += _weight(counts, routes.get(key.route, {}))
    return table


def _weight(counts: count_table.ArrivalCounts, route: Json) -> float:
    target_ms = route.get("target_ms")
    nearness = min(1.0, counts.wait_ms / counts.waits / target_ms) if counts.waits and target_ms else 0.0
    priority = min(MAX_PRIORITY, max(0, route.get("urgency", DEFAULT_PRIORITY)))
    return counts.arrivals * (MAX_PRIORITY + 1 - priority) / (MAX_PRIORITY + 1) * (1 + nearness)


def homes_of(
    *, windows: collections.abc.Iterable[Json], routes: collections.abc.Mapping[str, Json]
) -> dict[AdapterKey, frozenset[str] | None]:
    """Where each adapter may be loaded: the home regions of all routes that requested it; None for all regions."""
    table: dict[AdapterKey, frozenset[str] | None] = {}
    for window in windows:
        for key, _counts in count_table.parse_rows(window):
            homes = frozenset(routes.get(key.route, {}).get("homes") or ()) or None
            adapter = AdapterKey(key.service, key.model, key.adapter)
            known = table.get(adapter, homes)
            table[adapter] = None if known is None or homes is None else known | homes
    return table

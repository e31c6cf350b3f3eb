"""Computes the demand for adapters by region from the counts of proxies (docs/pins.md 4), without side effects."""

import collections.abc
import dataclasses
import typing

from ploverward.data_plane.adapter_cache import count_table

Json: typing.TypeAlias = dict[str, typing.Any]

MAX_PRIORITY = 9  # the lowest urgency; 0 is the highest
DEFAULT_PRIORITY = 5  # priority of a route that is not in the configuration


class AdapterKey(typing.NamedTuple):
    """Identifies an adapter of a model of a service; `adapter` is "" for requests without a known adapter."""

    service: str
    model: str
    adapter: str

    @property
    def pair(self) -> tuple[str, str]:
        """(model, adapter), the form in which replicas report loaded adapters."""
        return self.model, self.adapter


@dataclasses.dataclass(slots=True)
class RegionDemand:
    """The demand for an adapter in one region.

    Attributes:
        counts: the counts of all windows, added up.
        weight: arrivals, weighted by the priority of their route and by the ratio of their mean wait to its latency
            target.
    """

    counts: count_table.ArrivalCounts = count_table.ArrivalCounts()
    weight: float = 0.0


def demand(
    *, windows: collections.abc.Iterable[Json], routes: collections.abc.Mapping[str, Json]
) -> dict[AdapterKey, dict[str, RegionDemand]]:
    """Adds up the counts of each adapter by region.

    Args:
        windows: windows of counts, as core nodes report them.
        routes: "urgency" and "target_ms" of each route.

    Returns:
        The demand for each adapter by region.
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
    wait_ratio = min(1.0, counts.wait_ms / counts.waits / target_ms) if counts.waits and target_ms else 0.0
    priority = min(MAX_PRIORITY, max(0, route.get("urgency", DEFAULT_PRIORITY)))
    return counts.arrivals * (MAX_PRIORITY + 1 - priority) / (MAX_PRIORITY + 1) * (1 + wait_ratio)


def home_regions(
    *, windows: collections.abc.Iterable[Json], routes: collections.abc.Mapping[str, Json]
) -> dict[AdapterKey, frozenset[str] | None]:
    """Returns the regions in which each adapter may be loaded: the home regions of all routes that requested it.

    None stands for all regions: at least one of these routes has no home regions.
    """
    table: dict[AdapterKey, frozenset[str] | None] = {}
    for window in windows:
        for key, _counts in count_table.parse_rows(window):
            homes = frozenset(routes.get(key.route, {}).get("homes") or ()) or None
            adapter = AdapterKey(key.service, key.model, key.adapter)
            known = table.get(adapter, homes)
            table[adapter] = None if known is None or homes is None else known | homes
    return table

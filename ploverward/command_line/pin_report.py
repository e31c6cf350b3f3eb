"""Builds the report of `ploverward pins`: the suggested pins and the evidence for them (docs/pins.md 6)."""

import collections
import dataclasses
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from ploverward.common import errors
from ploverward.control_plane.adapter_cache import adapter_demand
from ploverward.control_plane.adapter_cache import pin_suggestion
from ploverward.data_plane.adapter_cache import count_table

Json = dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Filter:
    """Selection of rows of the report; an empty field selects all.

    Attributes:
        service: Only rows of this service.
        model: Only evidence of this model.
        zone: Only replicas of this zone.
        replica: Only this replica.
    """

    service: str = ""
    model: str = ""
    zone: str = ""
    replica: str = ""

    def check(self, *, known: Mapping[str, Collection[str]]) -> None:
        """Checks that each name is known: for an unknown one, an empty table would suggest that nothing needs pinning.

        Raises:
            InvalidArgumentError: A name is unknown.
        """
        for kind, name in dataclasses.asdict(self).items():
            if name and name not in known[kind]:
                raise errors.InvalidArgumentError(
                    f"unknown {kind} '{name}'; known: {', '.join(sorted(known[kind])) or 'none'}", step="pins"
                )


def build_report(*, usage: Json, routes: Json, capacity: int, previous: Json, row_filter: Filter) -> Json:
    """Builds the report.

    Args:
        usage: Adapter counts of the core nodes, as `pins.collect` returns them.
        routes: Routes, as `pins.read_routes` returns them.
        capacity: Adapters that a replica can keep pinned; 0: the most that a replica of its service is seen to hold.
        previous: Earlier suggestion, from which the new one differs only as far as necessary.
        row_filter: Rows to report; the suggestion is computed for all replicas regardless.

    Raises:
        InvalidArgumentError: The filter has an unknown name.
    """
    replicas = [
        {**row, "adapters": None if row["adapters"] is None else [tuple(pair) for pair in row["adapters"]]}
        for row in usage["replicas"]
        if not row["is_clearing"]
    ]
    row_filter.check(known=_known_names(usage))
    capacities = pin_capacities(replicas=replicas, given=capacity)
    suggestion = pin_suggestion.suggest(
        windows=usage["windows"], replicas=replicas, routes=routes, capacity=capacities, previous=previous
    )
    suggestion["replicas"] = {
        name: row
        for name, row in suggestion["replicas"].items()
        if row_filter.service in ("", row["service"])
        and row_filter.zone in ("", row["zone"])
        and row_filter.replica in ("", name)
    }
    return {
        "suggestion": suggestion,
        "evidence": _evidence(usage["windows"], routes=routes, row_filter=row_filter),
        "nodes": _cold_arrivals_by_proxy(usage["windows"]),
        "capacity": capacities,
        "coverage": _coverage(usage),
    }


def _known_names(usage: Json) -> dict[str, set[str]]:
    return {
        "service": {row["service"] for row in usage["replicas"]},
        "zone": set(usage["zones"]),
        "model": {model for row in usage["replicas"] for model in row["models"]},
        "replica": {row["id"] for row in usage["replicas"]},
    }


def pin_capacities(*, replicas: Iterable[Json], given: int) -> dict[str, int]:
    """Returns the pins per replica, by service.

    The number is `given`, or if that is 0, the most adapters that any replica of the service is seen to hold at once.
    """
    found: collections.Counter[str] = collections.Counter()
    for row in replicas:
        found[row["service"]] = max(found[row["service"]], given or len(row["adapters"] or ()))
    return dict(found)


def _evidence(windows: list[Json], *, routes: Json, row_filter: Filter) -> list[Json]:
    demand = adapter_demand.demand(windows=windows, routes=routes)
    return [
        {
            "service": service,
            "model": model,
            "adapter": adapter,
            "region": region,
            **row.counts._asdict(),
        }
        for (service, model, adapter), regions in sorted(demand.items())
        if row_filter.service in ("", service) and row_filter.model in ("", model)
        for region, row in sorted(regions.items())
    ]


def _cold_arrivals_by_proxy(windows: list[Json]) -> list[Json]:
    """Returns the cold arrivals of each adapter as counted by each proxy, most first; shows where they occur."""
    table: dict[tuple, list[int]] = collections.defaultdict(lambda: [0, 0])  # cold, arrivals
    for window in windows:
        for key, counts in count_table.parse_rows(window):
            row = table[(window["node"], window["zone"], key.service, key.model, key.adapter)]
            row[0] += counts.cold
            row[1] += counts.arrivals
    return [
        {
            "node": node,
            "zone": zone,
            "service": service,
            "model": model,
            "adapter": adapter,
            "cold": cold,
            "arrivals": arrivals,
        }
        for (node, zone, service, model, adapter), (cold, arrivals) in sorted(
            table.items(), key=lambda item: (-item[1][0], item[0])
        )
        if cold
    ]


def _coverage(usage: Json) -> Json:
    windows = usage["windows"]
    reporting = {window["life"] for window in windows}
    return {
        "windows": len(windows),
        "oldest_s": max((row["age_s"] for row in windows), default=0),
        "newest_s": min((row["age_s"] for row in windows), default=0),
        "proxies_in_touch": len(usage["proxies"]),
        "proxies_heard": len(reporting & set(usage["proxies"])),
        "unreachable": usage["unreachable"],
        "malformed_counts": usage["malformed"],
        "malformed_replicas": usage["malformed_replicas"],
        "uncounted": sum(row["over"] for row in windows),
    }

"""Slopes of each role's work, and what they come to at the operators' target size: docs/CAPACITY.md.

    python3 -m ploverward.simulation.capacity            measures and prints tables
    python3 -m ploverward.simulation.capacity --json     the same for machines

`capacity_probes` says what is measured and how, `capacity_fit` puts lines and curves through it.
"""

import argparse
import json
import typing

from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.relay import host as hosts
from ploverward.simulation import capacity_fit
from ploverward.simulation import capacity_probes
from ploverward.simulation.capacity_target import TARGET

TICK_S = 0.075  # contactMs / 80 at a contactMs of 6,000


class Extrapolation(typing.NamedTuple):
    """One figure at the target."""

    role: str
    what: str
    value: float
    limit: float
    verdict: str  # "fits", "does not fit"


def measure() -> dict[str, capacity_fit.Curve]:
    """The curve of each probe, by its name."""
    return {
        probe.name: capacity_fit.curve(
            [capacity_fit.Point(size, probe.measure(size) * probe.scale) for size in probe.sizes]
        )
        for probe in capacity_probes.PROBES
    }


def as_json(curves: dict[str, capacity_fit.Curve]) -> dict[str, dict]:
    """Curves with rounded figures, as machines read them."""
    return {
        probe.name: {
            "of": probe.of,
            "square": curve.square,
            "unit": probe.unit,
            "points": [[size, round(value, 1)] for size, value in curve.points],
            "slope": curve.slope,
            "base": curve.base,
            "off": curve.off,
        }
        for probe in capacity_probes.PROBES
        for curve in [curves[probe.name]]
    }


def extrapolate(curves: dict[str, capacity_fit.Curve]) -> list[Extrapolation]:
    """Figures at the target: the curves carried on past what was measured."""
    size = TARGET

    def at(name: str, count: float) -> float:
        return curves[name].at(count)

    digests = 2  # of a zone, as one of the target has: then reports are half as frequent
    ticks = 1 / TICK_S / digests
    by_region = size.replicas / size.regions
    per_proxy = size.requests_s / size.proxies
    members = min(singleton_roles.PROXIES_PER_DIGEST, size.proxies / size.zones)
    cells = digests * size.zones / size.regions
    per_tick = size.requests_s / size.regions / ticks
    changed = min(by_region, 3 * per_tick)
    near_bytes = at("relay: told in a tick", by_region) * ticks
    far_bytes = (size.regions - 1) * near_bytes / hosts.FAR_TICKS
    proxy_bytes = near_bytes + far_bytes
    lists_s = size.restarts_day * 3 / 86400
    lines = [
        (
            "proxy",
            "choices, part of a core",
            per_proxy * at("proxy: a choice", size.replicas) / 1e6,
            size.cpu_part,
        ),
        (
            "proxy",
            "reports, part of a core",
            ticks * at("proxy: a report", min(3 * per_proxy * TICK_S, by_region)) / 1e6,
            size.cpu_part,
        ),
        (
            "proxy",
            "load frames, part of a core",
            ticks * size.regions * at("proxy: a load frame", hosts.MIN_LOAD_ROWS) / 1e6,
            size.cpu_part,
        ),
        ("proxy", "loads and buckets of all regions, at most, bytes a second", proxy_bytes, size.bytes_s),
        (
            "digest",
            "reports of its members, part of a core",
            ticks * at("digest: a tick", members) / 1e6,
            size.cpu_part,
        ),
        (
            "digest",
            "frames passed on, part of a core",
            ticks * size.regions * at("digest: a frame passed on", members) / 1e6,
            size.cpu_part,
        ),
        ("digest", "passed on to members, at most, bytes a second", proxy_bytes * members, size.bytes_s),
        (
            "relay",
            "sums of the region's digests and gateways, part of a core",
            ticks * (cells + size.regions - 1) * at("relay: a cut with loads", changed / cells) / 1e6,
            size.cpu_part,
        ),
        ("relay", "reads, part of a core", ticks * at("relay: reads in a tick", per_tick) / 1e6, size.cpu_part),
        (
            "gateway",
            "passed on to the region's digests, at most, bytes a second",
            far_bytes * cells,
            size.bytes_s,
        ),
        ("relay", "exact ownership, MB", at("relay: exact ownership", by_region * 200) / 1e6, size.memory_mb),
        ("core", "leases, part of a core", at("core: a beat of leases", size.proxies) / 1e6 / 0.4, size.cpu_part),
        (
            "core",
            "changes offered, part of a core",
            at("core: a change offered and acknowledged", size.proxies) / 1e6 * size.changes_day / 86400,
            size.cpu_part,
        ),
        (
            "core",
            "the list told, bytes a second to each proxy",
            at("core: a step of the list", size.replicas) * lists_s,
            size.bytes_s,
        ),
    ]
    return [
        Extrapolation(role, what, value, limit, "fits" if value <= limit else "does not fit")
        for role, what, value, limit in lines
    ]


def main() -> None:
    """Measures and prints."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    curves = measure()
    lines = extrapolate(curves)
    found = as_json(curves)
    if args.json:
        print(json.dumps({"slopes": found, "target": TARGET._asdict(), "extrapolated": lines}, indent=2))
        return
    print("| measured | sizes and values | slope | base | off the line by |\n| --- | --- | --- | --- | --- |")
    for name, row in found.items():
        points = ", ".join(f"{size}: {value:,.0f}" for size, value in row["points"])
        curve = f"{row['square']:,} a square and " if row["square"] else ""
        slope = f"{curve}{row['slope']:,} a {row['of']}"
        print(f"| {name} ({row['unit']}) | {points} | {slope} | {row['base']:,} | {row['off']:.0%} |")
    print("\n| role | what, extrapolated | at the target | limit | verdict |\n| --- | --- | --- | --- | --- |")
    for role, what, value, limit, verdict in lines:
        print(f"| {role} | {what} | {value:,.4g} | {limit:,} | {verdict} |")


if __name__ == "__main__":
    main()

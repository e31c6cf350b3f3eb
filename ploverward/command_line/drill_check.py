"""Preconditions of a drill, which are checked without sending any order (docs/drill.md)."""

from collections.abc import Callable
from typing import Any

from ploverward.command_line import core_client as core_clients
from ploverward.common import errors

Call = Callable[[str, str], core_clients.Response]  # method, path

_Regions = dict[str, set[str]]  # regions by service


class DrillRefusedError(errors.PloverwardError):
    """A precondition of the drill does not hold or can't be read from the core; nothing was done.

    Raised before the drill sends any order; the command exits with 2.
    """


def check(*, zone: str, call: Call) -> dict[str, str]:
    """Checks that the zone is known and in service, and that each route can be served without it.

    Returns:
        Region by zone.

    Raises:
        DrillRefusedError: One of these conditions does not hold or can't be read.
    """
    nodes = _read(call, "/ploverward/nodes", refusal="the core answers {status}; nothing was done")
    zones = nodes["zones"]
    if zone not in zones:
        raise DrillRefusedError(f"unknown zone '{zone}'; known: {', '.join(sorted(zones))}", step="check")
    evacuations = _read(
        call, "/ploverward/evacuation", refusal="evacuations can't be read ({status}); nothing was done"
    )
    if zone in evacuations["zones"]:
        raise DrillRefusedError(f"{zone} is already out; nothing was done", step="check")
    configuration = _read(
        call, "/ploverward/configuration", refusal="the configuration can't be read ({status}); nothing was done"
    )
    listed = _read(call, "/ploverward/replicas", refusal="the replicas can't be read ({status}); nothing was done")
    remaining = _remaining_regions(listed["replicas"], zones=zones, out={zone, *evacuations["zones"]})
    for route in configuration["routes"]:
        _check_route(route, zone=zone, remaining=remaining)
    return zones


def _read(call: Call, path: str, *, refusal: str) -> Any:  # noqa: ANN401  # the parsed JSON body
    status, body = call("GET", path)
    if status != 200:
        raise DrillRefusedError(refusal.format(status=status), step="check")
    return body


def _remaining_regions(replicas: list[dict[str, Any]], *, zones: dict[str, str], out: set[str]) -> _Regions:
    """Returns the regions in which each service has replicas outside of the zones that are out."""
    regions: _Regions = {}
    for row in replicas:
        if row["zone"] not in out and not row["is_clearing"]:
            regions.setdefault(row["service"], set()).add(zones.get(row["zone"], ""))
    return regions


def _check_route(route: dict[str, Any], *, zone: str, remaining: _Regions) -> None:
    homes = set(route.get("homeRegions") or ())
    for portion in route.get("apportion") or [{"destination": route.get("destination"), "share": 1}]:
        regions = remaining.get(portion["destination"], set())
        if portion["share"] > 0 and not (regions & homes if homes else regions):
            where = f" in {', '.join(sorted(homes))}" if homes else ""
            raise DrillRefusedError(
                f"without {zone}, route {route['name']} has no replica of {portion['destination']}{where};"
                " nothing was done",
                step="check",
            )

"""`ploverward pins`: prints which adapters keep arriving cold and which each replica should pin (docs/pins.md).

Reads the adapter counts of the core nodes; `pin_report` builds the report, and `pin_table` formats it for people.
"""

import json
from typing import Any

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.command_line import output
from ploverward.command_line import pin_report
from ploverward.command_line import pin_table
from ploverward.command_line.pin_report import Filter
from ploverward.common import errors
from ploverward.control_plane.adapter_cache import adapter_usage

Json = dict[str, Any]


def command(_verb: str, arguments: list[str]) -> int:
    """Prints the suggestion for the replicas that the flags select."""
    if arguments:
        raise exit_codes.UsageError
    flags = options.FLAGS
    return run(
        core_client=core_clients.connect(),
        as_json=flags.json,
        out=print,
        capacity=flags.capacity,
        previous=flags.previous,
        row_filter=Filter(service=flags.service, model=flags.model, zone=flags.zone, replica=flags.replica),
    )


def run(
    *,
    core_client: core_clients.CoreClient,
    as_json: bool,
    out: output.LineWriter,
    capacity: int = 0,
    previous: str = "",
    row_filter: Filter | None = None,
) -> int:
    """Prints which adapters each replica should keep pinned.

    Args:
        core_client: Calls the core nodes.
        as_json: Whether to print JSON instead of lines for people.
        out: Receives the output.
        capacity: Adapters that a replica can keep pinned; 0: the most that a replica of its service is seen to hold.
        previous: Path of an earlier JSON output; the suggestion differs from it only as far as necessary.
        row_filter: Rows to print; None: all.

    Returns:
        `INCOMPLETE` if a core node is unreachable, else `SUCCESS`.

    Raises:
        InvalidArgumentError: The capacity is negative, the previous output is malformed, or the filter has an unknown
            name.
        InsufficientDataError: No core node is reachable, or the configuration can't be read.
    """
    if capacity < 0:
        raise errors.InvalidArgumentError("--capacity must not be below 0", step="pins")
    usage = collect(core_client=core_client)
    results = pin_report.build_report(
        usage=usage,
        routes=read_routes(core_client=core_client),
        capacity=capacity,
        previous=read_previous(path=previous),
        row_filter=row_filter or Filter(),
    )
    if as_json:
        output.print_json(results, out=out)
    else:
        output.print_lines(pin_table.format_report(results=results), out=out)
    return exit_codes.ExitCode.INCOMPLETE if usage["unreachable"] else exit_codes.ExitCode.SUCCESS


def collect(*, core_client: core_clients.CoreClient) -> Json:
    """Reads the adapter counts of all reachable core nodes; a window of an incarnation that several report counts once.

    Raises:
        InsufficientDataError: No core node is reachable.
    """
    results, unreachable = core_client.read_all(path="/ploverward/adapters")
    bodies = []
    for address, (status, body) in sorted(results.items()):
        if status == 200 and body:
            bodies.append(body)
        else:
            unreachable[address] = f"answered {status}"
    if not bodies:
        raise errors.InsufficientDataError(
            "no core node could be reached: "
            + "; ".join(f"{host} ({why})" for host, why in sorted(unreachable.items())),
            step="pins",
        )
    newest = max(bodies, key=lambda body: len(body["replicas"]))
    return {
        "windows": list(adapter_usage.merge(tables=[body["windows"] for body in bodies]).values()),
        "replicas": newest["replicas"],
        "zones": newest["zones"],
        "unreachable": unreachable,
        "window_s": newest["window_s"],
        "malformed": sum(body["malformed"] for body in bodies),
        "malformed_replicas": newest["malformed_replicas"],
        "proxies": {row["life"]: row for body in bodies for row in body["proxies"]},
    }


def read_routes(*, core_client: core_clients.CoreClient) -> Json:
    """Returns home regions, urgency and latency target (ms) of each route, by route name.

    Raises:
        InsufficientDataError: The configuration can't be read.
    """
    try:
        status, body = core_client.call_any(method="GET", path="/ploverward/configuration")
    except errors.CoreUnreachableError:
        status, body = 503, None
    if status != 200:
        raise errors.InsufficientDataError(
            "the configuration can't be read: homes are not known, so nothing is suggested", step="pins"
        )
    return {
        row["name"]: {
            "homes": row.get("homeRegions") or [],
            "urgency": row.get("urgency") or 0,
            "target_ms": row.get("targetMs") or 0,
        }
        for row in (body or {}).get("routes", ())
    }


def read_previous(*, path: str) -> Json:
    """Reads the suggestion of an earlier JSON output; returns an empty one for an empty path.

    Raises:
        InvalidArgumentError: The file can't be read or holds no such output.
    """
    if not path:
        return {}
    try:
        with open(path, encoding="utf-8") as handle:
            body = json.load(handle)
        suggestion = body["suggestion"]
        return {
            "new": suggestion["new"],
            "replicas": {
                name: {"pins": [tuple(pair) for pair in row["pins"]]} for name, row in suggestion["replicas"].items()
            },
        }
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.InvalidArgumentError(f"{path} is no earlier output of pins --json: {error}", step="pins") from None

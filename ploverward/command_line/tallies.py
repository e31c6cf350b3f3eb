"""`ploverward tallies`: prints sums of tallies, whether all core nodes agree, and how far behind each one is."""

from typing import Any

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.command_line import output

PATH = "/ploverward/tallies"

Responses = dict[str, dict[str, Any]]  # response of each core node, by its address


def command(_verb: str, arguments: list[str]) -> int:
    """Prints all tallies, or only the named one."""
    if len(arguments) > 1:
        raise exit_codes.UsageError
    name = arguments[0] if arguments else ""
    return run(core_client=core_clients.connect(), name=name, as_json=options.FLAGS.json, out=print)


def run(*, core_client: core_clients.CoreClient, name: str, as_json: bool, out: output.LineWriter) -> int:
    """Prints the tallies of all reachable core nodes.

    Args:
        core_client: Calls the core nodes.
        name: The only tally to print; empty: all.
        as_json: Whether to print the responses unchanged, as JSON.
        out: Receives each line.

    Returns:
        `FAILURE` if sums differ, a node has not merged yet, or no node knows the named tally; `INCOMPLETE` if a node
        is unreachable; else `SUCCESS`.

    Raises:
        InsufficientDataError: No core node answers.
    """
    responses, unreachable = core_clients.read_from_all(core_client=core_client, path=PATH, step="tallies")
    sums = {tally: row for tally, row in _sums(responses).items() if name in ("", tally)}
    if as_json:
        output.print_json({"told": responses, "unreachable": unreachable, "differ": _differing(sums)}, out=out)
    else:
        output.print_lines(_lines(sums, responses, unreachable), out=out)
    is_merged = all(body["merged"] for body in responses.values())
    if _differing(sums) or not is_merged or (name and not sums):
        return exit_codes.ExitCode.FAILURE
    return exit_codes.ExitCode.INCOMPLETE if unreachable else exit_codes.ExitCode.SUCCESS


def _sums(responses: Responses) -> dict[str, dict[str, int]]:
    """Returns the sum of each tally at each node, by tally; 0 where a node does not know the tally."""
    names = sorted({name for body in responses.values() for name in body["totals"]})
    return {
        name: {address: body["totals"].get(name, 0) for address, body in sorted(responses.items())} for name in names
    }


def _differing(sums: dict[str, dict[str, int]]) -> list[str]:
    return [name for name, row in sums.items() if len(set(row.values())) > 1]


def _lines(
    sums: dict[str, dict[str, int]], responses: Responses, unreachable: core_clients.UnreachableNodes
) -> list[str]:
    differing = _differing(sums)
    agreement = f"{len(differing)} differ" if differing else "all agree"
    lines = [f"{len(sums)} tallies, {len(responses)} core nodes answer, {agreement}"]
    lines += [_tally_line(name, row) for name, row in sums.items()]
    for address, body in sorted(responses.items()):
        lines.append(_node_line(address, body))
    return lines + output.unreachable_lines(unreachable, template="{address}: out of reach: {why}")


def _tally_line(name: str, row: dict[str, int]) -> str:
    if len(set(row.values())) == 1:
        return f"{name}: {next(iter(row.values()))}"
    return f"{name}: " + ", ".join(f"{total} at {address}" for address, total in row.items())


def _node_line(address: str, body: dict[str, Any]) -> str:
    parts = [f"{body['kept']} of {body['maxKept']} ids and names kept", f"{body['waiting']} adds wait"]
    if not body["merged"]:
        parts.append("has not merged with the others yet")
    for peer, row in sorted(body["peers"].items()):
        if not row["inReach"]:
            parts.append(f"{peer} is out of reach")
        elif row["behind"]:
            parts.append(f"{peer} lacks {row['behind']} adds")
    return f"{address}: " + "; ".join(parts)

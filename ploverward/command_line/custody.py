"""`ploverward custody`: prints which nodes held a request's text and cache, or audits all (docs/residency.md)."""

import urllib.parse
from typing import Any
from typing import NamedTuple

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.command_line import output
from ploverward.common import errors
from ploverward.control_plane.audit import trail_audit

PATH = "/ploverward/custody"

Trail = dict[str, Any]  # trail of one request, as a core node returns it
Cursors = dict[str, int]  # position up to which each core node's trails were read, by its address


class CollectedTrails(NamedTuple):
    """Trails of all reachable core nodes."""

    trails: list[Trail]
    coverage: list[dict[str, Any]]  # one row per incarnation of a proxy: whether its trails are complete
    unreachable: core_clients.UnreachableNodes
    zones: dict[str, str]  # region by zone


def command(_verb: str, arguments: list[str]) -> int:
    """Prints the trail of one request, or audits all trails."""
    as_json = options.FLAGS.json
    if options.FLAGS.audit:
        if arguments:
            raise exit_codes.UsageError
        return audit(core_client=core_clients.connect(), as_json=as_json, out=print)
    if len(arguments) != 1:
        raise exit_codes.UsageError
    return show(core_client=core_clients.connect(), request_id=arguments[0], as_json=as_json, out=print)


def show(*, core_client: core_clients.CoreClient, request_id: str, as_json: bool, out: output.LineWriter) -> int:
    """Prints the trail of one request.

    Returns:
        `FAILURE` if no trail is found, `INCOMPLETE` if some nodes are unreachable, else `SUCCESS`.
    """
    responses, unreachable = core_client.read_all(path=f"{PATH}/" + urllib.parse.quote(request_id, safe=""))
    bodies = [body for _address, (status, body) in sorted(responses.items()) if status == 200 and body]
    trails = [trail for body in bodies for trail in body["trails"]]
    kept_known = all(body["kept_known"] for body in bodies)
    if as_json:
        output.print_json(
            {"id": request_id, "trails": trails, "unreachable": unreachable, "kept_known": kept_known}, out=out
        )
    else:
        for trail in trails:
            output.print_lines(format_trail(trail=trail, kept_known=kept_known), out=out)
        template = "unreachable: {address} ({why}); its part of the trail is missing"
        output.print_lines(output.unreachable_lines(unreachable, template=template), out=out)
        if not trails:
            out(f"no trail of '{request_id}' on the nodes in reach: never seen, too long ago, or lost with its proxy")
    if not trails:
        return exit_codes.ExitCode.FAILURE
    return exit_codes.ExitCode.INCOMPLETE if unreachable else exit_codes.ExitCode.SUCCESS


def format_trail(*, trail: Trail, kept_known: bool) -> list[str]:
    """Returns lines for people: the request, its attempts, and the replicas that keep parts of it.

    Args:
        trail: The request's trail.
        kept_known: Whether all nodes reported which replicas keep parts of it.
    """
    homes = ", ".join(trail["homes"]) or "any region"
    lines = [
        f"{trail['id']}  route {trail['route']}  configuration {trail['edition']}  permitted: {homes}",
        f"  proxy    {trail['proxy']} ({trail['region']})  held the text from arrival for {trail['lasted_ms']} ms,"
        f" answered {trail['status'] or 'nothing whole'}",
    ]
    lines += [_attempt_line(attempt) for attempt in trail["goes"]]
    if trail.get("kept"):
        lines += [f"  keeps parts, as modelled: {kept['replica']} in {kept['zone']}" for kept in trail["kept"]]
    elif trail["parts"]:
        lines.append("  keeps parts: " + ("none, as modelled" if kept_known else "could not be asked"))
    return lines


def _attempt_line(attempt: dict[str, Any]) -> str:
    what = "resumed at" if attempt["is_resumption"] else "sent to"
    end = "until now" if attempt["to_ms"] is None else f"to {attempt['to_ms']} ms"
    where = f"{attempt['replica']} in {attempt['zone']}"
    return f"  {what:<10} {where}  from {attempt['from_ms']} ms {end}  ({attempt['end']})"


def collect(*, core_client: core_clients.CoreClient, cursors: Cursors | None = None) -> CollectedTrails:
    """Reads the trails of all core nodes.

    Args:
        core_client: Calls the core nodes.
        cursors: Positions to read from, which are advanced so that the next call returns only later trails. None: reads
            all trails.
    """
    cursors = {} if cursors is None else cursors
    collected = CollectedTrails(trails=[], coverage=[], unreachable={}, zones={})
    for address in core_client.addresses:
        try:
            _collect_from(address, core_client=core_client, cursors=cursors, collected=collected)
        except errors.CoreUnreachableError as error:
            collected.unreachable[address] = error.text
    return collected


def _collect_from(
    address: str, *, core_client: core_clients.CoreClient, cursors: Cursors, collected: CollectedTrails
) -> None:
    while True:
        path = f"{PATH}?after={cursors.get(address, 0)}"
        status, body = core_client.call_node(address=address, method="GET", path=path)
        if status != 200 or not body:
            collected.unreachable[address] = f"answered {status}"
            return
        collected.trails.extend(body["trails"])
        collected.zones.update(body["zones"])
        cursors[address] = body["last"]
        if not body["has_more"]:
            collected.coverage.extend(body["coverage"])
            return


def audit(*, core_client: core_clients.CoreClient, as_json: bool, out: output.LineWriter) -> int:
    """Checks all trails against the permitted regions.

    Returns:
        `FAILURE` if a node outside the permitted regions held a request; `INCOMPLETE` if trails are missing or there
        are none; else `SUCCESS`.
    """
    collected = collect(core_client=core_client)
    summary = trail_audit.summary(trails=collected.trails, coverage=collected.coverage, zones=collected.zones)
    summary["unreachable"] = collected.unreachable
    if as_json:
        output.print_json(summary, out=out)
    else:
        output.print_lines(_audit_lines(summary), out=out)
    if summary["outside"]:
        return exit_codes.ExitCode.FAILURE
    is_partial = summary["lives_with_parts_missing"] or collected.unreachable or not collected.trails
    return exit_codes.ExitCode.INCOMPLETE if is_partial else exit_codes.ExitCode.SUCCESS


def _audit_lines(summary: dict[str, Any]) -> list[str]:
    lines = [f"{summary['trails']} trails, {summary['homed']} of them bound to regions; {summary['lives']} proxy lives"]
    lines += [f"OUTSIDE: {line}" for line in summary["outside"]]
    for row in summary["lives_with_parts_missing"]:
        has_ended = row["ended_without_closing"]
        why = "ended without closing" if has_ended else f"{row['missing_batches']} batches did not come"
        lines.append(f"missing: {row['node']} life {row['life']}: {why}")
    lines += output.unreachable_lines(summary["unreachable"], template="unreachable: {address} ({why})")
    lines.append("outside: none" if not summary["outside"] else f"outside: {len(summary['outside'])}")
    return lines

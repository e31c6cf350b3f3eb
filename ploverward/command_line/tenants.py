"""`ploverward tenants`: prints limits, quota levels and key digests of tenants (docs/quotas.md 6)."""

from typing import Any

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.command_line import output

PATH = "/ploverward/tenants"

Responses = dict[str, dict[str, Any]]  # response of each core node, by its address


def command(_verb: str, arguments: list[str]) -> int:
    """Prints the tenants as the core nodes see them."""
    if arguments:
        raise exit_codes.UsageError
    return run(core_client=core_clients.connect(), as_json=options.FLAGS.json, out=print)


def run(*, core_client: core_clients.CoreClient, as_json: bool, out: output.LineWriter) -> int:
    """Prints the tenants and their quota levels, as the reachable core nodes count them.

    Returns:
        `INCOMPLETE` if a node is unreachable or there are no tenants, else `SUCCESS`.

    Raises:
        InsufficientDataError: No core node answers.
    """
    responses, unreachable = core_clients.read_from_all(core_client=core_client, path=PATH, step="tenants")
    if as_json:
        output.print_json({"told": responses, "unreachable": unreachable}, out=out)
    else:
        output.print_lines(format_lines(responses=responses, unreachable=unreachable), out=out)
    has_tenants = any(body["tenants"] for body in responses.values())
    return exit_codes.ExitCode.SUCCESS if has_tenants and not unreachable else exit_codes.ExitCode.INCOMPLETE


def format_lines(*, responses: Responses, unreachable: core_clients.UnreachableNodes) -> list[str]:
    """Returns a line for each tenant of the newest edition, with the lowest and the highest level at any node."""
    newest = max(responses.values(), key=lambda body: body["edition"])
    lines = [f"edition {newest['edition']}, {newest['proxies']} proxies count, {len(responses)} core nodes answer"]
    for name, row in sorted(newest["tenants"].items()):
        lines.append(
            f"{name}: {_limit(row)}; {_quota_status(name, responses)}; keys {', '.join(row['keys']) or 'none'}"
        )
    if not newest["tenants"]:
        lines.append("no tenants: nobody needs a key")
    return lines + output.unreachable_lines(unreachable, template="{address}: out of reach: {why}")


def _limit(row: dict[str, Any]) -> str:
    return f"{row['perS']:g} a second and {row['burst']:g} at once" if row["perS"] else "no limit"


def _quota_status(name: str, responses: Responses) -> str:
    rows = [body["tenants"].get(name, {}) for body in responses.values()]
    levels = sorted(row["level"] for row in rows if "level" in row)
    if not levels:
        return "not counted"
    wanting = sum(bool(row.get("wantsCredits")) for row in rows)
    credit_note = f", wants credits by {wanting} of {len(rows)}" if wanting else ""
    return f"left {levels[0]:g} to {levels[-1]:g}{credit_note}"

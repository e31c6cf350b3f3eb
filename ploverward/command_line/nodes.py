"""`ploverward nodes`: prints the nodes that are connected to each core node."""

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import output


def command(_verb: str, arguments: list[str]) -> int:
    """Prints the response of each core node, as JSON even without `--json`."""
    if arguments:
        raise exit_codes.UsageError
    answers, unreachable = core_clients.connect().read_all(path="/ploverward/nodes")
    bodies = {address: body for address, (_status, body) in answers.items()}
    output.print_json({"told": bodies, "unreachable": unreachable}, out=print)
    return exit_codes.ExitCode.INCOMPLETE if unreachable else exit_codes.ExitCode.SUCCESS

"""`ploverward nodes`: the nodes that each core node is connected to."""

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import output


def command(_verb: str, arguments: list[str]) -> int:
    """Prints each core node's answer as JSON, for people too."""
    if arguments:
        raise exit_codes.UsageError
    answers, unreachable = core_clients.connect().read_all(path="/ploverward/nodes")
    bodies = {address: body for address, (_status, body) in answers.items()}
    output.print_json({"told": bodies, "unreachable": unreachable}, out=print)
    return exit_codes.ExitCode.INCOMPLETE if unreachable else exit_codes.ExitCode.SUCCESS

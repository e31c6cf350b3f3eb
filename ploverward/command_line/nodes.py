"""`ploverward nodes`: the nodes that each core node is connected to."""

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import output


def command(_verb: str, arguments: list[str]) -> int:
    """Prints each core node's answer as JSON, for people too."""
    if arguments:
        raise exit_codes.UsageError
    answers, missed = core_clients.connect().all(path="/ploverward/nodes")
    bodies = {address: body for address, (_status, body) in answers.items()}
    output.print_json({"told": bodies, "unreachable": missed}, out=print)
    return exit_codes.ExitCode.PARTS_MISSING if missed else exit_codes.ExitCode.WELL

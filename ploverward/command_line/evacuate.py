"""`ploverward evacuate` and `ploverward restore`: take a zone out of service, or back (docs/operations.md)."""

import sys

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes

METHODS = {"evacuate": "POST", "restore": "DELETE"}
STATES = {"evacuate": "out", "restore": "back"}


def command(verb: str, arguments: list[str]) -> int:
    """Sends the order to the core and prints whether it was accepted."""
    if len(arguments) != 1:
        raise exit_codes.UsageError
    zone = arguments[0]
    status, body = core_clients.connect().call_any(method=METHODS[verb], path=f"/ploverward/evacuation/{zone}")
    if 200 <= status < 300:
        print(f"{zone}: {STATES[verb]}")
        return exit_codes.ExitCode.SUCCESS
    print(f"{zone}: {(body or {}).get('error', status)}", file=sys.stderr)
    return exit_codes.ExitCode.FAILURE

"""`ploverward check`: reads the settings file and reports whether a node can start with it."""

from ploverward.command_line import exit_codes
from ploverward.common import settings as settings_files


def command(_verb: str, arguments: list[str]) -> int:
    """Checks the settings file; `main` prints the error that a malformed file raises."""
    if arguments:
        raise exit_codes.UsageError
    settings = settings_files.load()
    print(f"{settings.node}: settings are whole")
    return exit_codes.ExitCode.SUCCESS

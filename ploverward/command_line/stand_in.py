"""`ploverward stand-in`: runs a small deployment on loopback addresses, for manual trials (README.md).

It is meant for developers of the program, so the operators' usage text does not list it, and it has flags of its own
(`python3 -m ploverward stand-in --help`).
"""

from ploverward.command_line import exit_codes


def command(_verb: str, arguments: list[str]) -> int:
    """Runs the deployment until it is interrupted."""
    from ploverward.simulation import stand_in

    stand_in.main(arguments)
    return exit_codes.ExitCode.SUCCESS

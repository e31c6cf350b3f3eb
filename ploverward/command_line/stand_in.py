"""`ploverward stand-in`: a small deployment on the loopback range, to try the program by hand (README.md).

It is for those who develop the program, so the operators' usage does not list it, and it has flags of its own
(`python3 -m ploverward stand-in --help`).
"""

from ploverward.command_line import exit_codes


def command(_verb: str, arguments: list[str]) -> int:
    """Runs the deployment until it is interrupted."""
    from ploverward.simulation import stand_in

    stand_in.main(arguments)
    return exit_codes.ExitCode.SUCCESS

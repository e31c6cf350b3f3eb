"""What the command line ends with; scripts of operators rely on the numbers."""

import enum


class ExitCode(enum.IntEnum):
    """The exit codes of all verbs, as the usage states them."""

    SUCCESS = 0
    FAILURE = 1  # a promise or rule is broken, an order was refused, or nothing was found
    USAGE_ERROR = 2  # usage or settings; nothing was done
    INCOMPLETE = 3  # well as far as seen: some nodes were out of reach
    NOT_RESTORED = 4  # a drill's zone could not be taken back
    INTERRUPTED = 5  # a drill was interrupted and the zone taken back


class UsageError(Exception):
    """The verb's arguments are not as the usage says; `main` prints the usage."""

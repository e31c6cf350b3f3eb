"""Exit codes of the command line; operators' scripts rely on the numbers."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of all verbs, as documented in the usage text."""

    SUCCESS = 0
    FAILURE = 1  # a promise or rule is broken, an order was refused, or nothing was found
    USAGE_ERROR = 2  # wrong arguments or settings; nothing was done
    INCOMPLETE = 3  # no failure seen, but parts are missing, for example because nodes were unreachable
    NOT_RESTORED = 4  # a drill's zone could not be taken back
    INTERRUPTED = 5  # a drill was interrupted and the zone taken back


class UsageError(Exception):
    """The arguments don't match the verb's usage; `main` prints the usage text."""

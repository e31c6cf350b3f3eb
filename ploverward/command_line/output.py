"""Output of the verbs: lines for people, JSON for programs, errors as one line on standard error."""

import json
import sys
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from ploverward.common import errors

PROGRAM = "ploverward"

LineWriter = Callable[[str], object]  # `print`, or a collector of lines in a test


def print_lines(lines: Iterable[str], *, out: LineWriter) -> None:
    """Prints lines for people."""
    for line in lines:
        out(line)


def print_json(value: Any, *, out: LineWriter, sort_keys: bool = False) -> None:  # noqa: ANN401  # any JSON value
    """Prints a value as JSON, for programs."""
    out(json.dumps(value, indent=2, sort_keys=sort_keys))


def print_error(error: errors.PloverwardError | str) -> None:
    """Prints an error as one line on standard error."""
    print(f"{PROGRAM}: {error}", file=sys.stderr)


def unreachable_lines(unreachable: Mapping[str, str], *, template: str) -> list[str]:
    """Returns a line for each node that could not be reached.

    Args:
        unreachable: Reason by node address.
        template: Format of the line, with the fields `{address}` and `{why}`.
    """
    return [template.format(address=address, why=why) for address, why in sorted(unreachable.items())]

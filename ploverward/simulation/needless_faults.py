"""Which faults of a broken run it does not need: each is left out in turn, and stays out where the run still breaks."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeVar

Fault = TypeVar("Fault")


def find(faults: Iterable[Fault], *, still_breaks: Callable[[frozenset[Fault]], bool]) -> frozenset[Fault]:
    """Returns the faults without which, all at once, the run still breaks.

    Args:
        faults: In the order in which they are tried.
        still_breaks: Plays the run without these faults; whether it still breaks.
    """
    needless: frozenset[Fault] = frozenset()
    for fault in faults:
        if still_breaks(needless | {fault}):
            needless |= {fault}
    return needless

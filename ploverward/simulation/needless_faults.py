"""Reduction of the faults of a failing run: each is left out in turn, and stays out if the run still fails."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeVar

Fault = TypeVar("Fault")


def find(faults: Iterable[Fault], *, still_breaks: Callable[[frozenset[Fault]], bool]) -> frozenset[Fault]:
    """Returns a set of faults without which the run still breaks when all of them are left out.

    Args:
        faults: In the order in which they are tried.
        still_breaks: Runs without these faults, and returns whether the run still breaks.
    """
    needless: frozenset[Fault] = frozenset()
    for fault in faults:
        if still_breaks(needless | {fault}):
            needless |= {fault}
    return needless

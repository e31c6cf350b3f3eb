"""Invariants of every history: values form one order, and a call sees all that was acknowledged before it began."""

from ploverward.simulation.model_checker.scenario import Call


class InvariantError(Exception):
    """Raised when a history violates an invariant."""


def check_value_order(*, owner: str, revision: int, tags: tuple[str, ...], longest_chosen: tuple[str, ...]) -> None:
    """Checks that a value that `owner` knows as chosen is a prefix or an extension of the longest chosen one."""
    if revision != len(tags):
        raise InvariantError(f"revision {revision} holds {tags}")
    size = min(len(tags), len(longest_chosen))
    if tags[:size] != longest_chosen[:size]:
        raise InvariantError(f"{owner}: {tags} is chosen at revision {revision}, and so was {longest_chosen}")


def check_call_end(*, call: Call, tags: tuple[str, ...], acknowledged_revision: int) -> None:
    """Checks that a finished call saw all changes acknowledged before it began, and made its own.

    Args:
        call: the call that ended.
        tags: what the value that it returned consists of.
        acknowledged_revision: the revision that was acknowledged when the call began.
    """
    if len(tags) < acknowledged_revision:
        raise InvariantError(
            f"{call.name} saw revision {len(tags)}; {acknowledged_revision} was acknowledged before it began"
        )
    if call.kind != "read" and call.name not in tags:
        raise InvariantError(f"{call.name} was acknowledged without its change: {tags}")

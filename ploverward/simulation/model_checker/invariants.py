"""What must hold in every history: one order of values, and no call that misses what ended before it began."""

from ploverward.simulation.model_checker.scenario import Call


class InvariantError(Exception):
    """A rule is broken in this history."""


def check_value_order(*, owner: str, revision: int, tags: tuple[str, ...], longest_chosen: tuple[str, ...]) -> None:
    """A value that `owner` knows as chosen extends, or is extended by, the longest one that was ever chosen."""
    if revision != len(tags):
        raise InvariantError(f"revision {revision} holds {tags}")
    size = min(len(tags), len(longest_chosen))
    if tags[:size] != longest_chosen[:size]:
        raise InvariantError(f"{owner}: {tags} is chosen at revision {revision}, and so was {longest_chosen}")


def check_call_end(*, call: Call, tags: tuple[str, ...], acknowledged_revision: int) -> None:
    """A call that ended saw all that was acknowledged before it began (`acknowledged_revision` revisions), and made its change."""
    if len(tags) < acknowledged_revision:
        raise InvariantError(
            f"{call.name} saw revision {len(tags)}; {acknowledged_revision} was acknowledged before it began"
        )
    if call.kind != "read" and call.name not in tags:
        raise InvariantError(f"{call.name} was acknowledged without its change: {tags}")

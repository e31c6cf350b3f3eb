"""What must hold in every history: one order of values, and no call that misses what ended before it began."""

from ploverward.simulation.model_checker.scenario import Call


class InvariantError(Exception):
    """A rule is broken in this history."""


def check_order(*, owner: str, revision: int, tags: tuple[str, ...], longest: tuple[str, ...]) -> None:
    """A value that `owner` knows as chosen extends, or is extended by, the longest one that was ever chosen."""
    if revision != len(tags):
        raise InvariantError(f"revision {revision} holds {tags}")
    size = min(len(tags), len(longest))
    if tags[:size] != longest[:size]:
        raise InvariantError(f"{owner}: {tags} is chosen at revision {revision}, and so was {longest}")


def check_end(*, call: Call, tags: tuple[str, ...], begun_at: int) -> None:
    """A call that ended saw all that was acknowledged before it began (`begun_at` revisions), and made its change."""
    if len(tags) < begun_at:
        raise InvariantError(f"{call.name} saw revision {len(tags)}; {begun_at} was acknowledged before it began")
    if call.kind != "read" and call.name not in tags:
        raise InvariantError(f"{call.name} was acknowledged without its change: {tags}")

"""Checks that a complete history of calls at one register is linearizable.

Each successful change records the version that it is based on and the version that it creates, so the history itself
gives the order of changes; a read records the version that it returned. The check requires that each version is created
at most once and from an earlier one, that each version is the base of at most one change, and that no call sees a
version older than one whose call ended before it began.
"""

import collections.abc
import typing


def faults(*, history: collections.abc.Collection[collections.abc.Mapping[str, typing.Any]]) -> list[str]:
    """Returns the violations of linearizability as lines of text; empty for a linearizable history.

    Args:
        history: A mapping for each call, with `begun` and `ended` (seconds; `ended` is None without a clear answer),
            and `kind`: a "change" has `base`, the version that it is based on, and `made`, the version that it created;
            a "read" has `saw`, the version that it returned.
    """
    found = []
    made = {}
    for call in history:
        if call["kind"] == "change" and call["ended"] is not None:
            if call["made"] in made:
                found.append(f"version {call['made']} was made twice")
            made[call["made"]] = call
            if call["base"] >= call["made"]:
                found.append(f"version {call['made']} stands on {call['base']}")
    bases = {}
    for call in made.values():
        if call["base"] in bases:
            found.append(f"two changes were acknowledged on version {call['base']}")
        bases[call["base"]] = call
    ended = [(call["ended"], call.get("made", call.get("saw"))) for call in history if call["ended"] is not None]
    for call in history:
        if call["ended"] is None:
            continue
        newest = max((version for end, version in ended if end < call["begun"]), default=0)
        seen = call["base"] if call["kind"] == "change" else call["saw"]
        if seen < newest:
            found.append(f"a {call['kind']} begun at {call['begun']:.3f} saw {seen} after {newest} had ended")
    return found

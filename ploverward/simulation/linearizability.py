"""Checks a history of one register after the fact: is there an order of the calls that explains it?

Each successful change names the version it built on and the one it made, so the history itself gives the
order of changes; a read names the version it saw. What is checked: each version is made at
most once and on the version before it, and no call saw less than what had ended before it began.
"""

import collections.abc
import typing


def faults(*, history: collections.abc.Collection[collections.abc.Mapping[str, typing.Any]]) -> list[str]:
    """What no order of the calls explains; empty for a linearizable history.

    Args:
        history: a mapping for each call, with `begun` and `ended` (seconds; `ended` is None without a clear answer),
            and `kind`: a "change" has `base`, the version it was built on, and `made`, its own; a "read" has `saw`.
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

"""Copies live proposers, closures and all, and gives them a canonical form to be compared by.

Timers are closures of the proposer: `is_stale` and `is_pause` look into their variables `proposal` and `number` by name.
"""

import collections
import enum
import types

from ploverward.control_plane.consensus.proposal import Stage


class Immutable:
    """Never copied; compared by name. Everything of this module that a proposer holds on to."""

    name = ""


_PLAIN_TYPES = (str, bytes, int, float, enum.Enum, types.CodeType, types.ModuleType, type)


def _is_plain(item) -> bool:
    return item is None or isinstance(item, _PLAIN_TYPES)


def _fields(item) -> list:
    names = list(getattr(type(item), "__slots__", ())) + list(getattr(item, "__dict__", ()))
    return [(name, getattr(item, name)) for name in names if hasattr(item, name)]


def clone(item, memo: dict):
    """A deep copy that also copies closures, with their cells bound to the copies."""
    if _is_plain(item) or isinstance(item, Immutable):
        return item
    if isinstance(item, types.MethodType):
        return (
            item
            if isinstance(item.__self__, Immutable)
            else types.MethodType(item.__func__, clone(item.__self__, memo))
        )
    if isinstance(item, types.FunctionType) and not item.__closure__ and not item.__defaults__:
        return item
    known = memo.get(id(item))
    if known is not None:
        return known
    if isinstance(item, tuple | frozenset):
        parts = [clone(part, memo) for part in item]
        return type(item)._make(parts) if hasattr(item, "_make") else type(item)(parts)
    if isinstance(item, dict):
        new = memo[id(item)] = type(item)()
        for key, part in item.items():
            new[key] = clone(part, memo)
        return new
    if isinstance(item, list | collections.deque):
        new = memo[id(item)] = type(item)()
        new.extend(clone(part, memo) for part in item)
        return new
    if isinstance(item, set):
        return set(item)
    if isinstance(item, types.FunctionType):
        cells = tuple(types.CellType(clone(cell.cell_contents, memo)) for cell in item.__closure__ or ())
        defaults = clone(item.__defaults__, memo)
        return types.FunctionType(item.__code__, item.__globals__, item.__name__, defaults, cells)
    new = memo[id(item)] = object.__new__(type(item))
    for name, part in _fields(item):
        object.__setattr__(new, name, clone(part, memo))
    return new


def form(item, memo: dict):
    """A hashable canonical form; an object met again is told by its place."""
    if item is None or isinstance(item, str | bytes | int | float | enum.Enum):
        return item
    if isinstance(item, Immutable):
        return item.name
    if isinstance(item, types.MethodType):
        return (item.__name__, form(item.__self__, memo))
    if isinstance(item, types.FunctionType):
        cells = tuple(form(cell.cell_contents, memo) for cell in item.__closure__ or ())
        return (item.__code__.co_firstlineno, cells, form(item.__defaults__, memo))
    if isinstance(item, tuple):
        return tuple(form(part, memo) for part in item)
    if isinstance(item, set | frozenset):
        return tuple(sorted(item))
    if id(item) in memo:
        return ("again", memo[id(item)])
    memo[id(item)] = len(memo)
    if isinstance(item, dict):
        return tuple((key, form(item[key], memo)) for key in sorted(item))
    if isinstance(item, list | collections.deque):
        return tuple(form(part, memo) for part in item)
    return (type(item).__name__, tuple((name, form(part, memo)) for name, part in _fields(item)))


def _cells(action) -> dict:
    if not isinstance(action, types.FunctionType):
        return {}
    return dict(
        zip(action.__code__.co_freevars, [cell.cell_contents for cell in action.__closure__ or ()], strict=True)
    )


def is_stale(action) -> bool:
    """A timer of an attempt that is over does nothing."""
    cells = _cells(action)
    proposal = cells.get("proposal")
    if proposal is None:
        return False
    return proposal.stage is Stage.FINISHED or proposal.number != cells.get("number", proposal.number)


def is_pause(action) -> bool:
    """The wait before a further attempt. It is left out: requests may be delayed as long, so it tells nothing new."""
    proposal = _cells(action).get("proposal")
    return proposal is not None and proposal.stage is Stage.BACKOFF

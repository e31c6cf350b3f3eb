"""Copies live proposers together with their closures, and computes canonical forms to compare them by.

Timers are closures of the proposer: `is_stale_timer` and `is_backoff_timer` look up the closure variables `proposal`
and `number` by name.
"""

import collections
import collections.abc
import enum
import types
import typing

from ploverward.control_plane.consensus.proposal import Stage

Item = typing.TypeVar("Item")


class Immutable:
    """Base of the model checker objects that a proposer refers to: never copied, and compared by name."""

    name = ""


_PLAIN_TYPES = (str, bytes, int, float, enum.Enum, types.CodeType, types.ModuleType, type)


def _is_plain(item: object) -> bool:
    return item is None or isinstance(item, _PLAIN_TYPES)


def _fields(item: object) -> list[tuple[str, typing.Any]]:
    names = list(getattr(type(item), "__slots__", ())) + list(getattr(item, "__dict__", ()))
    return [(name, getattr(item, name)) for name in names if hasattr(item, name)]


def clone(item: Item, memo: dict[int, object]) -> Item:
    """Returns a deep copy that includes closures, with their cells bound to the copies.

    Args:
        item: the original. Classes, modules, stateless functions and `Immutable` objects are shared, not copied.
        memo: copies made so far, by the id of the original, so that references shared in the original stay shared.
    """
    return typing.cast(Item, _clone(item, memo))


def _clone(item: object, memo: dict[int, object]) -> object:
    if _is_plain(item) or isinstance(item, Immutable):
        return item
    if isinstance(item, types.MethodType):
        if isinstance(item.__self__, Immutable):
            return item
        return types.MethodType(item.__func__, _clone(item.__self__, memo))
    if isinstance(item, types.FunctionType) and not item.__closure__ and not item.__defaults__:
        return item
    known = memo.get(id(item))
    if known is not None:
        return known
    if isinstance(item, tuple | frozenset):
        make = getattr(type(item), "_make", type(item))  # a named tuple takes its fields as separate arguments
        return make([_clone(part, memo) for part in item])
    if isinstance(item, set):
        return set(item)
    if isinstance(item, types.FunctionType):
        return _clone_closure(item, memo)
    return _clone_mutable(item, memo)


def _clone_closure(item: types.FunctionType, memo: dict[int, object]) -> types.FunctionType:
    cells = tuple(types.CellType(_clone(cell.cell_contents, memo)) for cell in item.__closure__ or ())
    defaults = tuple(_clone(default, memo) for default in item.__defaults__) if item.__defaults__ else None
    return types.FunctionType(item.__code__, item.__globals__, item.__name__, defaults, cells)


def _clone_mutable(item: object, memo: dict[int, object]) -> object:
    """Copies a mutable object; enters the copy in the memo before its contents, which may refer back to it."""
    if isinstance(item, dict):
        mapping = memo[id(item)] = type(item)()
        for key, part in item.items():
            mapping[key] = _clone(part, memo)
        return mapping
    if isinstance(item, list | collections.deque):
        sequence = memo[id(item)] = type(item)()
        sequence.extend(_clone(part, memo) for part in item)
        return sequence
    new = memo[id(item)] = object.__new__(type(item))
    for name, part in _fields(item):
        object.__setattr__(new, name, _clone(part, memo))
    return new


def canonical_form(item: object, memo: dict[int, int]) -> collections.abc.Hashable:
    """Returns a hashable canonical form by which objects are compared.

    Args:
        item: the object.
        memo: numbers of the objects visited so far, by id; a repeated object is represented by its number.
    """
    if item is None or isinstance(item, str | bytes | int | float | enum.Enum):
        return item
    if isinstance(item, Immutable):
        return item.name
    if isinstance(item, types.MethodType):
        return (item.__name__, canonical_form(item.__self__, memo))
    if isinstance(item, types.FunctionType):
        cells = tuple(canonical_form(cell.cell_contents, memo) for cell in item.__closure__ or ())
        return (item.__code__.co_firstlineno, cells, canonical_form(item.__defaults__, memo))
    if isinstance(item, tuple):
        return tuple(canonical_form(part, memo) for part in item)
    if isinstance(item, set | frozenset):
        return tuple(sorted(item))
    if id(item) in memo:
        return ("again", memo[id(item)])
    memo[id(item)] = len(memo)
    if isinstance(item, dict):
        return tuple((key, canonical_form(item[key], memo)) for key in sorted(item))
    if isinstance(item, list | collections.deque):
        return tuple(canonical_form(part, memo) for part in item)
    return (type(item).__name__, tuple((name, canonical_form(part, memo)) for name, part in _fields(item)))


def _cells(action: object) -> dict[str, typing.Any]:
    if not isinstance(action, types.FunctionType):
        return {}
    return dict(
        zip(action.__code__.co_freevars, [cell.cell_contents for cell in action.__closure__ or ()], strict=True)
    )


def is_stale_timer(action: object) -> bool:
    """Returns whether a timer has no effect because its attempt is over."""
    cells = _cells(action)
    proposal = cells.get("proposal")
    if proposal is None:
        return False
    return proposal.stage is Stage.FINISHED or proposal.number != cells.get("number", proposal.number)


def is_backoff_timer(action: object) -> bool:
    """Returns whether a timer is the backoff before a further attempt.

    The search runs it at once: requests may be delayed for as long as the backoff, so waiting adds no history.
    """
    proposal = _cells(action).get("proposal")
    return proposal is not None and proposal.stage is Stage.BACKOFF

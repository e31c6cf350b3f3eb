"""Scenarios and their builders: `small_scenarios` for tests, `large_scenarios` for a longer search."""

import dataclasses
import typing

from ploverward.common.identifiers import Ballot
from ploverward.simulation.model_checker.product import FIRST_TAG
from ploverward.simulation.model_checker.scenario import Call
from ploverward.simulation.model_checker.scenario import MemberSet
from ploverward.simulation.model_checker.scenario import Row
from ploverward.simulation.model_checker.scenario import Scenario
from ploverward.simulation.model_checker.scenario import Writer

OLD = ("A", "B", "C")
SWAPPED = ("B", "C", "D")
GROWN = ("A", "B", "C", "D")
SHRUNK = ("A", "B")
FIVE = ("A", "B", "C", "D", "E")
NEW_SEEDS = ("D", "E")


class ScenarioOptions(typing.TypedDict, total=False):
    """Fields of a `Scenario` that a helper below passes on."""

    first_value_members: MemberSet
    is_split: bool
    learners: tuple[str, ...]
    learning_proposers: tuple[str, ...]
    repeats: int
    restarts: tuple[str, ...]
    wipes: tuple[str, ...]


class WriterOptions(typing.TypedDict, total=False):
    """Fields of a `Writer` that `write_by` passes on."""

    home: str
    is_naming: bool
    seeds: MemberSet


def write_by(
    name: str, *, attempts: int = 1, known: MemberSet = OLD, is_first: bool = True, **more: typing.Unpack[WriterOptions]
) -> Writer:
    """Returns a writer with one change, whose call is named like the writer in lower case."""
    call = Call(name=name.lower(), kind="write", attempts=attempts, is_first=is_first)
    return Writer(name=name, known=known, calls=(call,), **more)


def read_by(name: str, *, attempts: int = 1, known: MemberSet = OLD, is_first: bool = False) -> Writer:
    """Returns a writer with one read."""
    call = Call(name=name.lower(), kind="read", attempts=attempts, is_first=is_first)
    return Writer(name=name, known=known, calls=(call,))


def move_by(name: str, *, to: MemberSet, attempts: int = 1, known: MemberSet = OLD) -> Writer:
    """Returns a writer with one move to the set `to`."""
    return Writer(name=name, known=known, calls=(Call(name="move", kind="move", to=to, attempts=attempts),))


def move_of(
    *,
    name: str,
    to: MemberSet,
    attempts: int = 1,
    others: tuple[Writer, ...] = (),
    **more: typing.Unpack[ScenarioOptions],
) -> Scenario:
    """Returns a scenario in which P moves the set while Q writes, besides `others`; P and Q know only the old set."""
    nodes = tuple(sorted({*OLD, *to}))
    writers = (move_by("P", to=to), write_by("Q", attempts=attempts), *others)
    return Scenario(name=name, members=OLD, nodes=nodes, writers=writers, **more)


def accepted(
    *, nodes: str, ballot: tuple[int, str], members: MemberSet, tags: tuple[str, ...], previous: MemberSet = ()
) -> tuple[Row, ...]:
    """Returns a row with this value for each node; node names have one letter, so `nodes` is a string of them."""
    return tuple(
        Row(node=node, ballot=Ballot(*ballot), members=members, tags=tags, previous=previous) for node in nodes
    )


def half_moved(*, name: str, writers: tuple[Writer, ...], **more: typing.Unpack[ScenarioOptions]) -> Scenario:
    """Returns a scenario in which the swap was accepted at C and D only: a majority of the new set, not of the old."""
    rows = accepted(nodes="CD", ballot=(2, "M"), members=SWAPPED, tags=(FIRST_TAG, "m"), previous=OLD)
    return Scenario(name=name, members=OLD, nodes=GROWN, rows=rows, writers=writers, **more)


def moved(
    *, name: str, writers: tuple[Writer, ...], back: str = "", **more: typing.Unpack[ScenarioOptions]
) -> Scenario:
    """Returns a scenario in which the swap was chosen at B, C and D without A.

    A move back to the old set was accepted at the nodes in `back`, and is not chosen.
    """
    rows = accepted(nodes="BCD", ballot=(2, "M"), members=SWAPPED, tags=(FIRST_TAG, "m"))
    rows += accepted(nodes=back, ballot=(3, "N"), members=OLD, tags=(FIRST_TAG, "m", "n"), previous=SWAPPED)
    return Scenario(
        name=name,
        members=OLD,
        nodes=GROWN,
        rows=rows,
        chosen=(FIRST_TAG, "m"),
        chosen_set=SWAPPED,
        writers=writers,
        **more,
    )


def second_move(*, name: str, writers: tuple[Writer, ...], **more: typing.Unpack[ScenarioOptions]) -> Scenario:
    """Returns a scenario with two swaps, of which the second is not chosen.

    The swap to BCD was chosen at A, B and D; the second one, to CDE, was accepted at C only.
    """
    rows = accepted(nodes="ABD", ballot=(2, "M"), members=SWAPPED, tags=(FIRST_TAG, "m"), previous=OLD)
    rows += accepted(nodes="C", ballot=(3, "N"), members=("C", "D", "E"), tags=(FIRST_TAG, "m", "n"), previous=SWAPPED)
    return Scenario(
        name=name,
        members=OLD,
        nodes=FIVE,
        rows=rows,
        chosen=(FIRST_TAG, "m"),
        chosen_set=SWAPPED,
        writers=writers,
        **more,
    )


def small_scenarios() -> tuple[Scenario, ...]:
    """Returns scenarios whose states are all visited within seconds."""
    return (
        move_of(name="swap", to=SWAPPED),
        move_of(name="grow by one", to=GROWN),
        move_of(name="shrink by one, two attempts", to=SHRUNK, attempts=2),
        move_of(name="three to five at once", to=FIVE),
        move_of(name="shrink by one, requests twice", to=SHRUNK, repeats=1),
        move_of(name="shrink by one, answers apart from requests", to=SHRUNK, is_split=True),
        move_of(name="swap, one member lags", to=SWAPPED, first_value_members=("A", "B")),
        half_moved(name="half a swap, two old ones write", writers=(write_by("Q"), write_by("R"))),
        half_moved(name="half a swap, one reads", writers=(read_by("Q", is_first=True), write_by("R"))),
        moved(
            name="an evicted member with the old state",
            writers=(write_by("Q"), write_by("R", known=SWAPPED)),
            learning_proposers=("Q",),
        ),
        moved(name="an evicted member reads", writers=(read_by("Q"), write_by("R", known=SWAPPED))),
        moved(
            name="there and back, one of the first time reads",
            writers=(read_by("Q"), write_by("R", known=SWAPPED)),
            back="AB",
        ),
        moved(
            name="there and back, one of the first time writes",
            writers=(write_by("Q", attempts=2), write_by("R", known=SWAPPED)),
            back="A",
        ),
        second_move(name="two moves, one knows neither", writers=(write_by("Q"), write_by("R", known=SWAPPED))),
        Scenario(name="one disk emptied", members=OLD, nodes=OLD, writers=(write_by("P"), write_by("R")), wipes=("A",)),
        Scenario(
            name="values left out of answers",
            members=OLD,
            nodes=OLD,
            writers=(write_by("P", attempts=2, home="A", is_naming=True), write_by("R", home="B", is_naming=True)),
        ),
        slow_disk(name="a peek while a disk is slow"),
    )


def slow_disk(*, name: str, is_quorum_read_early: bool = False) -> Scenario:
    """Returns a scenario in which P's value is on the disk of A, but only in the memory of B.

    Q does a quorum read, R writes, and B may crash and lose its memory.
    """
    rows = accepted(nodes="AB", ballot=(2, "P"), members=OLD, tags=(FIRST_TAG, "p"))
    rows = (rows[0], dataclasses.replace(rows[1], is_durable=False))
    return Scenario(
        name=name,
        members=OLD,
        nodes=OLD,
        rows=rows,
        writers=(read_by("Q", is_first=True), write_by("R")),
        crashes=("B",),
        is_quorum_read_early=is_quorum_read_early,
    )


def large_scenarios() -> tuple[Scenario, ...]:
    """Returns scenarios that take minutes; some have more states than the default limit."""
    return (
        move_of(name="swap, two attempts", to=SWAPPED, attempts=2),
        move_of(name="grow by one, two attempts", to=GROWN, attempts=2),
        move_of(name="three to five at once, two attempts", to=FIVE, attempts=2),
        move_of(name="swap, the newcomer learns first", to=SWAPPED, learners=("D",)),
        half_moved(name="half a swap, B emptied", writers=(write_by("Q"), write_by("R")), wipes=("B",)),
        move_of(name="swap, B emptied", to=SWAPPED, wipes=("B",)),
        move_of(name="swap, the newcomer emptied", to=SWAPPED, wipes=("D",)),
        move_of(name="swap, one reads later", to=SWAPPED, others=(read_by("R"),)),
        move_of(name="swap, answers apart from requests", to=SWAPPED, is_split=True),
        move_of(name="swap, three write", to=SWAPPED, others=(write_by("R"),)),
        half_moved(
            name="half a swap, B emptied, two attempts",
            writers=(write_by("Q", attempts=2), write_by("R")),
            wipes=("B",),
        ),
        half_moved(
            name="half a swap, a process starts again from its disk",
            writers=(write_by("Q", home="D"), write_by("R")),
            restarts=("Q",),
        ),
        half_moved(
            name="half a swap, two old ones write, two attempts", writers=(write_by("Q", attempts=2), write_by("R"))
        ),
        moved(
            name="an evicted member with the old state, two attempts",
            writers=(write_by("Q", attempts=2), write_by("R", known=SWAPPED)),
            learning_proposers=("Q",),
        ),
        move_of(name="swap, requests twice", to=SWAPPED, repeats=1),
        moved(
            name="there and back, three attempts",
            writers=(write_by("Q", attempts=3), write_by("R", known=SWAPPED)),
            back="A",
        ),
        second_move(
            name="two moves, one knows neither, two attempts",
            writers=(write_by("Q", attempts=2), write_by("R", known=SWAPPED)),
        ),
        Scenario(
            name="an even set, one disk emptied",
            members=GROWN,
            nodes=GROWN,
            writers=(write_by("P"), write_by("R")),
            wipes=("A",),
        ),
        Scenario(
            name="one disk emptied, two attempts",
            members=OLD,
            nodes=OLD,
            writers=(write_by("P", attempts=2), write_by("R")),
            wipes=("A",),
        ),
    )

"""Tests that a merged state does not depend on order, repeats, relays, snapshots or folding."""

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from ploverward.common import errors
from ploverward.control_plane.tallies import tally_state
from ploverward.transport.messages import TallyAdd
from ploverward.transport.messages import TallyLogName

LOGS = [TallyLogName("10.0.0.1", "a"), TallyLogName("10.0.0.2", "b"), TallyLogName("10.0.0.3", "c")]
adds = strategies.builds(
    TallyAdd,
    tally=strategies.sampled_from(["t", "u"]),
    add_id=strategies.sampled_from([f"id{number}" for number in range(8)]),
    amount=strategies.integers(-5, 100),
)
histories = strategies.lists(strategies.lists(adds, max_size=8), min_size=3, max_size=3)


def state_of(history) -> tally_state.TallyState:
    """Returns a state with the adds of each log of a history."""
    state = tally_state.TallyState()
    for log, log_adds in zip(LOGS, history, strict=True):
        for add in log_adds:
            state.append(log=log, add=add)
    return state


def expected_totals(history) -> dict:
    """Returns the totals with each id counted once, by the amount of its first occurrence in the lowest log."""
    amounts = {}
    for log_adds in history:
        for add in log_adds:
            amounts.setdefault((add.tally, add.add_id), add.amount)
    totals = collections.Counter()
    for (tally, _add_id), amount in amounts.items():
        totals[tally] += amount
    return dict(totals)


def non_zero(totals) -> dict:
    """Returns the totals that are not 0."""
    return {tally: total for tally, total in totals.items() if total}


def all_adds(state):
    """Yields the adds of each log as (log, position, add)."""
    for log, position in state.positions().items():
        for number, add in enumerate(state.adds_from(log=log, position=0, limit=position), start=1):
            yield log, number, add


@hypothesis.given(histories, strategies.integers())
def test_merging_logs_in_any_order_with_repeats_gives_the_same_totals(history, seed):
    source = state_of(history)
    generator = random.Random(seed)
    queues = {log: [row for row in all_adds(source) if row[0] == log] for log in LOGS}
    other = tally_state.TallyState()
    while any(queues.values()):
        log = generator.choice([log for log, queue in queues.items() if queue])
        _log, position, add = queues[log].pop(0)
        for _time in range(generator.choice((1, 1, 2))):
            other.merge(log=log, first=position, adds=[add])
    assert other.positions() == source.positions()
    assert non_zero(other.totals()) == non_zero(source.totals()) == non_zero(expected_totals(history))


@hypothesis.given(histories, strategies.lists(strategies.integers(0, 8), min_size=3, max_size=3))
def test_folding_does_not_change_totals(history, up_to):
    state = state_of(history)
    for log, position in zip(LOGS, up_to, strict=True):
        state.fold(log=log, up_to=position)
    assert non_zero(state.totals()) == non_zero(expected_totals(history))
    assert state.positions() == state_of(history).positions()


@hypothesis.given(
    histories,
    strategies.lists(strategies.integers(0, 8), min_size=3, max_size=3),
    strategies.lists(strategies.integers(0, 8), min_size=3, max_size=3),
)
def test_snapshot_and_the_adds_after_it_restore_the_whole_state(history, up_to, had):
    source = state_of(history)
    for log, position in zip(LOGS, up_to, strict=True):
        source.fold(log=log, up_to=position)
    other = state_of([log_adds[:count] for log_adds, count in zip(history, had, strict=True)])
    other.install(source.snapshot())
    for log, position in source.positions().items():
        start = min(max(other.position(log), source.folded_position(log)), position)
        other.merge(log=log, first=start + 1, adds=source.adds_from(log=log, position=start, limit=100))
    assert other.positions() == source.positions()
    assert non_zero(other.totals()) == non_zero(source.totals())


@hypothesis.given(histories, strategies.lists(strategies.integers(0, 8), min_size=3, max_size=3))
def test_folding_continues_after_installing_a_snapshot(history, up_to):
    source = state_of(history)
    for log, position in zip(LOGS, up_to, strict=True):
        source.fold(log=log, up_to=position)
    other = tally_state.TallyState()
    other.install(source.snapshot())
    for log in source.positions():
        start = source.folded_position(log)
        other.merge(log=log, first=start + 1, adds=source.adds_from(log=log, position=start, limit=100))
    for log in source.positions():
        other.fold(log=log, up_to=100)
    assert non_zero(other.totals()) == non_zero(expected_totals(history))
    assert other.size == len(other.totals())  # no id is left


def test_add_in_two_logs_counts_once():
    state = state_of([[TallyAdd("t", "x", 4)], [TallyAdd("t", "x", 4)], []])
    assert state.total("t") == 4
    assert state.total("unknown") == 0


def test_amount_in_the_lowest_log_counts_in_either_merge_order():
    add, other = TallyAdd("t", "x", 4), TallyAdd("t", "x", 9)
    first, second = tally_state.TallyState(), tally_state.TallyState()
    first.merge(log=LOGS[0], first=1, adds=[add])
    first.merge(log=LOGS[1], first=1, adds=[other])
    second.merge(log=LOGS[1], first=1, adds=[other])
    second.merge(log=LOGS[0], first=1, adds=[add])
    assert first.total("t") == second.total("t") == 4


def test_adds_behind_a_gap_are_rejected_without_any_change():
    state = state_of([[TallyAdd("t", "x", 4)], [], []])
    with pytest.raises(errors.TallyMergeError):
        state.merge(log=LOGS[0], first=3, adds=[TallyAdd("t", "z", 1)])
    assert state.total("t") == 4 and state.position(LOGS[0]) == 1


def test_snapshot_older_than_the_folded_state_is_rejected_without_any_change():
    state = state_of([[TallyAdd("t", "x", 4), TallyAdd("t", "y", 1)], [], []])
    behind = state_of([[TallyAdd("t", "x", 4)], [], []])
    state.fold(log=LOGS[0], up_to=2)
    behind.fold(log=LOGS[0], up_to=1)
    with pytest.raises(errors.TallyMergeError):
        state.install(behind.snapshot())
    assert state.total("t") == 5


def test_reading_folded_adds_raises_and_later_ones_are_returned():
    state = state_of([[TallyAdd("t", "x", 4), TallyAdd("t", "y", 1)], [], []])
    state.fold(log=LOGS[0], up_to=1)
    with pytest.raises(errors.TallyMergeError):
        state.adds_from(log=LOGS[0], position=0, limit=10)
    assert state.adds_from(log=LOGS[0], position=1, limit=10) == [TallyAdd("t", "y", 1)]

"""Tests of partition logs: the last common position of two logs, durability, forgetting and trimming."""

from hypothesis import given
from hypothesis import strategies

from ploverward.store import partition_log
from ploverward.transport import batch_messages


def log_of(*epochs, base=0, base_epoch=0):
    log = partition_log.PartitionLog()
    log.reset(base=base, base_epoch=base_epoch)
    for epoch in epochs:
        log.append(partition_log.LoggedEntry(epoch, b"e%d at %d" % (epoch, log.last + 1)))
    return log


def state_of(log):
    return batch_messages.LogState(0, 9, "disk", log.base, log.base_epoch, log.runs())


def test_runs_lists_each_epoch_once_with_its_last_position():
    assert log_of(1, 1, 2, 4).runs() == ((1, 2), (2, 3), (4, 4))
    assert log_of().runs() == ()


def test_last_common_position_is_that_of_the_last_entry_in_both_logs():
    assert log_of(1, 1, 3).last_common_position(state_of(log_of(1, 1, 2, 2))) == 2
    assert log_of(1, 1, 3).last_common_position(state_of(log_of(1))) == 1
    assert log_of(1, 1).last_common_position(state_of(log_of(1, 1, 1))) == 2
    assert log_of(2).last_common_position(state_of(log_of(1, 1))) == 0
    assert log_of().last_common_position(state_of(log_of())) == 0


def test_last_common_position_treats_entries_before_the_other_base_as_common():
    assert log_of(1, 1, 2).last_common_position(state_of(log_of(2, base=2, base_epoch=1))) == 3
    assert log_of(1, 1, 2).last_common_position(state_of(log_of(base=2, base_epoch=1))) == 2


def test_last_common_position_is_none_if_the_other_log_lacks_the_base_entry():
    trimmed = log_of(2, base=5, base_epoch=2)
    assert trimmed.last_common_position(state_of(log_of(1, 1))) is None
    assert trimmed.last_common_position(state_of(log_of(1, 1, 1, 1, 1))) is None  # a different entry at the base
    assert trimmed.last_common_position(state_of(log_of(1, 1, 2, 2, 2))) == 5


@given(
    common=strategies.lists(strategies.integers(1, 5)).map(sorted),
    mine=strategies.lists(strategies.sampled_from([6, 8])).map(sorted),
    other=strategies.lists(strategies.sampled_from([7, 9])).map(sorted),
)
def test_last_common_position_is_where_the_epochs_diverge(common, mine, other):
    assert log_of(*common, *mine).last_common_position(state_of(log_of(*common, *other))) == len(common)


def test_a_late_sync_of_a_truncated_entry_does_not_mark_its_replacement_durable():
    log = log_of(1, 1)
    log.truncate_after(1)
    log.append(partition_log.LoggedEntry(2, b"new"))
    log.mark_durable(position=2, epoch=1)
    assert log.durable == 0
    log.mark_durable(position=2, epoch=2)
    assert log.durable == 2


def test_forget_empties_entries_and_trim_removes_leading_empty_ones():
    log = log_of(1, 1, 2, 2)
    log.mark_durable(position=4, epoch=2)
    log.forget((1, 3))
    assert log.data_at(1) == log.data_at(3) == b"" and log.data_at(2)
    log.trim(committed=4)
    assert (log.base, log.base_epoch, log.last) == (1, 1, 4)
    log.forget((2, 9, 1))
    log.trim(committed=4)
    assert (log.base, log.base_epoch) == (3, 2) and log.live_bytes == len(log.data_at(4))


def test_trim_keeps_entries_that_are_not_both_committed_and_synced():
    log = log_of(1, 1)
    log.forget((1, 2))
    log.trim(committed=2)
    assert log.base == 0
    log.mark_durable(position=2, epoch=1)
    log.trim(committed=1)
    assert log.base == 1

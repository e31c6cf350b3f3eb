"""Logs of partitions: where two of them part, and what is left of one that was trimmed."""

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


def test_runs_name_each_epoch_once_with_its_last_position():
    assert log_of(1, 1, 2, 4).runs() == ((1, 2), (2, 3), (4, 4))
    assert log_of().runs() == ()


def test_logs_agree_up_to_the_last_common_entry():
    assert log_of(1, 1, 3).agreed_end(state_of(log_of(1, 1, 2, 2))) == 2
    assert log_of(1, 1, 3).agreed_end(state_of(log_of(1))) == 1
    assert log_of(1, 1).agreed_end(state_of(log_of(1, 1, 1))) == 2
    assert log_of(2).agreed_end(state_of(log_of(1, 1))) == 0
    assert log_of().agreed_end(state_of(log_of())) == 0


def test_what_another_store_has_dropped_was_committed_so_this_one_has_it():
    assert log_of(1, 1, 2).agreed_end(state_of(log_of(2, base=2, base_epoch=1))) == 3
    assert log_of(1, 1, 2).agreed_end(state_of(log_of(base=2, base_epoch=1))) == 2


def test_a_log_that_ends_before_the_base_begins_anew():
    trimmed = log_of(2, base=5, base_epoch=2)
    assert trimmed.agreed_end(state_of(log_of(1, 1))) is None
    assert trimmed.agreed_end(state_of(log_of(1, 1, 1, 1, 1))) is None  # another entry at the base
    assert trimmed.agreed_end(state_of(log_of(1, 1, 2, 2, 2))) == 5


@given(
    common=strategies.lists(strategies.integers(1, 5)).map(sorted),
    mine=strategies.lists(strategies.sampled_from([6, 8])).map(sorted),
    other=strategies.lists(strategies.sampled_from([7, 9])).map(sorted),
)
def test_logs_part_exactly_where_their_epochs_do(common, mine, other):
    assert log_of(*common, *mine).agreed_end(state_of(log_of(*common, *other))) == len(common)


def test_an_entry_that_was_cut_off_is_not_made_durable_by_a_late_sync():
    log = log_of(1, 1)
    log.truncate_after(1)
    log.append(partition_log.LoggedEntry(2, b"new"))
    log.note_durable(position=2, epoch=1)
    assert log.durable == 0
    log.note_durable(position=2, epoch=2)
    assert log.durable == 2


def test_forgotten_entries_are_empty_and_those_at_the_front_go():
    log = log_of(1, 1, 2, 2)
    log.note_durable(position=4, epoch=2)
    log.forget((1, 3))
    assert log.data_at(1) == log.data_at(3) == b"" and log.data_at(2)
    log.trim(committed=4)
    assert (log.base, log.base_epoch, log.last) == (1, 1, 4)
    log.forget((2, 9, 1))
    log.trim(committed=4)
    assert (log.base, log.base_epoch) == (3, 2) and log.live_bytes == len(log.data_at(4))


def test_nothing_is_trimmed_that_is_not_committed_and_synced():
    log = log_of(1, 1)
    log.forget((1, 2))
    log.trim(committed=2)
    assert log.base == 0
    log.note_durable(position=2, epoch=1)
    log.trim(committed=1)
    assert log.base == 1

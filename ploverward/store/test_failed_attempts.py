"""Tests of the count of failed attempts at a partition: once for each attempt, durable, and neither early nor late."""

import base64
import json

import pytest

from ploverward.store import job_entries
from ploverward.store import job_table
from ploverward.store import partition
from ploverward.transport import batch_messages
from ploverward.transport.batch_messages import Condition
from ploverward.transport.batch_messages import Outcome

TRIES = 3
GIVEN_UP_AFTER = TRIES * job_table.FAILED_ANSWERS_PER_TRY
LISTED = job_entries.ItemListed


class Replication:
    """Keeps a log; a test commits its entries."""

    is_serving = True

    def __init__(self, entries=()):
        self.entries = [*entries]
        self.committed = 0

    def append(self, data):
        self.entries.append(data)
        return len(self.entries)

    def advance_commit(self):
        """Commits nothing: tests commit."""


class Primary:
    """A partition at its primary, with an item that was accepted."""

    def __init__(self, entries=()):
        rows = [{"id": "a", "path": "/x", "parcel": base64.b64encode(b"b").decode(), "tokens": 5}]
        body = json.dumps({"requests": rows}).encode()
        accepted = job_entries.pack(job_entries.JobAccepted("t", "l", "r", 10.0, TRIES, body))
        self.now = 100.0
        self.partition = partition.Partition(now=lambda: self.now, wall_time=lambda: 0.0, status_s=60.0)
        self.replication = Replication(entries or [accepted])
        self.partition.begin(self.replication)
        self.outcomes = []
        self.commit()

    def commit(self):
        for position in range(self.replication.committed + 1, len(self.replication.entries) + 1):
            self.replication.committed = position
            self.partition.handle_committed(position, self.replication.entries[position - 1])

    @property
    def job(self):
        return self.partition.table.find(tenant="t", job="l")

    @property
    def conditions(self):
        return [Condition(row.condition) for row in self.job.results]

    def report(self, attempt, *, condition=Condition.FAILED, holder="other proxy", is_committed=True):
        """Reports a failed attempt; returns the outcome, or None if there is none yet."""
        message = batch_messages.FinishItem(0, "t", "l", "a", int(condition), attempt.encode())
        outcomes = []
        self.partition.finish(message, outcomes.append, holder)
        if is_committed:
            self.commit()
        return outcomes[0] if outcomes else None

    def lease(self, holder="proxy"):
        self.partition.lease(self.job, self.job.items["a"], holder)

    def leasable(self):
        """Returns the ids of the items that may be leased now."""
        return [item.item_id for _job, item in self.partition.leasable_items()]

    def successor(self):
        """Returns the next primary, which has the committed entries only."""
        return Primary(self.replication.entries[: self.replication.committed])


@pytest.fixture
def primary():
    return Primary()


def test_an_item_is_given_up_after_its_number_of_failed_attempts_and_not_before(primary):
    for number in range(1, GIVEN_UP_AFTER):
        assert primary.report(f"p-{number}") is Outcome.DONE
        assert primary.conditions == []
    assert primary.report("p-last") is Outcome.NOT_NEEDED
    assert primary.conditions == [Condition.DEAD_LETTER]


def test_a_repeated_report_counts_once(primary):
    """Guards against a dead letter before `tries` answers of 500, as reports are repeated until they are answered."""
    for _repetition in range(3 * GIVEN_UP_AFTER):
        assert primary.report("p-1") is Outcome.DONE
    assert primary.job.items["a"].failures == 1


def test_reports_count_whoever_has_the_lease(primary):
    """Guards against reports that are dropped because the lease has expired or is another proxy's."""
    primary.report("p-1")
    primary.lease("proxy")
    primary.report("p-2", holder="another proxy")
    assert primary.job.items["a"].failures == 2
    assert primary.job.items["a"].state is job_table.ItemState.LEASED  # the run in progress keeps its lease


def test_a_report_is_answered_once_it_is_committed(primary):
    assert primary.report("p-1", is_committed=False) is None
    outcomes = []
    message = batch_messages.FinishItem(0, "t", "l", "a", int(Condition.FAILED), b"p-1")
    primary.partition.finish(message, outcomes.append, "proxy")
    assert outcomes == []  # the repetition waits as well
    primary.commit()
    assert outcomes == [Outcome.DONE]


def test_the_next_primary_knows_the_failed_attempts_and_their_identifiers(primary):
    """Guards against counts that are lost with the store that had them."""
    for number in range(1, GIVEN_UP_AFTER):
        primary.report(f"p-{number}")
    successor = primary.successor()
    assert successor.report("p-1") is Outcome.DONE
    assert successor.report("p-last") is Outcome.NOT_NEEDED
    assert successor.conditions == [Condition.DEAD_LETTER]


def test_a_primary_that_loses_its_role_leaves_the_count_to_its_successor(primary):
    for number in range(1, GIVEN_UP_AFTER):
        primary.report(f"p-{number}")
    outcomes = []
    message = batch_messages.FinishItem(0, "t", "l", "a", int(Condition.FAILED), b"p-last")
    primary.partition.finish(message, outcomes.append, "proxy")
    primary.partition.end()
    assert outcomes == [Outcome.NOT_KNOWN]
    assert primary.successor().report("p-last") is Outcome.NOT_NEEDED


def test_an_item_is_given_up_by_a_successor_that_has_the_last_count_without_the_result(primary):
    """Guards against a further run where the primary was lost between the two entries."""
    for number in range(GIVEN_UP_AFTER):
        primary.report(f"p-{number}")
    counts = [data for data in primary.replication.entries if not isinstance(job_entries.unpack(data), LISTED)]
    successor = Primary(counts)
    assert successor.conditions == []
    assert successor.leasable() == []  # begins to serve
    successor.now += partition.CLAIM_PERIOD_S
    assert successor.leasable() == []
    successor.commit()
    assert successor.conditions == [Condition.DEAD_LETTER]


def test_an_item_with_fewer_failed_attempts_is_leased_by_a_successor(primary):
    for number in range(GIVEN_UP_AFTER - 1):
        primary.report(f"p-{number}")
    successor = primary.successor()
    assert successor.leasable() == []  # begins to serve
    successor.now += partition.CLAIM_PERIOD_S
    assert successor.leasable() == ["a"]


def test_a_failed_attempt_of_an_item_with_a_result_is_not_needed(primary):
    primary.report("", condition=Condition.DELIVERED)
    assert primary.report("p-1") is Outcome.NOT_NEEDED
    assert primary.conditions == [Condition.DELIVERED]


def test_a_failed_attempt_is_answered_only_once_the_result_of_its_item_is_committed(primary):
    """Guards against a count that is lost together with the uncommitted result that made it needless."""
    primary.report("", condition=Condition.DELIVERED, is_committed=False)
    assert primary.report("p-1", is_committed=False) is None


def test_failed_runs_of_earlier_proxies_count_from_the_holder_of_the_lease_only(primary):
    for _run in range(TRIES):
        primary.lease("proxy")
        assert primary.report("", holder="another proxy") is Outcome.DONE
        assert primary.report("", holder="proxy") is Outcome.DONE
        assert primary.report("", holder="proxy") is Outcome.DONE  # a repetition
    assert primary.conditions == [Condition.DEAD_LETTER]


def test_failed_runs_in_the_log_of_an_earlier_version_count_as_up_to_tries_answers(primary):
    """Guards against items that run on for too long after an update of the stores."""
    entries = [*primary.replication.entries, *[b'{"failed":["t","l","a"]}\n'] * (TRIES - 1)]
    updated = Primary(entries)
    assert updated.conditions == []
    assert updated.report("p-1") is Outcome.NOT_NEEDED
    assert updated.conditions == [Condition.DEAD_LETTER]


def test_an_earlier_version_reads_the_entry_of_a_failed_attempt_as_a_failed_run():
    packed = job_entries.pack(job_entries.ItemFailed("t", "l", "a", "p-1"))
    head, _newline, _attempt = packed.partition(b"\n")
    assert json.loads(head) == {"failed": ["t", "l", "a"]}
    assert job_entries.unpack(packed) == job_entries.ItemFailed("t", "l", "a", "p-1")


@pytest.mark.parametrize("tries", range(1, 10))
def test_items_are_given_up_between_the_lower_and_the_upper_bound_for_each_number_of_tries(tries, primary):
    job, item = primary.job, primary.job.items["a"]
    job.max_attempts = tries
    while not job.has_failed_too_often(item):
        item.failed_attempts[f"p-{len(item.failed_attempts)}"] = 1
    assert tries <= item.failures < 3 * tries

"""Tests of replication: which copies a commit waits for, leases, lost copies, resets and older connections."""

import collections

import pytest

from ploverward.common import batch_partitions
from ploverward.simulation import simulated_world
from ploverward.store import partition_log
from ploverward.store import partition_member
from ploverward.store import replication
from ploverward.store import store_disk
from ploverward.transport import batch_messages

TIMING = replication.Timing(lease_s=0.6)
NUMBER = 7


class Connection:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class Store:
    """One store's copy of the partition, on a disk that syncs within 10 ms."""

    def __init__(self, world):
        logs = collections.defaultdict(partition_log.PartitionLog)
        self.world = world
        self.disk = store_disk.StoreDisk(
            loop=simulated_world.Loop(world=world),
            disk=simulated_world.Disk(),
            logs=logs,
            limit_bytes=0,
            on_durable=lambda _number: None,
        )
        self.disk.start(on_ready=lambda: None)
        self.member = partition_member.PartitionMember(
            number=NUMBER, log=logs[NUMBER], disk=self.disk, now=world.now, lease_s=TIMING.lease_s
        )


class Cluster:
    """A primary A with member B and learner C; a test delivers the messages between them."""

    def __init__(self, members="AB", learners="C", epoch=3):
        self.world = simulated_world.World(seed=1)
        self.stores = {name: Store(self.world) for name in "ABC"}
        self.wait(1.0)
        self.sent = []
        self.committed = []
        self.primary = replication.Replication(
            member=self.stores["A"].member,
            disk=self.stores["A"].disk,
            owners=self.owners(members, learners, epoch),
            timing=TIMING,
            now=self.world.now,
            send=lambda address, message: self.sent.append((address, message)),
            on_committed=lambda position, data: self.committed.append((position, data)),
        )
        self.links = {name: Connection() for name in "BC"}

    @staticmethod
    def owners(members, learners, epoch):
        rows = tuple(batch_partitions.Member(name, f"disk {name}") for name in members)
        return batch_partitions.PartitionOwners(epoch, rows, tuple(learners), "process A")

    def wait(self, seconds=0.05):
        self.world.run(until=self.world.time + seconds)

    def deliver(self, only="BC"):
        """Exchanges messages between the primary and these stores, including those that follow from syncs."""
        for _round in range(6):
            messages, self.sent = self.sent, []
            for address, message in messages:
                if address in only:
                    self._deliver_message(address, message)
            self.wait()
            for name in only:
                answer = self.stores[name].member.acknowledgement()
                if answer is not None:
                    self.primary.handle_durable(name, answer)
            self.primary.advance_commit()

    def _deliver_message(self, address, message):
        member = self.stores[address].member
        if isinstance(message, batch_messages.RequestLogState):
            state = member.begin_session(self.links[address], message.epoch)
            if state is not None:
                self.primary.handle_state(address, state)
        elif isinstance(message, batch_messages.AppendEntries):
            member.append(self.links[address], message)

    def lease(self, *names):
        for name in names:
            if self.stores[name].member.grant_lease(self.primary.owners.epoch):
                self.primary.handle_lease(name, epoch=self.primary.owners.epoch, requested_at=self.world.now())


def lost(primary):
    report = primary.report()
    return [row.address for row in report.lost] if report is not None else []


def test_an_entry_is_committed_once_all_members_have_synced_it():
    cluster = Cluster()
    cluster.deliver(only="C")
    position = cluster.primary.append(b"entry")
    cluster.deliver(only="C")
    assert not cluster.committed
    cluster.primary.request_log_state("B")
    cluster.deliver()
    assert cluster.committed == [(position, b"entry")]


def test_commit_waits_for_a_learner_reported_as_caught_up():
    cluster = Cluster()
    cluster.deliver()
    cluster.lease("B", "C")
    report = cluster.primary.report()
    assert [row.address for row in report.caught_up] == ["C"] and not report.lost
    cluster.primary.append(b"entry")
    cluster.deliver(only="B")
    assert not cluster.committed
    cluster.primary.install(cluster.owners("AB", "C", 4))  # C was not made a member
    cluster.deliver(only="B")
    assert [data for _position, data in cluster.committed] == [b"entry"]


def test_primary_serves_only_while_all_members_renew_its_lease():
    cluster = Cluster()
    cluster.deliver()
    assert not cluster.primary.is_serving
    cluster.lease("B")
    assert cluster.primary.is_serving
    cluster.wait(0.59)
    assert cluster.primary.is_serving
    cluster.wait(0.02)
    assert not cluster.primary.is_serving


def test_primary_does_not_serve_before_the_lease_it_granted_has_expired():
    cluster = Cluster()
    cluster.wait(1.0)
    cluster.stores["A"].member.grant_lease(5)  # granted to another primary
    successor = replication.Replication(
        member=cluster.stores["A"].member,
        disk=cluster.stores["A"].disk,
        owners=cluster.owners("A", "", 6),
        timing=TIMING,
        now=cluster.world.now,
        send=lambda _address, _message: None,
        on_committed=lambda _position, _data: None,
    )
    cluster.wait(0.5)
    successor.advance_commit()
    assert successor.is_caught_up and not successor.is_serving
    cluster.wait(0.2)
    assert successor.is_serving


def test_a_member_that_replies_without_making_progress_is_reported_lost():
    cluster = Cluster()
    cluster.deliver()
    assert not lost(cluster.primary)
    cluster.wait(1.1)
    cluster.lease("B")
    cluster.primary.append(b"entry")
    assert not lost(cluster.primary)
    for _step in range(5):
        cluster.wait(0.3)
        cluster.lease("B")  # B replies but makes no progress
    assert lost(cluster.primary) == ["B"]


def test_a_silent_member_is_reported_lost():
    cluster = Cluster()
    cluster.deliver()
    cluster.wait(1.1)
    cluster.lease("B")
    cluster.wait(1.1)
    assert not lost(cluster.primary)
    cluster.wait(0.2)
    assert lost(cluster.primary) == ["B"]


@pytest.mark.parametrize("older", [2, 0])
def test_a_member_refuses_a_primary_of_an_older_epoch(older):
    cluster = Cluster()
    cluster.deliver()
    member, link = cluster.stores["B"].member, Connection()
    assert member.begin_session(link, older) is None and not member.grant_lease(older)
    message = batch_messages.AppendEntries(NUMBER, older, 1, 0, False, 0, ())
    assert not member.append(link, message) and member.log.last == 1


def test_entries_on_an_older_connection_do_not_truncate_the_log():
    cluster = Cluster()
    cluster.primary.append(b"one")
    cluster.deliver()
    member = cluster.stores["B"].member
    late = batch_messages.AppendEntries(NUMBER, 3, 1, 0, False, 0, (batch_messages.EpochEntry(3, b""),))
    assert not member.append(Connection(), late)
    assert member.log.last == 2 and member.log.data_at(2) == b"one"


def test_uncommitted_entries_of_a_former_primary_are_truncated():
    cluster = Cluster()
    log = cluster.stores["B"].member.log
    for data in (b"stale 1", b"stale 2", b"stale 3"):
        log.append(partition_log.LoggedEntry(2, data))
    cluster.primary.append(b"one")
    cluster.deliver()
    assert [tuple(entry) for entry in log.after(0)] == [(3, b""), (3, b"one")]
    assert [data for _position, data in cluster.committed] == [b"one"]


def test_entries_that_do_not_follow_the_log_are_refused():
    cluster = Cluster()
    cluster.deliver()
    member, link = cluster.stores["B"].member, cluster.links["B"]
    gap = batch_messages.AppendEntries(NUMBER, 3, 9, 3, False, 0, ())
    other = batch_messages.AppendEntries(NUMBER, 3, 2, 2, False, 0, ())
    assert not member.append(link, gap) and not member.append(link, other)


def test_a_learner_that_falls_behind_the_base_is_sent_a_new_state_request():
    cluster = Cluster()
    cluster.deliver()
    copy = cluster.primary._copies["C"]
    for _entry in range(3):
        cluster.primary.append(b"entry")
    cluster.deliver(only="B")
    copy.sent_position = copy.durable_position = 1  # the remaining entries have not been sent yet
    cluster.primary.log.forget(range(1, 4))
    cluster.primary.log.trim(committed=cluster.primary.committed)
    cluster.sent.clear()
    cluster.primary.append(b"last")
    assert [type(message) for address, message in cluster.sent if address == "C"] == [batch_messages.RequestLogState]
    cluster.deliver()
    assert [tuple(entry) for entry in cluster.stores["C"].member.log.after(3)] == [(3, b"entry"), (3, b"last")]


def test_a_learner_behind_the_base_receives_the_log_from_the_base():
    cluster = Cluster()
    log = cluster.primary.log
    for _entry in range(3):
        cluster.primary.append(b"entry")
    cluster.deliver(only="B")
    log.forget(range(1, 4))
    log.trim(committed=cluster.primary.committed)
    assert log.base == 3
    cluster.primary.request_log_state("C")
    cluster.deliver()
    copy = cluster.stores["C"].member.log
    assert (copy.base, copy.base_epoch) == (3, 3)
    assert [tuple(entry) for entry in copy.after(3)] == [(3, b"entry")]


def test_unacknowledged_bytes_sent_to_a_store_are_bounded(monkeypatch):
    monkeypatch.setattr(replication, "MAX_UNACKNOWLEDGED_BYTES", 1000)
    cluster = Cluster()
    cluster.deliver()
    cluster.sent.clear()
    for _entry in range(30):
        cluster.primary.append(b"x" * 100)
    copy = cluster.primary._copies["B"]
    sent_bytes = sum(
        len(entry.data)
        for address, message in cluster.sent
        if address == "B" and isinstance(message, batch_messages.AppendEntries)
        for entry in message.entries
    )
    assert copy.unacknowledged_bytes == sent_bytes == 1100  # sending stops after the entry that exceeds the limit
    cluster.deliver()
    cluster.deliver()
    assert copy.unacknowledged_bytes == 0 and copy.durable_position == cluster.primary.log.last
    cluster.primary.append(b"x" * 100)
    cluster.primary.handle_disconnect("B")
    assert copy.unacknowledged_bytes == 0  # the store sends its log state on the next connection

"""A partition at its primary: who is waited for, until when it answers, what an older connection may not do."""

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
    """One store's copy, on a disk that syncs within 10 ms."""

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


class Scene:
    """A primary A with member B and learner C, whose answers a test passes on."""

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
        """Passes messages and answers on until there are none, with all that is synced meanwhile."""
        for _round in range(6):
            messages, self.sent = self.sent, []
            for address, message in messages:
                if address in only:
                    self._pass_on(address, message)
            self.wait()
            for name in only:
                answer = self.stores[name].member.acknowledgement()
                if answer is not None:
                    self.primary.handle_durable(name, answer)
            self.primary.advance()

    def _pass_on(self, address, message):
        member = self.stores[address].member
        if isinstance(message, batch_messages.RequestLogState):
            state = member.answer_state(self.links[address], message.epoch)
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
    scene = Scene()
    scene.deliver(only="C")
    position = scene.primary.append(b"entry")
    scene.deliver(only="C")
    assert not scene.committed
    scene.primary.ask("B")
    scene.deliver()
    assert scene.committed == [(position, b"entry")]


def test_a_learner_that_was_reported_as_level_is_waited_for():
    scene = Scene()
    scene.deliver()
    scene.lease("B", "C")
    report = scene.primary.report()
    assert [row.address for row in report.caught_up] == ["C"] and not report.lost
    scene.primary.append(b"entry")
    scene.deliver(only="B")
    assert not scene.committed
    scene.primary.install(scene.owners("AB", "C", 4))  # it was not made a member
    scene.deliver(only="B")
    assert [data for _position, data in scene.committed] == [b"entry"]


def test_it_answers_only_while_all_members_renew_its_lease():
    scene = Scene()
    scene.deliver()
    assert not scene.primary.is_serving
    scene.lease("B")
    assert scene.primary.is_serving
    scene.wait(0.59)
    assert scene.primary.is_serving
    scene.wait(0.02)
    assert not scene.primary.is_serving


def test_it_does_not_answer_before_what_it_granted_itself_has_ended():
    scene = Scene()
    scene.wait(1.0)
    scene.stores["A"].member.grant_lease(5)  # to another primary
    successor = replication.Replication(
        member=scene.stores["A"].member,
        disk=scene.stores["A"].disk,
        owners=scene.owners("A", "", 6),
        timing=TIMING,
        now=scene.world.now,
        send=lambda _address, _message: None,
        on_committed=lambda _position, _data: None,
    )
    scene.wait(0.5)
    successor.advance()
    assert successor.is_level and not successor.is_serving
    scene.wait(0.2)
    assert successor.is_serving


def test_a_member_that_answers_and_does_not_get_on_is_reported():
    scene = Scene()
    scene.deliver()
    assert not lost(scene.primary)
    scene.wait(1.1)
    scene.lease("B")
    scene.primary.append(b"entry")
    assert not lost(scene.primary)
    for _step in range(5):
        scene.wait(0.3)
        scene.lease("B")  # it answers, and does not get on
    assert lost(scene.primary) == ["B"]


def test_a_member_that_is_silent_is_reported():
    scene = Scene()
    scene.deliver()
    scene.wait(1.1)
    scene.lease("B")
    scene.wait(1.1)
    assert not lost(scene.primary)
    scene.wait(0.2)
    assert lost(scene.primary) == ["B"]


@pytest.mark.parametrize("older", [2, 0])
def test_a_member_refuses_a_primary_of_an_older_epoch(older):
    scene = Scene()
    scene.deliver()
    member, link = scene.stores["B"].member, Connection()
    assert member.answer_state(link, older) is None and not member.grant_lease(older)
    message = batch_messages.AppendEntries(NUMBER, older, 1, 0, False, 0, ())
    assert not member.append(link, message) and member.log.last == 1


def test_an_older_connection_cuts_nothing_off():
    scene = Scene()
    scene.primary.append(b"one")
    scene.deliver()
    member = scene.stores["B"].member
    late = batch_messages.AppendEntries(NUMBER, 3, 1, 0, False, 0, (batch_messages.EpochEntry(3, b""),))
    assert not member.append(Connection(), late)
    assert member.log.last == 2 and member.log.data_at(2) == b"one"


def test_what_a_former_primary_left_behind_is_cut_off():
    scene = Scene()
    log = scene.stores["B"].member.log
    for data in (b"stale 1", b"stale 2", b"stale 3"):
        log.append(partition_log.LoggedEntry(2, data))
    scene.primary.append(b"one")
    scene.deliver()
    assert [tuple(entry) for entry in log.after(0)] == [(3, b""), (3, b"one")]
    assert [data for _position, data in scene.committed] == [b"one"]


def test_entries_that_do_not_fit_are_refused():
    scene = Scene()
    scene.deliver()
    member, link = scene.stores["B"].member, scene.links["B"]
    gap = batch_messages.AppendEntries(NUMBER, 3, 9, 3, False, 0, ())
    other = batch_messages.AppendEntries(NUMBER, 3, 2, 2, False, 0, ())
    assert not member.append(link, gap) and not member.append(link, other)


def test_a_learner_that_fell_behind_the_base_is_asked_anew():
    scene = Scene()
    scene.deliver()
    copy = scene.primary._copies["C"]
    for _entry in range(3):
        scene.primary.append(b"entry")
    scene.deliver(only="B")
    copy.sent = copy.stored = 1  # the rest was not sent yet
    scene.primary.log.forget(range(1, 4))
    scene.primary.log.trim(committed=scene.primary.committed)
    scene.sent.clear()
    scene.primary.append(b"last")
    assert [type(message) for address, message in scene.sent if address == "C"] == [batch_messages.RequestLogState]
    scene.deliver()
    assert [tuple(entry) for entry in scene.stores["C"].member.log.after(3)] == [(3, b"entry"), (3, b"last")]


def test_a_learner_behind_the_base_gets_the_log_from_there():
    scene = Scene()
    log = scene.primary.log
    for _entry in range(3):
        scene.primary.append(b"entry")
    scene.deliver(only="B")
    log.forget(range(1, 4))
    log.trim(committed=scene.primary.committed)
    assert log.base == 3
    scene.primary.ask("C")
    scene.deliver()
    copy = scene.stores["C"].member.log
    assert (copy.base, copy.base_epoch) == (3, 3)
    assert [tuple(entry) for entry in copy.after(3)] == [(3, b"entry")]


def test_a_store_that_does_not_answer_is_sent_a_bounded_number_of_bytes(monkeypatch):
    monkeypatch.setattr(replication, "MAX_UNANSWERED_BYTES", 1000)
    scene = Scene()
    scene.deliver()
    scene.sent.clear()
    for _entry in range(30):
        scene.primary.append(b"x" * 100)
    copy = scene.primary._copies["B"]
    sent_bytes = sum(
        len(entry.data)
        for address, message in scene.sent
        if address == "B" and isinstance(message, batch_messages.AppendEntries)
        for entry in message.entries
    )
    assert copy.unanswered_bytes == sent_bytes == 1100  # one entry goes past the bound
    scene.deliver()
    scene.deliver()
    assert copy.unanswered_bytes == 0 and copy.stored == scene.primary.log.last
    scene.primary.append(b"x" * 100)
    scene.primary.forget_connection("B")
    assert copy.unanswered_bytes == 0  # on the next connection the store says where it stands

"""Registers under message loss, delay, restarts and wiped disks; recorded histories are checked for linearizability."""

import pytest

from ploverward.common import errors
from ploverward.common.identifiers import NO_BALLOT
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import proposer
from ploverward.simulation import linearizability
from ploverward.simulation import simulated_world
from ploverward.transport import messages

MEMBERS = ("a", "b", "c")


class Node:
    """One core node in the simulated world: acceptor, proposer, disk and catch-up."""

    def __init__(self, *, world, name, nodes, is_first=True):
        self.world = world
        self.name = name
        self.nodes = nodes
        self.disk = simulated_world.Disk()
        self.incarnation = 0
        self.chosen = {}
        self.start(is_first=is_first)

    def start(self, *, is_first=False):
        self.incarnation += 1
        self.is_up = True
        self.store = acceptor_storage.AcceptorStorage(disk=self.disk, limit_bytes=4000)
        image = self.store.load()
        self.acceptor = acceptors.Acceptor(incarnation=image.incarnation, rows=image.rows)
        if not image.incarnation and is_first:
            self.acceptor.incarnation = f"{self.name}{self.incarnation}"
            self.write()
        self.proposer = proposer.Proposer(
            own=f"{self.name}/{self.incarnation}",
            seeds=MEMBERS,
            send=self.send,
            later=self.later,
            now=self.world.now,
            chance=self.world.chance.random,
            on_chosen=lambda name, ballot, rev, value, is_newly_chosen: None,
            limit_s=3.0,
            attempt_timeout_s=0.6,
        )
        self.catch_up_replies = {}
        if not self.acceptor.votes:
            self.catch_up()

    def write(self, *rows):
        image = acceptor_storage.AcceptorImage(incarnation=self.acceptor.incarnation, rows=self.acceptor.rows())
        self.store.write(rows=rows, image=image)

    def later(self, delay, callback):
        incarnation = self.incarnation
        self.world.later(delay, lambda: callback() if self.is_up and self.incarnation == incarnation else None)

    def send(self, member, message):
        target = self.nodes.get(member)
        if target is None:
            return
        incarnation = self.incarnation

        def deliver():
            if target.is_up:
                target.handle(self, incarnation, message)

        self.world.send(self.name, member, deliver)

    def reply(self, source, incarnation, message):
        def deliver():
            if source.is_up and source.incarnation == incarnation:
                source.handle(self, self.incarnation, message)

        self.world.send(self.name, source.name, deliver)

    def handle(self, source, incarnation, message):
        if isinstance(message, messages.Prepare | messages.Accept):
            is_prepare = isinstance(message, messages.Prepare)
            reply, row = (self.acceptor.prepare if is_prepare else self.acceptor.accept)(message)
            if row is not None:
                try:
                    self.write(row)
                except OSError:
                    return
            self.reply(source, incarnation, reply)
        elif isinstance(message, messages.QuorumRead):
            self.reply(source, incarnation, self.acceptor.quorum_read(message))
        elif isinstance(message, messages.Promise):
            self.proposer.handle_promise(source.name, message)
        elif isinstance(message, messages.QuorumReadReply):
            self.proposer.handle_quorum_read_reply(source.name, message)
        elif isinstance(message, messages.Accepted):
            self.proposer.handle_accepted(source.name, message)
        elif isinstance(message, messages.CatchUpRequest):
            if self.acceptor.votes:
                reply = messages.CatchUpReply(number=message.number, is_voter=True, rows=self.acceptor.rows())
                self.reply(source, incarnation, reply)
        elif isinstance(message, messages.CatchUpReply) and not self.acceptor.votes:
            self.catch_up_replies[source.name] = message.rows
            if len(self.catch_up_replies) >= 2:
                rows = self.acceptor.catch_up(
                    incarnation=f"{self.name}{self.incarnation}", states=tuple(self.catch_up_replies.values())
                )
                self.write(*rows)

    def catch_up(self):
        if self.acceptor.votes:
            return
        self.catch_up_replies = {}
        for member in MEMBERS:
            if member != self.name:
                self.send(member, messages.CatchUpRequest(number=0, fences=()))
        self.later(0.4, self.catch_up)

    def stop(self, *, is_wiped=False):
        self.is_up = False
        self.incarnation += 1
        if is_wiped:
            self.disk.files.clear()


def make_cluster(seed, *, members=MEMBERS):
    world = simulated_world.World(seed=seed)
    nodes = {}
    for name in members:
        nodes[name] = Node(world=world, name=name, nodes=nodes)
    return world, nodes


class RandomClient:
    """Sends random compare-and-sets and reads, and records their history."""

    def __init__(self, *, world, nodes, history):
        self.world, self.nodes, self.history = world, nodes, history

    def start_call(self, member):
        node = self.nodes[member]
        if not node.is_up:
            return
        call = {"begun": self.world.now(), "ended": None, "kind": "change"}
        if self.world.chance.random() < 0.4:
            call["kind"] = "read"
        self.history.append(call)

        def done(fault, rev, payload, result):
            if fault is None:
                call["ended"] = self.world.now()
                if call["kind"] == "read":
                    call["saw"] = payload or 0
                else:
                    call["base"], call["made"] = result

        def edit(payload):
            base = payload or 0
            return base + 1, (base, base + 1)

        if call["kind"] == "read":
            node.proposer.read(name="spec", done=done)
        else:
            node.proposer.change(name="spec", edit=edit, done=done)


@pytest.mark.parametrize("seed", range(60))
def test_history_is_linearizable_under_loss_restart_and_wiping(seed):
    world, nodes = make_cluster(seed)
    world.loss = world.chance.choice((0.0, 0.02, 0.05))
    history = []
    client = RandomClient(world=world, nodes=nodes, history=history)
    for step in range(120):
        world.later(step * 0.15 + world.chance.random() * 0.1, lambda: client.start_call(world.chance.choice(MEMBERS)))

    def inject_fault():
        name = world.chance.choice(MEMBERS)
        kind = world.chance.choice(("kill", "wipe", "cut", "refuse"))
        if kind in ("kill", "wipe"):
            nodes[name].stop(is_wiped=kind == "wipe")
            world.later(0.8, nodes[name].start)
        elif kind == "cut":
            for other in MEMBERS:
                world.partitions |= {(name, other), (other, name)}
            world.later(0.9, world.partitions.clear)
        else:
            nodes[name].disk.is_refusing = True
            world.later(0.7, lambda: setattr(nodes[name].disk, "is_refusing", False))

    for step in range(5):
        world.later(1.0 + step * 3.4, inject_fault)
    world.run(until=40.0)
    assert linearizability.faults(history=history) == []
    assert sum(1 for call in history if call["ended"] is not None) > 20


def test_linearizability_checker_reports_lost_updates_and_stale_reads():
    two_on_one = [
        {"kind": "change", "begun": 0, "ended": 1, "base": 0, "made": 1},
        {"kind": "change", "begun": 0, "ended": 1, "base": 0, "made": 2},
    ]
    assert linearizability.faults(history=two_on_one)
    stale = [
        {"kind": "change", "begun": 0, "ended": 1, "base": 0, "made": 1},
        {"kind": "read", "begun": 2, "ended": 3, "saw": 0},
    ]
    assert linearizability.faults(history=stale)


@pytest.mark.parametrize("seed", range(20))
def test_of_two_concurrent_compare_and_sets_exactly_one_succeeds(seed):
    world, nodes = make_cluster(seed)
    results = []

    def edit_of(name):
        # Recognises the value that an earlier attempt of the same change wrote, as the edits in production do.
        def edit(payload):
            if payload == name:
                return payload, "known"
            if payload is not None:
                raise errors.StaleVersionError(current=1)
            return name, "won"

        return edit

    for name in ("a", "c"):
        nodes[name].proposer.change(name="spec", edit=edit_of(name), done=lambda *row: results.append(row))
    world.run(until=20.0)
    assert len(results) == 2
    assert sorted(row[0] is None for row in results) == [False, True]
    assert isinstance(next(row[0] for row in results if row[0] is not None), errors.StaleVersionError)


@pytest.mark.parametrize("seed", range(10))
def test_reads_and_changes_finish_after_all_nodes_restart_at_once(seed):
    """Guards against three nodes that read four registers after a restart and preempt each other's ballots forever."""
    world, nodes = make_cluster(seed)
    names = ("spec", "evac", "duty", "cores")
    for name in names:
        nodes["a"].proposer.change(name=name, edit=lambda payload: (1, None), done=lambda *row: None)
    world.run(until=5.0)
    for node in nodes.values():
        node.stop()
        node.start()
    done = []
    for node in nodes.values():
        for name in names:
            node.proposer.read(name=name, done=lambda *row: done.append(row))
            node.proposer.change(
                name=name, edit=lambda payload: (payload + 1, None), done=lambda *row: done.append(row)
            )
    world.run(until=14.0)
    assert len(done) == 24
    assert sum(1 for row in done if row[0] is None) >= 20


def test_node_with_wiped_disk_does_not_vote_until_both_others_reply():
    world, nodes = make_cluster(3)
    nodes["a"].proposer.change(name="spec", edit=lambda payload: (1, None), done=lambda *row: None)
    world.run(until=3.0)
    nodes["c"].stop(is_wiped=True)
    nodes["b"].stop()
    nodes["c"].start()
    world.run(until=8.0)
    assert not nodes["c"].acceptor.votes
    results = []
    nodes["a"].proposer.change(name="spec", edit=lambda payload: (2, None), done=lambda *row: results.append(row))
    world.run(until=14.0)
    assert isinstance(results[0][0], errors.QuorumUnavailableError)
    nodes["b"].start()
    world.run(until=20.0)
    assert nodes["c"].acceptor.votes
    assert ballots.unpack(nodes["c"].acceptor.get("spec").value)[1] >= 1


def test_accept_is_rejected_under_a_promise_lost_with_the_disk():
    """A promise given before the disk was lost names an incarnation that no longer exists."""
    acceptor = acceptors.Acceptor(incarnation="old")
    reply, _row = acceptor.prepare(messages.Prepare(1, "spec", Ballot(7, "x"), NO_BALLOT))
    assert reply.is_granted and reply.incarnation == "old"
    emptied = acceptors.Acceptor()
    emptied.catch_up(incarnation="new", states=((), ()))
    reply, row = emptied.accept(messages.Accept(1, "spec", Ballot(7, "x"), "old", 1, b"v"))
    assert not reply.is_granted and row is None
    assert emptied.get("spec").value == b""


@pytest.mark.parametrize("seed", range(8))
def test_core_set_moves_add_and_remove_one_node_at_a_time(seed):
    world, nodes = make_cluster(seed, members=("a", "b", "c", "d"))
    ends = []

    def end(*row):
        ends.append(row)

    nodes["a"].proposer.change(name="spec", edit=lambda payload: (1, None), done=end)
    world.run(until=4.0)
    nodes["a"].proposer.change(
        name="spec", edit=lambda payload: (payload, None), done=end, next_set=("a", "b", "c", "d")
    )
    world.run(until=8.0)
    nodes["c"].stop()
    nodes["b"].proposer.change(name="spec", edit=lambda payload: (payload, None), done=end, next_set=("a", "b", "d"))
    world.run(until=12.0)
    nodes["d"].proposer.change(name="spec", edit=lambda payload: (payload + 1, None), done=end)
    world.run(until=16.0)
    nodes["c"].start()
    stale = []
    nodes["c"].proposer.read(name="spec", done=lambda *row: stale.append(row))
    world.run(until=22.0)
    assert [row[0] for row in ends] == [None] * 4
    assert stale[0][0] is None and stale[0][2] == 2


def _row(number):
    return messages.RegisterRow("spec", Ballot(number, "a"), Ballot(number, "a"), number, b"v%d" % number)


def _disk_with_records(count):
    disk = simulated_world.Disk()
    store = acceptor_storage.AcceptorStorage(disk=disk, limit_bytes=10**6)
    store.write(rows=(), image=acceptor_storage.AcceptorImage(incarnation="i1", first_set=MEMBERS))
    for number in range(1, count + 1):
        row = _row(number)
        store.write(rows=(row,), image=acceptor_storage.AcceptorImage(incarnation="i1", first_set=MEMBERS, rows=(row,)))
    return disk


@pytest.mark.parametrize("cut", range(1, 12))
def test_torn_tail_is_truncated_at_the_last_good_record(cut):
    disk = _disk_with_records(4)
    disk.tear(name=acceptor_storage.FILE_NAME, keep=len(disk.files[acceptor_storage.FILE_NAME]) - cut)
    image = acceptor_storage.AcceptorStorage(disk=disk, limit_bytes=10**6).load()
    assert image == acceptor_storage.AcceptorImage(incarnation="i1", first_set=MEMBERS, rows=(_row(3),))


def test_corruption_before_the_last_record_raises_storage_error():
    disk = _disk_with_records(4)
    data = bytearray(disk.files[acceptor_storage.FILE_NAME])
    data[30] ^= 0xFF
    disk.files[acceptor_storage.FILE_NAME] = bytes(data)
    with pytest.raises(errors.StorageError):
        acceptor_storage.AcceptorStorage(disk=disk, limit_bytes=10**6).load()


def test_log_file_above_its_limit_is_rewritten_without_losing_state():
    disk = simulated_world.Disk()
    store = acceptor_storage.AcceptorStorage(disk=disk, limit_bytes=500)
    row = messages.RegisterRow("spec", Ballot(1, "a"), Ballot(1, "a"), 1, b"x" * 90)
    image = acceptor_storage.AcceptorImage(incarnation="i1", rows=(row,))
    store.write(rows=(), image=image)
    for _ in range(30):
        store.write(rows=(row,), image=image)
    assert len(disk.files[acceptor_storage.FILE_NAME]) < 1200
    assert acceptor_storage.AcceptorStorage(disk=disk, limit_bytes=500).load() == image


def test_change_fails_when_a_majority_of_disks_refuses_writes():
    world, nodes = make_cluster(1)
    nodes["b"].disk.is_refusing = nodes["c"].disk.is_refusing = True
    results = []
    nodes["a"].proposer.change(name="spec", edit=lambda payload: (1, None), done=lambda *row: results.append(row))
    world.run(until=8.0)
    assert isinstance(results[0][0], errors.QuorumUnavailableError)

"""Tests that disk faults lose no acknowledged change: seeded histories on simulated files (docs/register.md 3)."""

import logging

import pytest

from ploverward.common.identifiers import NO_BALLOT
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import disk as disks
from ploverward.control_plane.consensus import log_records
from ploverward.control_plane.consensus import write_ahead_log
from ploverward.simulation import consensus_cluster
from ploverward.simulation import linearizability
from ploverward.simulation import register_node
from ploverward.transport import messages

SEEDS = ("a", "b", "c")
DISK_FAULTS = ("refuse", "full", "sync", "rename", "folder", "hang")
FAULT_KINDS = (*DISK_FAULTS, "kill", "power", "wipe", "all lose power", "all killed", "cut")
VALUE = ballots.pack(members=SEEDS, payload=1)
QUIET_START_S = 45.0  # from here on there is no message loss, no new call and no new fault
END_S = 60.0


def prepare(number, ballot_number, by):
    return messages.Prepare(number, "spec", Ballot(ballot_number, by), NO_BALLOT)


def inject_fault(model):
    chance = model.world.chance
    kind = chance.choice(FAULT_KINDS)
    name = chance.choice(sorted(model.nodes))
    duration_s = chance.choice((0.2, 1.0, 4.0))
    if kind in DISK_FAULTS:
        model.inject_disk_fault(name, kind, duration_s=duration_s)
        if chance.random() < 0.5:  # a power loss during the fault
            model.world.later(
                duration_s * chance.random(), lambda: model.restart(name, restart_after_s=0.8, loses_power=True)
            )
    elif kind in ("kill", "power"):
        model.restart(name, restart_after_s=0.8, loses_power=kind == "power")
    elif kind == "wipe":
        model.wipe(name, restart_after_s=0.8)
    elif kind == "cut":
        for other in model.nodes:
            model.world.partitions |= {(name, other), (other, name)}
        model.world.later(duration_s, model.world.partitions.clear)
    else:
        for other in model.nodes:
            model.restart(other, restart_after_s=0.8, loses_power=kind == "all lose power")


def run_history(seed, *, others=(), node_type=consensus_node.ConsensusNode):
    """Runs calls, moves of the set and faults, then a read at each node without faults; returns the cluster."""
    model = consensus_cluster.ConsensusCluster(seed=seed, seeds=SEEDS, others=others, node_type=node_type)
    chance = model.world.chance
    model.world.loss = chance.choice((0.0, 0.02, 0.05))
    names = sorted(model.nodes)

    def call():
        kind = chance.choice(("change", "change", "read"))
        to = tuple(sorted(chance.sample(names, 3))) if others and chance.random() < 0.1 else None
        model.call(chance.choice(names), kind="change" if to else kind, to=to)

    for step in range(150):
        model.world.later(2.0 + step * 0.28, call)
    for step in range(14):
        model.world.later(2.0 + step * 3.0 + chance.random(), lambda: inject_fault(model))
    model.world.run(until=QUIET_START_S)
    model.world.loss = 0.0
    model.world.run(until=QUIET_START_S + 6.0)
    for name in names:
        model.call(name, kind="read")
    model.world.run(until=END_S)
    return model


def assert_nothing_lost(model, *, min_completed=20):
    assert model.lost == []
    assert linearizability.faults(history=model.history) == []
    assert sum(1 for call in model.history if call["ended"] is not None) >= min_completed
    final_reads = [call for call in model.history if call["begun"] >= QUIET_START_S + 6.0]
    assert final_reads and all(call["ended"] is not None for call in final_reads)
    assert all(node.votes for node in model.nodes.values())


@pytest.mark.parametrize("seed", range(12))
def test_disk_faults_lose_no_acknowledged_change(seed):
    assert_nothing_lost(run_history(seed))


@pytest.mark.parametrize("seed", range(12))
def test_disk_faults_lose_no_acknowledged_change_while_the_set_moves(seed):
    assert_nothing_lost(run_history(seed, others=("d", "e")))


@pytest.mark.parametrize("kind", ["full", "refuse", "sync", "rename", "folder"])
def test_node_with_long_disk_failure_stops_voting_and_rejoins(kind, caplog):
    caplog.set_level(logging.INFO, logger="ploverward")
    model = consensus_cluster.ConsensusCluster(seed=7, seeds=SEEDS)
    model.world.run(until=1.0)
    model.inject_disk_fault("a", kind, duration_s=20.0)
    for step in range(40):
        model.world.later(step * 0.5, lambda: model.call(model.world.chance.choice("bc"), kind="change"))
    model.world.run(until=20.0)
    assert not model.nodes["a"].voting.is_voter and model.nodes["b"].voting.is_voter
    ended = [call for call in model.history if call["ended"] is not None]
    assert len(ended) >= 38 and max(call["ended"] - call["begun"] for call in ended) < 1.5
    assert len(model.nodes["a"].voting.write_ahead_log._waiting) <= 2
    model.world.run(until=24.0)
    assert model.nodes["a"].voting.is_voter
    events = [record for record in caplog.records if record.message.startswith("disk_write_")]
    assert [record.message for record in events] == ["disk_write_failed", "disk_write_recovered"]
    assert 5.0 < events[1].failing_s < 24.0  # some faults only affect a rewrite of the file
    model.restart("b", restart_after_s=90.0)  # a majority needs a from here on
    model.call("c", kind="change")
    model.call("a", kind="read")
    model.world.run(until=30.0)
    assert all(call["ended"] is not None for call in model.history[-2:])
    assert model.lost == [] and linearizability.faults(history=model.history) == []


def test_catch_up_finishes_once_a_refusing_disk_recovers():
    model = consensus_cluster.ConsensusCluster(seed=9, seeds=SEEDS)
    model.call("a", kind="change")
    model.world.run(until=2.0)
    model.restart("c", restart_after_s=0.5, is_wiped=True)
    model.inject_disk_fault("c", "refuse", duration_s=4.0)
    model.world.run(until=5.0)
    node = model.nodes["c"]
    assert node.voting.acceptor.votes and not node.votes and node.voting.proposer.is_learner
    model.world.run(until=8.0)
    assert node.votes and model.lost == []


def test_replies_waiting_for_a_hanging_disk_are_bounded():
    model = consensus_cluster.ConsensusCluster(seed=8, seeds=SEEDS)
    model.world.run(until=1.0)
    node, connection = model.nodes["a"], RecordingConnection()
    model.inject_disk_fault("a", "hang", duration_s=30.0)
    for number in range(1, 400):
        for member in "bc":
            node.voting.handle(member, connection, prepare(number, number, member))
    assert len(node.voting.write_ahead_log._waiting) == 2 and connection.sent == []
    model.world.run(until=2.5)  # longer than any attempt waits: the node grants no request from here on
    node.voting.handle("b", connection, prepare(400, 400, "b"))
    assert connection.sent[-1].is_granted is False and node.voting.acceptor.get("spec").promised == (399, "c")
    model.world.run(until=35.0)
    assert [message.is_granted for message in connection.sent[1:]] == [True, True]
    assert model.lost == []


# Seeded bugs: earlier behaviour of the code, which the checks above have to detect.


def any_history_is_faulty(seeds, *, others=(), node_type=consensus_node.ConsensusNode):
    """Returns whether the history of any of these seeds loses an acknowledged change or is not linearizable."""
    models = (run_history(seed, others=others, node_type=node_type) for seed in seeds)
    return any(model.lost or linearizability.faults(history=model.history) for model in models)


class NodeReadingFromMemory(consensus_node.ConsensusNode):
    """Seeded bug: answers quorum reads from memory while no write is in progress."""

    def handle(self, member, link, message):
        if isinstance(message, messages.QuorumRead) and self.write_ahead_log._writing_since is None:
            self._reply(member, link, self.acceptor.quorum_read(message))
            return True
        return super().handle(member, link, message)


def test_history_check_detects_quorum_reads_from_memory():
    assert any_history_is_faulty(range(6), node_type=NodeReadingFromMemory)


class NodeSendingRowsFromMemory(consensus_node.ConsensusNode):
    """Seeded bug: sends rows from memory to a learner."""

    def _handle_catch_up_request(self, member, link, request):
        self.write_ahead_log.durable = self.acceptor
        super()._handle_catch_up_request(member, link, request)


class RecordingConnection:
    """Records the messages that are sent over it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def _node_after_failed_write(node_type=consensus_node.ConsensusNode):
    """Lets a node accept (5, x) in memory while its disk refuses writes, then sends it two requests.

    Returns:
        The node, its connection, and its replies to a quorum read and to a learner's first request, by type.
    """
    model = consensus_cluster.ConsensusCluster(seed=1, seeds=SEEDS, node_type=node_type)
    model.world.run(until=1.0)
    node, connection = model.nodes["b"], RecordingConnection()
    node.files.faults.add("refuse")
    node.voting.handle("a", connection, prepare(1, 5, "x"))
    node.voting.handle(
        "a", connection, messages.Accept(2, "spec", Ballot(5, "x"), node.voting.acceptor.incarnation, 1, VALUE)
    )
    model.world.run(until=1.1)
    assert node.voting.acceptor.get("spec").accepted == (5, "x") and connection.sent == []
    node.voting.handle("a", connection, messages.QuorumRead(3, "spec", NO_BALLOT))
    node.voting.handle("c", connection, messages.CatchUpRequest(1, ()))
    return node, connection, {type(message): message for message in connection.sent}


def test_state_of_a_failed_write_is_not_sent():
    node, connection, sent = _node_after_failed_write()
    assert register_node.claims(sent[messages.QuorumReadReply]) == [("spec", (0, ""), (0, ""))]
    assert register_node.claims(sent[messages.CatchUpReply]) == []
    assert node.voting.minimum_versions()[0] == ("spec", 0)
    # While the disk refuses writes, the node grants no request and its state does not change.
    node.voting.handle("a", connection, prepare(4, 9, "x"))
    assert connection.sent[-1].is_granted is False and node.voting.acceptor.get("spec").promised == (5, "x")
    # Once a write has succeeded, the accepted value is sent.
    node.files.faults.clear()
    node.world.run(until=3.0)
    node.voting.handle("a", connection, messages.QuorumRead(5, "spec", NO_BALLOT))
    assert register_node.claims(connection.sent[-1])[0][2] >= (5, "x") and connection.sent[-1][5:] == (1, VALUE)


def test_catch_up_rows_from_memory_are_detected():
    _node, _connection, sent = _node_after_failed_write(NodeSendingRowsFromMemory)
    assert register_node.claims(sent[messages.CatchUpReply]) == [("spec", (5, "x"), (5, "x"))]


def test_history_check_detects_an_append_after_a_failed_sync(monkeypatch):
    write = acceptor_storage.AcceptorStorage.write

    def faulty_write(self, *, rows, image):
        """Seeded bug: treats a failed append as written, as a program does that only calls fsync again."""
        is_append, size = not self._needs_rewrite, self._size
        try:
            write(self, rows=rows, image=image)
        except OSError:
            if is_append:
                self._size = size + len(log_records.pack_rows(rows))
                self._needs_rewrite = False
            raise

    monkeypatch.setattr(acceptor_storage.AcceptorStorage, "write", faulty_write)
    assert any_history_is_faulty(range(6))


def test_history_check_detects_trust_in_an_unsynced_file(monkeypatch):
    load = acceptor_storage.AcceptorStorage.load

    def faulty_load(self):
        image = load(self)
        data = self._disk.read(name=acceptor_storage.FILE_NAME)
        if data is not None and image.incarnation:
            self._size = len(data)
            self._needs_rewrite = False
        return image

    begin = write_ahead_log.WriteAheadLog.begin

    def faulty_begin(self, *, acceptor, first_set, on_durable=None):
        begin(self, acceptor=acceptor, first_set=first_set, on_durable=on_durable)
        self._durable_change = self._newest_change
        self.durable = acceptors.Acceptor(incarnation=acceptor.incarnation, rows=acceptor.rows())

    monkeypatch.setattr(acceptor_storage.AcceptorStorage, "load", faulty_load)
    monkeypatch.setattr(write_ahead_log.WriteAheadLog, "begin", faulty_begin)
    assert any_history_is_faulty(range(12, 24))


def test_history_check_detects_a_rename_without_folder_sync(monkeypatch):
    monkeypatch.setattr(disks.Disk, "_sync_folder", lambda self: None)
    assert any_history_is_faulty(range(12))


def test_history_check_detects_replies_before_the_write(monkeypatch):
    monkeypatch.setattr(
        write_ahead_log.WriteAheadLog, "when_durable", lambda self, *, key, callback: (callback(), self._write())
    )
    assert any_history_is_faulty(range(3))

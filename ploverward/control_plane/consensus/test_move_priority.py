"""Priority of moves of the core set over waiting proposals, at their own node and at others (docs/set-moves.md 9)."""

import pytest

from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.simulation import consensus_cluster
from ploverward.simulation import linearizability
from ploverward.simulation import register_node

SEEDS = ("a", "b", "c")
MOVED = ("b", "c", "d")
NAME = consensus_cluster.NAME
MOVE_LIMIT_S = 0.5 * register_node.RECEIPT_S
SETTLED_AT_S = 3.0


def settled(*, seed: int) -> consensus_cluster.ConsensusCluster:
    """Returns a cluster of voters with a value in each register, and node d outside of the core set."""
    model = consensus_cluster.ConsensusCluster(seed=seed, seeds=SEEDS, others=("d",))
    for name in register_names.REGISTERS:
        model.nodes["a"].voting.proposer.change(name=name, edit=lambda _payload: (1, None), done=lambda *_row: None)
    model.world.run(until=SETTLED_AT_S)
    return model


def begin_move(model, name, to, *, ends):
    """Starts to move all registers; (register, error, time) of each is appended to `ends` at its end."""
    for register in register_names.REGISTERS:

        def done(error, _revision, _payload, _result, register=register):
            ends.append((register, error, model.world.now()))

        model.nodes[name].voting.proposer.change(name=register, edit=None, done=done, next_set=to)


def test_move_is_queued_before_waiting_changes_of_its_node():
    model = settled(seed=2)
    ended = []
    proposer = model.nodes["a"].voting.proposer
    for number in range(10):
        proposer.change(
            name=NAME,
            edit=lambda payload: (payload + 1, None),
            done=lambda *_row, number=number: ended.append(number),
        )
    proposer.change(
        name=NAME, edit=lambda payload: (payload, None), done=lambda *_row: ended.append("move"), next_set=MOVED
    )
    model.world.run(until=SETTLED_AT_S + 10.0)
    assert ended == [0, "move", *range(1, 10)]


def test_move_displaces_a_change_that_is_backing_off():
    """The change was rejected by a higher ballot and waits for its next attempt."""
    model = settled(seed=3)
    ended = []
    proposer = model.nodes["a"].voting.proposer
    proposer.change(name=NAME, edit=lambda payload: (payload + 1, None), done=lambda *_row: ended.append("order"))
    order = proposer._queues.proposals_for(NAME)[0]
    proposer._back_off(order)
    assert proposer._queues.proposals_for(NAME)[0] is order
    proposer.change(
        name=NAME, edit=lambda payload: (payload, None), done=lambda *_row: ended.append("move"), next_set=MOVED
    )
    assert proposer._queues.proposals_for(NAME)[0].is_move and proposer._queues.proposals_for(NAME)[1] is order
    model.world.run(until=SETTLED_AT_S + 5.0)
    assert ended == ["move", "order"]


def test_change_that_failed_an_attempt_is_requeued_behind_a_waiting_move():
    model = settled(seed=4)
    ended = []
    proposer = model.nodes["a"].voting.proposer
    proposer.change(name=NAME, edit=lambda payload: (payload + 1, None), done=lambda *_row: ended.append("order"))
    order = proposer._queues.proposals_for(NAME)[0]
    proposer.change(
        name=NAME, edit=lambda payload: (payload, None), done=lambda *_row: ended.append("move"), next_set=MOVED
    )
    assert proposer._queues.proposals_for(NAME)[0] is order
    proposer._back_off(order)
    model.world.run(until=SETTLED_AT_S + 5.0)
    assert ended == ["move", "order"]


def test_move_chosen_after_its_deadline_still_removes_the_previous_set():
    """All other nodes wait for the attempt that removes the previous set, so it is made even after the deadline."""
    model = settled(seed=6)
    node = model.nodes["b"].voting
    ends = []

    def done(error, _revision, _payload, _result):
        ends.append((error, ballots.member_sets(node.acceptor.get(NAME).value)))

    node.proposer.change(name=NAME, edit=None, done=done, next_set=MOVED)
    node.proposer._queues.proposals_for(NAME)[0].deadline = model.world.now()
    model.world.run(until=SETTLED_AT_S + 2.0)
    assert ends == [(None, (MOVED,))]


def test_change_of_another_node_yields_to_a_move_for_the_time_of_two_attempts():
    """Node b knows that the core set moved, while the register that it changes still has the previous set."""
    model = settled(seed=5)
    proposer = model.nodes["b"].voting.proposer
    core_set = model.nodes["b"].voting.write_ahead_log.durable.get(register_names.CORE_SET)
    moved = ballots.pack(members=MOVED, payload=1, previous=())
    proposer.known_sets.learn_chosen(register=register_names.CORE_SET, revision=core_set.revision + 1, value=moved)
    ended = []
    proposer.change(
        name=NAME, edit=lambda payload: (payload + 1, None), done=lambda *row: ended.append((row[0], model.world.now()))
    )
    model.world.run(until=SETTLED_AT_S + 0.95)
    assert not ended
    model.world.run(until=SETTLED_AT_S + 2.0)
    assert len(ended) == 1 and ended[0][0] is None and ended[0][1] >= SETTLED_AT_S + 1.0


@pytest.mark.parametrize("seed", range(12))
def test_move_finishes_in_time_while_all_nodes_make_changes(seed):
    model = settled(seed=seed)
    model.world.loss = 0.02

    def order(name):
        model.call(name, kind="change")
        if model.world.now() < SETTLED_AT_S + 8.0:
            model.world.later(0.05 + 0.1 * model.world.chance.random(), lambda: order(name))

    for name in SEEDS:
        for _operator in range(2):
            order(name)
    ends = []
    begun_at = SETTLED_AT_S + 2.0
    model.world.later(2.0, lambda: begin_move(model, "a", MOVED, ends=ends))
    model.world.run(until=SETTLED_AT_S + 20.0)
    assert [error for _register, error, _at in ends] == [None] * len(register_names.REGISTERS)
    known = model.nodes["a"].voting.proposer
    assert all(known.members(register) == MOVED for register in register_names.REGISTERS)
    assert max(at for _register, _error, at in ends) - begun_at < MOVE_LIMIT_S
    assert linearizability.faults(history=model.history) == []


def test_node_runs_one_repair_of_a_register_at_a_time():
    model = settled(seed=1)
    node = model.nodes["a"].voting
    for name in ("duty", "duty", "cores", "duty"):
        node.repair(name)
    waiting = {name: len(node.proposer._queues.proposals_for(name)) for name in ("duty", "cores")}
    assert waiting == {"duty": 1, "cores": 1}
    model.world.run(until=2 * SETTLED_AT_S)
    assert not node.proposer._queues.proposals_for("duty")
    node.repair("duty")
    assert len(node.proposer._queues.proposals_for("duty")) == 1

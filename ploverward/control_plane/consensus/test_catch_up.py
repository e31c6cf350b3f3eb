"""Tests of founding the first set, catch-up of learners, and moves of the core set (docs/register.md 2, 4)."""

import pytest

from ploverward.common import errors
from ploverward.common.identifiers import NO_BALLOT
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import acceptor
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import catch_up as catch_ups
from ploverward.control_plane.consensus import proposer
from ploverward.control_plane.consensus import register_names
from ploverward.simulation import consensus_cluster
from ploverward.simulation import linearizability
from ploverward.simulation import register_node
from ploverward.transport import messages

SEEDS = ("a", "b", "c")
MOVED = ("b", "c", "d")
REGISTER = register_names.CONFIGURATION


def model_with_chosen_values(*, others=(), seed=1):
    """Returns a cluster of three voters and `others`, with one chosen value in each register."""
    model = consensus_cluster.ConsensusCluster(seed=seed, seeds=SEEDS, others=others)
    for name in register_names.REGISTERS:
        model.nodes["a"].voting.proposer.change(name=name, edit=lambda _payload: (1, None), done=lambda *_row: None)
    model.world.run(until=3.0)
    return model


def move_set(model, name, to, *, until):
    """Moves all registers to another set, as the coordinator does, and checks that every move succeeded."""
    results = []
    for register in register_names.REGISTERS:
        model.nodes[name].voting.proposer.change(
            name=register, edit=lambda payload: (payload, None), done=lambda *row: results.append(row[0]), next_set=to
        )
    model.world.run(until=until)
    assert results == [None] * len(register_names.REGISTERS)


def make_rows(members, *, ballot=(1, "x"), previous=()):
    value = ballots.pack(members=members, payload=1, previous=previous)
    ballot = Ballot(*ballot)
    return tuple(messages.RegisterRow(name, ballot, ballot, 1, value) for name in register_names.REGISTERS)


# Founding the first set.


def test_restart_before_any_chosen_value_keeps_the_first_set():
    model = consensus_cluster.ConsensusCluster(seed=2, seeds=SEEDS)
    model.world.run(until=0.5)
    for node in model.nodes.values():
        node.stop(loses_power=True)
        node._seeds = ("x", "y", "z")  # the settings name other machines by now
        node.start()
    model.call("a", kind="change")
    model.world.run(until=4.0)
    assert model.history[-1]["ended"] is not None
    assert all(node.voting.proposer.known_sets.seeds == SEEDS for node in model.nodes.values())


def test_first_start_setting_is_ignored_when_the_disk_has_an_identity():
    model = model_with_chosen_values()
    node = model.nodes["a"]
    incarnation = node.voting.acceptor.incarnation
    node.stop()
    node._seeds = ("x", "y", "z")
    node.start(is_first_start=True)
    assert node.voting.acceptor.incarnation == incarnation and node.voting.proposer.known_sets.seeds == SEEDS
    model.call("a", kind="change")  # appends a record; without one after it, a damaged record looks like a torn tail
    model.world.run(until=model.world.now() + 4.0)
    node.stop()
    path, data = next(iter(node.files._names.items()))
    data.data[20] ^= 0xFF
    assert path.endswith(acceptor_storage.FILE_NAME)
    node.start(is_first_start=True)
    assert node.voting.is_damaged and not node.voting.acceptor.votes and node.voting.proposer.is_learner


def first_start_model(*, names=SEEDS, seed=5):
    """Returns nodes with empty disks whose settings say that this is the first start; only those in `names` run."""
    model = consensus_cluster.ConsensusCluster(seed=seed, seeds=SEEDS)
    for name, node in model.nodes.items():
        node.stop(is_wiped=True)
        if name in names:
            node.start(is_first_start=True)
    return model


@pytest.mark.parametrize("seed", range(8))
def test_seeds_with_empty_disks_found_the_first_set(seed):
    model = first_start_model(seed=seed)
    assert not any(node.votes for node in model.nodes.values())
    model.world.run(until=1.5)
    assert all(node.votes for node in model.nodes.values())
    assert {node.voting.proposer.known_sets.seeds for node in model.nodes.values()} == {SEEDS}
    model.call("a", kind="change")
    model.world.run(until=3.0)
    assert model.history[-1]["ended"] is not None


def test_founding_waits_for_a_missing_seed_and_logs_who_answered(caplog):
    model = first_start_model(names="ab")
    model.world.run(until=2 * register_node.CONTACT_S)
    assert not any(model.nodes[name].votes for name in "ab")
    waits = [record for record in caplog.records if record.message == "founding_waits"]
    assert waits and {(*record.seeds, *record.answered) for record in waits} == {(*SEEDS, "a"), (*SEEDS, "b")}
    model.nodes["c"].start(is_first_start=True)
    model.world.run(until=2 * register_node.CONTACT_S + 2.0)
    assert all(node.votes for node in model.nodes.values())


def test_single_seed_founds_its_set_immediately():
    model = consensus_cluster.ConsensusCluster(seed=4, seeds=("a",))
    model.nodes["a"].stop(is_wiped=True)
    model.nodes["a"].start(is_first_start=True)
    model.world.run(until=0.1)
    assert model.nodes["a"].votes


@pytest.mark.parametrize("others", ["cut off", "one wiped", "down"])
def test_wiped_member_does_not_found_a_set_despite_first_start_setting(others):
    model = model_with_chosen_values()
    model.call("b", kind="change")
    model.world.run(until=4.0)
    a = model.nodes["a"]
    a.stop(is_wiped=True)
    if others == "cut off":
        model.world.partitions |= {("a", "b"), ("b", "a"), ("a", "c"), ("c", "a")}
    elif others == "one wiped":
        model.nodes["b"].stop(is_wiped=True)
        model.nodes["b"].start(is_first_start=True)
        model.nodes["c"].stop()
    else:
        model.nodes["b"].stop()
        model.nodes["c"].stop()
    a.start(is_first_start=True)
    model.world.run(until=20.0)
    assert not a.votes and not a.voting.acceptor.votes
    assert not model.nodes["b"].votes or others == "cut off"


def test_wiped_member_with_first_start_setting_catches_up_from_the_others():
    model = model_with_chosen_values()
    model.nodes["a"].stop(is_wiped=True)
    model.nodes["a"].start(is_first_start=True)
    model.world.run(until=8.0)
    node = model.nodes["a"]
    assert node.votes
    assert all(node.voting.write_ahead_log.durable.get(name).revision >= 1 for name in register_names.REGISTERS)


def test_wiped_former_members_do_not_found_the_moved_set_again():
    model = model_with_chosen_values(others=("d", "e", "f"))
    move_set(model, "a", ("d", "e", "f"), until=8.0)
    for name in "abc":
        model.nodes[name].stop(is_wiped=name != "c")
    for name in "ab":
        model.nodes[name].start(is_first_start=True)
    for former in "ab":
        for current in "def":
            model.world.partitions |= {(former, current), (current, former)}
    model.world.run(until=20.0)
    assert not model.nodes["a"].votes and not model.nodes["b"].votes


def test_member_wiped_before_any_chosen_value_catches_up():
    model = consensus_cluster.ConsensusCluster(seed=3, seeds=SEEDS)
    model.world.run(until=0.2)
    model.restart("a", restart_after_s=0.8, is_wiped=True)
    model.world.run(until=4.0)
    node = model.nodes["a"]
    assert node.votes and node.voting.proposer.known_sets.seeds == SEEDS


def test_newcomer_does_not_read_an_empty_register_from_lagging_seeds():
    """Only voters of the newest set count for a new node, even if all its seeds were added later and lag behind."""
    model = model_with_chosen_values(others=("d", "e", "f"))
    for late in "def":
        model.world.partitions |= {(late, other) for other in model.nodes} | {(other, late) for other in model.nodes}
    newcomer = register_node.Node(
        world=model.world, name="g", nodes=model.nodes, seeds=("d", "e", "f"), has_identity=False
    )
    model.nodes["g"] = newcomer
    results = []
    newcomer.voting.proposer.read(name=REGISTER, done=lambda *row: results.append(row))
    model.world.partitions |= {(old, "g") for old in "abc"} | {("g", old) for old in "abc"}
    model.world.partitions -= {(late, "g") for late in "def"} | {("g", late) for late in "def"}
    model.world.run(until=9.0)
    assert isinstance(results[0][0], errors.QuorumUnavailableError) and newcomer.voting.proposer.is_learner
    model.world.partitions.clear()
    model.world.run(until=14.0)
    assert newcomer.votes
    newcomer.voting.proposer.read(name=REGISTER, done=lambda *row: results.append(row))
    model.world.run(until=18.0)
    assert results[1][0] is None and results[1][2] == 1


def test_learner_does_not_propose_vote_or_answer_reads():
    model = model_with_chosen_values()
    model.nodes["c"].stop(is_wiped=True)
    model.nodes["b"].stop()
    model.nodes["c"].start()
    model.world.run(until=8.0)
    node = model.nodes["c"]
    results = []
    node.voting.proposer.change(name=REGISTER, edit=lambda payload: (2, None), done=lambda *row: results.append(row))
    node.voting.proposer.read(name=REGISTER, done=lambda *row: results.append(row))
    model.world.run(until=8.1)  # the calls fail immediately, without waiting for the time limit of a proposal
    assert [type(row[0]) for row in results] == [errors.QuorumUnavailableError] * 2
    prepare = messages.Prepare(1, REGISTER, Ballot(99, "x"), NO_BALLOT)
    durable = node.voting.write_ahead_log.durable
    assert durable.quorum_read(messages.QuorumRead(1, REGISTER, NO_BALLOT)).is_voter is False
    assert node.voting.acceptor.prepare(prepare).reply.is_granted is False
    assert node.voting.acceptor.rows() == ()
    model.nodes["b"].start()
    model.world.run(until=12.0)
    assert node.votes and durable is not node.voting.write_ahead_log.durable
    assert all(node.voting.write_ahead_log.durable.get(name).revision >= 1 for name in register_names.REGISTERS)


# The number of replies that a catch-up needs.


def handle_replies(catch_up, replies, *, first_set=SEEDS):
    for member, rows in replies.items():
        catch_up.handle(member=member, number=catch_up.request().number, first_set=first_set, rows=rows)
    return catch_up.stage


@pytest.mark.parametrize(
    ("own", "members", "count"),
    [("a", "abc", 2), ("a", "ab", 1), ("a", "abcde", 3), ("a", "abcdefg", 4), ("x", "abc", 2), ("x", "abcde", 3)],
)
def test_required_number_of_replies_per_set_size(own, members, count):
    members = tuple(members)
    others = [member for member in members if member != own]
    catch_up = catch_ups.LearnerCatchUp(own=own, registers=register_names.REGISTERS)
    rows = make_rows(members)
    assert handle_replies(catch_up, dict.fromkeys(others[: count - 1], rows)) == catch_ups.Stage.COLLECT
    assert handle_replies(catch_up, {others[count - 1]: rows}) == catch_ups.Stage.FENCE
    assert all(number == 2 for number, _proposer in catch_up.fences.values())
    assert handle_replies(catch_up, dict.fromkeys(others[: count - 1], rows)) == catch_ups.Stage.FENCE
    assert handle_replies(catch_up, {others[-1]: rows}) == catch_ups.Stage.DONE


def handle_replies_without_identity(catch_up, members, *, founding_set=SEEDS):
    for member in members:
        number = catch_up.request().number
        catch_up.handle_without_identity(member=member, number=number, founding_set=founding_set)
    return catch_up.stage


def test_founding_seeds_without_identity_count_and_skip_the_fence_stage():
    catch_up = catch_ups.LearnerCatchUp(own="a", registers=register_names.REGISTERS, founding_set=SEEDS)
    assert handle_replies_without_identity(catch_up, "b") == catch_ups.Stage.COLLECT
    assert handle_replies_without_identity(catch_up, "d") == catch_ups.Stage.COLLECT  # d is not a seed
    assert handle_replies_without_identity(catch_up, "c", founding_set=("a", "c", "d")) == catch_ups.Stage.COLLECT
    assert handle_replies_without_identity(catch_up, "c") == catch_ups.Stage.DONE
    assert not catch_up.has_received_values


def test_seed_without_identity_counts_beside_a_voter_which_is_fenced():
    catch_up = catch_ups.LearnerCatchUp(own="a", registers=register_names.REGISTERS, founding_set=SEEDS)
    assert handle_replies_without_identity(catch_up, "b") == catch_ups.Stage.COLLECT
    assert handle_replies(catch_up, {"c": make_rows(SEEDS)}) == catch_ups.Stage.FENCE
    assert handle_replies(catch_up, {"c": make_rows(SEEDS)}) == catch_ups.Stage.FENCE
    assert handle_replies_without_identity(catch_up, "b") == catch_ups.Stage.DONE
    assert catch_up.has_received_values


def test_seed_without_identity_does_not_count_after_the_set_moved():
    """With two of five members wiped, the other three all have to reply in both stages.

    The two wiped seeds must not count for each other after the set has moved (docs/incidents/two-emptied-seeds.md).
    """
    members = tuple("abcde")
    catch_up = catch_ups.LearnerCatchUp(own="a", registers=register_names.REGISTERS, founding_set=SEEDS)
    rows = make_rows(members)
    assert handle_replies_without_identity(catch_up, "b") == catch_ups.Stage.COLLECT
    assert handle_replies(catch_up, {"c": rows, "d": rows}) == catch_ups.Stage.COLLECT
    assert handle_replies(catch_up, {"e": rows}) == catch_ups.Stage.FENCE
    assert handle_replies_without_identity(catch_up, "b") == catch_ups.Stage.FENCE
    assert handle_replies(catch_up, {"c": rows, "d": rows}) == catch_ups.Stage.FENCE
    assert handle_replies(catch_up, {"e": rows}) == catch_ups.Stage.DONE


def test_seed_without_identity_does_not_count_when_only_one_register_moved():
    """One register has moved to five members; the others were never written and are still under the first set."""
    members = tuple("abcde")
    catch_up = catch_ups.LearnerCatchUp(own="a", registers=register_names.REGISTERS, founding_set=SEEDS)
    row = make_rows(members)[:1]
    assert handle_replies_without_identity(catch_up, "b") == catch_ups.Stage.COLLECT
    assert handle_replies(catch_up, {"c": row, "d": row, "e": row}) == catch_ups.Stage.COLLECT
    assert handle_replies(catch_up, {"b": row}) == catch_ups.Stage.FENCE


def test_learner_without_founding_set_ignores_nodes_without_identity():
    catch_up = catch_ups.LearnerCatchUp(own="a", registers=register_names.REGISTERS)
    assert handle_replies_without_identity(catch_up, "bc") == catch_ups.Stage.COLLECT and not catch_up.replies


def test_evicted_member_does_not_count_for_the_newest_set():
    catch_up = catch_ups.LearnerCatchUp(own="c", registers=register_names.REGISTERS)
    old, new = make_rows(SEEDS), make_rows(MOVED, ballot=(4, "y"))
    # a is not in the newest set, and c needs replies of both b and d.
    assert handle_replies(catch_up, {"a": old, "d": new}) == catch_ups.Stage.COLLECT
    assert handle_replies(catch_up, {"b": new}) == catch_ups.Stage.FENCE


def test_unfinished_move_needs_replies_from_both_sets():
    catch_up = catch_ups.LearnerCatchUp(own="b", registers=register_names.REGISTERS)
    new = ("b", "d", "e")
    unfinished = make_rows(new, ballot=(4, "y"), previous=SEEDS)
    assert handle_replies(catch_up, {"d": unfinished, "e": unfinished}) == catch_ups.Stage.COLLECT
    assert handle_replies(catch_up, {"a": make_rows(SEEDS)}) == catch_ups.Stage.COLLECT
    assert handle_replies(catch_up, {"c": make_rows(SEEDS)}) == catch_ups.Stage.FENCE


def test_catch_up_does_not_advance_without_a_known_set():
    catch_up = catch_ups.LearnerCatchUp(own="x", registers=register_names.REGISTERS)
    assert handle_replies(catch_up, {"a": (), "b": (), "c": ()}, first_set=()) == catch_ups.Stage.COLLECT


def test_catch_up_replies_omit_values_already_received():
    model = model_with_chosen_values()
    replies = []
    node = model.nodes["c"]
    check_acknowledged = node.check_acknowledged
    for name in "ab":
        model.nodes[name].check_acknowledged = lambda message: (replies.append(message), check_acknowledged(message))
    model.restart("c", restart_after_s=0.5, is_wiped=True)
    model.world.run(until=8.0)
    assert node.votes and all(node.voting.write_ahead_log.durable.get(name).value for name in register_names.REGISTERS)
    voter_replies = [message for message in replies if isinstance(message, messages.CatchUpReply) and message.is_voter]
    value_counts = [sum(1 for row in message.rows if row.value) for message in voter_replies]
    assert value_counts.count(len(register_names.REGISTERS)) <= 2 and 0 in value_counts


def test_omitted_value_is_filled_in_after_a_newer_value_was_received():
    catch_up = catch_ups.LearnerCatchUp(own="x", registers=("r",))
    old, new = (ballots.pack(members=SEEDS, payload=payload) for payload in (1, 2))
    old = messages.RegisterRow("r", Ballot(5, "p"), Ballot(5, "p"), 1, old)
    new = messages.RegisterRow("r", Ballot(9, "p"), Ballot(9, "p"), 2, new)
    catch_up.handle(member="a", number=1, first_set=SEEDS, rows=(old,))
    assert catch_up.request().fences == (("r", NO_BALLOT, (5, "p")),)
    catch_up.handle(member="d", number=1, first_set=SEEDS, rows=(new,))
    catch_up.handle(member="b", number=1, first_set=SEEDS, rows=(old._replace(value=b""),))
    assert catch_up.stage == catch_ups.Stage.FENCE
    assert catch_up.request().fences == (("r", (10, "x/refill"), (9, "p")),)
    catch_up.handle(member="b", number=2, first_set=SEEDS, rows=(old._replace(value=b""),))
    assert catch_up.replies["b"] == (old,)


def test_replies_to_an_earlier_request_are_ignored():
    catch_up = catch_ups.LearnerCatchUp(own="a", registers=register_names.REGISTERS)
    rows = make_rows(SEEDS)
    number = catch_up.request().number
    handle_replies(catch_up, {"b": rows, "c": rows})
    catch_up.handle(member="b", number=number, first_set=SEEDS, rows=rows)
    catch_up.handle(member="c", number=number, first_set=SEEDS, rows=rows)
    assert catch_up.stage == catch_ups.Stage.FENCE and catch_up.replies == {}


def test_accept_below_the_fence_is_rejected_after_catch_up():
    """The wiped node a may have accepted (50, x), so no node that took part in its catch-up may accept it later.

    c promised (50, x) and receives the accept request only after the catch-up of a.
    """
    model = model_with_chosen_values()
    a, b, c = (model.nodes[name] for name in "abc")
    link = RecordingConnection()
    c.voting.handle("b", link, messages.Prepare(1, REGISTER, Ballot(50, "x"), NO_BALLOT))
    model.world.run(until=3.2)
    incarnation = c.voting.acceptor.incarnation
    model.restart("a", restart_after_s=0.5, is_wiped=True)
    model.world.run(until=8.0)
    assert a.votes and b.votes
    c.voting.handle("b", link, messages.Accept(2, REGISTER, Ballot(50, "x"), incarnation, 9, make_rows(SEEDS)[0].value))
    model.world.run(until=8.2)
    assert [message.is_granted for message in link.sent] == [True, False]


class RecordingConnection:
    """Records the messages that are sent over it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


# Sets that were accepted but may never be chosen.


class ProposerHarness:
    """Runs one proposer against acceptors in memory; requests to members outside `reached` are lost."""

    def __init__(self, *, nodes, known, reached):
        self.nodes = nodes
        self.reached = reached
        self.queue = []
        self.chosen = []
        self.results = []
        self.proposer = proposer.Proposer(
            own="p",
            seeds=known,
            send=lambda member, message: self.queue.append((member, message)),
            later=lambda _delay, callback: None,
            now=lambda: 0.0,
            chance=lambda: 0.0,
            on_chosen=lambda name, ballot, rev, value, is_newly_chosen: self.chosen.append((rev, value)),
            limit_s=1.0,
            attempt_timeout_s=0.1,
        )

    def run(self):
        while self.queue:
            member, message = self.queue.pop(0)
            if member not in self.reached:
                continue
            node = self.nodes[member]
            if isinstance(message, messages.Prepare):
                self.proposer.handle_promise(member, node.prepare(message).reply)
            elif isinstance(message, messages.Accept):
                self.proposer.handle_accepted(member, node.accept(message).reply)
            else:
                self.proposer.handle_quorum_read_reply(member, node.quorum_read(message))


def make_acceptor(name, *rows):
    return acceptor.Acceptor(incarnation=f"{name}1", rows=rows)


def test_set_accepted_by_one_member_is_not_treated_as_chosen():
    """Only c accepted the move from abc to cde, so a proposer that finds it still needs a majority of abc."""
    first = messages.RegisterRow(REGISTER, Ballot(1, "x"), Ballot(1, "x"), 1, ballots.pack(members=SEEDS, payload=1))
    unfinished = messages.RegisterRow(
        REGISTER,
        Ballot(2, "y"),
        Ballot(2, "y"),
        2,
        ballots.pack(members=("c", "d", "e"), payload=2, previous=SEEDS, moved_at=2),
    )
    nodes = {name: make_acceptor(name, first) for name in "ab"} | {"c": make_acceptor("c", unfinished)}
    nodes |= {name: make_acceptor(name) for name in "de"}
    harness = ProposerHarness(nodes=nodes, known=SEEDS, reached={"c", "d", "e"})
    harness.proposer.known_sets.learn_accepted(register=REGISTER, value=unfinished.value)  # as a restart of c does
    harness.proposer.note_ballot_number(name=REGISTER, number=2)
    assert harness.proposer.members(REGISTER) == SEEDS
    harness.proposer.change(
        name=REGISTER, edit=lambda payload: (3, None), done=lambda *row: harness.results.append(row)
    )
    harness.run()
    assert harness.chosen == [] and harness.results == []


def test_returning_set_is_not_treated_as_chosen_from_its_earlier_term():
    """The set moves from abc to bcd, and only a and c have accepted the move back to abc.

    While bcd is in force, a proposer that knows abc as chosen from its earlier term must not read or write at a
    majority of abc alone. The model checker (ploverward/simulation/model_checker) found this fault.
    """
    there = messages.RegisterRow(REGISTER, Ballot(2, "x"), Ballot(2, "x"), 2, ballots.pack(members=MOVED, payload=2))
    back = messages.RegisterRow(
        REGISTER, Ballot(3, "y"), Ballot(3, "y"), 3, ballots.pack(members=SEEDS, payload=3, previous=MOVED, moved_at=3)
    )
    for kind in ("read", "change"):
        nodes = {name: make_acceptor(name, there) for name in "bd"} | {name: make_acceptor(name, back) for name in "ac"}
        harness = ProposerHarness(nodes=nodes, known=SEEDS, reached={"a", "c"})
        harness.proposer.note_ballot_number(name=REGISTER, number=3)
        harness.proposer.change(
            name=REGISTER,
            edit=(lambda payload: (9, None)) if kind == "change" else None,
            done=lambda *row, harness=harness: harness.results.append(row),
        )
        harness.run()
        assert harness.chosen == [] and harness.results == []


def test_finished_move_no_longer_needs_the_previous_set():
    model = model_with_chosen_values(others=("d", "e"))
    move_set(model, "a", ("c", "d", "e"), until=8.0)
    for name in "cde":
        for row in model.nodes[name].voting.write_ahead_log.durable.rows():
            assert ballots.member_sets(row.value) == (("c", "d", "e"),)
    for name in "ab":
        model.nodes[name].stop()
    for name in "cde":
        model.nodes[name].stop(loses_power=True)
        model.nodes[name].start()
    model.call("d", kind="change")
    model.world.run(until=12.0)
    assert model.history[-1]["ended"] is not None and model.history[-1]["made"] == 2


def test_unfinished_move_of_a_stopped_proposer_is_finished_by_another_node():
    model = model_with_chosen_values(others=("d",))
    row = messages.RegisterRow(
        REGISTER, Ballot(9, "x"), Ballot(9, "x"), 2, ballots.pack(members=MOVED, payload=1, previous=SEEDS, moved_at=2)
    )
    for name in "abcd":  # the move is chosen at all members; its proposer stops before it drops the previous set
        node = model.nodes[name]
        node.voting.acceptor.install(rows=[row])
        node.voting.write_ahead_log.append(row=row)
        node.voting.write_ahead_log.when_durable(key=("test", "", ""), callback=lambda: None)
    model.world.run(until=12.0)
    for name in MOVED:
        assert ballots.member_sets(model.nodes[name].voting.write_ahead_log.durable.get(REGISTER).value) == (MOVED,)


def test_second_move_is_written_after_the_first_is_chosen():
    first = messages.RegisterRow(REGISTER, Ballot(1, "x"), Ballot(1, "x"), 1, ballots.pack(members=SEEDS, payload=1))
    unfinished = messages.RegisterRow(
        REGISTER,
        Ballot(2, "y"),
        Ballot(2, "y"),
        2,
        ballots.pack(members=("c", "d", "e"), payload=2, previous=SEEDS, moved_at=2),
    )
    nodes = {name: make_acceptor(name, first) for name in "ab"} | {"c": make_acceptor("c", unfinished)}
    nodes |= {name: make_acceptor(name) for name in "defg"}
    harness = ProposerHarness(nodes=nodes, known=SEEDS, reached=set("bcdefg"))
    harness.proposer.note_ballot_number(name=REGISTER, number=2)
    harness.proposer.change(
        name=REGISTER,
        edit=lambda payload: (payload, None),
        done=lambda *row: harness.results.append(row),
        next_set=("e", "f", "g"),
    )
    harness.run()
    chosen_sets = [ballots.member_sets(value) for _rev, value in harness.chosen]
    assert chosen_sets == [(SEEDS, ("c", "d", "e")), (("c", "d", "e"), ("e", "f", "g")), (("e", "f", "g"),)]
    assert harness.results[0][0] is None


@pytest.mark.parametrize("seed", range(6))
def test_member_absent_over_many_moves_catches_up(seed):
    """A member of the first set returns, wiped or not, after the set moved repeatedly among seven nodes."""
    model = model_with_chosen_values(others=("d", "e", "f", "g"), seed=seed)
    chance = model.world.chance
    model.nodes["a"].stop(is_wiped=seed % 2 == 0)
    members, until = SEEDS, 3.0
    for _step in range(6):
        spare = sorted(set("bcdefg") - set(members))
        kept = [member for member in members if member != "a"]
        members = tuple(sorted([*kept[-2:], chance.choice(spare)]))
        until += 4.0
        move_set(model, chance.choice(kept[-2:]), members, until=until)
        model.call(chance.choice(members), kind="change")
    model.nodes["a"].start()
    model.world.run(until=until + 8.0)
    assert model.nodes["a"].votes
    model.call("a", kind="read")
    model.world.run(until=until + 12.0)
    assert model.history[-1]["ended"] is not None and linearizability.faults(history=model.history) == []
    assert model.history[-1]["saw"] == max(call["made"] for call in model.history if call.get("made"))
    assert model.lost == []

"""Pauses of rounds: they leave time for an attempt, and a queue behind them comes to an end."""

import pytest

from ploverward.common import identifiers
from ploverward.control_plane.consensus import attempt_pacing
from ploverward.control_plane.consensus import proposal
from ploverward.control_plane.consensus import proposer
from ploverward.transport import messages

TIMEOUT_S, LIMIT_S = 0.5, 2.5
SET = ("a", "b", "c")


class Time:
    """Time, and what is called later."""

    def __init__(self):
        self.now = 0.0
        self.calls = []

    def later(self, delay, callback):
        self.calls.append((self.now + delay, len(self.calls), callback))

    def run(self, until):
        while self.calls and min(row[0] for row in self.calls) <= until:
            call = min(self.calls, key=lambda row: row[:2])
            self.calls.remove(call)
            self.now = max(self.now, call[0])
            call[2]()
        self.now = until


class Scene:
    """A proposer whose acceptors never answer, and a move that is expected for ever."""

    def __init__(self, *, write_s=0.0, is_move_expected=True):
        self.time = Time()
        self.sent = []
        self.proposer = proposer.Proposer(
            own="a/1",
            seeds=SET,
            send=lambda member, message: self.sent.append((self.time.now, member, message)),
            later=self.time.later,
            now=lambda: self.time.now,
            chance=lambda: 0.5,
            on_chosen=lambda *_row: None,
            limit_s=LIMIT_S,
            attempt_timeout_s=TIMEOUT_S,
            average_write_s=lambda: write_s,
            is_move_expected=lambda _name: is_move_expected,
        )
        self.ended = []

    def change(self, name="duty", **options):
        number = len(self.ended)
        self.proposer.change(
            name=name,
            edit=lambda payload: (1, payload),
            done=lambda *row: self.ended.append((self.time.now, number)),
            **options,
        )

    def prepares(self):
        return [when for when, _member, message in self.sent if isinstance(message, messages.Prepare)]


def test_a_round_that_waits_behind_others_still_gets_an_attempt():
    scene = Scene()
    for second in range(12):  # one more round a second than the pauses let through
        scene.time.run(float(second))
        scene.change()
        scene.change()
    scene.time.run(20.0)
    assert len(scene.ended) == 24
    assert len({round(when, 3) for when in scene.prepares()}) >= 8


def test_a_round_whose_time_is_over_ends_without_a_pause():
    scene = Scene()
    for _number in range(10):
        scene.change()
    scene.time.run(LIMIT_S + 2 * TIMEOUT_S)
    assert len(scene.ended) == 10


def test_a_pause_leaves_time_for_one_attempt():
    scene = Scene()
    pacing = scene.proposer.pacing
    late = proposal.Proposal(
        number=1, register="duty", edit=None, done=lambda *_row: None, next_set=None, is_wanted=None, deadline=0.8
    )
    assert pacing.has_to_yield(late)
    assert late.yields_until == pytest.approx(0.8 - TIMEOUT_S)


def test_usual_disks_keep_the_usual_time_out_and_slow_ones_stretch_it_up_to_the_limit():
    def timeout_s(write_s):
        pacing = attempt_pacing.AttemptPacing(
            now=lambda: 0.0,
            attempt_timeout_s=TIMEOUT_S,
            limit_s=LIMIT_S,
            average_write_s=lambda: write_s,
            is_move_expected=None,
        )
        return pacing.timeout_s(), pacing.has_slow_disk()

    assert timeout_s(0.0) == timeout_s(0.1) == (TIMEOUT_S, False)
    assert timeout_s(0.2) == (pytest.approx(1.6), True)
    assert timeout_s(5.0) == (LIMIT_S, True)


def test_on_slow_disks_another_node_s_attempt_is_let_pass_until_its_value_is_chosen():
    scene = Scene(write_s=0.2, is_move_expected=False)
    pacing = scene.proposer.pacing
    waiting = proposal.Proposal(
        number=1, register="duty", edit=None, done=lambda *_row: None, next_set=None, is_wanted=None, deadline=9.0
    )
    assert not pacing.has_to_yield(waiting)
    pacing.note_other_attempt(name="duty")
    assert pacing.has_to_yield(waiting)
    pacing.note_chosen(name="duty")
    assert not pacing.has_to_yield(waiting)


def test_on_usual_disks_nobody_waits_for_another_node_s_attempt():
    scene = Scene(is_move_expected=False)
    scene.proposer.pacing.note_other_attempt(name="duty")
    scene.change()
    scene.time.run(0.0)
    assert scene.prepares()


def test_on_usual_disks_a_repair_waits_for_another_node_s_attempt_and_a_call_of_this_node_goes_first():
    scene = Scene(is_move_expected=False)
    scene.proposer.pacing.note_other_attempt(name="duty")
    scene.change(is_repair=True)
    scene.time.run(0.5 * TIMEOUT_S)
    assert not scene.prepares()
    scene.change()
    assert scene.prepares() == [0.5 * TIMEOUT_S] * len(SET)


def test_a_repair_goes_on_once_the_other_node_s_attempt_had_its_time():
    scene = Scene(is_move_expected=False)
    scene.proposer.pacing.note_other_attempt(name="duty")
    scene.change(is_repair=True)
    scene.time.run(1.1 * TIMEOUT_S)
    assert len(scene.prepares()) == len(SET)


def test_a_move_that_others_have_finished_is_not_finished_once_more():
    scene = Scene(is_move_expected=False)
    is_half_moved = [True, False]
    scene.proposer.finish_move(name="duty", is_wanted=lambda: is_half_moved.pop(0))
    scene.time.run(LIMIT_S)
    assert len(scene.prepares()) == len(SET) and not is_half_moved


def test_proposals_that_wait_stand_in_the_order_of_their_priorities():
    scene = Scene(is_move_expected=False)
    for options in ({}, {"is_repair": True}, {}, {"next_set": ("a", "b")}, {"is_repair": True}, {}):
        scene.change(**options)
    queue = scene.proposer._queues.of("duty")
    priorities = [waiting.priority.name for waiting in queue]
    assert priorities == ["CALL", "MOVE", "CALL", "CALL", "REPAIR", "REPAIR"]  # the first one is at work


def test_a_repair_that_fails_an_attempt_lets_the_call_behind_it_pass():
    scene = Scene(is_move_expected=False)
    scene.change(is_repair=True)
    scene.change()
    repair = scene.proposer._queues.of("duty")[0]
    assert repair.is_repair
    scene.proposer._back_off(repair)
    assert [waiting.is_repair for waiting in scene.proposer._queues.of("duty")] == [False, True]


def test_a_repair_makes_no_attempt_while_those_of_other_nodes_keep_coming():
    scene = Scene(is_move_expected=False)
    scene.change(is_repair=True, name="other")  # its own register is free
    scene.proposer.pacing.note_other_attempt(name="duty")
    scene.change(is_repair=True)
    for _attempt in range(6):
        scene.time.run(scene.time.now + 0.5 * TIMEOUT_S)
        scene.proposer.pacing.note_other_attempt(name="duty")
    assert not [m for _when, _member, m in scene.sent if isinstance(m, messages.Prepare) and m.register == "duty"]
    scene.time.run(2 * LIMIT_S)
    assert [m for _when, _member, m in scene.sent if isinstance(m, messages.Prepare) and m.register == "duty"]
    assert len(scene.ended) == 2


def test_reads_that_come_as_fast_as_they_end_do_not_keep_each_other_from_an_attempt():
    """Seed 520047 of the simulation: each had used its time up in the queue, read once more and ended."""
    scene = Scene(is_move_expected=False)
    for step in range(160):
        scene.time.run(step * TIMEOUT_S * proposer.READ_TIMEOUT_SHARE)
        scene.proposer.read(name="duty", done=lambda *_row: scene.ended.append(scene.time.now), is_repair=True)
    assert len({when for when in scene.prepares() if when > 20.0}) >= 8
    scene.time.run(60.0)
    assert len(scene.ended) == 160


def reject(scene, *, by):
    """Every prepare that is on its way meets a higher ballot, of another node's attempt."""
    scene.proposer.pacing.note_other_attempt(name="duty")
    for _when, member, message in list(scene.sent):
        if isinstance(message, messages.Prepare):
            reply = messages.Promise(
                number=message.number,
                register="duty",
                is_granted=False,
                promised=by,
                accepted=proposal.NO_BALLOT,
                revision=0,
                value=b"",
                incarnation="x",
            )
            scene.proposer.handle_promise(member, reply)
    scene.sent.clear()


def test_a_change_that_lost_to_another_node_reads_before_it_ends_that_nodes_attempt():
    scene = Scene(is_move_expected=False)
    scene.change()
    reject(scene, by=identifiers.Ballot(9, "b/1"))
    scene.time.run(0.35)
    assert {type(message) for _when, _member, message in scene.sent} == {messages.QuorumRead}
    scene.time.run(1.5)
    assert scene.prepares()  # it goes on whatever the other one does


@pytest.mark.parametrize("is_over", [True, False])
def test_a_change_that_failed_beside_nobody_proposes_again_at_once(is_over):
    scene = Scene(is_move_expected=False)
    scene.change()
    if is_over:
        reject(scene, by=identifiers.Ballot(9, "b/1"))
        scene.proposer.pacing.note_chosen(name="duty")
    scene.time.run(1.5)
    assert not any(isinstance(message, messages.QuorumRead) for _when, _member, message in scene.sent)
    assert len({when for when in scene.prepares()}) >= 1


def test_what_finishes_a_move_waits_for_no_move():
    """All nodes let the move pass whose proposer is gone: the round that finishes it must not wait with them."""
    scene = Scene(is_move_expected=True)
    scene.proposer.finish_move(name="duty")
    assert scene.prepares() == [0.0] * len(SET)


def test_what_finishes_a_move_lets_the_attempt_of_another_node_pass():
    scene = Scene(is_move_expected=True)
    scene.proposer.pacing.note_other_attempt(name="duty")
    scene.proposer.finish_move(name="duty")
    assert not scene.prepares()
    scene.time.run(1.0)
    assert scene.prepares()

"""When an add may be acknowledged."""

from ploverward.control_plane.tallies import add_waiters
from ploverward.control_plane.tallies import peer_reach
from ploverward.control_plane.tallies import tally_state
from ploverward.transport.messages import TallyAdd
from ploverward.transport.messages import TallyLogName

OWN, OTHER = TallyLogName("a", "1"), TallyLogName("b", "1")
HAS = {OWN: 3}
PLACES = (tally_state.Place(OWN, 3),)


def view(*, own=HAS, peers=None, in_reach=("b", "c", "d", "e"), wanted=3):
    return add_waiters.CopyView(own=own, peers=peers or {}, in_reach=in_reach, wanted_copies=wanted)


def test_enough_disks_are_enough_whoever_else_is_slow():
    assert add_waiters.is_safe(PLACES, view(peers={"b": HAS, "c": HAS}))
    assert not add_waiters.is_safe(PLACES, view(peers={"b": HAS, "c": {OWN: 2}}))


def test_the_own_disk_may_be_the_slow_one():
    assert add_waiters.is_safe(PLACES, view(own={}, peers={"b": HAS, "c": HAS, "d": HAS}))
    assert not add_waiters.is_safe(PLACES, view(own={}, peers={"b": HAS, "c": HAS}))


def test_with_the_others_out_of_reach_all_that_are_in_reach_are_needed():
    assert add_waiters.is_safe(PLACES, view(in_reach=()))
    assert add_waiters.is_safe(PLACES, view(peers={"b": HAS}, in_reach=("b",)))
    assert not add_waiters.is_safe(PLACES, view(peers={"b": {OWN: 2}}, in_reach=("b",)))
    assert not add_waiters.is_safe(PLACES, view(own={}, in_reach=()))


def test_a_peer_in_reach_that_told_nothing_yet_is_waited_for():
    assert not add_waiters.is_safe(PLACES, view(peers={}, in_reach=("b",)))


def test_any_place_of_the_add_is_as_good():
    places = (*PLACES, tally_state.Place(OTHER, 1))
    assert add_waiters.is_safe(places, view(peers={"b": {OTHER: 1}, "c": HAS}))


def test_waiting_calls_are_answered_once_and_those_that_left_never():
    state = tally_state.TallyState()
    state.append(log=OWN, add=TallyAdd("t", "x", 1))
    now = [view(own={})]
    waiters = add_waiters.AddWaiters(state=state, view=lambda: now[0])
    answered = []
    key = tally_state.AddKey("t", "x")

    def gone():
        answered.append("gone")

    waiters.wait(key=key, answer=lambda: answered.append("first"))
    waiters.wait(key=key, answer=gone)
    waiters.forget(key=key, answer=gone)
    waiters.check()
    assert answered == [] and len(waiters) == 1
    now[0] = view(own={OWN: 1}, in_reach=())
    waiters.check()
    waiters.check()
    assert answered == ["first"] and len(waiters) == 0


class Silence:
    """One peer, and when it was last heard of."""

    def __init__(self):
        self.last_received_at = 1.0
        self.probes = 0
        self.reach = peer_reach.PeerReach(
            expected=lambda: ["b"], last_received_at=lambda _address: self.last_received_at, probe=self._count_probe
        )

    def _count_probe(self, _address):
        self.probes += 1

    def ticks(self, count, *, is_waiting=False, is_heard=False):
        for _number in range(count):
            if is_heard:
                self.last_received_at += 1.0
            self.reach.tick(is_waiting=is_waiting)
        return self.reach.is_out_of_reach("b")


def test_a_peer_is_out_of_reach_after_some_silent_intervals_and_back_with_the_first_word():
    scene = Silence()
    assert not scene.ticks(1)
    assert not scene.ticks(peer_reach.SILENT_INTERVALS - 1)
    assert scene.ticks(1) and scene.reach.in_reach() == []
    scene.last_received_at = 2.0
    assert not scene.ticks(1) and scene.reach.in_reach() == ["b"]


def test_a_lost_connection_alone_is_no_reason_and_a_clock_that_leapt_neither():
    scene = Silence()
    scene.ticks(1)
    scene.last_received_at = None
    assert not scene.ticks(1)
    scene.last_received_at = 10_000.0
    assert not scene.ticks(1)


def test_a_peer_that_is_heard_and_answers_no_probe_is_out_of_reach_too():
    scene = Silence()
    assert not scene.ticks(10, is_heard=True) and scene.probes == 0
    assert not scene.ticks(peer_reach.SILENT_INTERVALS, is_heard=True, is_waiting=True)
    assert scene.ticks(1, is_heard=True, is_waiting=True)
    scene.reach.handle_answer("b")
    assert not scene.reach.is_out_of_reach("b")


def test_a_peer_that_answers_each_probe_is_in_reach():
    scene = Silence()
    for _number in range(20):
        assert not scene.ticks(1, is_heard=True, is_waiting=True)
        scene.reach.handle_answer("b")


def test_a_peer_that_was_never_heard_of_is_given_longer():
    scene = Silence()
    scene.last_received_at = None
    assert not scene.ticks(peer_reach.FIRST_SILENT_INTERVALS - 1)
    assert scene.ticks(1)

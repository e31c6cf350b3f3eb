"""When an add may be acknowledged."""

from ploverward.control_plane.tallies import add_waiters
from ploverward.control_plane.tallies import peer_reach
from ploverward.control_plane.tallies import tally_state
from ploverward.transport.messages import TallyAdd
from ploverward.transport.messages import TallyLogName

OWN, OTHER = TallyLogName("a", "1"), TallyLogName("b", "1")
HAS = {OWN: 3}
PLACES = (tally_state.Occurrence(OWN, 3),)


def view(*, own=HAS, peers=None, in_reach=("b", "c", "d", "e"), wanted=3):
    return add_waiters.DurabilityView(own=own, peers=peers or {}, in_reach=in_reach, wanted_copies=wanted)


def test_add_on_the_wanted_number_of_disks_may_be_acknowledged():
    assert add_waiters.may_be_acknowledged(PLACES, view(peers={"b": HAS, "c": HAS}))
    assert not add_waiters.may_be_acknowledged(PLACES, view(peers={"b": HAS, "c": {OWN: 2}}))


def test_add_not_on_own_disk_may_be_acknowledged_with_the_wanted_copies_on_peers():
    assert add_waiters.may_be_acknowledged(PLACES, view(own={}, peers={"b": HAS, "c": HAS, "d": HAS}))
    assert not add_waiters.may_be_acknowledged(PLACES, view(own={}, peers={"b": HAS, "c": HAS}))


def test_with_too_few_peers_in_reach_own_disk_and_all_of_theirs_are_required():
    assert add_waiters.may_be_acknowledged(PLACES, view(in_reach=()))
    assert add_waiters.may_be_acknowledged(PLACES, view(peers={"b": HAS}, in_reach=("b",)))
    assert not add_waiters.may_be_acknowledged(PLACES, view(peers={"b": {OWN: 2}}, in_reach=("b",)))
    assert not add_waiters.may_be_acknowledged(PLACES, view(own={}, in_reach=()))


def test_peer_in_reach_without_reported_positions_delays_acknowledgement():
    assert not add_waiters.may_be_acknowledged(PLACES, view(peers={}, in_reach=("b",)))


def test_copies_of_an_add_in_different_logs_count_towards_the_wanted_copies():
    occurrences = (*PLACES, tally_state.Occurrence(OTHER, 1))
    assert add_waiters.may_be_acknowledged(occurrences, view(peers={"b": {OTHER: 1}, "c": HAS}))


def test_waiting_callbacks_run_once_and_cancelled_ones_never():
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
        self.heard_at = 1.0
        self.probes = 0
        self.reach = peer_reach.PeerReach(
            expected=lambda: ["b"], heard_at=lambda _address: self.heard_at, probe=self._count_probe
        )

    def _count_probe(self, _address):
        self.probes += 1

    def ticks(self, count, *, is_waiting=False, is_heard=False):
        for _number in range(count):
            if is_heard:
                self.heard_at += 1.0
            self.reach.tick(is_waiting=is_waiting)
        return self.reach.is_out_of_reach("b")


def test_silent_peer_is_out_of_reach_until_the_next_received_data():
    scene = Silence()
    assert not scene.ticks(1)
    assert not scene.ticks(peer_reach.SILENT_INTERVALS - 1)
    assert scene.ticks(1) and scene.reach.in_reach() == []
    scene.heard_at = 2.0
    assert not scene.ticks(1) and scene.reach.in_reach() == ["b"]


def test_lost_connection_or_clock_jump_does_not_put_peer_out_of_reach_at_once():
    scene = Silence()
    scene.ticks(1)
    scene.heard_at = None
    assert not scene.ticks(1)
    scene.heard_at = 10_000.0
    assert not scene.ticks(1)


def test_peer_that_sends_data_but_answers_no_probe_is_out_of_reach():
    scene = Silence()
    assert not scene.ticks(10, is_heard=True) and scene.probes == 0
    assert not scene.ticks(peer_reach.SILENT_INTERVALS, is_heard=True, is_waiting=True)
    assert scene.ticks(1, is_heard=True, is_waiting=True)
    scene.reach.handle_answer("b")
    assert not scene.reach.is_out_of_reach("b")


def test_peer_that_answers_each_probe_stays_in_reach():
    scene = Silence()
    for _number in range(20):
        assert not scene.ticks(1, is_heard=True, is_waiting=True)
        scene.reach.handle_answer("b")


def test_peer_that_never_sent_data_has_the_longer_limit():
    scene = Silence()
    scene.heard_at = None
    assert not scene.ticks(peer_reach.FIRST_SILENT_INTERVALS - 1)
    assert scene.ticks(1)

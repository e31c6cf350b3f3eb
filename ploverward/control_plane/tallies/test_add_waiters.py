"""Tests of the rule for acknowledging adds, and of the detection of peers that are out of reach."""

from ploverward.control_plane.tallies import add_waiters
from ploverward.control_plane.tallies import peer_reach
from ploverward.control_plane.tallies import tally_state
from ploverward.transport.messages import TallyAdd
from ploverward.transport.messages import TallyLogName

OWN_LOG, OTHER_LOG = TallyLogName("a", "1"), TallyLogName("b", "1")
DURABLE = {OWN_LOG: 3}
OCCURRENCES = (tally_state.Occurrence(OWN_LOG, 3),)


def durability_view(*, own=DURABLE, peers=None, in_reach=("b", "c", "d", "e"), wanted=3):
    return add_waiters.DurabilityView(own=own, peers=peers or {}, in_reach=in_reach, wanted_copies=wanted)


def test_add_on_the_wanted_number_of_disks_may_be_acknowledged():
    assert add_waiters.may_be_acknowledged(OCCURRENCES, durability_view(peers={"b": DURABLE, "c": DURABLE}))
    assert not add_waiters.may_be_acknowledged(OCCURRENCES, durability_view(peers={"b": DURABLE, "c": {OWN_LOG: 2}}))


def test_add_not_on_own_disk_may_be_acknowledged_with_the_wanted_copies_on_peers():
    assert add_waiters.may_be_acknowledged(
        OCCURRENCES, durability_view(own={}, peers={"b": DURABLE, "c": DURABLE, "d": DURABLE})
    )
    assert not add_waiters.may_be_acknowledged(OCCURRENCES, durability_view(own={}, peers={"b": DURABLE, "c": DURABLE}))


def test_with_too_few_peers_in_reach_own_disk_and_all_of_theirs_are_required():
    assert add_waiters.may_be_acknowledged(OCCURRENCES, durability_view(in_reach=()))
    assert add_waiters.may_be_acknowledged(OCCURRENCES, durability_view(peers={"b": DURABLE}, in_reach=("b",)))
    assert not add_waiters.may_be_acknowledged(OCCURRENCES, durability_view(peers={"b": {OWN_LOG: 2}}, in_reach=("b",)))
    assert not add_waiters.may_be_acknowledged(OCCURRENCES, durability_view(own={}, in_reach=()))


def test_peer_in_reach_without_reported_positions_delays_acknowledgement():
    assert not add_waiters.may_be_acknowledged(OCCURRENCES, durability_view(peers={}, in_reach=("b",)))


def test_copies_of_an_add_in_different_logs_count_towards_the_wanted_copies():
    occurrences = (*OCCURRENCES, tally_state.Occurrence(OTHER_LOG, 1))
    assert add_waiters.may_be_acknowledged(occurrences, durability_view(peers={"b": {OTHER_LOG: 1}, "c": DURABLE}))


def test_waiting_callbacks_run_once_and_cancelled_ones_never():
    state = tally_state.TallyState()
    state.append(log=OWN_LOG, add=TallyAdd("t", "x", 1))
    views = [durability_view(own={})]
    waiters = add_waiters.AddWaiters(state=state, view=lambda: views[0])
    answered = []
    key = tally_state.AddKey("t", "x")

    def cancelled():
        answered.append("cancelled")

    waiters.wait(key=key, answer=lambda: answered.append("first"))
    waiters.wait(key=key, answer=cancelled)
    waiters.cancel(key=key, answer=cancelled)
    waiters.check()
    assert answered == [] and len(waiters) == 1
    views[0] = durability_view(own={OWN_LOG: 1}, in_reach=())
    waiters.check()
    waiters.check()
    assert answered == ["first"] and len(waiters) == 0


class ReachScene:
    """A `PeerReach` with one peer, whose time of last received data the test sets."""

    def __init__(self):
        self.last_received_at = 1.0
        self.probes = 0
        self.reach = peer_reach.PeerReach(
            expected=lambda: ["b"], last_received_at=lambda _address: self.last_received_at, probe=self._count_probe
        )

    def _count_probe(self, _address):
        self.probes += 1

    def is_out_of_reach_after(self, count, *, is_waiting=False, is_receiving=False):
        """Runs `count` ticks; returns whether the peer is out of reach then."""
        for _number in range(count):
            if is_receiving:
                self.last_received_at += 1.0
            self.reach.tick(is_waiting=is_waiting)
        return self.reach.is_out_of_reach("b")


def test_silent_peer_is_out_of_reach_until_the_next_received_data():
    scene = ReachScene()
    assert not scene.is_out_of_reach_after(1)
    assert not scene.is_out_of_reach_after(peer_reach.SILENT_INTERVALS - 1)
    assert scene.is_out_of_reach_after(1) and scene.reach.in_reach() == []
    scene.last_received_at = 2.0
    assert not scene.is_out_of_reach_after(1) and scene.reach.in_reach() == ["b"]


def test_lost_connection_or_clock_jump_does_not_put_peer_out_of_reach_at_once():
    scene = ReachScene()
    scene.is_out_of_reach_after(1)
    scene.last_received_at = None
    assert not scene.is_out_of_reach_after(1)
    scene.last_received_at = 10_000.0
    assert not scene.is_out_of_reach_after(1)


def test_peer_that_sends_data_but_answers_no_probe_is_out_of_reach():
    scene = ReachScene()
    assert not scene.is_out_of_reach_after(10, is_receiving=True) and scene.probes == 0
    assert not scene.is_out_of_reach_after(peer_reach.SILENT_INTERVALS, is_receiving=True, is_waiting=True)
    assert scene.is_out_of_reach_after(1, is_receiving=True, is_waiting=True)
    scene.reach.handle_answer("b")
    assert not scene.reach.is_out_of_reach("b")


def test_peer_that_answers_each_probe_stays_in_reach():
    scene = ReachScene()
    for _number in range(20):
        assert not scene.is_out_of_reach_after(1, is_receiving=True, is_waiting=True)
        scene.reach.handle_answer("b")


def test_peer_that_never_sent_data_has_the_longer_limit():
    scene = ReachScene()
    scene.last_received_at = None
    assert not scene.is_out_of_reach_after(peer_reach.FIRST_SILENT_INTERVALS - 1)
    assert scene.is_out_of_reach_after(1)

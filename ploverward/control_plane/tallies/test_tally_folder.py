"""Tests of when old adds are folded."""

from ploverward.control_plane.tallies import tally_folder
from ploverward.control_plane.tallies import tally_state
from ploverward.transport.messages import TallyAdd
from ploverward.transport.messages import TallyLogName

LOG, OTHER_LOG = TallyLogName("a", "1"), TallyLogName("b", "1")
FOLDABLE_AGE_S = tally_folder.RETRY_HORIZON_S + tally_folder.CHECKPOINT_INTERVAL_S


class Scene:
    """A state with four adds, and two members whose reported positions the test sets."""

    def __init__(self, *, max_kept=2):
        self.now = 0.0
        self.state = tally_state.TallyState()
        self.members = [{LOG: 4}, {LOG: 4}]
        self.scheduler = tally_folder.FoldScheduler(
            state=self.state, now=lambda: self.now, max_kept=max_kept, member_positions=lambda: self.members
        )
        for number in range(4):
            self.state.append(log=LOG, add=TallyAdd("t", f"x{number}", 1))
        self.scheduler.tick()

    def folded_after(self, seconds):
        """Lets time pass; returns the position up to which the log is folded."""
        self.now += seconds
        self.scheduler.tick()
        return self.state.folded_position(LOG)


def test_adds_past_the_retry_horizon_that_all_members_have_are_folded():
    scene = Scene()
    assert scene.folded_after(tally_folder.RETRY_HORIZON_S - 1) == 0
    assert scene.folded_after(2) == 4
    assert scene.state.total("t") == 4


def test_nothing_is_folded_below_the_kept_limit():
    assert Scene(max_kept=100).folded_after(FOLDABLE_AGE_S) == 0


def test_nothing_is_folded_while_a_member_is_disconnected():
    scene = Scene()
    scene.members = None
    assert scene.folded_after(FOLDABLE_AGE_S) == 0


def test_adds_that_a_member_lacks_are_not_folded():
    scene = Scene()
    scene.members = [{LOG: 4}, {LOG: 3}]
    assert scene.folded_after(FOLDABLE_AGE_S) == 3


def test_nothing_is_folded_until_this_node_has_all_adds_of_the_members():
    scene = Scene()
    scene.members = [{LOG: 4}, {LOG: 4, OTHER_LOG: 1}]
    assert scene.folded_after(FOLDABLE_AGE_S) == 0
    scene.state.merge(log=OTHER_LOG, first=1, adds=[TallyAdd("t", "x0", 1)])
    scene.scheduler.tick()
    assert scene.folded_after(FOLDABLE_AGE_S) == 4
    assert scene.state.total("t") == 4


def test_adds_within_the_retry_horizon_are_not_folded():
    scene = Scene()
    scene.members = [{LOG: 5}, {LOG: 5}]
    scene.now = 100.0
    scene.state.append(log=LOG, add=TallyAdd("t", "late", 1))
    assert scene.folded_after(FOLDABLE_AGE_S - 100) == 4

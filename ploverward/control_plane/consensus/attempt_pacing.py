"""How long an attempt may take, and when a proposal lets another node's attempt pass (docs/set-moves.md 9).

Four things slow a proposal down on purpose:

* A move of the core set that another node is about to make, or is in the middle of, is let pass by rounds that only
  wait.
* Where disks are slow, an attempt takes longer: both of its phases wait for a write at other nodes.
* There an attempt also outlasts the patience of whoever ordered it. The same order then comes to the next node, whose
  ballot would end the first attempt, and so on: nothing would ever be chosen. So an attempt of another node, known by
  its prepare, is let pass for the time of one attempt.
* Repairs let an attempt of another node pass on any disk. After a restart of all, each node reads every register and
  finishes every half-done move: as many ballots as there are nodes would end each other's attempts for seconds, and
  those of the node that is to become the coordinator with them.
"""

from collections.abc import Callable

from ploverward.control_plane.consensus.proposal import Proposal

# Pauses and waits are given as shares of the usual time-out of an attempt.
YIELD_SHARE = 2.0  # how long a round lets a move of its register go first: an attempt of it, a pause, and another
YIELD_RECHECK_SHARE = 0.1  # between two checks whether what it waits for is over
WRITES_PER_ATTEMPT = 4  # two phases, each of which may wait for a write under way before its own
SLOW_DISK_ROOM = 2  # other disks may be slower than this one


class AttemptPacing:
    """Time-outs and pauses of one node's proposals.

    Args:
        now: Loop time in seconds.
        attempt_timeout_s: How long an attempt waits for a majority, usually.
        limit_s: The longest that it ever waits.
        average_write_s: How long a write to this node's disk takes lately, in seconds. None: no time at all.
        is_move_expected: Register to whether another node is about to move it to another set. None: never.

    Attributes:
        usual_timeout_s: As given in `attempt_timeout_s`.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        attempt_timeout_s: float,
        limit_s: float,
        average_write_s: Callable[[], float] | None,
        is_move_expected: Callable[[str], bool] | None,
    ) -> None:
        self._now = now
        self.usual_timeout_s = attempt_timeout_s
        self._limit_s = limit_s
        self._average_write_s = average_write_s
        self._is_move_expected = is_move_expected
        self._other_attempts_until: dict[str, float] = {}  # register: until when another node's attempt is let pass

    @property
    def recheck_s(self) -> float:
        """From one check whether a proposal still has to let others pass to the next."""
        return self.usual_timeout_s * YIELD_RECHECK_SHARE

    def timeout_s(self) -> float:
        """How long an attempt that begins now waits for a majority: longer where the own disk is slow."""
        write_s = self._average_write_s() if self._average_write_s is not None else 0.0
        if write_s * WRITES_PER_ATTEMPT <= self.usual_timeout_s:
            return self.usual_timeout_s
        return min(write_s * WRITES_PER_ATTEMPT * SLOW_DISK_ROOM, self._limit_s)

    def has_slow_disk(self) -> bool:
        """Whether an attempt takes longer than usual."""
        return self.timeout_s() > self.usual_timeout_s

    def note_other_attempt(self, *, name: str) -> None:
        """Another node began an attempt: repairs of this node let it pass, and on slow disks every proposal does."""
        self._other_attempts_until[name] = self._now() + self.timeout_s()

    def note_chosen(self, *, name: str) -> None:
        """A value of the register is known to be chosen: no attempt has to be waited for."""
        self._other_attempts_until.pop(name, None)

    def has_to_yield(self, proposal: Proposal) -> bool:
        """Whether a proposal lets another node's attempt pass now.

        A repair does so for as long as there are such attempts and its time allows one of its own; others do so for a
        limited time in all. One that finishes a move waits for no move: it is what all others wait for. Until it is
        done a majority of the older set is needed too, whose members may go for good (docs/set-moves.md 10).
        """
        if proposal.is_move:
            return False
        if proposal.is_repair and self.is_other_attempting(proposal.register):
            return self._now() < proposal.deadline - self.usual_timeout_s
        if proposal.finishes_move or not self._is_other_at_work(proposal.register):
            return False
        if proposal.yields_until is None:
            until = self._now() + max(self.usual_timeout_s * YIELD_SHARE, self.timeout_s())
            proposal.yields_until = min(until, proposal.deadline - self.usual_timeout_s)
        return self._now() < proposal.yields_until

    def is_other_attempting(self, register: str) -> bool:
        """Whether another node began an attempt so lately that it may still be under way."""
        return self._now() < self._other_attempts_until.get(register, 0.0)

    def _is_other_at_work(self, register: str) -> bool:
        if self._is_move_expected is not None and self._is_move_expected(register):
            return True
        return self.has_slow_disk() and self.is_other_attempting(register)

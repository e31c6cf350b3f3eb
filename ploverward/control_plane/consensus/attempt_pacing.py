"""Timeouts of attempts, and the rules by which a proposal yields to other nodes (docs/set-moves.md 9).

Four rules slow a proposal down on purpose:

* Proposals that are only waiting yield to a move of the core set that another node is about to make or is in the middle
  of.
* Where disks are slow, attempts get a longer timeout, as both phases wait for a write at other nodes.
* On slow disks an attempt also takes longer than its caller waits. The caller repeats the same change at the next node,
  whose ballot would preempt the first attempt, and so on, so that nothing would ever be chosen. A proposal therefore
  yields to an attempt of another node, known by its prepare, for the time of one attempt.
* Repairs yield to an attempt of another node on any disk. After a restart of the whole cluster, each node reads every
  register and finishes every half-done move. The ballots of that many nodes would preempt each other's attempts for
  seconds, including those of the node that is about to become the coordinator.
"""

from collections.abc import Callable

from ploverward.control_plane.consensus.proposal import Proposal

# The shares are fractions of the base timeout of an attempt.
YIELD_SHARE = 2.0  # how long a proposal yields to a move of its register: one attempt of the move, a pause, and another
YIELD_RECHECK_SHARE = 0.1  # interval of the checks whether a proposal still has to yield
WRITES_PER_ATTEMPT = 4  # two phases, each of which may wait for a write in progress before its own
SLOW_DISK_MARGIN = 2  # factor, as the disks of other nodes may be slower than this one


class AttemptPacing:
    """Computes the timeouts and pauses of one node's proposals.

    Args:
        now: Returns the loop time in seconds.
        attempt_timeout_s: How long an attempt waits for a majority where disks are not slow.
        limit_s: Upper limit of the timeout of an attempt.
        average_write_s: Returns the recent average duration of a write to this node's disk, in seconds. None: writes
            are assumed to take no time.
        is_move_expected: Returns whether another node is about to move a register to another set. None: never.

    Attributes:
        base_timeout_s: The given `attempt_timeout_s`.
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
        self.base_timeout_s = attempt_timeout_s
        self._limit_s = limit_s
        self._average_write_s = average_write_s
        self._is_move_expected = is_move_expected
        # register: loop time in seconds until which another node's attempt may be in progress
        self._other_attempts_until: dict[str, float] = {}

    @property
    def recheck_s(self) -> float:
        """The interval of the checks whether a proposal still has to yield, in seconds."""
        return self.base_timeout_s * YIELD_RECHECK_SHARE

    def timeout_s(self) -> float:
        """Returns the timeout in seconds of an attempt that begins now; it is longer while this node's disk is slow."""
        write_s = self._average_write_s() if self._average_write_s is not None else 0.0
        if write_s * WRITES_PER_ATTEMPT <= self.base_timeout_s:
            return self.base_timeout_s
        return min(write_s * WRITES_PER_ATTEMPT * SLOW_DISK_MARGIN, self._limit_s)

    def has_slow_disk(self) -> bool:
        """Returns whether this node's disk is so slow that attempts get a longer timeout."""
        return self.timeout_s() > self.base_timeout_s

    def note_other_attempt(self, *, name: str) -> None:
        """Records that another node began an attempt, to which repairs, and on slow disks all proposals, yield."""
        self._other_attempts_until[name] = self._now() + self.timeout_s()

    def note_chosen(self, *, name: str) -> None:
        """Records that a value of the register was chosen, so that no other attempt has to be waited for."""
        self._other_attempts_until.pop(name, None)

    def has_to_yield(self, proposal: Proposal) -> bool:
        """Returns whether a proposal has to yield to another node's move or attempt now.

        A repair yields for as long as there are such attempts and its deadline still allows one of its own; other
        proposals yield for a limited time in total. A proposal that finishes a move does not yield to a move, because
        all others wait for it. Until it is done, a majority of the older set is needed as well, whose members may be
        lost permanently (docs/set-moves.md 10).
        """
        if proposal.is_move:
            return False
        if proposal.is_repair and self.is_other_attempting(proposal.register):
            return self._now() < proposal.deadline - self.base_timeout_s
        if proposal.finishes_move or not self._is_other_node_active(proposal.register):
            return False
        if proposal.yields_until is None:
            until = self._now() + max(self.base_timeout_s * YIELD_SHARE, self.timeout_s())
            proposal.yields_until = min(until, proposal.deadline - self.base_timeout_s)
        return self._now() < proposal.yields_until

    def is_other_attempting(self, register: str) -> bool:
        """Returns whether another node began an attempt so recently that it may still be in progress."""
        return self._now() < self._other_attempts_until.get(register, 0.0)

    def _is_other_node_active(self, register: str) -> bool:
        if self._is_move_expected is not None and self._is_move_expected(register):
            return True
        return self.has_slow_disk() and self.is_other_attempting(register)

"""The proposals of one process by register: at most one is at work, the others wait (docs/set-moves.md 9).

Those that wait stand in the order of their priorities, and of their begin among equals. A proposal that pauses between
two attempts only waits, too: one of a higher priority takes its place.
"""

import collections

from ploverward.control_plane.consensus.proposal import Proposal
from ploverward.control_plane.consensus.proposal import Stage


def _lets_pass(waiting: Proposal, newcomer: Proposal) -> bool:
    """Whether a proposal that only waits, so that no acceptor is asked for it now, lets a newer one go first."""
    return waiting.priority > newcomer.priority and waiting.stage in (Stage.QUEUED, Stage.BACKOFF)


class ProposalQueues:
    """Who is first, and who follows. It changes no proposal."""

    def __init__(self) -> None:
        self._queues: dict[str, collections.deque[Proposal]] = {}  # register: the active proposal, then those waiting

    def of(self, register: str) -> tuple[Proposal, ...]:
        """Returns the proposals of a register, the active one first."""
        return tuple(self._queues.get(register, ()))

    def is_first(self, proposal: Proposal) -> bool:
        """Whether it is the one that may be at work."""
        return self._queues[proposal.register][0] is proposal

    def add(self, proposal: Proposal) -> Proposal | None:
        """Adds a proposal; returns the one whose place at the front it takes, None where it takes nobody's."""
        queue = self._queues.setdefault(proposal.register, collections.deque())
        positions = (index for index, waiting in enumerate(queue) if _lets_pass(waiting, proposal))
        position = next(positions, len(queue))
        displaced = queue[0] if queue and position == 0 else None
        queue.insert(position, proposal)
        return displaced

    def let_others_pass(self, proposal: Proposal) -> Proposal | None:
        """Moves a proposal that pauses behind those of a higher priority; returns the first of these, if any."""
        queue = self._queues[proposal.register]
        if not any(_lets_pass(proposal, waiting) for waiting in queue):
            return None
        queue.remove(proposal)
        following = queue[0]
        positions = (index for index, waiting in enumerate(queue) if waiting.priority >= proposal.priority)
        queue.insert(next(positions, len(queue)), proposal)
        return following

    def remove(self, proposal: Proposal) -> Proposal | None:
        """Removes a proposal that is over; returns the one that is first now, if any."""
        queue = self._queues[proposal.register]
        queue.remove(proposal)
        return queue[0] if queue else None

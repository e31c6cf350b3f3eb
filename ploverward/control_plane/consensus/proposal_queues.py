"""Priority queues of the proposals of one process, one queue per register (docs/set-moves.md 9).

At most one proposal of a register is active; the others wait, ordered by priority and then by their start. A proposal
that is backing off between two attempts counts as waiting, too: one of higher priority displaces it.
"""

import collections

from ploverward.control_plane.consensus.proposal import Proposal
from ploverward.control_plane.consensus.proposal import Stage


def _is_overtaken_by(waiting: Proposal, newcomer: Proposal) -> bool:
    """Returns whether `newcomer` goes before `waiting`, for which `waiting` has to be queued or backing off."""
    return waiting.priority > newcomer.priority and waiting.stage in (Stage.QUEUED, Stage.BACKOFF)


class ProposalQueues:
    """Keeps the order of the proposals of each register. It does not modify the proposals."""

    def __init__(self) -> None:
        self._queues: dict[str, collections.deque[Proposal]] = {}  # register: the active proposal, then those waiting

    def proposals_for(self, register: str) -> tuple[Proposal, ...]:
        """Returns the proposals of a register, the active one first."""
        return tuple(self._queues.get(register, ()))

    def is_first(self, proposal: Proposal) -> bool:
        """Returns whether a proposal is at the front of its queue, so that it may be active."""
        return self._queues[proposal.register][0] is proposal

    def add(self, proposal: Proposal) -> Proposal | None:
        """Adds a proposal; returns the one that it displaces from the front of the queue, if any."""
        queue = self._queues.setdefault(proposal.register, collections.deque())
        positions = (index for index, waiting in enumerate(queue) if _is_overtaken_by(waiting, proposal))
        position = next(positions, len(queue))
        displaced = queue[0] if queue and position == 0 else None
        queue.insert(position, proposal)
        return displaced

    def requeue_behind_higher_priority(self, proposal: Proposal) -> Proposal | None:
        """Moves a proposal that is backing off behind those of higher priority; returns the first of these, if any."""
        queue = self._queues[proposal.register]
        if not any(_is_overtaken_by(proposal, waiting) for waiting in queue):
            return None
        queue.remove(proposal)
        following = queue[0]
        positions = (index for index, waiting in enumerate(queue) if waiting.priority >= proposal.priority)
        queue.insert(next(positions, len(queue)), proposal)
        return following

    def remove(self, proposal: Proposal) -> Proposal | None:
        """Removes a finished proposal; returns the new front of the queue, if any."""
        queue = self._queues[proposal.register]
        queue.remove(proposal)
        return queue[0] if queue else None

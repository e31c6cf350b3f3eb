"""The CASPaxos proposer: compare-and-set on replicated registers in two phases (docs/register.md 1, 2).

It runs the proposals of one process, at most one at a time for each register; the others wait in a queue. A proposal
has these stages:

    QUEUED -> QUORUM_READ (reads only) -> PREPARE -> ACCEPT -> FINISHED
                    |                        ^          |
                    +------> BACKOFF --------+ <--------+   a higher ballot was seen, or no majority answered in time

An attempt needs a majority of each of several member sets: the set that this node knew as chosen, the sets of the
newest value found, and the set that it writes. Each attempt has its own ballot and number; replies to an older attempt
are ignored.

A move of the core set has priority over proposals that are only waiting (docs/set-moves.md 9). At its own node it is
queued before them and displaces one that is backing off. Other nodes yield to it: while a register is about to be moved
or is in the middle of a move, their proposals for it pause for the time of two attempts, and reads repeat the quorum
read instead of proposing. Repairs have the lowest priority in the same way, and yield to the attempts of other nodes:
after a restart of the whole cluster, every node has the same repairs to make.
"""

import collections.abc

from ploverward.common import errors
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import attempt_pacing
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import known_sets
from ploverward.control_plane.consensus import next_value
from ploverward.control_plane.consensus import proposal_queues
from ploverward.control_plane.consensus import quorum_read
from ploverward.control_plane.consensus.proposal import Done
from ploverward.control_plane.consensus.proposal import Edit
from ploverward.control_plane.consensus.proposal import Outcome
from ploverward.control_plane.consensus.proposal import Priority
from ploverward.control_plane.consensus.proposal import Proposal
from ploverward.control_plane.consensus.proposal import Stage
from ploverward.control_plane.consensus.register_state import AcceptedValue
from ploverward.transport import messages

MAX_ATTEMPTS = 12  # per proposal
# The constants named `*_SHARE` are fractions of the attempt timeout.
MIN_BACKOFF_SHARE = 0.1
BACKOFF_STEP_SHARE = 0.4  # upper bound of the random part of the first backoff
MAX_BACKOFF_FACTOR = 8  # upper bound of the factor by which the random part grows
READ_TIMEOUT_SHARE = 0.5  # how long a quorum read waits for a majority
RANK_DEFERRAL_SHARE = 0.35  # how long a node waits for each member listed before it, before it proposes a value again

Send = collections.abc.Callable[[str, tuple], object]  # (member, message)
# (delay in seconds, callback)
CallLater = collections.abc.Callable[[float, collections.abc.Callable[[], object]], object]
# (register, ballot, revision, value, whether this node's attempt got it chosen, so that others have to be notified)
OnChosen = collections.abc.Callable[[str, Ballot, int, bytes, bool], object]


def _ignore_outcome(_error: Exception | None, _revision: int, _payload: object, _result: object) -> None:
    """Serves as `done` for proposals whose outcome is not needed."""


class Proposer:
    """Changes and reads registers.

    Args:
        own: unique name of this process, HOST/ID; it breaks ties between ballots.
        seeds: the core set in force before any value was chosen; () if this node does not know one.
        send: sends a message to a member.
        later: calls back after a delay.
        now: returns the loop time in seconds.
        chance: returns a random number from 0 to 1.
        on_chosen: called with each value that this node finds chosen or gets chosen.
        limit_s: deadline of a proposal, in seconds after it was created; no further attempt begins after it.
        attempt_timeout_s: how long an attempt waits for a majority.
        accepted_value: returns the value of a register on this node's disk, which replies may omit. None: replies
            always carry the value.
        average_write_s: returns the recent average duration of a write to this node's disk, in seconds. None: writes
            are assumed to take no time.
        is_move_expected: returns whether another node is about to move a register to another set. None: never.

    Attributes:
        known_sets: the core set of each register.
        pacing: the timeouts of attempts, and when proposals yield to those of other nodes.
        is_learner: whether this node must not propose because it has not caught up on the registers yet.
    """

    def __init__(
        self,
        *,
        own: str,
        seeds: tuple[str, ...],
        send: Send,
        later: CallLater,
        now: collections.abc.Callable[[], float],
        chance: collections.abc.Callable[[], float],
        on_chosen: OnChosen,
        limit_s: float,
        attempt_timeout_s: float,
        accepted_value: collections.abc.Callable[[str], AcceptedValue] | None = None,
        average_write_s: collections.abc.Callable[[], float] | None = None,
        is_move_expected: collections.abc.Callable[[str], bool] | None = None,
    ) -> None:
        self.own = own
        self.known_sets = known_sets.KnownSets(seeds=seeds)
        self.is_learner = False
        self._accepted_value = accepted_value
        self.pacing = attempt_pacing.AttemptPacing(
            now=now,
            attempt_timeout_s=attempt_timeout_s,
            limit_s=limit_s,
            average_write_s=average_write_s,
            is_move_expected=is_move_expected,
        )
        self._send = send
        self._later = later
        self._now = now
        self._chance = chance
        self._on_chosen = on_chosen
        self._limit_s = limit_s
        self._attempt_timeout_s = attempt_timeout_s
        self._highest_numbers: dict[str, int] = {}  # register: highest ballot number seen
        self._last_number = 0  # last number given to a proposal or attempt
        self._active: dict[int, Proposal] = {}  # attempt number: proposal
        self._queues = proposal_queues.ProposalQueues()

    # Requests of this node.
    def members(self, name: str) -> tuple[str, ...]:
        """Returns the core set of a register, as far as this node knows."""
        return self.known_sets.members(name)

    def note_ballot_number(self, *, name: str, number: int) -> None:
        """Records a ballot number that is in use, as acceptors would reject an attempt with a lower one."""
        self._highest_numbers[name] = max(self._highest_numbers.get(name, 0), number)

    def change(
        self,
        *,
        name: str,
        edit: Edit | None,
        done: Done,
        next_set: tuple[str, ...] | None = None,
        is_wanted: collections.abc.Callable[[], bool] | None = None,
        is_repair: bool = False,
    ) -> None:
        """Changes a register, after the proposals that this node made for it earlier.

        A move is placed before waiting proposals, and any other change before waiting repairs.

        Args:
            name: the register.
            edit: maps the payload found to (new payload, result); None: the payload stays. A retry may find what an
                earlier attempt of the same change wrote, so an edit has to recognise its own result.
            done: called once with (error or None, revision, payload, result). The error is what `edit` raised, or
                `QuorumUnavailableError`: then the change may already have been made, or may still take effect.
            next_set: the core set to move the register to; None: the set stays.
            is_wanted: called before each attempt; False ends the proposal. None: always wanted.
            is_repair: whether it only discovers or completes what earlier proposals left unfinished.
        """
        self._last_number += 1
        proposal = Proposal(
            number=self._last_number,
            register=name,
            edit=edit,
            done=done,
            next_set=next_set,
            is_wanted=is_wanted,
            deadline=self._now() + self._limit_s,
            is_repair=is_repair,
        )
        displaced = self._queues.add(proposal)
        if displaced is not None:
            self._deactivate(displaced)
        if self._queues.is_first(proposal):
            self._start(proposal)

    def read(self, *, name: str, done: Done, is_repair: bool = False) -> None:
        """Reads a register; `done` and `is_repair` are as in `change`, with a result of None."""
        self.change(name=name, edit=None, done=done, is_repair=is_repair)

    def finish_move(self, *, name: str, is_wanted: collections.abc.Callable[[], bool] | None = None) -> None:
        """Rewrites the current value, and removes the previous set from it once the move away from that set is chosen.

        Args:
            name: the register.
            is_wanted: called before each attempt; False ends the proposal. None: always wanted.
        """

        def unchanged(payload: object) -> tuple[object, None]:
            return payload, None

        self.change(name=name, edit=unchanged, done=_ignore_outcome, is_wanted=is_wanted, is_repair=True)

    # The queue.
    def _deactivate(self, proposal: Proposal) -> None:
        """Returns a proposal that is backing off to the state of waiting in the queue."""
        self._active.pop(proposal.number, None)
        proposal.stage = Stage.QUEUED

    def _requeue_behind_higher_priority(self, proposal: Proposal) -> bool:
        """Requeues a proposal that is backing off behind those of higher priority; returns whether there are any."""
        following = self._queues.requeue_behind_higher_priority(proposal)
        if following is None:
            return False
        self._deactivate(proposal)
        self._later(0, lambda: self._start_queued(following))
        return True

    def _start(self, proposal: Proposal) -> None:
        if self.is_learner or not self.members(proposal.register):
            proposal.stage = Stage.REFUSED
            self._active[proposal.number] = proposal
            error = errors.QuorumUnavailableError("this node is a learner", step="start", peer=proposal.register)
            self._later(0, lambda: self._finish(proposal, Outcome(error)))
        elif proposal.is_read and not self._has_time_to_propose(proposal):
            # Running it would use up the time of the proposals queued behind it, until none has any left: where only a
            # new ballot can decide the value, none of them would ever propose (docs/incidents/stale-repairs.md).
            self._finish_without_majority(proposal)
        elif proposal.is_read or self._reads_first(proposal):
            self._begin_quorum_read(proposal)
        else:
            self._prepare(proposal)

    def _finish(self, proposal: Proposal, outcome: Outcome) -> None:
        if proposal.stage is Stage.FINISHED:
            return
        # A change whose deadline passed in the queue never became active, but is finished here as well.
        self._active.pop(proposal.number, None)
        proposal.stage = Stage.FINISHED
        following = self._queues.remove(proposal)
        if following is not None:
            self._later(0, lambda: self._start_queued(following))
        # Once its move is chosen, a proposal's outcome is fixed, even if removing the previous set fails afterwards.
        proposal.done(*(proposal.move_outcome or outcome))

    def _has_time_to_propose(self, proposal: Proposal) -> bool:
        """Returns whether a read that begins now has time left to propose the value found, should it be undecided."""
        needed_s = self._attempt_timeout_s * READ_TIMEOUT_SHARE + self.pacing.base_timeout_s
        return self._now() + needed_s < proposal.deadline

    def _finish_without_majority(self, proposal: Proposal) -> None:
        """Ends a proposal with `QuorumUnavailableError`."""
        step = proposal.stage.value or Stage.PREPARE.value
        error = errors.QuorumUnavailableError("no majority", step=step, peer=proposal.register)
        self._finish(proposal, Outcome(error))

    def _start_queued(self, proposal: Proposal) -> None:
        # Another proposal may have been queued before it in the meantime.
        if proposal.stage is Stage.QUEUED and self._queues.is_first(proposal):
            self._start(proposal)

    def _activate(self, proposal: Proposal) -> int:
        """Gives the next attempt a new number, so that replies to older attempts are ignored, and returns it."""
        self._active.pop(proposal.number, None)
        self._last_number += 1
        proposal.number = self._last_number
        self._active[proposal.number] = proposal
        if self._accepted_value is not None:
            proposal.known_value = self._accepted_value(proposal.register)
        return proposal.number

    def _active_proposal(self, number: int, register: str) -> Proposal | None:
        proposal = self._active.get(number)
        return proposal if proposal is not None and proposal.register == register else None

    # Quorum reads.
    def _begin_quorum_read(self, proposal: Proposal) -> None:
        members = self.members(proposal.register)
        proposal.begin_quorum_read(members=members, known_revision=self.known_sets.revision(proposal.register))
        number = self._activate(proposal)
        for member in members:
            self._send(member, messages.QuorumRead(number, proposal.register, proposal.known_value.ballot))
        self._later(self._attempt_timeout_s * READ_TIMEOUT_SHARE, lambda: self._end_quorum_read(proposal, number))

    def _end_quorum_read(self, proposal: Proposal, number: int) -> None:
        """Proposes the value again, as the quorum read could not show that it is chosen.

        Nodes wait in order of their rank and read once more before they propose. Otherwise nodes that all read at the
        same time would compete with their ballots (`test_reads_and_changes_finish_after_all_nodes_restart_at_once`).
        """
        if proposal.number != number or proposal.stage is not Stage.QUORUM_READ:
            return
        members = self.members(proposal.register)
        host = self.own.partition("/")[0]
        rank = members.index(host) if host in members else len(members)
        if proposal.has_deferred or rank == 0:
            self._prepare(proposal)
            return
        proposal.has_deferred = True
        proposal.stage = Stage.BACKOFF
        pause_s = self._attempt_timeout_s * RANK_DEFERRAL_SHARE * rank
        self._later(pause_s, lambda: self._resume_quorum_read(proposal))

    def _resume_quorum_read(self, proposal: Proposal) -> None:
        if proposal.stage is Stage.BACKOFF:
            self._begin_quorum_read(proposal)

    def handle_quorum_read_reply(self, member: str, reply: messages.QuorumReadReply) -> None:
        """Counts a reply to a quorum read."""
        proposal = self._active_proposal(reply.number, reply.register)
        if proposal is None or proposal.stage is not Stage.QUORUM_READ or not reply.is_voter:
            return
        self.note_ballot_number(name=reply.register, number=max(reply.promised.number, reply.accepted.number))
        accepted = AcceptedValue(reply.accepted, reply.revision, reply.value)
        proposal.read_replies[member] = proposal.restore_omitted_value(accepted)
        verdict, chosen = quorum_read.evaluate(
            replies=proposal.read_replies,
            members=proposal.known_set,
            known_revision=proposal.known_revision,
        )
        if verdict is quorum_read.Verdict.EMPTY:
            if proposal.is_read:
                self._finish(proposal, Outcome(None))
            else:
                self._prepare(proposal)
        elif verdict is quorum_read.Verdict.CHOSEN:
            self._on_chosen(reply.register, chosen.ballot, chosen.revision, chosen.value, False)
            self._handle_read_value(proposal, chosen)
        elif verdict is quorum_read.Verdict.UNDECIDED:
            self._end_quorum_read(proposal, proposal.number)

    def _handle_read_value(self, proposal: Proposal, chosen: AcceptedValue) -> None:
        """Finishes a proposal whose quorum read found a chosen value, or proposes its change.

        A read is finished with the value. A change is finished if its edit raises an error, or if its edit changes
        nothing and the value is not in a move.
        """
        _members, payload = ballots.unpack(chosen.value)
        if proposal.edit is None:
            self._finish(proposal, Outcome(None, chosen.revision, payload))
            return
        try:
            edited, result = proposal.edit(payload)
        except errors.PloverwardError as error:
            self._finish(proposal, Outcome(error, chosen.revision, payload))
            return
        if edited == payload and not ballots.is_moving(chosen.value):
            self._finish(proposal, Outcome(None, chosen.revision, payload, result))
        else:
            self._prepare(proposal)

    def _reads_first(self, proposal: Proposal) -> bool:
        """Returns whether a change does a quorum read before it proposes.

        On slow disks an attempt takes longer than its caller waits. The caller then repeats the same change, at any
        node; a read, which waits for no disk, finds that the change was already made. After an attempt that failed
        while another node made one, a change reads first on any disk: changes of several nodes preempt each other's
        attempts, and a read preempts none. It finds what the other nodes wrote in the meantime, and where one of them
        is still attempting, nodes proceed in turn (`_end_quorum_read`).
        """
        is_change = not proposal.is_move and proposal.edit is not None
        return is_change and (self.pacing.has_slow_disk() or self._has_lost_to_other(proposal))

    def _has_lost_to_other(self, proposal: Proposal) -> bool:
        """Returns whether an attempt of a change that a caller waits for failed while another node attempts one."""
        is_retry = proposal.attempts > 0 and proposal.edit is not None and proposal.priority is Priority.CALL
        return is_retry and self.pacing.is_other_attempting(proposal.register)

    def _pause_to_yield(self, proposal: Proposal) -> bool:
        """Pauses a proposal if it has to yield to another node's move or attempt; returns whether it does."""
        if not self.pacing.has_to_yield(proposal):
            return False
        proposal.stage = Stage.BACKOFF
        reads_first = proposal.is_read or self._reads_first(proposal)
        resume = self._resume_quorum_read if reads_first else self._resume_prepare
        self._later(self.pacing.recheck_s, lambda: resume(proposal))
        return True

    def _is_move_completed_by_others(self, proposal: Proposal) -> bool:
        """Returns whether proposals of other nodes completed a move that this node began.

        A proposal that finds an accepted move gets it chosen before it writes its own value, which names one set only.
        """
        name = proposal.register
        if proposal.move_outcome is not None:
            return self.known_sets.is_move_over(register=name, revision=proposal.move_outcome.revision)
        return bool(proposal.attempts) and self.members(name) == proposal.next_set

    # Phase 1.
    def _prepare(self, proposal: Proposal) -> None:
        if proposal.stage is Stage.FINISHED or (self._now() < proposal.deadline and self._pause_to_yield(proposal)):
            return
        if self._is_move_completed_by_others(proposal):
            if proposal.edit is None:
                self._finish(proposal, Outcome(None, self.known_sets.revision(proposal.register)))
                return
            proposal.next_set = None  # only the edit is left to do
        proposal.attempts += 1
        is_abandoned = proposal.is_wanted is not None and not proposal.is_wanted()
        if is_abandoned or self._now() >= proposal.deadline or proposal.attempts > MAX_ATTEMPTS:
            self._finish_without_majority(proposal)
            return
        name = proposal.register
        self.note_ballot_number(name=name, number=self._highest_numbers.get(name, 0) + 1)
        members = self.members(name)
        number = self._activate(proposal)
        proposal.begin_attempt(
            ballot=Ballot(self._highest_numbers[name], self.own),
            members=members,
            known_revision=self.known_sets.revision(name),
        )
        self._send_prepares(proposal, members)
        self._later(self.pacing.timeout_s(), lambda: self._expire(proposal, number))

    def _send_prepares(self, proposal: Proposal, members: tuple[str, ...]) -> None:
        """Sends a prepare to each of these members that has not been sent one in this attempt."""
        known = proposal.known_value.ballot
        for member in members:
            if member not in proposal.prepared_members:
                proposal.prepared_members.add(member)
                self._send(member, messages.Prepare(proposal.number, proposal.register, proposal.ballot, known))

    def _expire(self, proposal: Proposal, number: int) -> None:
        if proposal.number == number and proposal.stage in (Stage.PREPARE, Stage.ACCEPT):
            self._back_off(proposal)

    def _back_off(self, proposal: Proposal) -> None:
        """Schedules a further attempt after a random pause, or lets a waiting proposal of higher priority run first."""
        if proposal.stage in (Stage.FINISHED, Stage.BACKOFF):
            return
        proposal.stage = Stage.BACKOFF
        if self._requeue_behind_higher_priority(proposal):
            return
        # An attempt takes about half of its timeout, so the attempts of two competing proposers have to be further
        # apart than that. The pauses of a move do not grow, so that it succeeds under a continuous load of changes.
        steps = 1 if proposal.is_move else min(2 ** (proposal.attempts - 1), MAX_BACKOFF_FACTOR)
        pause_s = self._attempt_timeout_s * (MIN_BACKOFF_SHARE + self._chance() * BACKOFF_STEP_SHARE * steps)
        self._later(pause_s, lambda: self._resume_prepare(proposal))

    def _resume_prepare(self, proposal: Proposal) -> None:
        if proposal.stage is not Stage.BACKOFF:
            return
        if self._has_lost_to_other(proposal):
            self._begin_quorum_read(proposal)
        else:
            self._prepare(proposal)

    def handle_promise(self, member: str, reply: messages.Promise) -> None:
        """Counts a reply to a prepare."""
        proposal = self._active_proposal(reply.number, reply.register)
        if proposal is None:
            return
        self.note_ballot_number(name=reply.register, number=max(reply.promised.number, reply.accepted.number))
        if not reply.is_granted:
            if reply.promised > proposal.ballot:
                self._back_off(proposal)
        elif reply.promised != proposal.ballot:
            return
        elif proposal.stage is Stage.ACCEPT:
            self._handle_late_promise(proposal, member, reply)
        elif proposal.stage is Stage.PREPARE:
            self._count_promise(proposal, member, reply)

    def _handle_late_promise(self, proposal: Proposal, member: str, reply: messages.Promise) -> None:
        """Counts a promise that arrives in phase 2, unless it reports a newer value than the attempt is based on."""
        if reply.accepted > proposal.highest.ballot and reply.accepted != proposal.ballot:
            self._back_off(proposal)
        elif member not in proposal.promises:
            proposal.promises[member] = reply.incarnation
            self._send_accept(proposal, member)

    def _count_promise(self, proposal: Proposal, member: str, reply: messages.Promise) -> None:
        proposal.promises[member] = reply.incarnation
        if reply.accepted > proposal.highest.ballot:
            found = AcceptedValue(reply.accepted, reply.revision, reply.value)
            proposal.highest = proposal.restore_omitted_value(found)
            proposal.found_sets = ballots.member_sets(proposal.highest.value)
            for members in proposal.found_sets:
                self._send_prepares(proposal, members)
        if proposal.is_majority(proposal.promises):
            self._accept(proposal)

    # Phase 2.
    def _accept(self, proposal: Proposal) -> None:
        proposal.next_value = chosen = next_value.choose(proposal)
        if not chosen.value:
            self._finish(proposal, chosen.outcome)
            return
        proposal.stage = Stage.ACCEPT
        proposal.written_set = chosen.members
        self._send_prepares(proposal, chosen.members)
        for member in list(proposal.promises):
            self._send_accept(proposal, member)

    def _send_accept(self, proposal: Proposal, member: str) -> None:
        assert proposal.next_value is not None
        request = messages.Accept(
            number=proposal.number,
            register=proposal.register,
            ballot=proposal.ballot,
            incarnation=proposal.promises[member],  # lets an acceptor reject a promise that was lost with its disk
            revision=proposal.next_value.revision,
            value=proposal.next_value.value,
        )
        self._send(member, request)

    def handle_accepted(self, member: str, reply: messages.Accepted) -> None:
        """Counts a reply to an accept."""
        proposal = self._active_proposal(reply.number, reply.register)
        if proposal is None or proposal.stage is not Stage.ACCEPT:
            return
        self.note_ballot_number(name=reply.register, number=reply.ballot.number)
        if not reply.is_granted:
            if reply.ballot > proposal.ballot:
                self._back_off(proposal)
            else:
                proposal.promises.pop(member, None)
            return
        if reply.ballot != proposal.ballot:
            return  # a reply to an earlier process of this node, whose attempts used the same numbers
        proposal.accepts.add(member)
        if proposal.is_majority(proposal.accepts):
            self._handle_chosen(proposal)

    def _handle_chosen(self, proposal: Proposal) -> None:
        """Records the value and the set of this attempt as chosen, and finishes or continues the proposal."""
        written = proposal.next_value
        assert written is not None
        name, revision, value = proposal.register, written.revision, written.value
        self.known_sets.learn_chosen(register=name, revision=revision, value=value)
        self._on_chosen(name, proposal.ballot, revision, value, True)
        is_moving = ballots.is_moving(value)
        if written.is_older_move:
            self._prepare(proposal)
        elif proposal.next_set is not None and proposal.move_outcome is None and is_moving:
            # The move is chosen. One more attempt removes the previous set from the value, after which no majority of
            # that set is needed. The deadline is extended for it, as all other nodes wait for it before they propose.
            proposal.deadline = max(proposal.deadline, self._now() + self.pacing.timeout_s())
            proposal.move_outcome = Outcome(written.error, revision, written.payload, written.result)
            proposal.edit = None
            proposal.next_set = None
            self._prepare(proposal)
        else:
            self._finish(proposal, written.outcome)

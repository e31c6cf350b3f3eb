"""The proposer: compare-and-set in two phases at a majority, of the CASPaxos family (docs/register.md 1, 2).

It owns the proposals of one process, at most one at a time for each register; the others wait in a queue. A proposal
has these stages:

    QUEUED -> QUORUM_READ (reads only) -> PREPARE -> ACCEPT -> FINISHED
                    |                        ^          |
                    +------> BACKOFF --------+ <--------+   a higher ballot was seen, or no majority answered in time

An attempt needs a majority of every set that it finds: the one that this node knew as chosen, those of the values
found, and the one that it writes. Each attempt has a ballot and a number of its own; replies to an older one are not
counted.

A move of the core set goes before rounds that only wait (docs/set-moves.md 9): it is queued in front of them, takes the
place of one that pauses, and other nodes let it pass: their rounds of a register that is about to be moved, or is in
the middle of a move, pause for the time of two attempts, and reads ask once more without a round. Repairs come last in
the same way, and let the attempts of other nodes pass: after a restart of all, every node has the same repairs to make.
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

MAX_ATTEMPTS = 12  # of one proposal
# Pauses and waits are given as shares of the time-out of an attempt.
MIN_BACKOFF_SHARE = 0.1
BACKOFF_STEP_SHARE = 0.4  # the random part of the first pause
MAX_BACKOFF_FACTOR = 8  # how many times longer the random part becomes
READ_TIMEOUT_SHARE = 0.5  # how long a quorum read waits for a majority
RANK_DEFERRAL_SHARE = 0.35  # for each member that is listed before this node

Send = collections.abc.Callable[[str, tuple], object]  # (member, message)
CallLater = collections.abc.Callable[[float, collections.abc.Callable[[], object]], object]  # (delay in seconds, what)
# (register, ballot, revision, value, whether this node made it chosen, so that others have to be notified)
OnChosen = collections.abc.Callable[[str, Ballot, int, bytes, bool], object]


def _ignore_outcome(_error: Exception | None, _revision: int, _payload: object, _result: object) -> None:
    """The default of `done`: the outcome is not needed."""


class Proposer:
    """Changes and reads registers.

    Args:
        own: unique name of this process, HOST/ID; it breaks ties between ballots.
        seeds: the core set in force before any value was chosen; () where this node does not know one.
        send: sends a message to a member.
        later: calls back after a delay.
        now: loop time in seconds.
        chance: returns a random number from 0 to 1.
        on_chosen: called with each value that is found or made chosen.
        limit_s: how long after its begin a proposal begins a further attempt.
        attempt_timeout_s: how long an attempt waits for a majority.
        accepted_value: register to the value on this node's disk, which replies may leave out. None: replies are
            complete.
        average_write_s: how long a write to this node's disk takes lately, in seconds. None: no time at all.
        is_move_expected: register to whether another node is about to move it to another set. None: never.

    Attributes:
        known_sets: the core set of each register.
        pacing: how long attempts take, and when they let those of other nodes pass.
        is_learner: whether this node may not propose, as it does not know the registers yet.
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
        self._highest_numbers: dict[str, int] = {}  # register: highest number of a ballot seen
        self._last_number = 0  # of the newest attempt
        self._active: dict[int, Proposal] = {}  # by the number of the attempt
        self._queues = proposal_queues.ProposalQueues()

    # Calls of this node.
    def members(self, name: str) -> tuple[str, ...]:
        """The core set of a register, as far as this node knows."""
        return self.known_sets.members(name)

    def note_ballot_number(self, *, name: str, number: int) -> None:
        """A ballot number known to be in use: an attempt below it would only be rejected."""
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
        """Changes a register, after the proposals for it that this node began before.

        A move goes before those of them that wait, and any other change before repairs that wait.

        Args:
            name: the register.
            edit: from the payload found to (new payload, result); None: the payload stays. A further attempt may find
                what an earlier one of the same change has written, so an edit has to recognise its own work.
            done: called once with (error or None, revision, payload, result). Errors are what `edit` raised, and
                `QuorumUnavailableError`: then the change may have been made, or may still be.
            next_set: the core set to move the register to.
            is_wanted: called before each attempt; False ends the proposal.
            is_repair: whether it only makes known, or completes, what other proposals left behind.
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
        """Reads a register; `done` and `is_repair` as with `change`, with result None."""
        self.change(name=name, edit=None, done=done, is_repair=is_repair)

    def finish_move(self, *, name: str, is_wanted: collections.abc.Callable[[], bool] | None = None) -> None:
        """Writes the value found once more, without the set before it where the move from that is over.

        Args:
            name: the register.
            is_wanted: called before each attempt; False ends the proposal.
        """

        def unchanged(payload: object) -> tuple[object, None]:
            return payload, None

        self.change(name=name, edit=unchanged, done=_ignore_outcome, is_wanted=is_wanted, is_repair=True)

    # The queue.
    def _deactivate(self, proposal: Proposal) -> None:
        """Puts a proposal that pauses back to waiting in the queue."""
        self._active.pop(proposal.number, None)
        proposal.stage = Stage.QUEUED

    def _let_others_pass(self, proposal: Proposal) -> bool:
        """Requeues a proposal that pauses behind those of a higher priority; returns whether there are any."""
        following = self._queues.let_others_pass(proposal)
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
            # It would take the time of those that wait behind it, until they have none left either: where only a ballot
            # can decide the value, none of them would ever propose (docs/incidents/stale-repairs.md).
            self._fail(proposal)
        elif proposal.is_read or self._looks_first(proposal):
            self._begin_quorum_read(proposal)
        else:
            self._prepare(proposal)

    def _finish(self, proposal: Proposal, outcome: Outcome) -> None:
        if proposal.stage is Stage.FINISHED:
            return
        # A change whose time ran out in the queue never became active; it ends all the same.
        self._active.pop(proposal.number, None)
        proposal.stage = Stage.FINISHED
        following = self._queues.remove(proposal)
        if following is not None:
            self._later(0, lambda: self._start_queued(following))
        # Once a move is chosen, the change is: only what follows a move was still in progress.
        proposal.done(*(proposal.move_outcome or outcome))

    def _has_time_to_propose(self, proposal: Proposal) -> bool:
        """Whether a read that begins now may still propose the value that it finds, if that is not known as chosen."""
        needed_s = self._attempt_timeout_s * READ_TIMEOUT_SHARE + self.pacing.usual_timeout_s
        return self._now() + needed_s < proposal.deadline

    def _fail(self, proposal: Proposal) -> None:
        """Ends a proposal that no majority answered in its time."""
        step = proposal.stage.value or Stage.PREPARE.value
        error = errors.QuorumUnavailableError("no majority", step=step, peer=proposal.register)
        self._finish(proposal, Outcome(error))

    def _start_queued(self, proposal: Proposal) -> None:
        # Another one may have been queued in front of it meanwhile.
        if proposal.stage is Stage.QUEUED and self._queues.is_first(proposal):
            self._start(proposal)

    def _activate(self, proposal: Proposal) -> int:
        """Gives an attempt a number of its own, so that replies to an older attempt are never counted."""
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
        """A quorum read found nothing chosen, so the value has to be proposed again.

        Nodes do that in turn, so that those that all read at once do not compete with their ballots
        (`test_all_nodes_restarting_and_reading_at_once_come_to_an_end`).
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
        proposal.read_replies[member] = proposal.fill_in(accepted)
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
        """The value read is the newest one. A change that finds its work done there, or is refused there, is over."""
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

    def _looks_first(self, proposal: Proposal) -> bool:
        """Whether a change reads before it proposes.

        On slow disks a round takes longer than its caller waits. The same change then comes again, at any node; a read,
        which waits for no disk, finds that it was made. After an attempt that failed beside one of another node it does
        so on any disk: the orders of several nodes end each other's attempts, and a read ends nobody's. It finds what
        the others made meanwhile, and where one of them is at work, nodes go on in turn (`_end_quorum_read`).
        """
        is_change = not proposal.is_move and proposal.edit is not None
        return is_change and (self.pacing.has_slow_disk() or self._has_lost_to_other(proposal))

    def _has_lost_to_other(self, proposal: Proposal) -> bool:
        """Whether an attempt of a call's change failed, and another node attempts one now."""
        is_retry = proposal.attempts > 0 and proposal.edit is not None and proposal.priority is Priority.CALL
        return is_retry and self.pacing.is_other_attempting(proposal.register)

    def _yields(self, proposal: Proposal) -> bool:
        """Whether a round pauses first, as another node is about to move its register, or is changing it."""
        if not self.pacing.has_to_yield(proposal):
            return False
        proposal.stage = Stage.BACKOFF
        has_to_look = proposal.is_read or self._looks_first(proposal)
        resume = self._resume_quorum_read if has_to_look else self._resume_prepare
        self._later(self.pacing.recheck_s, lambda: resume(proposal))
        return True

    def _is_done_by_others(self, proposal: Proposal) -> bool:
        """Whether rounds of other nodes completed a move that this node began.

        A round that finds a move accepted makes it chosen before it writes its own value, which names one set only.
        """
        name = proposal.register
        if proposal.move_outcome is not None:
            return self.known_sets.is_move_over(register=name, revision=proposal.move_outcome.revision)
        return bool(proposal.attempts) and self.members(name) == proposal.next_set

    # Phase 1.
    def _prepare(self, proposal: Proposal) -> None:
        if proposal.stage is Stage.FINISHED or (self._now() < proposal.deadline and self._yields(proposal)):
            return
        if self._is_done_by_others(proposal):
            if proposal.edit is None:
                self._finish(proposal, Outcome(None, self.known_sets.revision(proposal.register)))
                return
            proposal.next_set = None  # what is left is the edit
        proposal.attempts += 1
        is_given_up = proposal.is_wanted is not None and not proposal.is_wanted()
        if is_given_up or self._now() >= proposal.deadline or proposal.attempts > MAX_ATTEMPTS:
            self._fail(proposal)
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
        self._ask(proposal, members)
        self._later(self.pacing.timeout_s(), lambda: self._expire(proposal, number))

    def _ask(self, proposal: Proposal, members: tuple[str, ...]) -> None:
        """Sends a prepare to those of these members that were sent none yet."""
        known = proposal.known_value.ballot
        for member in members:
            if member not in proposal.asked:
                proposal.asked.add(member)
                self._send(member, messages.Prepare(proposal.number, proposal.register, proposal.ballot, known))

    def _expire(self, proposal: Proposal, number: int) -> None:
        if proposal.number == number and proposal.stage in (Stage.PREPARE, Stage.ACCEPT):
            self._back_off(proposal)

    def _back_off(self, proposal: Proposal) -> None:
        """Begins a further attempt after a pause."""
        if proposal.stage in (Stage.FINISHED, Stage.BACKOFF):
            return
        proposal.stage = Stage.BACKOFF
        if self._let_others_pass(proposal):
            return
        # An attempt takes about half of its time-out: the attempts of two competing proposers have to be further apart
        # than that. The pauses of a move of the set do not grow, so that it succeeds while orders keep coming.
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
        """A promise in phase 2 counts only if it knows nothing newer than what this attempt is built on."""
        if reply.accepted > proposal.highest.ballot and reply.accepted != proposal.ballot:
            self._back_off(proposal)
        elif member not in proposal.promises:
            proposal.promises[member] = reply.incarnation
            self._send_accept(proposal, member)

    def _count_promise(self, proposal: Proposal, member: str, reply: messages.Promise) -> None:
        proposal.promises[member] = reply.incarnation
        if reply.accepted > proposal.highest.ballot:
            found = AcceptedValue(reply.accepted, reply.revision, reply.value)
            proposal.highest = proposal.fill_in(found)
            proposal.found_sets = ballots.member_sets(proposal.highest.value)
            for members in proposal.found_sets:
                self._ask(proposal, members)
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
        self._ask(proposal, chosen.members)
        for member in list(proposal.promises):
            self._send_accept(proposal, member)

    def _send_accept(self, proposal: Proposal, member: str) -> None:
        assert proposal.next_value is not None
        request = messages.Accept(
            number=proposal.number,
            register=proposal.register,
            ballot=proposal.ballot,
            incarnation=proposal.promises[member],  # a promise that was lost with a disk cannot be used
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
            return  # a reply to an earlier process of this node, whose attempts had the same numbers
        proposal.accepts.add(member)
        if proposal.is_majority(proposal.accepts):
            self._handle_chosen(proposal)

    def _handle_chosen(self, proposal: Proposal) -> None:
        """The value of this attempt is chosen, and so is its set."""
        written = proposal.next_value
        assert written is not None
        name, revision, value = proposal.register, written.revision, written.value
        self.known_sets.learn_chosen(register=name, revision=revision, value=value)
        self._on_chosen(name, proposal.ballot, revision, value, True)
        is_moving = ballots.is_moving(value)
        if written.is_older_move:
            self._prepare(proposal)
        elif proposal.next_set is not None and proposal.move_outcome is None and is_moving:
            # The move is chosen. One more attempt removes the older set from the value: it is no longer needed then.
            # That attempt is made however late it is, as all other nodes wait for it before they propose.
            proposal.deadline = max(proposal.deadline, self._now() + self.pacing.timeout_s())
            proposal.move_outcome = Outcome(written.error, revision, written.payload, written.result)
            proposal.edit = None
            proposal.next_set = None
            self._prepare(proposal)
        else:
            self._finish(proposal, written.outcome)

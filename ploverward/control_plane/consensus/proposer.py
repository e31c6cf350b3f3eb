"""The proposer: compare-and-set in two rounds at a majority (design 4; the CASPaxos family).

Each value carries the core set it stands under, and the set before it for as long as its own is not known to be chosen.
A round needs a majority of every set on its way: the one it knew, those it found with the highest value, and the one
it writes. `known` holds sets of chosen values only: a set that was merely accepted somewhere may never be chosen, and a
majority of it need not meet a majority of the set in force (docs/register.md 2).
"""

import collections

from ploverward.common import errors
from ploverward.control_plane.consensus import ballots

MAX_ATTEMPTS = 12
LEAST_PAUSE = 0.1  # of the patience, before an attempt is made again
PAUSE_STEP = 0.4  # of the patience: the random part of the first pause
PAUSE_BY_RANK = 0.35  # of the patience, for each member that comes before this node
MAX_BACKOFF_FACTOR = 8  # how many times longer the random part gets


class Round:
    """One change of one register. `edit(payload)` gives the new payload, or None to leave it as it is."""

    __slots__ = (
        "number",
        "name",
        "edit",
        "done",
        "ballot",
        "stage",
        "sets",
        "promises",
        "accepts",
        "best",
        "members",
        "rev",
        "value",
        "payload",
        "attempts",
        "deadline",
        "next_set",
        "timer",
        "is_write",
        "accepted_state",
        "is_settling",
        "outcome",
        "known_rev",
        "is_wanted",
        "has_waited",
    )


class Proposer:
    """`seeds` is the set in force before any value was chosen; () where this node was never told one."""

    def __init__(
        self,
        *,
        own: str,
        seeds: tuple,
        send,
        later,
        now,
        chance,
        on_chosen,
        limit_s: float,
        attempt_timeout_s: float,
        accepted_state=None,
    ):
        self.own = own
        self.known = {}  # register: the newest set known to be chosen
        self.seeds = tuple(seeds)
        self._known_rev = {}  # register: revision of the chosen value that told its set; 0 where only a set is known
        self.is_learner = False  # a learner makes no rounds
        self._accepted_state = accepted_state  # register name -> (ballot, rev, value) that this node holds already
        self._send = send  # (member, message)
        self._later = later
        self._now = now
        self._chance = chance
        self._on_chosen = on_chosen  # (name, ballot, rev, value, whether others are to be told)
        self._limit_s = limit_s
        self._attempt_timeout_s = attempt_timeout_s
        self._top = {}
        self._number = 0
        self._rounds = {}
        self._queues = {}  # register: rounds that wait for the one before them

    def members(self, name: str) -> tuple:
        return self.known.get(name, self.seeds)

    def learn_chosen(self, *, name: str, rev: int, value: bytes) -> None:
        """This value was chosen, and so is its set."""
        if rev >= self._known_rev.get(name, 0):
            self._known_rev[name] = rev
            self.known[name] = ballots.members_of(value)

    def _is_chosen_set(self, work, value: bytes) -> bool:
        """Whether the set of this value was known to be chosen when the attempt began. The same machines may form a set
        twice, so a set is known by the rev of its move: a chosen value at or after that rev stands on the move."""
        return work.known_rev >= ballots.moved_at(value)

    def learn_accepted(self, *, name: str, value: bytes) -> None:
        """This value was found accepted; only the set before a change is known to be chosen."""
        self.known[name] = ballots.member_sets(value)[0]
        self._known_rev[name] = 0

    def change(self, *, name: str, edit, done, next_set=None, is_wanted=None) -> None:
        """`done(problem, rev, payload, result)` is called once. A round that `is_wanted()` denies is not tried again.

        A further attempt may find what an earlier attempt of the same change has written, so an edit must know
        its own work again.
        """
        self._number += 1
        work = Round()
        work.number = self._number
        work.name = name
        work.edit = edit
        work.done = done
        work.attempts = 0
        work.next_set = next_set
        work.deadline = self._now() + self._limit_s
        work.timer = None
        work.stage = ""
        work.accepted_state = (ballots.NONE, 0, b"")
        work.is_settling = False
        work.outcome = None
        work.known_rev = 0
        work.is_wanted = is_wanted
        work.has_waited = False
        queue = self._queues.setdefault(name, collections.deque())
        queue.append(work)
        if len(queue) == 1:
            self._start(work)

    def read(self, *, name: str, done) -> None:
        self.change(name=name, edit=None, done=done)

    def finish_move(self, *, name: str) -> None:
        """Writes the value found once more, without the set before it where the move from that is over."""
        self.change(name=name, edit=lambda payload: (payload, None), done=lambda *_row: None)

    def _start(self, work) -> None:
        """Reads look first: where a majority accepted the highest ballot seen, it is chosen and no promise is needed."""
        if self.is_learner or not self.members(work.name):
            work.stage = "refused"
            self._rounds[work.number] = work
            failure = errors.QuorumUnavailableError("this node is a learner", step="start", peer=work.name)
            self._later(0, lambda: self._finish(work, failure))
        elif work.edit is None and work.next_set is None:
            self._begin_quorum_read(work)
        else:
            self._prepare(work)

    def _finish(self, work, fault, result=None) -> None:
        if work.stage == "over":
            return
        # A change whose time ran out in the queue was never numbered as a round; it ends all the same.
        self._rounds.pop(work.number, None)
        work.stage = "over"
        queue = self._queues[work.name]
        queue.remove(work)
        if queue:
            self._later(0, lambda following=queue[0]: self._start(following) if following.stage == "" else None)
        if work.outcome is not None:  # the change was chosen; only what follows a move was still under way
            work.done(*work.outcome)
        elif fault is None:
            work.done(None, work.rev, work.payload, result)
        else:
            work.done(fault, 0, None, None)

    def _renumber(self, work) -> int:
        """A number of its own for each attempt, so that answers to an older attempt are never counted."""
        self._rounds.pop(work.number, None)
        self._number += 1
        work.number = self._number
        self._rounds[work.number] = work
        return work.number

    def _note_accepted_state(self, work) -> None:
        """What this node holds is named in the request; an answer leaves that value out."""
        if self._accepted_state is not None:
            work.accepted_state = self._accepted_state(work.name)

    def _fill_in(self, work, accepted: tuple, rev: int, value: bytes) -> tuple:
        if not value and accepted != ballots.NONE and accepted == work.accepted_state[0]:
            return work.accepted_state[1:]
        return rev, value

    def _begin_quorum_read(self, work) -> None:
        work.stage = "peek"
        work.promises = {}
        work.sets = [self.members(work.name)]
        work.known_rev = self._known_rev.get(work.name, 0)
        number = self._renumber(work)
        self._note_accepted_state(work)
        for member in work.sets[0]:
            self._send(member, ("peek", number, work.name, *work.accepted_state[0]))
        self._later(self._attempt_timeout_s * 0.5, lambda: self._look_further(work, number))

    def _look_further(self, work, number: int) -> None:
        """A look that found nothing chosen. In turn, so that nodes that all read at once do not meet in rounds."""
        if work.number != number or work.stage != "peek":
            return
        members = self.members(work.name)
        host = self.own.partition("/")[0]
        rank = members.index(host) if host in members else len(members)
        if work.has_waited or rank == 0:
            self._prepare(work)
            return
        work.has_waited = True
        work.stage = "wait"
        pause = self._attempt_timeout_s * PAUSE_BY_RANK * rank
        self._later(pause, lambda: self._begin_quorum_read(work) if work.stage == "wait" else None)

    def handle_quorum_read_reply(self, member: str, message: tuple) -> None:
        _kind, number, name, is_voter, promised_n, _promised_p, accepted_n, accepted_p, rev, value = message
        work = self._rounds.get(number)
        if work is None or work.name != name or work.stage != "peek" or not is_voter:
            return
        self._top[name] = max(self._top.get(name, 0), promised_n, accepted_n)
        rev, value = self._fill_in(work, (accepted_n, accepted_p), rev, value)
        work.promises[member] = ((accepted_n, accepted_p), rev, value)
        members = work.sets[0]
        if not ballots.has_majority(of=members, among=work.promises):
            return
        highest = max(accepted_state[0] for accepted_state in work.promises.values())
        best_members = {other for other, accepted_state in work.promises.items() if accepted_state[0] == highest}
        best = next(accepted_state for accepted_state in work.promises.values() if accepted_state[0] == highest)
        if highest == ballots.NONE:
            work.rev, work.payload = 0, None
            self._finish(work, None)
            return
        found, payload = ballots.unpack(best[2])
        if (
            found == members
            and self._is_chosen_set(work, best[2])
            and ballots.has_majority(of=members, among=best_members)
        ):
            work.rev, work.payload = best[1], payload
            self._on_chosen(name, best[0], best[1], best[2], False)
            self._finish(work, None)
        elif found != members or len(work.promises) == len(members):
            self._look_further(work, work.number)

    def _prepare(self, work) -> None:
        if work.stage == "over":
            return
        work.attempts += 1
        is_given_up = work.is_wanted is not None and not work.is_wanted()
        if is_given_up or self._now() >= work.deadline or work.attempts > MAX_ATTEMPTS:
            self._finish(
                work, errors.QuorumUnavailableError("no majority", step=work.stage or "prepare", peer=work.name)
            )
            return
        top = self._top.get(work.name, 0) + 1
        self._top[work.name] = top
        self._renumber(work)
        work.ballot = (top, self.own)
        work.stage = "prepare"
        work.sets = [self.members(work.name)]
        work.known_rev = self._known_rev.get(work.name, 0)
        work.promises = {}
        work.accepts = set()
        work.best = (ballots.NONE, 0, b"")
        work.is_write = False
        work.is_settling = False
        number = work.number
        self._note_accepted_state(work)
        for member in work.sets[0]:
            self._send_prepare(work, member)
        self._later(self._attempt_timeout_s, lambda: self._expire(work, number))

    def _send_prepare(self, work, member: str) -> None:
        self._send(member, ("prepare", work.number, work.name, *work.ballot, *work.accepted_state[0]))

    def _expire(self, work, number) -> None:
        if work.number == number and work.stage in ("prepare", "accept"):
            self._retry(work)

    def _retry(self, work) -> None:
        if work.stage in ("over", "wait"):
            return
        work.stage = "wait"
        # A round takes about half of the patience: two that meet must come apart by more than that. A move of the set
        # does not step back further and further, so that it comes through where orders press.
        steps = 1 if work.next_set is not None else min(2 ** (work.attempts - 1), MAX_BACKOFF_FACTOR)
        pause = self._attempt_timeout_s * (LEAST_PAUSE + self._chance() * PAUSE_STEP * steps)
        self._later(pause, lambda: self._prepare(work) if work.stage == "wait" else None)

    def note_top(self, *, name: str, number: int) -> None:
        """A ballot number known to be in use: an attempt below it would only be rejected."""
        self._top[name] = max(self._top.get(name, 0), number)

    def take_promise(self, member: str, message: tuple) -> None:
        _kind, number, name, is_granted, incarnation, promised_n, promised_p, accepted_n, accepted_p, rev, value = (
            message
        )
        work = self._rounds.get(number)
        if work is None or work.name != name:
            return
        self._top[name] = max(self._top.get(name, 0), promised_n, accepted_n)
        if not is_granted:
            if (promised_n, promised_p) > work.ballot:
                self._retry(work)
            return
        if (promised_n, promised_p) != work.ballot:
            return
        if work.stage == "accept":
            # A late promise joins only if it knows nothing newer than what this round builds on.
            if (accepted_n, accepted_p) > work.best[0] and (accepted_n, accepted_p) != work.ballot:
                self._retry(work)
                return
            if member not in work.promises:
                work.promises[member] = incarnation
                self._send_accept(work, member)
            return
        if work.stage != "prepare":
            return
        work.promises[member] = incarnation
        if (accepted_n, accepted_p) > work.best[0]:
            rev, value = self._fill_in(work, (accepted_n, accepted_p), rev, value)
            work.best = ((accepted_n, accepted_p), rev, value)
            for members in ballots.member_sets(value):
                self._add_set(work, members)
        if all(ballots.has_majority(of=members, among=work.promises) for members in work.sets):
            self._write(work)

    def _add_set(self, work, members: tuple) -> None:
        """A majority of these members is needed too; who was not yet asked is asked to promise."""
        if members in work.sets:
            return
        for member in members:
            if member not in work.promises and all(member not in known for known in work.sets):
                self._send_prepare(work, member)
        work.sets.append(members)

    def _write(self, work) -> None:
        _ballot, rev, value = work.best
        members, payload, chosen_set = work.sets[0], None, work.sets[0]
        if value:
            members, payload = ballots.unpack(value)
            chosen_set = members if self._is_chosen_set(work, value) else ballots.member_sets(value)[0]
        new_set = tuple(work.next_set) if work.next_set is not None else members
        if new_set != members and chosen_set != members:
            # One move after the other: the set found has to be chosen before the next one is written.
            work.is_settling = True
            work.rev = rev
            work.payload = payload
            self._accept(work, members, value, None, None)
            return
        result = None
        new_payload = payload
        if work.edit is not None:
            try:
                new_payload, result = work.edit(payload)
            except errors.PloverwardError as fault:
                self._commit_found_value(work, chosen_set, payload, fault, None)
                return
        if new_payload is payload and new_set == members:
            self._commit_found_value(work, chosen_set, payload, None, result)
            return
        work.rev = rev + 1
        work.payload = new_payload
        previous, moved_at = (), 0
        if new_set != members:
            previous, moved_at = members, work.rev
        elif chosen_set != members:
            previous, moved_at = chosen_set, ballots.moved_at(value)
        new_value = ballots.pack(members=new_set, payload=new_payload, previous=previous, moved_at=moved_at)
        self._accept(work, new_set, new_value, None, result)

    def _commit_found_value(self, work, chosen_set, payload, fault, result) -> None:
        """Nothing to change: the value found is made safe at a majority under this ballot, then told."""
        _ballot, rev, value = work.best
        work.rev = rev
        work.payload = payload
        if not value:
            self._finish(work, fault, result)
            return
        member_sets = ballots.member_sets(value)
        if member_sets[-1] == chosen_set and len(member_sets) > 1:
            value = ballots.pack(members=chosen_set, payload=payload)
        self._accept(work, member_sets[-1], value, fault, result)

    def _accept(self, work, new_set, value, fault, result) -> None:
        work.stage = "accept"
        work.value = value
        work.is_write = (fault, result)
        self._add_set(work, new_set)
        for member in list(work.promises):
            self._send_accept(work, member)

    def _send_accept(self, work, member) -> None:
        # The incarnation that promised is named: a promise forgotten with a disk can't be used.
        self._send(
            member, ("accept", work.number, work.name, *work.ballot, work.promises[member], work.rev, work.value)
        )

    def take_accepted(self, member: str, message: tuple) -> None:
        _kind, number, name, is_granted, ballot_n, ballot_p = message
        work = self._rounds.get(number)
        if work is None or work.name != name or work.stage != "accept":
            return
        self._top[name] = max(self._top.get(name, 0), ballot_n)
        if is_granted and (ballot_n, ballot_p) != work.ballot:
            return  # an answer to another life of this node, whose rounds had the same number
        if not is_granted:
            if (ballot_n, ballot_p) > work.ballot:
                self._retry(work)
            else:
                work.promises.pop(member, None)
            return
        work.accepts.add(member)
        if all(ballots.has_majority(of=members, among=work.accepts) for members in work.sets):
            self._handle_chosen(work)

    def _handle_chosen(self, work) -> None:
        """The value of this round is chosen, and so is its set."""
        self.learn_chosen(name=work.name, rev=work.rev, value=work.value)
        self._on_chosen(work.name, work.ballot, work.rev, work.value, True)
        fault, result = work.is_write
        if work.is_settling:
            work.is_settling = False
            self._prepare(work)
        elif work.next_set is not None and work.outcome is None and len(ballots.member_sets(work.value)) > 1:
            # The move is agreed. One more round leaves the older set out of the value, so that nobody needs it.
            work.outcome = (fault, work.rev, work.payload, result)
            work.edit = None
            work.next_set = None
            self._prepare(work)
        else:
            self._finish(work, fault, result)

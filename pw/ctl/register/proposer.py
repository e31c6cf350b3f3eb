"""The proposer: compare-and-set in two rounds at a majority (design 4; the CASPaxos family).

Each value carries the core set it stands under. A round needs a majority of every set on its way:
the one it knew, the one it found with the highest value, and the one it writes.
"""

import collections

from pw.base import problems
from pw.ctl.register import ballots

MOST_GOES = 12


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
        "goes",
        "deadline",
        "next_set",
        "timer",
        "is_write",
        "sent",
    )


class Proposer:
    def __init__(
        self, *, own: str, seeds: tuple, send, later, now, chance, on_chosen, limit_s: float, patience_s: float
    ):
        self.own = own
        self.known = {}  # register: core set last seen
        self.seeds = tuple(seeds)
        self._send = send  # (member, message)
        self._later = later
        self._now = now
        self._chance = chance
        self._on_chosen = on_chosen  # (name, ballot, rev, value, whether others are to be told)
        self._limit_s = limit_s
        self._patience_s = patience_s
        self._top = {}
        self._number = 0
        self._rounds = {}
        self._lines = {}  # register: rounds that wait for the one before them

    def members(self, name: str) -> tuple:
        return self.known.get(name, self.seeds)

    def change(self, *, name: str, edit, done, next_set=None) -> None:
        """`done(problem, rev, payload, result)` is called once.

        A further go may find what an earlier go of the same change has written, so an edit must know
        its own work again.
        """
        self._number += 1
        work = Round()
        work.number = self._number
        work.name = name
        work.edit = edit
        work.done = done
        work.goes = 0
        work.next_set = next_set
        work.deadline = self._now() + self._limit_s
        work.timer = None
        work.stage = ""
        line = self._lines.setdefault(name, collections.deque())
        line.append(work)
        if len(line) == 1:
            self._start(work)

    def read(self, *, name: str, done) -> None:
        self.change(name=name, edit=None, done=done)

    def _start(self, work) -> None:
        """Reads look first: where a majority accepted the highest ballot seen, it is chosen and no promise is needed."""
        if work.edit is None and work.next_set is None:
            self._peek(work)
        else:
            self._prepare(work)

    def _finish(self, work, fault, result=None) -> None:
        if self._rounds.pop(work.number, None) is None:
            return
        work.stage = "over"
        line = self._lines[work.name]
        line.remove(work)
        if line:
            self._later(0, lambda following=line[0]: self._start(following) if following.stage == "" else None)
        if fault is None:
            work.done(None, work.rev, work.payload, result)
        else:
            work.done(fault, 0, None, None)

    def _renumber(self, work) -> int:
        """A number of its own for each go, so that answers to an older go are never counted."""
        self._rounds.pop(work.number, None)
        self._number += 1
        work.number = self._number
        self._rounds[work.number] = work
        return work.number

    def _peek(self, work) -> None:
        work.stage = "peek"
        work.promises = {}
        work.sets = [self.members(work.name)]
        number = self._renumber(work)
        for member in work.sets[0]:
            self._send(member, ("peek", number, work.name))
        self._later(
            self._patience_s * 0.5,
            lambda: self._prepare(work) if work.number == number and work.stage == "peek" else None,
        )

    def take_peeked(self, member: str, message: tuple) -> None:
        _kind, number, name, is_voter, promised_n, _promised_p, accepted_n, accepted_p, rev, value = message
        work = self._rounds.get(number)
        if work is None or work.name != name or work.stage != "peek" or not is_voter:
            return
        self._top[name] = max(self._top.get(name, 0), promised_n, accepted_n)
        work.promises[member] = ((accepted_n, accepted_p), rev, value)
        members = work.sets[0]
        if not ballots.has_majority(of=members, among=work.promises):
            return
        highest = max(held[0] for held in work.promises.values())
        holders = {other for other, held in work.promises.items() if held[0] == highest}
        best = next(held for held in work.promises.values() if held[0] == highest)
        if highest == ballots.NONE:
            work.rev, work.payload = 0, None
            self._finish(work, None)
            return
        found, payload = ballots.unpack(best[2])
        if found == members and ballots.has_majority(of=members, among=holders):
            work.rev, work.payload = best[1], payload
            self._on_chosen(name, best[0], best[1], best[2], False)
            self._finish(work, None)
        elif found != members or len(work.promises) == len(members):
            self._prepare(work)

    def _prepare(self, work) -> None:
        if work.stage == "over":
            return
        work.goes += 1
        if self._now() >= work.deadline or work.goes > MOST_GOES:
            self._finish(work, problems.Unreachable("no majority", step=work.stage or "prepare", peer=work.name))
            return
        top = self._top.get(work.name, 0) + 1
        self._top[work.name] = top
        self._renumber(work)
        work.ballot = (top, self.own)
        work.stage = "prepare"
        work.sets = [self.members(work.name)]
        work.promises = {}
        work.accepts = set()
        work.best = (ballots.NONE, 0, b"")
        work.is_write = False
        work.sent = set()
        number = work.number
        for member in work.sets[0]:
            self._send(member, ("prepare", number, work.name, *work.ballot))
        self._later(self._patience_s, lambda: self._expire(work, number))

    def _expire(self, work, number) -> None:
        if work.number == number and work.stage in ("prepare", "accept"):
            self._retry(work)

    def _retry(self, work) -> None:
        if work.stage in ("over", "wait"):
            return
        work.stage = "wait"
        # A round takes about half of the patience: two that meet must come apart by more than that.
        pause = self._chance() * self._patience_s * 0.4 * min(2 ** (work.goes - 1), 8)
        self._later(pause, lambda: self._prepare(work) if work.stage == "wait" else None)

    def note_top(self, *, name: str, number: int) -> None:
        """A ballot number known to be in use: a go below it would only be rejected."""
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
            work.best = ((accepted_n, accepted_p), rev, value)
            members = ballots.unpack(value)[0]
            if members not in work.sets:
                self.known[name] = members
                work.sets.append(members)
                for other in members:
                    if other not in work.promises and other not in work.sets[0]:
                        self._send(other, ("prepare", number, name, *work.ballot))
        if all(ballots.has_majority(of=members, among=work.promises) for members in work.sets):
            self._write(work)

    def _write(self, work) -> None:
        _ballot, rev, value = work.best
        if value:
            members, payload = ballots.unpack(value)
        else:
            members, payload = work.sets[0], None
        result = None
        new_payload = payload
        if work.edit is not None:
            try:
                new_payload, result = work.edit(payload)
            except problems.Problem as fault:
                self._settle(work, rev, members, payload, fault)
                return
        is_same = new_payload is payload and (work.next_set is None or tuple(work.next_set) == members)
        if is_same:
            self._settle(work, rev, members, payload, None, result)
            return
        new_set = tuple(work.next_set) if work.next_set is not None else members
        work.rev = rev + 1
        work.payload = new_payload
        self._accept(work, members, new_set, ballots.pack(members=new_set, payload=new_payload), None, result)

    def _settle(self, work, rev, members, payload, fault, result=None) -> None:
        """Nothing to change: the value found is made safe at a majority under this ballot, then told."""
        work.rev = rev
        work.payload = payload
        if payload is None and not work.best[2]:
            self._finish(work, fault, result) if fault is None else self._finish(work, fault)
            return
        self._accept(work, members, members, work.best[2], fault, result)

    def _accept(self, work, old_set, new_set, value, fault, result) -> None:
        work.stage = "accept"
        work.value = value
        work.is_write = (fault, result)
        if new_set not in work.sets:
            work.sets.append(new_set)
        if old_set not in work.sets:
            work.sets.append(old_set)
        for member in new_set:
            if member not in work.promises and all(member not in known for known in work.sets[:-1]):
                self._send(member, ("prepare", work.number, work.name, *work.ballot))
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
        if not is_granted:
            if (ballot_n, ballot_p) > work.ballot:
                self._retry(work)
            else:
                work.promises.pop(member, None)
            return
        work.accepts.add(member)
        if all(ballots.has_majority(of=members, among=work.accepts) for members in work.sets):
            fault, result = work.is_write
            self.known[name] = ballots.unpack(work.value)[0]
            self._on_chosen(name, work.ballot, work.rev, work.value, True)
            self._finish(work, fault, result)

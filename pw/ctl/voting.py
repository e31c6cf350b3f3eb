"""Acceptor, proposer, disk and the refill of an emptied core node (design 4)."""

from pw.base import problems
from pw.base import ring
from pw.ctl.register import acceptor as acceptors
from pw.ctl.register import ballots
from pw.ctl.register import proposer as proposers
from pw.ctl.register import store as stores
from pw.ctl import registers


class VotingMixin:
    """Acceptor, proposer, disk and the refill of an emptied node (design 4)."""

    def start_voting(self) -> None:
        self.store = stores.Store(
            disk=self.runtime.disk(folder=self.settings.data_dir),
            limit_bytes=int(max(self.settings.disk_mb, 8) * 1024 * 1024 / 16),
        )
        self._unsafe = []  # (row, send when safe)
        self._is_writing = False
        self._refill_number = 0
        self._refilled = {}
        self.is_damaged = False
        try:
            incarnation, rows = self.store.load()
            ring.note("register read", incarnation=incarnation, registers={name: row[5] for name, row in rows.items()})
        except (problems.StoreProblem, OSError) as fault:
            ring.spill(f"the register's file can't be read, this node refills: {fault}")
            incarnation, rows = "", {}
            self.is_damaged = True
        self.acceptor = acceptors.Acceptor(incarnation=incarnation, rows=rows)
        self.proposer = proposers.Proposer(
            own=f"{self.own}/{self.runtime.unique_id()[:6]}",
            seeds=tuple(sorted(host for host, _port in self.settings.seeds)),
            send=self._send_core,
            later=lambda delay, act: self.loop.after(delay=delay, act=act),
            now=self.loop.now,
            chance=self.runtime.chance,
            on_chosen=self._on_chosen,
            limit_s=self.receipt_s / 2,
            patience_s=self.receipt_s / 10,
        )
        for name in self.acceptor.table:
            value = self.acceptor.get(name)[3]
            self.proposer.note_top(name=name, number=self.acceptor.get(name)[0][0])
            if value:
                self.proposer.known[name] = ballots.unpack(value)[0]
        if not incarnation and self.settings.first_start:
            self.acceptor.incarnation = self.runtime.unique_id()
            self._make_safe(None, None)
        if not self.acceptor.votes:
            self._ask_refill()

    def _send_core(self, member: str, message: tuple) -> None:
        if member == self.own:
            self.loop.command(act=lambda: self._take_register(self.own, None, message))
            return
        dialer = self.dialers.get(member)
        if dialer is not None and dialer.link is not None:
            dialer.link.send(message)

    def _answer(self, member: str, link, message: tuple) -> None:
        if link is None:
            self._take_register(member, None, message)
        else:
            link.send(message)

    def _take_register(self, member: str, link, message: tuple) -> bool:
        kind = message[0]
        if kind in ("prepare", "accept"):
            act = self.acceptor.prepare if kind == "prepare" else self.acceptor.accept
            answer, row = act(message)
            self.proposer.note_top(name=message[2], number=self.acceptor.get(message[2])[0][0])
            self._make_safe(row, lambda: self._answer(member, link, answer))
        elif kind == "promise":
            self.proposer.take_promise(member, message)
        elif kind == "peek":
            answer = self.acceptor.peek(message)
            self._make_safe(None, lambda: self._answer(member, link, answer))
        elif kind == "peeked":
            self.proposer.take_peeked(member, message)
        elif kind == "accepted":
            self.proposer.take_accepted(member, message)
        elif kind == "chosen":
            _kind, name, ballot_n, ballot_p, rev = message
            _promised, accepted, _rev, value = self.acceptor.get(name)
            if accepted == (ballot_n, ballot_p):
                self._publish(name, rev, value)
        elif kind == "refill":
            is_intact = self.acceptor.votes
            link.send(("refilled", message[1], is_intact, self.acceptor.rows() if is_intact else ()))
        elif kind == "refilled":
            self._take_refilled(member, message)
        else:
            return False
        return True

    def _make_safe(self, row, act) -> None:
        """`act` runs once all that came before it is on the disk."""
        if row is None and act is not None and not self._unsafe and not self._is_writing:
            act()
            return
        self._unsafe.append((row, act))
        self._write_next()

    def _write_next(self) -> None:
        if self._is_writing or not self._unsafe:
            return
        batch, self._unsafe = self._unsafe, []
        rows = tuple(row for row, _act in batch if row is not None)
        incarnation, table = self.acceptor.incarnation, self.acceptor.rows()
        self._is_writing = True

        def done(future):
            self._is_writing = False
            fault = future.exception()
            if fault is not None:
                ring.spill(f"the disk refused a write, this node does not answer for it: {fault}")
                # What was not made safe is written whole with the next try; nothing was answered.
                self.loop.after(delay=self.receipt_s / 20, act=self._write_whole)
                return
            for _row, act in batch:
                if act is not None:
                    act()
            self._write_next()

        self.loop.offload(work=lambda: self.store.write(rows=rows, incarnation=incarnation, table=table), done=done)

    def _write_whole(self) -> None:
        for row in self.acceptor.rows():
            self._unsafe.append((row, None))
        self._write_next()

    def _ask_refill(self) -> None:
        if self.acceptor.votes:
            return
        self._refill_number += 1
        ring.note("refill asked", had={member: len(rows) for member, rows in self._refilled.items()})
        self._refilled = {}
        for _member, dialer in self.dialers.items():
            if dialer.link is not None and dialer.link.is_up:
                dialer.link.send(("refill", self._refill_number))
        self.loop.after(delay=self.contact_s / 16, act=self._ask_refill)

    def _take_refilled(self, member: str, message: tuple) -> None:
        _kind, number, is_intact, rows = message
        if self.acceptor.votes or number != self._refill_number or not is_intact:
            return
        self._refilled[member] = rows
        newest = {}
        for states in self._refilled.values():
            for row in states:
                if row[6] and (row[3], row[4]) > newest.get(row[0], (ballots.NONE, b""))[0]:
                    newest[row[0]] = ((row[3], row[4]), row[6])
        members = self.proposer.seeds
        sets = [ballots.unpack(value)[0] for _ballot, value in newest.values()] or [members]
        for members in sets:
            others = [other for other in members if other != self.own]
            need = len(members) - ballots.majority(members) + 1
            if self.own not in members:
                need = ballots.majority(members)
            if sum(1 for other in others if other in self._refilled) < min(need, len(others)):
                return
        incarnation = self.runtime.unique_id()
        self.acceptor.refill(incarnation="", states=tuple(self._refilled.values()))
        staged = acceptors.Acceptor(incarnation=incarnation, rows={row[0]: row for row in self.acceptor.rows()})
        self.acceptor = staged
        for row in staged.rows():
            if row[6]:
                self.proposer.known[row[0]] = ballots.unpack(row[6])[0]
            self._unsafe.append((row, None))
        self._unsafe.append((None, self._refill_over))
        self._write_next()

    def _refill_over(self) -> None:
        ring.note("refilled", incarnation=self.acceptor.incarnation)
        self._read_all()

    def _read_all(self) -> None:
        for name in registers.REGISTERS:
            self._repair(name)

    def _read_unknown(self) -> None:
        """What is on the disk but not yet known as chosen."""
        for name in registers.REGISTERS:
            if not self.desk.serial(name)[1] and name not in self._reading:
                self._repair(name)

    def _repair(self, name: str) -> None:
        self._reading.add(name)
        self.proposer.read(name=name, done=lambda fault, rev, payload, result: self._reading.discard(name))

    def _on_chosen(self, name: str, ballot: tuple, rev: int, value: bytes, is_news: bool) -> None:
        self._publish(name, rev, value)
        if not is_news:
            return
        for member in self.members():
            if member != self.own:
                self._send_core(member, ("chosen", name, *ballot, rev))

    def _publish(self, name: str, rev: int, value: bytes) -> None:
        if not value or not self.desk.publish(topic=name, epoch=0, number=rev, data=value):
            return
        ring.note("chosen", register=name, rev=rev)
        members, payload = ballots.unpack(value)
        self.proposer.known[name] = members
        self._apply(name, payload, members)

    def _mend(self) -> None:
        """A value accepted here but not known as chosen for a while is finished by a read."""
        if not self.acceptor.votes:
            return
        members = self.members()
        turn = 2 + (members.index(self.own) if self.own in members else len(members))
        for name in registers.REGISTERS:
            rev = self.acceptor.get(name)[2]
            if rev <= self.desk.serial(name)[1]:
                self._behind.pop(name, None)
                continue
            known, beats = self._behind.get(name, (rev, 0))
            beats = beats + 1 if known == rev else 1
            if beats >= turn:  # in turn, so that the core nodes do not meet in it
                self._repair(name)
                beats = 0
            self._behind[name] = (rev, beats)

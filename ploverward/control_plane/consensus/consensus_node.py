"""One core node's part in the registers: acceptor, proposer, disk, and how a learner comes by them (docs/register.md)."""

import logging

from ploverward.common import errors
from ploverward.common.identifiers import Version
from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import catch_up
from ploverward.control_plane.consensus import proposer as proposers
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.consensus import write_ahead_log

_log = logging.getLogger(__name__)

ATTEMPT_TIMEOUT_SHARE = 1 / 10  # of receiptMs: how long an attempt waits for a majority
LIMIT_SHARE = 1 / 2  # of receiptMs: how long a round is tried again
RETRY_SHARE = 1 / 20  # of receiptMs: from a failed write to the next try
HANG_ATTEMPT_TIMEOUTS = 2  # a write that takes longer helps no attempt: this node votes for nothing meanwhile
LOOK_SHARE = 1 / 16  # of contactMs: how often a learner asks
DISK_SHARE = 1 / 16  # of the disk: the register's file is written anew once it is longer
LEAST_DISK_MB = 8.0
MEGABYTE = 1024 * 1024


class ConsensusNode:
    """Votes, proposes, reads and learns for one node.

    `send` (member, message) and `ask_cores` (message) reach other core nodes; `publish` (name, rev, value) says whether
    a chosen value is news; `on_value` (name, payload, members) takes it; `version` (name) is the newest known as chosen.
    """

    def __init__(
        self,
        *,
        loop,
        own: str,
        store,
        seeds: tuple,
        is_first_start: bool,
        chance,
        unique_id,
        receipt_s: float,
        contact_s: float,
        send,
        broadcast_to_cores,
        members,
        publish,
        on_value,
        version,
    ):
        self._loop = loop
        self.own = own
        self._unique_id = unique_id
        self._contact_s = contact_s
        self._send_other = send
        self._broadcast_to_cores = broadcast_to_cores
        self._members = members
        self._publish = publish
        self._on_value = on_value
        self._version = version
        self._reading = set()
        self._behind = {}  # register: (version, beats for which it has been accepted here and not known as chosen)
        self._catch_up = catch_up.LearnerCatchUp(own=own, registers=register_names.REGISTERS)
        self._catch_up_begun_at = loop.now()
        attempt_timeout_s = receipt_s * ATTEMPT_TIMEOUT_SHARE
        self.write_ahead_log = write_ahead_log.WriteAheadLog(
            loop=loop, store=store, retry_s=receipt_s * RETRY_SHARE, hang_s=attempt_timeout_s * HANG_ATTEMPT_TIMEOUTS
        )
        self.proposer = proposers.Proposer(
            own=f"{own}/{unique_id()[:6]}",
            seeds=(),
            send=self.send,
            later=lambda delay, callback: loop.after(delay=delay, callback=callback),
            now=loop.now,
            chance=chance,
            on_chosen=self._on_chosen,
            limit_s=receipt_s * LIMIT_SHARE,
            attempt_timeout_s=attempt_timeout_s,
            accepted_state=lambda name: self.write_ahead_log.accepted_state.get(name)[1:],
        )
        self.acceptor = acceptors.Acceptor()
        self._load(store, seeds, is_first_start)

    def _load(self, store, seeds: tuple, is_first_start: bool) -> None:
        self.is_damaged = False
        try:
            image = store.load()
            _log.debug(
                "registers_loaded",
                extra={"incarnation": image.incarnation, "registers": {row[0]: row[5] for row in image.rows}},
            )
        except (errors.StorageError, OSError) as failure:
            _log.error("registers_unreadable", extra={"fault": str(failure)})
            image = acceptor_storage.Image()
            self.is_damaged = True
        if not image.incarnation and is_first_start and not self.is_damaged:
            # All start at once with empty disks, and all are told the same seeds: only then are they the first set.
            image = acceptor_storage.Image(incarnation=self._unique_id(), first_set=tuple(sorted(seeds)))
        if image.incarnation:
            self._begin(image, on_safe=None)
        else:
            self.proposer.is_learner = True
            self._look()

    def _begin(self, image, *, on_safe) -> None:
        """Goes on with these rows; nothing of them is told before they are written once more."""
        self.acceptor = acceptors.Acceptor(incarnation=image.incarnation, rows={row[0]: row for row in image.rows})
        self.proposer.seeds = image.first_set
        for row in image.rows:
            name, number, value = row[0], row[1], row[6]
            self.proposer.note_top(name=name, number=number)
            if value:
                self.proposer.learn_accepted(name=name, value=value)
        self.write_ahead_log.begin(acceptor=self.acceptor, first_set=image.first_set, on_safe=on_safe)

    # Messages.
    def send(self, member: str, message: tuple) -> None:
        if member == self.own:
            self._loop.command(callback=lambda: self.handle(self.own, None, message))
        else:
            self._send_other(member, message)

    def _answer(self, member: str, link, message: tuple) -> None:
        if link is None:
            self.handle(member, None, message)
        else:
            link.send(message)

    def handle(self, member: str, link, message: tuple) -> bool:
        """A message of the registers; False where it is none."""
        kind = message[0]
        if kind in ("prepare", "accept"):
            self._vote(member, link, message)
        elif kind == "promise":
            self.proposer.take_promise(member, message)
        elif kind == "peek":
            self._answer(member, link, self.write_ahead_log.accepted_state.quorum_read(message))
        elif kind == "peeked":
            self.proposer.handle_quorum_read_reply(member, message)
        elif kind == "accepted":
            self.proposer.take_accepted(member, message)
        elif kind == "chosen":
            self._handle_chosen(message)
        elif kind == "refill":
            self._handle_catch_up_request(member, link, message)
        elif kind == "refilled":
            self._handle_catch_up_reply(member, message)
        else:
            return False
        return True

    def _vote(self, member: str, link, message: tuple) -> None:
        is_prepare = message[0] == "prepare"
        name = message[2]
        if self.write_ahead_log.is_hindered:
            # Nothing changes here, so that the others can agree without this node.
            accepted_state = self.write_ahead_log.accepted_state
            self._answer(
                member,
                link,
                accepted_state.refuse_prepare(message) if is_prepare else accepted_state.refuse_accept(message),
            )
            return
        answer, row = self.acceptor.prepare(message) if is_prepare else self.acceptor.accept(message)
        self.proposer.note_top(name=name, number=self.acceptor.get(name)[0][0])
        self.write_ahead_log.record(row=row)
        self.write_ahead_log.respond(
            key=(member, message[0], name), callback=lambda: self._answer(member, link, answer)
        )

    def _handle_chosen(self, message: tuple) -> None:
        _kind, name, ballot_n, ballot_p, rev = message
        _promised, accepted, _rev, value = self.acceptor.get(name)
        if accepted == (ballot_n, ballot_p):
            self.publish(name, rev, value)

    # Learning.
    def _handle_catch_up_request(self, member: str, link, message: tuple) -> None:
        """A learner asks. It is told what the disk holds, and what it asks to be promised is promised first."""
        _kind, number, asked = message
        fences = {row[0]: (row[1], row[2]) for row in asked if row[1]}
        known = {row[0]: (row[3], row[4]) for row in asked}
        if fences and self.write_ahead_log.is_hindered:
            return
        if self.acceptor.votes:
            for name, ballot in fences.items():
                self.write_ahead_log.record(row=self.acceptor.fence(name=name, ballot=ballot))

        def respond() -> None:
            accepted_state = self.write_ahead_log.accepted_state
            rows = (
                (catch_up.first_set_row(self.proposer.seeds), *accepted_state.rows(known=known))
                if accepted_state.votes
                else ()
            )
            link.send(("refilled", number, accepted_state.votes, rows))

        if fences:
            self.write_ahead_log.respond(key=(member, "refill", ""), callback=respond)
        else:
            respond()

    def _look(self) -> None:
        """Asks the core nodes in touch again and again, until enough of them answered."""
        if self.acceptor.votes:
            return
        if self._loop.now() - self._catch_up_begun_at > self._contact_s:
            self._catch_up_begun_at = self._loop.now()
            self._catch_up.start()
        _log.debug(
            "catch_up_requested", extra={"had": {member: len(rows) for member, rows in self._catch_up.answers.items()}}
        )
        self._broadcast_to_cores(self._catch_up.request())
        self._loop.after(delay=self._contact_s * LOOK_SHARE, callback=self._look)

    def _handle_catch_up_reply(self, member: str, message: tuple) -> None:
        _kind, number, is_intact, rows = message
        if self.acceptor.votes or not is_intact:
            return
        stage = self._catch_up.stage
        first_set, rows = catch_up.split_first_set(rows)
        self._catch_up.handle(member=member, number=number, first_set=first_set, rows=rows)
        if self._catch_up.stage == catch_up.DONE:
            self._finish_catch_up()
        elif self._catch_up.stage != stage:
            self._broadcast_to_cores(self._catch_up.request())

    def _finish_catch_up(self) -> None:
        gathered = acceptors.Acceptor()
        rows = gathered.catch_up(incarnation="", states=tuple(self._catch_up.answers.values()))
        image = acceptor_storage.Image(incarnation=self._unique_id(), first_set=self._catch_up.first_set, rows=rows)
        self._begin(image, on_safe=self._on_caught_up)

    def _on_caught_up(self) -> None:
        _log.debug("catch_up_finished", extra={"incarnation": self.acceptor.incarnation})
        self.proposer.is_learner = False
        for name in register_names.REGISTERS:
            self.repair(name)

    @property
    def is_voter(self) -> bool:
        """Whether a majority may count on this node now: its disk holds its identity and takes writes."""
        return (
            self.write_ahead_log.accepted_state.votes
            and not self.proposer.is_learner
            and not self.write_ahead_log.is_hindered
        )

    # Reading and mending.
    def minimum_versions(self) -> tuple:
        """(register, newest version that this node's disk holds), for each register."""
        return tuple((name, self.write_ahead_log.accepted_state.get(name)[2]) for name in register_names.REGISTERS)

    def read_unknown(self) -> None:
        """What is on the disk but not yet known as chosen."""
        for name in register_names.REGISTERS:
            if not self._version(name) and name not in self._reading:
                self.repair(name)

    def repair(self, name: str) -> None:
        self._reading.add(name)
        self.proposer.read(name=name, done=lambda _failure, _rev, _payload, _result: self._reading.discard(name))

    def is_reading(self, name: str) -> bool:
        return name in self._reading

    def run_anti_entropy(self) -> None:
        """A value accepted here but not known as chosen for a while is finished by a read, a half-done move by a round."""
        if not self.acceptor.votes:
            return
        members = self._members()
        repair_after_beats = 2 + (members.index(self.own) if self.own in members else len(members))
        for name in register_names.REGISTERS:
            _promised, _accepted, rev, value = self.write_ahead_log.accepted_state.get(name)
            is_open = rev > self._version(name)
            if not is_open and not (value and len(ballots.member_sets(value)) > 1):
                self._behind.pop(name, None)
                continue
            known, beats = self._behind.get(name, (rev, 0))
            beats = beats + 1 if known == rev else 1
            if beats >= repair_after_beats:  # in turn, so that the core nodes do not meet in it
                self.repair(name) if is_open else self.proposer.finish_move(name=name)
                beats = 0
            self._behind[name] = (rev, beats)

    def _on_chosen(self, name: str, ballot: tuple, rev: int, value: bytes, is_newly_chosen: bool) -> None:
        self.publish(name, rev, value)
        if not is_newly_chosen:
            return
        for member in self._members():
            if member != self.own:
                self.send(member, ("chosen", name, *ballot, rev))

    def publish(self, name: str, rev: int, value: bytes) -> None:
        """A value that is known to be chosen."""
        if not value or not self._publish(name, rev, value):
            return
        _log.debug("value_chosen", extra={"register": name, "rev": rev})
        members, payload = ballots.unpack(value)
        self.proposer.learn_chosen(name=name, rev=rev, value=value)
        self._on_value(name, payload, members)


class VotingMixin:
    """Holds the `ConsensusNode` of a core node under the names that its other parts use."""

    def start_voting(self) -> None:
        disk_mb = max(self.settings.disk_mb, LEAST_DISK_MB)
        self.store = acceptor_storage.AcceptorStorage(
            disk=self.runtime.disk(folder=self.settings.data_dir), limit_bytes=int(disk_mb * MEGABYTE * DISK_SHARE)
        )
        self.voting = ConsensusNode(
            loop=self.loop,
            own=self.own,
            store=self.store,
            seeds=tuple(host for host, _port in self.settings.seeds),
            is_first_start=self.settings.first_start,
            chance=self.runtime.chance,
            unique_id=self.runtime.unique_id,
            receipt_s=self.receipt_s,
            contact_s=self.contact_s,
            send=self._send_core,
            broadcast_to_cores=self._broadcast_to_cores,
            members=lambda: self.members(),
            publish=lambda name, rev, value: self.publisher.publish(topic=name, version=Version(0, rev), data=value),
            on_value=self._apply,
            version=lambda name: self.publisher.version(name)[1],
        )

    @property
    def acceptor(self):
        return self.voting.acceptor

    @property
    def proposer(self):
        return self.voting.proposer

    def _send_core(self, member: str, message: tuple) -> None:
        connector = self.connectors.get(member)
        if connector is not None and connector.link is not None:
            connector.link.send(message)

    def _broadcast_to_cores(self, message: tuple) -> None:
        for connector in self.connectors.values():
            if connector.link is not None and connector.link.is_up:
                connector.link.send(message)

    def _handle_register_message(self, member: str, link, message: tuple) -> bool:
        return self.voting.handle(member, link, message)

    def _read_unknown(self) -> None:
        self.voting.read_unknown()

    def _repair(self, name: str) -> None:
        self.voting.repair(name)

    def _run_anti_entropy(self) -> None:
        self.voting.run_anti_entropy()

    def _publish(self, name: str, rev: int, value: bytes) -> None:
        self.voting.publish(name, rev, value)

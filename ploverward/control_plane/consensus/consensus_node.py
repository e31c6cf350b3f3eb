"""The consensus part of a core node: acceptor, proposer, write-ahead log, and catch-up as a learner (docs/register.md).

`ConsensusNode` owns these for the lifetime of one process and connects them: requests go to the acceptor and are
answered once the write-ahead log has made the reported state durable; replies are passed to the proposer. A node votes
only with an identity on its disk; without one it is a learner until it has caught up from a majority.
"""

import collections.abc
import functools
import logging
import typing

from ploverward.common import errors
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import catch_up
from ploverward.control_plane.consensus import proposer as proposers
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.consensus import write_ahead_log
from ploverward.transport import interfaces
from ploverward.transport import messages

_log = logging.getLogger(__name__)

# Fractions of `receipt_s`, the time within which an order has to be acknowledged.
ATTEMPT_TIMEOUT_SHARE = 1 / 10  # how long an attempt waits for a majority
PROPOSAL_LIMIT_SHARE = 1 / 2  # how long a proposal may begin further attempts
WRITE_RETRY_SHARE = 1 / 20  # delay before a failed write is retried
# In attempt timeouts. A write that takes longer is too late for any attempt, so this node does not vote meanwhile.
HANG_ATTEMPT_TIMEOUTS = 2
CATCH_UP_INTERVAL_SHARE = 1 / 16  # interval of a learner's requests, as a fraction of `contact_s`
REPAIR_AFTER_HEARTBEATS = 2  # for the first member of the core set; each further member waits one heartbeat more


Handler = collections.abc.Callable[[str, interfaces.Connection | None, typing.Any], None]


class ConsensusNode:
    """Runs the acceptor, proposer and learner of one core node.

    Args:
        loop: the event loop.
        own: address of this node, which is its name as a member.
        store: the acceptor's storage.
        seeds: the first core set, used at the first start of the cluster.
        is_first_start: whether the settings say that all nodes start for the first time, with empty disks and the
            same seeds. The seeds are asked to confirm this before they found a first set.
        chance: returns a random number from 0 to 1.
        unique_id: returns a new unique id.
        receipt_s: the time in seconds within which an order has to be acknowledged.
        contact_s: the setting contactMs in seconds: the time within which every node must notice the loss of a node.
        send: sends a message to another core node.
        broadcast_to_cores: sends a message to all connected core nodes.
        members: returns the core set, as this node knows it.
        publish: takes a register, revision and value known to be chosen; returns whether the revision is a newer one.
        on_value: called with register, payload and members of each newer value.
        version: returns the newest revision of a register known to be chosen.
        on_founded: called once with the first set, if this node takes part in founding it.

    Attributes:
        acceptor: the acceptor's state in memory, which may be ahead of the disk.
        proposer: makes changes and reads.
        write_ahead_log: delays replies until their state is durable.
        is_damaged: whether the file of the registers could not be read at the start.
    """

    def __init__(
        self,
        *,
        loop: interfaces.Loop,
        own: str,
        store: acceptor_storage.AcceptorStorage,
        seeds: tuple[str, ...],
        is_first_start: bool,
        chance: collections.abc.Callable[[], float],
        unique_id: collections.abc.Callable[[], str],
        receipt_s: float,
        contact_s: float,
        send: collections.abc.Callable[[str, tuple], object],
        broadcast_to_cores: collections.abc.Callable[[tuple], object],
        members: collections.abc.Callable[[], tuple[str, ...]],
        publish: collections.abc.Callable[[str, int, bytes], bool],
        on_value: collections.abc.Callable[[str, typing.Any, tuple[str, ...]], object],
        version: collections.abc.Callable[[str], int],
        on_founded: collections.abc.Callable[[tuple[str, ...]], object] = lambda _first_set: None,
    ) -> None:
        self._loop = loop
        self.own = own
        self._unique_id = unique_id
        self._contact_s = contact_s
        self._send_to_peer = send
        self._broadcast_to_cores = broadcast_to_cores
        self._members = members
        self._publish = publish
        self._on_value = on_value
        self._version = version
        self._on_founded = on_founded
        self._is_first_start = is_first_start  # cleared if an identity is found on the disk
        self._registers_in_repair: set[str] = set()  # registers that are being read to learn the chosen value
        # register: (revision accepted here and not known as chosen or still in a move, number of heartbeats since)
        self._unrepaired: dict[str, tuple[int, int]] = {}
        self._catch_up = catch_up.LearnerCatchUp(own=own, registers=register_names.REGISTERS)
        self._catch_up_begun_at = loop.now()
        attempt_timeout_s = receipt_s * ATTEMPT_TIMEOUT_SHARE
        self.write_ahead_log = write_ahead_log.WriteAheadLog(
            loop=loop,
            storage=store,
            retry_s=receipt_s * WRITE_RETRY_SHARE,
            hang_s=attempt_timeout_s * HANG_ATTEMPT_TIMEOUTS,
        )
        self.proposer = proposers.Proposer(
            own=f"{own}/{unique_id()[:6]}",
            seeds=(),
            send=self.send,
            later=lambda delay, callback: loop.after(delay=delay, callback=callback),
            now=loop.now,
            chance=chance,
            on_chosen=self._on_chosen,
            limit_s=receipt_s * PROPOSAL_LIMIT_SHARE,
            attempt_timeout_s=attempt_timeout_s,
            accepted_value=lambda name: self.write_ahead_log.durable.get(name).accepted_value,
            average_write_s=lambda: self.write_ahead_log.average_write_s,
            is_move_expected=self._is_move_expected,
        )
        self.acceptor = acceptors.Acceptor()
        self._handlers: dict[type, Handler] = {
            messages.Prepare: self._handle_prepare,
            messages.Accept: self._handle_accept,
            messages.QuorumRead: self._handle_quorum_read,
            messages.CatchUpRequest: self._handle_catch_up_request,
            messages.CatchUpReply: self._handle_catch_up_reply,
            messages.Chosen: self._handle_chosen,
            messages.Promise: lambda member, _link, reply: self.proposer.handle_promise(member, reply),
            messages.Accepted: lambda member, _link, reply: self.proposer.handle_accepted(member, reply),
            messages.QuorumReadReply: lambda member, _link, reply: self.proposer.handle_quorum_read_reply(
                member, reply
            ),
        }
        self._load(store, seeds, is_first_start)

    # Startup.
    def _load(
        self, store: acceptor_storage.AcceptorStorage, seeds: collections.abc.Iterable[str], is_first_start: bool
    ) -> None:
        self.is_damaged = False
        try:
            image = store.load()
            revisions = {row.register: row.revision for row in image.rows}
            _log.debug("registers_loaded", extra={"incarnation": image.incarnation, "registers": revisions})
        except (errors.StorageError, OSError) as error:
            _log.error("registers_unreadable", extra={"fault": str(error)})
            image = acceptor_storage.AcceptorImage()
            self.is_damaged = True
        if image.incarnation:
            self._is_first_start = False
            self._start_from_image(image)
            return
        first_set = tuple(sorted(seeds))
        if is_first_start and not self.is_damaged and self.own in first_set:
            self._catch_up = catch_up.LearnerCatchUp(
                own=self.own, registers=register_names.REGISTERS, founding_set=first_set
            )
        self.proposer.is_learner = True
        if self._catch_up.founding_set == (self.own,):
            self._catch_up.first_set = first_set
            self._finish_catch_up()  # the only member has no peer to catch up from
        else:
            self._request_catch_up()

    def _start_from_image(
        self, image: acceptor_storage.AcceptorImage, *, on_durable: collections.abc.Callable[[], None] | None = None
    ) -> None:
        """Starts with the acceptor state of an image.

        What was read from the disk is not known to be durable, so nothing of it is sent before it has been written
        again (docs/register.md 3).
        """
        self.acceptor = acceptors.Acceptor(incarnation=image.incarnation, rows=image.rows)
        self.proposer.known_sets.seeds = image.first_set
        for row in image.rows:
            self.proposer.note_ballot_number(name=row.register, number=row.promised.number)
            if row.value:
                self.proposer.known_sets.learn_accepted(register=row.register, value=row.value)
        self.write_ahead_log.begin(acceptor=self.acceptor, first_set=image.first_set, on_durable=on_durable)

    # Messages.
    def send(self, member: str, message: tuple) -> None:
        """Sends a message to a core node, which may be this one."""
        if member == self.own:
            self._loop.call_soon_threadsafe(callback=lambda: self.handle(self.own, None, message))
        else:
            self._send_to_peer(member, message)

    def _reply(self, member: str, link: interfaces.Connection | None, message: tuple) -> None:
        if link is None:
            self.handle(member, None, message)
        else:
            link.send(message)

    def handle(self, member: str, link: interfaces.Connection | None, message: tuple) -> bool:
        """Handles a message of the registers.

        Args:
            member: the core node that sent it.
            link: the connection for a reply; None: this node itself.
            message: the decoded message.

        Returns:
            Whether it was a message of the registers.
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            return False
        handler(member, link, message)
        return True

    # Requests to the acceptor. While the disk fails or hangs, its state does not change and requests are rejected: the
    # other members can reach a majority without this node.
    def _handle_prepare(self, member: str, link: interfaces.Connection | None, request: messages.Prepare) -> None:
        if self.write_ahead_log.is_unavailable:
            self._reply(member, link, self.write_ahead_log.durable.reject_prepare(request))
        else:
            if member != self.own:
                self.proposer.pacing.note_other_attempt(name=request.register)
            self._reply_when_durable(member, link, request, self.acceptor.prepare(request))

    def _handle_accept(self, member: str, link: interfaces.Connection | None, request: messages.Accept) -> None:
        if self.write_ahead_log.is_unavailable:
            self._reply(member, link, self.write_ahead_log.durable.reject_accept(request))
        else:
            self._reply_when_durable(member, link, request, self.acceptor.accept(request))

    def _reply_when_durable(
        self,
        member: str,
        link: interfaces.Connection | None,
        request: messages.Prepare | messages.Accept,
        result: acceptors.AcceptorResult,
    ) -> None:
        name = request.register
        self.proposer.note_ballot_number(name=name, number=self.acceptor.get(name).promised.number)
        self.write_ahead_log.append(row=result.row)
        self.write_ahead_log.when_durable(
            key=(member, type(request), name), callback=lambda: self._reply(member, link, result.reply)
        )

    def _handle_quorum_read(
        self, member: str, link: interfaces.Connection | None, request: messages.QuorumRead
    ) -> None:
        self._reply(member, link, self.write_ahead_log.durable.quorum_read(request))

    def _handle_chosen(self, _member: str, _link: interfaces.Connection | None, message: messages.Chosen) -> None:
        state = self.acceptor.get(message.register)
        if state.accepted == message.ballot:
            self.publish(message.register, message.revision, state.value)

    # Catch-up.
    def _handle_catch_up_request(
        self, member: str, link: interfaces.Connection | None, request: messages.CatchUpRequest
    ) -> None:
        """Sends a learner the rows on this node's disk, after the promises that it requests are durable."""
        assert link is not None  # a learner sends itself no request
        fences = {fence.register: fence.fence for fence in request.fences if fence.fence.number}
        if fences and self.write_ahead_log.is_unavailable:
            return
        if self.acceptor.votes:
            for name, ballot in fences.items():
                self.write_ahead_log.append(row=self.acceptor.fence(name=name, ballot=ballot))
        if fences:
            key = (member, messages.CatchUpRequest, "")
            self.write_ahead_log.when_durable(key=key, callback=lambda: self._send_rows(link, request))
        else:
            self._send_rows(link, request)

    def _send_rows(self, link: interfaces.Connection, request: messages.CatchUpRequest) -> None:
        durable = self.write_ahead_log.durable
        rows: tuple[messages.RegisterRow, ...] = ()
        if durable.votes:
            known = {fence.register: fence.known for fence in request.fences}
            rows = (catch_up.first_set_row(self.proposer.known_sets.seeds), *durable.rows(known=known))
        elif self._catch_up.founding_set:
            rows = (catch_up.first_set_row(self._catch_up.founding_set),)
        link.send(messages.CatchUpReply(number=request.number, is_voter=durable.votes, rows=rows))

    def _request_catch_up(self) -> None:
        """Sends the catch-up request to the connected core nodes periodically until this node votes."""
        if self.acceptor.votes:
            return
        if self._loop.now() - self._catch_up_begun_at > self._contact_s:
            self._catch_up_begun_at = self._loop.now()
            self._log_founding_waits()
            self._catch_up.start()
        _log.debug(
            "catch_up_requested", extra={"had": {member: len(rows) for member, rows in self._catch_up.replies.items()}}
        )
        self._broadcast_to_cores(self._catch_up.request())
        self._loop.after(delay=self._contact_s * CATCH_UP_INTERVAL_SHARE, callback=self._request_catch_up)

    def _log_founding_waits(self) -> None:
        if self._catch_up.founding_set:
            answered = sorted(self._catch_up.replies)
            _log.error("founding_waits", extra={"seeds": list(self._catch_up.founding_set), "answered": answered})

    def _handle_catch_up_reply(
        self, member: str, _link: interfaces.Connection | None, reply: messages.CatchUpReply
    ) -> None:
        if self.acceptor.votes:
            return
        stage = self._catch_up.stage
        first_set, rows = catch_up.split_first_set(reply.rows)
        if reply.is_voter:
            self._catch_up.handle(member=member, number=reply.number, first_set=first_set, rows=rows)
        else:
            self._catch_up.handle_without_identity(member=member, number=reply.number, founding_set=first_set)
        if self._catch_up.stage is catch_up.Stage.DONE:
            self._finish_catch_up()
        elif self._catch_up.stage is not stage:
            self._broadcast_to_cores(self._catch_up.request())

    def _finish_catch_up(self) -> None:
        gathered = acceptors.Acceptor()
        rows = gathered.catch_up(incarnation="", states=self._catch_up.replies.values())
        first_set = self._catch_up.first_set or self._catch_up.founding_set
        image = acceptor_storage.AcceptorImage(incarnation=self._unique_id(), first_set=first_set, rows=rows)
        self._start_from_image(image, on_durable=self._on_caught_up)

    def _on_caught_up(self) -> None:
        _log.debug("catch_up_finished", extra={"incarnation": self.acceptor.incarnation})
        self.proposer.is_learner = False
        if self._catch_up.founding_set and not self._catch_up.has_received_values:
            first_set = self.proposer.known_sets.seeds
            _log.info("core_set_founded", extra={"members": list(first_set)})
            self._on_founded(first_set)
        for name in register_names.REGISTERS:
            self.repair(name)

    def _is_move_expected(self, name: str) -> bool:
        """Returns whether the coordinator is moving a register to another set, as far as this node can tell.

        That is so if the register still has another set than the core set itself, or if this node accepted a move of it
        that is not known to be finished. A process that knows no chosen value yet expects no move: after a restart of
        the whole cluster there is no coordinator that could be making one. The first start of the cluster is the
        exception: there the coordinator moves the core set from the seeds to all core nodes, and the reads of those
        nodes would overtake it (docs/set-moves.md 9).
        """
        if not self._version(name):
            return self._is_first_start and name == register_names.CORE_SET
        if self.proposer.members(name) != self.proposer.members(register_names.CORE_SET):
            return True
        return self._is_half_moved(name)

    @property
    def is_voter(self) -> bool:
        """Whether this node can vote now: it has caught up, its identity is on its disk, and the disk is writable."""
        is_unavailable = self.write_ahead_log.is_unavailable
        return self.write_ahead_log.durable.votes and not self.proposer.is_learner and not is_unavailable

    # Reads and repairs.
    def minimum_versions(self) -> tuple[messages.RegisterRevision, ...]:
        """Returns the newest revision of each register on this node's disk."""
        durable = self.write_ahead_log.durable
        return tuple(messages.RegisterRevision(name, durable.get(name).revision) for name in register_names.REGISTERS)

    def read_unknown_registers(self) -> None:
        """Reads the registers for which no chosen value is known yet."""
        for name in register_names.REGISTERS:
            if not self._version(name):
                self.repair(name)

    def repair(self, name: str) -> None:
        """Reads a register, so that this node learns its newest value as chosen, unless such a read is in progress.

        Several repairs of one register would queue behind each other and reach their deadlines in the queue one after
        the other, so that none would ever propose the value again (docs/incidents/stale-repairs.md).
        """
        if name in self._registers_in_repair:
            return
        self._registers_in_repair.add(name)

        def done(_error: Exception | None, _revision: int, _payload: object, _result: object) -> None:
            self._registers_in_repair.discard(name)

        self.proposer.read(name=name, done=done, is_repair=True)

    def run_anti_entropy(self) -> None:
        """Completes, at each heartbeat, what proposers left unfinished.

        A value that was accepted here several heartbeats ago and is not known as chosen is read; a half-done move of
        the set is finished by a proposal. Each member waits for a different number of heartbeats, so that they do not
        compete.
        """
        if not self.acceptor.votes:
            return
        members = self._members()
        repair_after = REPAIR_AFTER_HEARTBEATS + (members.index(self.own) if self.own in members else len(members))
        for name in register_names.REGISTERS:
            state = self.write_ahead_log.durable.get(name)
            is_open = state.revision > self._version(name)
            is_moving = ballots.is_moving(state.value)
            if not is_open and not is_moving:
                self._unrepaired.pop(name, None)
                continue
            revision, heartbeats = self._unrepaired.get(name, (state.revision, 0))
            heartbeats = heartbeats + 1 if revision == state.revision else 1
            if heartbeats >= repair_after:
                heartbeats = 0
                if is_open:
                    self.repair(name)
                else:
                    self.proposer.finish_move(name=name, is_wanted=functools.partial(self._should_finish_move, name))
            self._unrepaired[name] = (state.revision, heartbeats)

    def _should_finish_move(self, name: str) -> bool:
        """Returns whether a move is half-done here and no other node is making an attempt on the register now."""
        return self._is_half_moved(name) and not self.proposer.pacing.is_other_attempting(name)

    def _is_half_moved(self, name: str) -> bool:
        """Returns whether the newest value accepted here also names the set before a move."""
        return ballots.is_moving(self.acceptor.get(name).value)

    def _on_chosen(self, name: str, ballot: Ballot, revision: int, value: bytes, is_newly_chosen: bool) -> None:
        self.publish(name, revision, value)
        if not is_newly_chosen:
            return
        for member in self._members():
            if member != self.own:
                self.send(member, messages.Chosen(register=name, ballot=ballot, revision=revision))

    def publish(self, name: str, revision: int, value: bytes) -> None:
        """Publishes a value that is known to be chosen.

        Args:
            name: the register.
            revision: revision of the value.
            value: the value as it is stored; an empty one is ignored.
        """
        if not value or not self._publish(name, revision, value):
            return
        _log.debug("value_chosen", extra={"register": name, "rev": revision})
        members, payload = ballots.unpack(value)
        self.proposer.pacing.note_chosen(name=name)
        self.proposer.known_sets.learn_chosen(register=name, revision=revision, value=value)
        self._on_value(name, payload, members)

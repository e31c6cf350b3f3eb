"""A voting node of the registers in a simulated world: the real `ConsensusNode` with its log, on simulated files.

A `Node` owns its disk and the loop of its newest incarnation. For each answer that it sends, it checks that the state
acknowledged by the answer would survive a power loss at that moment (`Node.lost`, docs/register.md 3).
"""

import collections.abc
import contextlib
import functools
import types
import typing

from ploverward.common import errors
from ploverward.common.identifiers import NO_BALLOT
from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import disk
from ploverward.control_plane.consensus import log_records
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.consensus import register_state
from ploverward.control_plane.consensus.consensus_node import ConsensusNode
from ploverward.simulation import simulated_files
from ploverward.simulation import simulated_world
from ploverward.transport import interfaces
from ploverward.transport import messages

WRITE_S = (0.001, 0.01)  # duration of the shortest and the longest write
HEARTBEAT_INTERVAL_S = 0.3
HELLO_S = 0.1  # time until the other core nodes are connected to a node that starts
RECEIPT_S = 5.0
CONTACT_S = 4.0
LIMIT_BYTES = 1500  # size limit of the file; small, so that it is rewritten often
MAX_CALLS_BEFORE_END = 12  # calls of `os` in a write interrupted by the end of a node; a rewrite makes 7 or more
EMPTY_ROW = messages.RegisterRow("", *register_state.EMPTY)
Callback = collections.abc.Callable[[], object]


class CompletedWork:
    """The outcome of work on the thread pool; like a future, it has `exception`."""

    def __init__(self, error: OSError | None) -> None:
        self._error = error

    def exception(self) -> OSError | None:
        """Returns the error that the work raised, or None."""
        return self._error


class Loop:
    """The event loop of one incarnation of a node; its callbacks are dropped when the incarnation ends.

    Offloaded work takes effect when its time has passed, or partially if the node is stopped before.

    Attributes:
        now: Returns the simulated time in seconds.
        work: Work in progress on the thread pool; None if there is none.
    """

    def __init__(self, *, node: "Node") -> None:
        self._node = node
        self._incarnation = node.incarnation
        self.now = node.world.now
        self.work: Callback | None = None

    def after(self, *, delay: float, callback: Callback) -> None:
        """Schedules a callback after a delay in seconds."""
        self._node.world.later(delay, lambda: callback() if self._node.incarnation == self._incarnation else None)

    def call_soon_threadsafe(self, *, callback: Callback) -> None:
        """Schedules a callback without delay."""
        self.after(delay=0.0, callback=callback)

    def offload(self, *, work: Callback, done: collections.abc.Callable[[CompletedWork], object]) -> None:
        """Runs the work after the duration of a write, counted from the end of a hang of the disk if it hangs."""
        self.work = work
        start = max(self.now(), self._node.hangs_until)
        write_s = self._node.world.chance.uniform(*WRITE_S)
        self.after(delay=start - self.now() + write_s, callback=lambda: self._end_work(done))

    def _end_work(self, done: collections.abc.Callable[[CompletedWork], object]) -> None:
        if self._node.hangs_until > self.now():
            self.after(delay=self._node.hangs_until - self.now(), callback=lambda: self._end_work(done))
            return
        work, self.work = self.work, None
        error = None
        if work is not None:
            try:
                work()
            except OSError as raised:
                error = raised
        done(CompletedWork(error))


class PeerConnection:
    """The connection back to the node that sent a message; it ends with that incarnation of the target.

    Args:
        owner: The node that sends answers.
        target: The node that receives them.
        incarnation: Incarnation of the target.
    """

    def __init__(self, *, owner: "Node", target: "Node", incarnation: int) -> None:
        self._owner = owner
        self._target = target
        self._incarnation = incarnation

    def send(self, message: tuple) -> None:
        """Sends an answer, and checks that the state it acknowledges is on the disk."""
        owner, target = self._owner, self._target
        owner.check_acknowledged(message)
        link = PeerConnection(owner=target, target=owner, incarnation=owner.incarnation)

        def arrive() -> None:
            if target.incarnation == self._incarnation:
                target.handle(owner.name, link, message)

        owner.world.send(owner.name, target.name, arrive)


class Node:
    """A core node: its disk, and one `ConsensusNode` per incarnation.

    Args:
        world: Simulated time and network.
        name: Its address.
        nodes: All nodes by name; nodes may be added later.
        seeds: The core set in force before any value is chosen.
        has_identity: Whether its disk has an identity, as if the first core set had just been founded.
        node_type: `ConsensusNode`, or a subclass with a seeded bug.

    Attributes:
        files: Its disk.
        hangs_until: Simulated time until which no write completes.
        incarnation: Number of starts and stops.
        lost: Acknowledged state that was not on the disk.
        versions: Newest version of each register that this incarnation knows to be chosen.
        voting: The consensus node of this incarnation; None while the node is down.
    """

    loop: Loop
    store: acceptor_storage.AcceptorStorage
    voting: ConsensusNode | None

    def __init__(
        self,
        *,
        world: simulated_world.World,
        name: str,
        nodes: "dict[str, Node]",
        seeds: tuple[str, ...],
        has_identity: bool,
        node_type: type[ConsensusNode] = ConsensusNode,
    ) -> None:
        self.world = world
        self.name = name
        self._nodes = nodes
        self._seeds = seeds
        self._voting_type = node_type
        self.files = simulated_files.Files(chance=world.chance)
        self.hangs_until = 0.0
        self.incarnation = 0
        self.lost: list[tuple] = []
        self.versions: dict[str, int] = {}
        self._ids = 0
        if has_identity:
            self._write_identity()
        self.start()

    def _unique_id(self) -> str:
        self._ids += 1
        return f"{self.name}{self._ids}"

    def _write_identity(self) -> None:
        image = acceptor_storage.AcceptorImage(incarnation=self._unique_id(), first_set=tuple(sorted(self._seeds)))
        self._open_store().write(rows=(), image=image)

    def _open_store(self) -> acceptor_storage.AcceptorStorage:
        # The register uses only the functions of `os` that the simulated files have.
        system = typing.cast(types.ModuleType, self.files)
        return acceptor_storage.AcceptorStorage(
            disk=disk.Disk(folder=simulated_files.FOLDER, system=system), limit_bytes=LIMIT_BYTES
        )

    def start(self, *, is_first_start: bool = False) -> None:
        """Starts the process from the content of the disk.

        Args:
            is_first_start: Whether the settings of the node declare a first start.
        """
        self.incarnation += 1
        self.loop = Loop(node=self)
        self.versions = {}
        self.store = self._open_store()
        voting = self.voting = self._voting_type(
            loop=typing.cast(interfaces.Loop, self.loop),  # it has all methods of a loop that the register uses
            own=self.name,
            store=self.store,
            seeds=self._seeds,
            is_first_start=is_first_start,
            chance=self.world.chance.random,
            unique_id=self._unique_id,
            receipt_s=RECEIPT_S,
            contact_s=CONTACT_S,
            send=self._send,
            broadcast_to_cores=self._broadcast,
            members=lambda: voting.proposer.members(register_names.CORE_SET),
            publish=self._publish,
            on_value=lambda name, payload, members: None,
            version=lambda name: self.versions.get(name, 0),
        )
        self._check_local_answers(voting)
        self.loop.after(delay=HELLO_S, callback=lambda: self._receive_hello(voting))
        self._on_heartbeat_tick()

    def _check_local_answers(self, voting: ConsensusNode) -> None:
        """Adds the check to answers that a node sends to itself; a `PeerConnection` checks all other answers."""
        answer = voting._reply

        def checked(member: str, link: interfaces.Connection | None, message: tuple) -> None:
            if link is None:
                self.check_acknowledged(message)
            answer(member, link, message)

        voting._reply = checked  # type: ignore[method-assign]

    @staticmethod
    def _receive_hello(voting: ConsensusNode) -> None:
        """Reads unknown registers, as a core node does when it receives the hello of another one."""
        if voting.acceptor.votes:
            voting.read_unknown_registers()

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        return self.voting is not None

    @property
    def votes(self) -> bool:
        """Whether it votes, according to its disk, and proposes."""
        voting = self.voting
        return voting is not None and voting.write_ahead_log.durable.votes and not voting.proposer.is_learner

    def durable_revision(self, name: str) -> int:
        """Returns the revision of a register that the process knows to be on the disk; 0 while it is down."""
        return 0 if self.voting is None else self.voting.write_ahead_log.durable.get(name).revision

    def handle(self, member: str, link: PeerConnection | None, message: tuple) -> None:
        """Handles a message if the process runs."""
        if self.voting is not None:
            self.voting.handle(member, typing.cast(interfaces.Connection | None, link), message)

    def _on_heartbeat_tick(self) -> None:
        if self.voting is not None:
            self.voting.run_anti_entropy()
        self.loop.after(delay=HEARTBEAT_INTERVAL_S, callback=self._on_heartbeat_tick)

    def _broadcast(self, message: tuple) -> None:
        for name in self._nodes:
            if name != self.name:
                self._send(name, message)

    def _send(self, member: str, message: tuple) -> None:
        target = self._nodes.get(member)
        if target is None:
            return
        link = PeerConnection(owner=target, target=self, incarnation=self.incarnation)
        self.world.send(self.name, member, lambda: target.handle(self.name, link, message))

    def _publish(self, name: str, revision: int, value: bytes) -> bool:
        if revision <= self.versions.get(name, 0):
            return False
        self.versions[name] = revision
        for other in self._nodes.values():
            if other is not self:
                self.world.send(self.name, other.name, functools.partial(other.receive, name, revision, value))
        return True

    def receive(self, name: str, revision: int, value: bytes) -> None:
        """Handles the announcement of a chosen value by another core node."""
        if self.voting is not None:
            self.voting.publish(name, revision, value)

    # Stops.
    def stop(self, *, loses_power: bool = False, is_wiped: bool = False) -> None:
        """Stops the process, at a random call of the write in progress.

        Args:
            loses_power: Whether data that was not synced may be lost.
            is_wiped: Whether the disk is lost.
        """
        if self.loop.work is not None and self.hangs_until <= self.world.now():
            self.files.calls_left = self.world.chance.randrange(MAX_CALLS_BEFORE_END)
            with contextlib.suppress(simulated_files.PowerLost, OSError):
                self.loop.work()
        self.loop.work = None
        self.incarnation += 1
        self.voting = None
        if is_wiped:
            self.files.wipe()
        elif loses_power:
            self.files.lose_power()
        else:
            self.files.end_process()

    # Check that acknowledged state is on the disk.
    def check_acknowledged(self, message: tuple) -> None:
        """Adds to `lost` the state that this answer acknowledges and a power loss at this moment would destroy."""
        for name, promised, accepted in claims(message):
            kept = self._durable_rows().get(name, EMPTY_ROW)
            is_bare = accepted.number > 0 and not kept.value
            if kept.promised < promised or kept.accepted < accepted or is_bare:
                kind = type(message).__name__
                self.lost.append((round(self.world.now(), 4), self.name, kind, name, promised, accepted, kept[:4]))

    def _durable_rows(self) -> collections.abc.Mapping[str, messages.RegisterRow]:
        path = f"{simulated_files.FOLDER}/{acceptor_storage.FILE_NAME}"
        try:
            rows, _size = log_records.read_rows(self.files.durable_bytes(path))
        except errors.StorageError:
            return {}
        return log_records.newest_rows(rows)


class Claim(typing.NamedTuple):
    """The state of a register that an answer claims to be durable at its sender."""

    register: str
    promised: Ballot
    accepted: Ballot


def claims(message: tuple) -> list[Claim]:
    """Returns the states of registers that an answer claims to be durable at its sender."""
    if isinstance(message, messages.Promise):
        return [Claim(message.register, message.promised, message.accepted)]
    if isinstance(message, messages.QuorumReadReply) and message.is_voter:
        return [Claim(message.register, message.promised, message.accepted)]
    if isinstance(message, messages.Accepted):
        return [Claim(message.register, message.ballot, message.ballot if message.is_granted else NO_BALLOT)]
    if isinstance(message, messages.CatchUpReply) and message.is_voter:
        rows = [row for row in message.rows if row.register in register_names.REGISTERS]
        return [Claim(row.register, row.promised, row.accepted) for row in rows]
    return []

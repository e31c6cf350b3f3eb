"""Voting nodes of the registers in a simulated world: the real ConsensusNode, WriteAheadLog, AcceptorStorage and Disk on simulated files.

At each answer that leaves a node, the disk is looked at as a loss of power at that moment would leave it: what was told
has to be there (`lost`). Calls are kept as a history for `ploverward.simulation.linearizability`.
"""

from ploverward.common import errors
from ploverward.common.identifiers import NO_BALLOT
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import disk
from ploverward.control_plane.consensus import log_records
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.consensus import register_state
from ploverward.simulation import simulated_files
from ploverward.simulation import simulated_world
from ploverward.transport import messages

WRITE_S = (0.001, 0.01)
HEARTBEAT_INTERVAL_S = 0.3
HELLO_S = 0.1  # until the other core nodes are in touch with a node that starts
RECEIPT_S = 5.0
CONTACT_S = 4.0
LIMIT_BYTES = 1500
NAME = register_names.CONFIGURATION
NO_ROW = messages.RegisterRow("", *register_state.EMPTY)


class CompletedWork:
    """What a finished piece of work on the pool looks like."""

    def __init__(self, failure):
        self._failure = failure

    def exception(self):
        return self._failure


class Loop:
    """The loop of one life of a node. Work on the pool is done at its end, or in part where the node ends before."""

    def __init__(self, *, node):
        self._node = node
        self._incarnation = node.incarnation
        self.now = node.world.now
        self.work = None

    def after(self, *, delay: float, callback) -> None:
        self._node.world.later(delay, lambda: callback() if self._node.incarnation == self._incarnation else None)

    def command(self, *, callback) -> None:
        self.after(delay=0.0, callback=callback)

    def offload(self, *, work, done) -> None:
        self.work = work
        chance = self._node.world.chance
        start = max(self.now(), self._node.hangs_until)
        self.after(delay=start - self.now() + chance.uniform(*WRITE_S), callback=lambda: self._end_work(done))

    def _end_work(self, done) -> None:
        if self._node.hangs_until > self.now():
            self.after(delay=self._node.hangs_until - self.now(), callback=lambda: self._end_work(done))
            return
        work, self.work = self.work, None
        failure = None
        try:
            work()
        except OSError as fault:
            failure = fault
        done(CompletedWork(failure))


class PeerConnection:
    """The way back to who sent a message."""

    def __init__(self, *, owner, target, incarnation: int):
        self._owner = owner
        self._target = target
        self._incarnation = incarnation

    def send(self, message: tuple) -> None:
        self._owner.check_acknowledged(message)
        owner, target = self._owner, self._target
        link = PeerConnection(owner=target, target=owner, incarnation=owner.incarnation)
        self._owner.world.send(
            owner.name,
            target.name,
            lambda: (
                target.voting.handle(owner.name, link, message) if target.incarnation == self._incarnation else None
            ),
        )


class Node:
    """One core node: its disk, and one ConsensusNode for each life."""

    def __init__(
        self,
        *,
        world,
        name: str,
        nodes: dict,
        seeds: tuple,
        is_first_start: bool,
        node_type=consensus_node.ConsensusNode,
    ):
        self.world = world
        self.name = name
        self._nodes = nodes
        self._seeds = seeds
        self._voting_type = node_type
        self.files = simulated_files.Files(chance=world.chance)
        self.hangs_until = 0.0
        self.incarnation = 0
        self.lost = []  # told, and not on the disk
        self.versions = {}
        self._ids = 0
        self.start(is_first_start=is_first_start)

    def _unique_id(self) -> str:
        self._ids += 1
        return f"{self.name}{self._ids}"

    def start(self, *, is_first_start=False) -> None:
        self.incarnation += 1
        self.loop = Loop(node=self)
        self.versions = {}
        self.store = acceptor_storage.AcceptorStorage(
            disk=disk.Disk(folder=simulated_files.FOLDER, system=self.files), limit_bytes=LIMIT_BYTES
        )
        self.voting = self._voting_type(
            loop=self.loop,
            own=self.name,
            store=self.store,
            seeds=self._seeds,
            is_first_start=is_first_start,
            chance=self.world.chance.random,
            unique_id=self._unique_id,
            receipt_s=RECEIPT_S,
            contact_s=CONTACT_S,
            send=self._send,
            broadcast_to_cores=lambda message: [self._send(name, message) for name in self._nodes if name != self.name],
            members=lambda: self.voting.proposer.members(register_names.CORE_SET),
            publish=self._publish,
            on_value=lambda name, payload, members: None,
            version=lambda name: self.versions.get(name, 0),
        )
        answer = self.voting._answer

        def checked(member, link, message):
            if link is None:
                self.check_acknowledged(message)
            answer(member, link, message)

        self.voting._answer = checked
        self.loop.after(delay=HELLO_S, callback=self._receive_hello)
        self._on_heartbeat_tick()

    def _receive_hello(self) -> None:
        """As the core does when another core node says hello."""
        if self.voting.acceptor.votes:
            self.voting.read_unknown()

    @property
    def is_up(self) -> bool:
        return self.voting is not None

    @property
    def votes(self) -> bool:
        return self.is_up and self.voting.write_ahead_log.durable.votes and not self.voting.proposer.is_learner

    def _on_heartbeat_tick(self) -> None:
        self.voting.run_anti_entropy()
        self.loop.after(delay=HEARTBEAT_INTERVAL_S, callback=self._on_heartbeat_tick)

    def _send(self, member: str, message: tuple) -> None:
        target = self._nodes.get(member)
        if target is None:
            return

        def arrive() -> None:
            if target.is_up:
                target.voting.handle(
                    self.name, PeerConnection(owner=target, target=self, incarnation=incarnation), message
                )

        incarnation = self.incarnation
        self.world.send(self.name, member, arrive)

    def _publish(self, name: str, rev: int, value: bytes) -> bool:
        if rev <= self.versions.get(name, 0):
            return False
        self.versions[name] = rev
        for other in self._nodes.values():
            if other is not self:
                self.world.send(self.name, other.name, lambda other=other: other.receive(name, rev, value))
        return True

    def receive(self, name: str, rev: int, value: bytes) -> None:
        """News of a chosen value."""
        if self.is_up:
            self.voting.publish(name, rev, value)

    # Ends.
    def stop(self, *, loses_power=False, is_wiped=False) -> None:
        """Ends at any call of a write that is under way."""
        if self.loop.work is not None and self.hangs_until <= self.world.now():
            self.files.calls_left = self.world.chance.randrange(12)
            try:
                self.loop.work()
            except (simulated_files.PowerLost, OSError):
                pass
        self.loop.work = None
        self.incarnation += 1
        self.voting = None
        if is_wiped:
            self.files.wipe()
        elif loses_power:
            self.files.lose_power()
        else:
            self.files.end_process()

    # What is told has to be on the disk.
    def check_acknowledged(self, message: tuple) -> None:
        for name, promised, accepted in claims(message):
            kept = self._durable_rows().get(name, NO_ROW)
            is_bare = accepted.number > 0 and not kept.value
            if kept.promised < promised or kept.accepted < accepted or is_bare:
                kind = type(message).__name__
                self.lost.append((round(self.world.now(), 4), self.name, kind, name, promised, accepted, kept[:4]))

    def _durable_rows(self) -> dict:
        path = f"{simulated_files.FOLDER}/{acceptor_storage.FILE_NAME}"
        try:
            rows, _size = log_records.read_rows(self.files.durable_bytes(path))
        except errors.StorageError:
            return {}
        return log_records.newest_rows(rows)


def claims(message: tuple) -> list:
    """(register, promised, accepted) that an answer tells."""
    if isinstance(message, messages.Promise):
        return [(message.register, message.promised, message.accepted)]
    if isinstance(message, messages.QuorumReadReply) and message.is_voter:
        return [(message.register, message.promised, message.accepted)]
    if isinstance(message, messages.Accepted):
        return [(message.register, message.ballot, message.ballot if message.is_granted else NO_BALLOT)]
    if isinstance(message, messages.CatchUpReply) and message.is_voter:
        rows = [row for row in message.rows if row.register in register_names.REGISTERS]
        return [(row.register, row.promised, row.accepted) for row in rows]
    return []


class Model:
    """Nodes, calls at them, and troubles, all from one seed."""

    def __init__(self, *, seed: int, seeds=("a", "b", "c"), others=(), node_type=consensus_node.ConsensusNode):
        self.world = simulated_world.World(seed=seed)
        self.nodes = {}
        self.history = []
        self._wiped = None
        for name in (*seeds, *others):
            self.nodes[name] = Node(
                world=self.world,
                name=name,
                nodes=self.nodes,
                seeds=seeds,
                is_first_start=True,
                node_type=node_type,
            )

    def call(self, name: str, *, kind: str, to=None) -> None:
        """A change of the counter, a move of its set, or a read."""
        node = self.nodes[name]
        if not node.is_up:
            return
        record = {"begun": self.world.now(), "ended": None, "kind": "read" if kind == "read" else "change"}
        self.history.append(record)

        def done(failure, _rev, payload, result) -> None:
            if failure is not None:
                return
            record["ended"] = self.world.now()
            if kind == "read":
                record["saw"] = payload or 0
            else:
                record["base"], record["made"] = result

        def edit(payload):
            base = payload or 0
            return base + 1, (base, base + 1)

        if kind == "read":
            node.voting.proposer.read(name=NAME, done=done)
        else:
            node.voting.proposer.change(name=NAME, edit=edit, done=done, next_set=to)

    def wipe(self, name: str, *, restart_after_s: float) -> None:
        """Only one disk at a time is lost, and the next one once the first node votes again."""
        if self._wiped is not None and not self.nodes[self._wiped].votes:
            return
        if not all(node.votes for node in self.nodes.values()):
            return
        self._wiped = name
        self.restart(name, restart_after_s=restart_after_s, is_wiped=True)

    def restart(self, name: str, *, restart_after_s: float, loses_power=False, is_wiped=False) -> None:
        node = self.nodes[name]
        if not node.is_up:
            return
        node.stop(loses_power=loses_power, is_wiped=is_wiped)
        self.world.later(restart_after_s, node.start)

    def fault(self, name: str, kind: str, *, duration_s: float) -> None:
        node = self.nodes[name]
        if kind == "hang":
            node.hangs_until = max(node.hangs_until, self.world.now() + duration_s)
            return
        node.files.faults.add(kind)
        self.world.later(duration_s, lambda: node.files.faults.discard(kind))

    @property
    def lost(self) -> list:
        return [fault for node in self.nodes.values() for fault in node.lost]

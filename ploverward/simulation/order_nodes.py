"""Core nodes reduced to registers and the order API, in simulated time (docs/orders.md).

`Node` owns the real acceptor, proposer and order API of one core node, and the content of its disk, which survives a
stop. The network is a `simulated_world.World`; there are no proxies.
"""

from __future__ import annotations

import types
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from ploverward.control_plane.consensus import acceptor
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import proposer
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import publisher
from ploverward.control_plane.operator_api import apply_barrier
from ploverward.control_plane.operator_api import order_api
from ploverward.control_plane.operator_api import redirector
from ploverward.simulation import simulated_world
from ploverward.transport import messages

RECEIPT_S = 6.0  # setting `receiptMs` of the nodes
CONTROL_PORT = 80
CATCH_UP_RETRY_S = 0.4
ZONES = ("za", "zb")
EVACUATION_PATH = "/ploverward/evacuation/"

OnAnswer = Callable[[int, Any, str], object]  # (status, body, address of a redirect)


class Call:
    """A call received by a node, with the interface that the handlers of the order API use.

    Attributes:
        method: HTTP method in capitals.
        target: Path of the request.
        body: Body of the request.
        headers: Headers by name.
        is_answered: Whether it was answered or redirected.
    """

    def __init__(
        self, *, method: str, target: str, body: bytes, headers: Mapping[str, str], on_answer: OnAnswer
    ) -> None:
        self.method = method
        self.target = target
        self.body = body
        self.headers = headers
        self.is_answered = False
        self._on_answer = on_answer

    def answer(self, *, status: int, body: Any, headers: Sequence = ()) -> None:  # noqa: ANN401  # any JSON
        """Answers the call, once."""
        if self.is_answered:
            raise AssertionError("a call was answered twice")
        self.is_answered = True
        self._on_answer(status, body, "")

    def answer_unavailable(self, *, reason: str) -> None:
        """Answers with 503."""
        self.answer(status=503, body=reason)

    def redirect(self, *, address: str) -> None:
        """Redirects the caller to another node, given as ADDRESS:PORT."""
        self.is_answered = True
        self._on_answer(307, None, address.partition(":")[0])


class Node:
    """A core node. Its loop, acceptor, proposer and order API are created again at each start.

    Attributes:
        world: Simulated time and network.
        name: Its address.
        is_up: Whether its process runs.
        loop: Event loop of the process.
        acceptor: The real acceptor.
        proposer: The real proposer.
        registers: The methods of the proposer that the order API uses.
        order_api: The real order API.
        configuration: Newest configuration that it has received; None if it has none.
    """

    def __init__(
        self,
        *,
        world: simulated_world.World,
        name: str,
        nodes: Mapping[str, Node],
        seeds: tuple[str, ...],
        on_chosen: Callable[[str, Any], object],
    ) -> None:
        """Starts a node for the first time.

        Args:
            world: Simulated time and network.
            name: Its address.
            nodes: All nodes by address; the caller adds this node after it is created.
            seeds: The initial core set.
            on_chosen: Called with the register and the payload of each value that this node knows to be chosen.
        """
        self.world = world
        self.name = name
        self._nodes = nodes
        self._seeds = seeds
        self._on_chosen_value = on_chosen
        self._disk: dict[str, Any] = {}  # register: row
        self._disk_incarnation = ""
        self._incarnation = 0
        self._catch_up_replies: dict[str, tuple[messages.RegisterRow, ...]] = {}  # node: rows
        self.is_up = False
        self.start(is_first=True)

    def start(self, *, is_first: bool = False) -> None:
        """Starts from the content of the disk; a node with an empty disk catches up before it votes."""
        self._incarnation += 1
        self.is_up = True
        self.loop = simulated_world.Loop(world=self.world)
        if is_first:
            self._disk_incarnation = f"{self.name}{self._incarnation}"
        self.acceptor = acceptor.Acceptor(incarnation=self._disk_incarnation, rows=self._disk.values())
        self.configuration: dict[str, Any] | None = None
        self.proposer = self._make_proposer()
        self.registers: Any = types.SimpleNamespace(change=self.proposer.change, read=self.proposer.read)
        self.order_api = self._make_order_api()
        self._rules = {(rule.method, rule.path): rule.handler for rule in self.order_api.rules()}
        self._handlers: dict[type, Callable[[Node, int, Any], object]] = {
            messages.Prepare: self._handle_prepare,
            messages.Accept: self._handle_accept,
            messages.QuorumRead: self._handle_quorum_read,
            messages.Promise: lambda source, _incarnation, reply: self.proposer.handle_promise(source.name, reply),
            messages.QuorumReadReply: lambda source, _incarnation, reply: self.proposer.handle_quorum_read_reply(
                source.name, reply
            ),
            messages.Accepted: lambda source, _incarnation, reply: self.proposer.handle_accepted(source.name, reply),
            messages.CatchUpRequest: self._handle_catch_up_request,
            messages.CatchUpReply: self._handle_catch_up_reply,
        }
        if not self.acceptor.votes:
            self._catch_up()

    def _make_proposer(self) -> proposer.Proposer:
        loop = self.loop
        return proposer.Proposer(
            own=f"{self.name}/{self._incarnation}",
            seeds=self._seeds,
            send=self._send,
            later=lambda delay, callback: loop.after(delay=delay, callback=callback),
            now=self.world.now,
            chance=self.world.chance.random,
            on_chosen=self._on_chosen,
            limit_s=RECEIPT_S / 2,
            attempt_timeout_s=RECEIPT_S / 10,
        )

    def _make_order_api(self) -> order_api.OrderApi:
        loop: Any = self.loop
        return order_api.OrderApi(
            loop=loop,
            registers=self.registers,
            apply_barrier=apply_barrier.ApplyBarrier(
                publisher=publisher.Publisher(), proxies=lambda *, serving_only=True: []
            ),
            redirector=redirector.Redirector(
                own=self.name, port=CONTROL_PORT, members=self.members, is_live=self._is_linked
            ),
            configuration=lambda: self.configuration,
            zones=lambda: dict.fromkeys(ZONES),
            receipt_s=RECEIPT_S,
            is_voting=lambda: self.acceptor.votes,
            has_majority_contact=lambda: self.has_majority_contact(),  # noqa: PLW0108  # looked up each time: tests replace it
        )

    def stop(self, *, is_wiped: bool = False) -> None:
        """Stops the process until the next `start`; with `is_wiped`, the disk also loses its content."""
        self.is_up = self.loop.is_up = False
        self._incarnation += 1
        if is_wiped:
            self._disk = {}
            self._disk_incarnation = ""

    def members(self) -> tuple[str, ...]:
        """Returns the core set known to this node."""
        return self.proposer.members(register_names.CORE_SET)

    def _is_linked(self, other: str) -> bool:
        pairs = {(self.name, other), (other, self.name)}
        return self._nodes[other].is_up and not pairs & self.world.partitions

    def has_majority_contact(self) -> bool:
        """Whether this node reaches a majority of the core set."""
        members = self.members()
        reached = {other for other in members if other == self.name or self._is_linked(other)}
        return ballots.has_majority(of=members, among=reached)

    # Messages between nodes.
    def _send(self, member: str, message: tuple) -> None:
        target = self._nodes[member]

        def arrive() -> None:
            if target.is_up:
                target.handle(self, self._incarnation, message)

        self.world.send(self.name, member, arrive)

    def _reply(self, source: Node, incarnation: int, message: tuple) -> None:
        """Sends a reply, which is dropped if the other node has been stopped since its request."""

        def arrive() -> None:
            if source.is_up and source._incarnation == incarnation:
                source.handle(self, 0, message)

        self.world.send(self.name, source.name, arrive)

    def handle(self, source: Node, incarnation: int, message: tuple) -> None:
        """Handles a message from another node or from this one.

        Args:
            source: The sender.
            incarnation: Incarnation of the sender, which alone may receive a reply.
            message: The message.
        """
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(source, incarnation, message)

    def _handle_prepare(self, source: Node, incarnation: int, message: messages.Prepare) -> None:
        self._persist_and_reply(source, incarnation, *self.acceptor.prepare(message))

    def _handle_accept(self, source: Node, incarnation: int, message: messages.Accept) -> None:
        self._persist_and_reply(source, incarnation, *self.acceptor.accept(message))

    def _persist_and_reply(self, source: Node, incarnation: int, reply: tuple, row: Any) -> None:  # noqa: ANN401
        """Writes the changed row, then replies."""
        if row is not None:
            self._disk[row.register] = row
        self._reply(source, incarnation, reply)

    def _handle_quorum_read(self, source: Node, incarnation: int, message: messages.QuorumRead) -> None:
        self._reply(source, incarnation, self.acceptor.quorum_read(message))

    # Catch-up of a node with an empty disk.
    def _catch_up(self) -> None:
        if self.acceptor.votes:
            return
        self._catch_up_replies = {}
        for other in self._nodes:
            if other != self.name:
                self._send(other, messages.CatchUpRequest(number=0, fences=()))
        self.loop.after(delay=CATCH_UP_RETRY_S, callback=self._catch_up)

    def _handle_catch_up_request(self, source: Node, incarnation: int, message: messages.CatchUpRequest) -> None:
        if self.acceptor.votes:
            reply = messages.CatchUpReply(number=message.number, is_voter=True, rows=self.acceptor.rows())
            self._reply(source, incarnation, reply)

    def _handle_catch_up_reply(self, source: Node, _incarnation: int, message: messages.CatchUpReply) -> None:
        """Starts voting again once all members of every core set named in the replies have replied."""
        if self.acceptor.votes:
            return
        replies = self._catch_up_replies
        replies[source.name] = message.rows
        sets = {self._seeds} | {ballots.unpack(row.value)[0] for rows in replies.values() for row in rows if row.value}
        if len(sets) > 1:
            sets.discard(self._seeds)
        if any(set(members) - {self.name} - replies.keys() for members in sets):
            return
        self._disk_incarnation = f"{self.name}{self._incarnation}"
        rows = self.acceptor.catch_up(incarnation=self._disk_incarnation, states=tuple(replies.values()))
        self._disk = {row.register: row for row in rows}

    def _on_chosen(self, name: str, _ballot: tuple, _version: int, value: bytes, _is_newly_chosen: bool) -> None:
        _members, payload = ballots.unpack(value)
        self._on_chosen_value(name, payload)
        if name == register_names.CONFIGURATION:
            self.configuration = payload["body"] if payload else None
        elif name == register_names.ARCHIVE:
            self.order_api.learn_archive(payload)

    # Calls of operators.
    def handle_call(self, call: Call) -> None:
        """Passes a call of an operator to the handler of its path."""
        path, values = call.target, {}
        if path.startswith(EVACUATION_PATH):
            path, values = f"{EVACUATION_PATH}<zone>", {"zone": path.removeprefix(EVACUATION_PATH)}
        self._rules[call.method, path](call, **values)

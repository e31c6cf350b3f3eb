"""Core nodes reduced to registers and order API, in simulated time, and operators that call them as the protocol says."""

import argparse
import dataclasses
import itertools
import json
import sys
import types

from ploverward.control_plane.configuration import orders
from ploverward.control_plane.consensus import acceptor
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import proposer
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import publisher
from ploverward.control_plane.operator_api import apply_barrier
from ploverward.control_plane.operator_api import order_api
from ploverward.control_plane.operator_api import redirector
from ploverward.simulation import order_history
from ploverward.simulation import simulated_world
from ploverward.transport import messages

RECEIPT_S = 6.0
CONTROL_PORT = 80
CATCH_UP_RETRY_S = 0.4
CALLER_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
SETTLED_S = 400.0  # troubles and the operators' orders are over by then
ZONES = ("za", "zb")


class Node:
    """One core node: acceptor with rows that survive a stop, proposer, publisher without proxies, order API."""

    def __init__(self, *, world, name: str, nodes: dict, seeds: tuple, on_chosen):
        self.world = world
        self.name = name
        self._nodes = nodes
        self._seeds = seeds
        self._on_chosen_value = on_chosen
        self._disk = {}  # register: row
        self._disk_incarnation = ""
        self._incarnation = 0
        self.is_up = False
        self.start(is_first=True)

    def start(self, *, is_first=False) -> None:
        self._incarnation += 1
        self.is_up = True
        self.loop = simulated_world.Loop(world=self.world)
        if is_first:
            self._disk_incarnation = f"{self.name}{self._incarnation}"
        self.acceptor = acceptor.Acceptor(incarnation=self._disk_incarnation, rows=self._disk.values())
        self.configuration = None
        self.proposer = proposer.Proposer(
            own=f"{self.name}/{self._incarnation}",
            seeds=self._seeds,
            send=self._send,
            later=lambda delay, callback: self.loop.after(delay=delay, callback=callback),
            now=self.world.now,
            chance=self.world.chance.random,
            on_chosen=self._on_chosen,
            limit_s=RECEIPT_S / 2,
            attempt_timeout_s=RECEIPT_S / 10,
        )
        self.registers = types.SimpleNamespace(change=self.proposer.change, read=self.proposer.read)
        self.order_api = order_api.OrderApi(
            loop=self.loop,
            registers=self.registers,
            apply_barrier=apply_barrier.ApplyBarrier(
                publisher=publisher.Publisher(), proxies=lambda *, is_listed=True: []
            ),
            redirector=redirector.Redirector(
                own=self.name, port=CONTROL_PORT, members=self.members, is_live=self._is_linked
            ),
            configuration=lambda: self.configuration,
            zones=lambda: dict.fromkeys(ZONES),
            receipt_s=RECEIPT_S,
            is_voting=lambda: self.acceptor.votes,
            has_majority_contact=lambda: self.has_majority_contact(),  # looked up each time: tests replace it
        )
        self._handlers = {(rule.method, rule.path): rule.handler for rule in self.order_api.rules()}
        if not self.acceptor.votes:
            self._catch_up()

    def stop(self, *, is_wiped=False) -> None:
        self.is_up = self.loop.is_up = False
        self._incarnation += 1
        if is_wiped:
            self._disk = {}
            self._disk_incarnation = ""

    def members(self) -> tuple:
        return self.proposer.members(register_names.CORE_SET)

    def _is_linked(self, other: str) -> bool:
        target = self._nodes[other]
        return (
            target.is_up
            and (self.name, other) not in self.world.partitions
            and (other, self.name) not in self.world.partitions
        )

    def has_majority_contact(self) -> bool:
        members = self.members()
        return ballots.has_majority(
            of=members, among={other for other in members if other == self.name or self._is_linked(other)}
        )

    # Between nodes.

    def _send(self, member: str, message: tuple) -> None:
        target = self._nodes[member]
        self.world.send(
            self.name, member, lambda: target.handle(self, self._incarnation, message) if target.is_up else None
        )

    def _answer(self, source, incarnation: int, message: tuple) -> None:
        self.world.send(
            self.name,
            source.name,
            lambda: source.handle(self, 0, message) if source.is_up and source._incarnation == incarnation else None,
        )

    def handle(self, source, incarnation: int, message: tuple) -> None:
        if isinstance(message, messages.Prepare | messages.Accept):
            is_prepare = isinstance(message, messages.Prepare)
            answer, row = (self.acceptor.prepare if is_prepare else self.acceptor.accept)(message)
            if row is not None:
                self._disk[row.register] = row
            self._answer(source, incarnation, answer)
        elif isinstance(message, messages.QuorumRead):
            self._answer(source, incarnation, self.acceptor.quorum_read(message))
        elif isinstance(message, messages.Promise):
            self.proposer.handle_promise(source.name, message)
        elif isinstance(message, messages.QuorumReadReply):
            self.proposer.handle_quorum_read_reply(source.name, message)
        elif isinstance(message, messages.Accepted):
            self.proposer.handle_accepted(source.name, message)
        elif isinstance(message, messages.CatchUpRequest) and self.acceptor.votes:
            reply = messages.CatchUpReply(number=message.number, is_voter=True, rows=self.acceptor.rows())
            self._answer(source, incarnation, reply)
        elif isinstance(message, messages.CatchUpReply) and not self.acceptor.votes:
            self._handle_catch_up_reply(source.name, message.rows)

    def _catch_up(self) -> None:
        if self.acceptor.votes:
            return
        self._catch_up_replies = {}
        for other in self._nodes:
            if other != self.name:
                self._send(other, messages.CatchUpRequest(number=0, fences=()))
        self.loop.after(delay=CATCH_UP_RETRY_S, callback=self._catch_up)

    def _handle_catch_up_reply(self, name: str, rows: tuple) -> None:
        self._catch_up_replies[name] = rows
        sets = {self._seeds} | {
            ballots.unpack(row.value)[0] for known in self._catch_up_replies.values() for row in known if row.value
        }
        if len(sets) > 1:
            sets.discard(self._seeds)
        if any(set(members) - {self.name} - self._catch_up_replies.keys() for members in sets):
            return
        self._disk_incarnation = f"{self.name}{self._incarnation}"
        rows = self.acceptor.catch_up(incarnation=self._disk_incarnation, states=tuple(self._catch_up_replies.values()))
        self._disk = {row.register: row for row in rows}

    def _on_chosen(self, name: str, _ballot: tuple, _version: int, value: bytes, _is_newly_chosen: bool) -> None:
        _members, payload = ballots.unpack(value)
        self._on_chosen_value(name, payload)
        if name == register_names.CONFIGURATION:
            self.configuration = payload["body"] if payload else None
        elif name == register_names.ARCHIVE:
            self.order_api.learn_archive(payload)

    # From operators.

    def handle_call(self, call) -> None:
        path, values = call.target, {}
        if path.startswith("/ploverward/evacuation/"):
            path, values = "/ploverward/evacuation/<zone>", {"zone": path.rpartition("/")[2]}
        self._handlers[(call.method, path)](call, **values)


class Call:
    """One copy of a call at a node."""

    def __init__(self, *, method: str, target: str, body: bytes, headers: dict, on_answer):
        self.method = method
        self.target = target
        self.body = body
        self.headers = headers
        self._on_answer = on_answer
        self.is_answered = False

    def answer(self, *, status: int, body, headers=()) -> None:
        if self.is_answered:
            raise AssertionError("a call was answered twice")
        self.is_answered = True
        self._on_answer(status, body, "")

    def unavailable(self, *, why: str) -> None:
        self.answer(status=503, body=why)

    def redirect(self, *, address: str) -> None:
        self.is_answered = True
        self._on_answer(307, None, address.partition(":")[0])


@dataclasses.dataclass
class _Attempt:
    number: int
    redirects: int
    at: float


class OrderAttempts:
    """One call of an operator, sent to node after node until it has a clear answer or `limit_s` is over."""

    def __init__(self, *, world, nodes, name, method, target, body, headers, limit_s, done):
        self._world = world
        self._nodes = nodes
        self._name = name
        self._about = {"method": method, "target": target, "body": body, "headers": headers}
        self._until = world.now() + limit_s
        self._done = done
        self._pause = 0.1
        self._tries = itertools.count()
        self._current = None
        self.slowest_s = 0.0
        self._other_node()

    def _other_node(self) -> None:
        if self._done is None:
            return
        if self._world.now() >= self._until:
            self._end(None, None)
            return
        self._go(self._world.chance.choice(sorted(self._nodes)), 0)

    def _go(self, host: str, redirects: int) -> None:
        attempt = _Attempt(number=next(self._tries), redirects=redirects, at=self._world.now())
        self._current = attempt
        node = self._nodes[host]

        def answered(status, body, address):
            self._world.send(host, self._name, lambda: self._take(attempt, status, body, address))

        def arrive():
            if node.is_up:
                node.handle_call(Call(**self._about, on_answer=answered))

        self._world.send(self._name, host, arrive)
        self._world.later(CALLER_TIMEOUT_S, lambda: self._fail() if self._current is attempt else None)

    def _take(self, attempt, status, body, address) -> None:
        if self._current is not attempt:
            return  # the caller has gone on
        self.slowest_s = max(self.slowest_s, self._world.now() - attempt.at)
        if status == 307 and attempt.redirects < MAX_REDIRECTS:
            self._go(address, attempt.redirects + 1)
        elif status == 307 or status >= 500:
            self._fail()
        else:
            self._end(status, body)

    def _fail(self) -> None:
        self._current = None
        self._pause = min(self._pause * 1.5, 1.0)
        self._world.later(self._pause, self._other_node)

    def _end(self, status, body) -> None:
        done, self._done = self._done, None
        self._current = None
        if done is not None:
            done(status, body)


class OrderSimulation:
    """Nodes, what they chose, and the history of what operators sent."""

    def __init__(self, *, seed: int, names=("a", "b", "c"), seeds=("a", "b", "c")):
        self.world = simulated_world.World(seed=seed)
        self.nodes = {}
        self.sent = []
        self.read = []
        self.chosen = {}
        self._operators = itertools.count()
        for name in names:
            self.nodes[name] = Node(
                world=self.world, name=name, nodes=self.nodes, seeds=seeds, on_chosen=self._note_chosen
            )

    def _note_chosen(self, name: str, payload) -> None:
        """Each chosen value names the orders before it too, so that one whose proposer was lost is noted as well."""
        if name != register_names.CONFIGURATION or not payload:
            return
        base = None if self.chosen else 0
        for edition, order_id in payload["recent"]:
            body = payload["body"] if edition == payload["edition"] else None
            known = self.chosen.get(edition)
            if base is not None and (known is None or (known.body is None and body is not None)):
                self.chosen[edition] = order_history.ChosenConfiguration(
                    base=base, edition=edition, order_id=order_id, body=body
                )
            base = edition

    def send(self, *, method, base, data: bytes, done=None, limit_s=30.0, is_again=False) -> None:
        order_id = orders.digest(method=method, base=base, data=data)
        order = order_history.SentOrder(
            method=method, base=base, order_id=order_id, begun=self.world.now(), is_again=is_again
        )
        self.sent.append(order)

        def ended(status, body):
            if status is not None:
                order.ended, order.status = self.world.now(), status
            if done is not None:
                done(order, body)

        self._start(method, "/ploverward/configuration", data, {"If-Match": str(base)}, limit_s, ended)

    def read_back(self, *, done=None, limit_s=30.0) -> None:
        begun = self.world.now()

        def ended(status, body):
            if status in (200, 404):
                known = body if status == 200 else None
                edition = known["edition"] if known else 0
                self.read.append(
                    order_history.ConfigurationRead(begun=begun, ended=self.world.now(), edition=edition, body=known)
                )
            if done is not None:
                done(status, body)

        self._start("GET", "/ploverward/configuration", b"", {}, limit_s, ended)

    def evacuate(self, *, zone: str, is_out: bool, done, limit_s: float = RECEIPT_S) -> None:
        method = "POST" if is_out else "DELETE"
        self._start(method, f"/ploverward/evacuation/{zone}", b"", {}, limit_s, done)

    def read_evacuations(self, *, done, limit_s=30.0) -> None:
        self._start("GET", "/ploverward/evacuation", b"", {}, limit_s, done)

    def _start(self, method, target, data, headers, limit_s, done) -> None:
        OrderAttempts(
            world=self.world,
            nodes=self.nodes,
            name=f"operator{next(self._operators)}",
            method=method,
            target=target,
            body=data,
            headers=headers,
            limit_s=limit_s,
            done=done,
        )

    def inject_fault(self) -> None:
        """One node restarts, loses its disk, or is cut off from the others, for about a second."""
        if not all(node.is_up and node.acceptor.votes for node in self.nodes.values()):
            return
        kind = self.world.chance.choice(("stop", "wipe", "cut"))
        name = self.world.chance.choice(sorted(self.nodes))
        span = self.world.chance.uniform(0.4, 2.0)
        if kind == "cut":
            for other in self.nodes:
                self.world.partitions |= {(name, other), (other, name)}
            self.world.later(span, self.world.partitions.clear)
        else:
            self.nodes[name].stop(is_wiped=kind == "wipe")
            self.world.later(span, self.nodes[name].start)

    def move(self, *, by: str, to: tuple, done) -> None:
        """Moves every register to another set, as the holder of the watch does."""
        names = list(register_names.REGISTERS)

        def step(error=None, *_row):
            if error is not None or not names:
                done(error)
                return
            self.nodes[by].proposer.change(
                name=names.pop(0), edit=lambda payload: (payload, None), done=step, next_set=to
            )

        step()

    def faults(self) -> list:
        return order_history.faults(sent=self.sent, read=self.read, chosen=list(self.chosen.values()))


ROUTE = {"name": "r", "host": "h", "pathLead": "/a/", "kind": "retry_safe", "expiryMs": 1000, "destination": "d"}
PARTS = {"routes": [ROUTE], "destinations": [{"name": "d"}]}


def configuration(*, edition: int, wait_ms: float = 1000) -> dict:
    """A small valid one."""
    return {"edition": edition, **PARTS, "routes": [{**ROUTE, "expiryMs": wait_ms}]}


def encode(body: dict) -> bytes:
    return json.dumps(body).encode()


ROUTE_PATCH = {"name": "q", "host": "h", "pathLead": "/q/", "kind": "streaming", "destination": "d"}


class Operator:
    """Sends one change after the other, each on the version that it knows, and some of the older ones again."""

    def __init__(self, *, simulation, count: int, again: float):
        self.simulation = simulation
        self.left = count
        self.again = again
        self.known = 0
        self.ended = []
        self.step()

    def step(self) -> None:
        if self.left <= 0:
            return
        self.left -= 1
        chance = self.simulation.world.chance
        if self.ended and chance.random() < self.again:
            order, data = chance.choice(self.ended)
            self.simulation.send(
                method=order.method, base=order.base, data=data, is_again=True, done=lambda *_about: self.later()
            )
            return
        edition = self.known + chance.randint(1, 3)
        if self.known and chance.random() < 0.5:
            method = "PATCH"
            body = {"edition": edition, "upsert": {"routes": [{**ROUTE_PATCH, "expiryMs": chance.randint(1, 10**6)}]}}
        else:
            method = "PUT"
            body = configuration(edition=edition, wait_ms=chance.randint(1, 10**6))
        data = encode(body)

        def done(order, answer):
            if order.status == 200:
                self.ended.append((order, data))
                self.known = max(self.known, edition)
                self.later()
            else:
                self.simulation.read_back(done=self.read)

        self.simulation.send(method=method, base=self.known, data=data, done=done)

    def read(self, status, body) -> None:
        if status == 200:
            self.known = body["edition"]
        self.later()

    def later(self) -> None:
        self.simulation.world.later(self.simulation.world.chance.random() * 0.05, self.step)


def run_simulation(
    *, seed: int, operators: int, count: int, loss: float = 0.03, fault_count: int = 6, again: float = 0.2
):
    simulation = OrderSimulation(seed=seed)
    simulation.world.loss = loss
    simulation.world.delay = (0.001, 0.01)
    crew = [Operator(simulation=simulation, count=count, again=again) for _ in range(operators)]
    for number in range(fault_count):
        simulation.world.later(1.0 + number * 6.0, simulation.inject_fault)
    simulation.world.run(until=SETTLED_S)
    simulation.world.loss = 0.0
    for operator in crew:
        for order, data in operator.ended:
            simulation.send(method=order.method, base=order.base, data=data, is_again=True)
    simulation.read_back()
    simulation.world.run(until=SETTLED_S + 100.0)
    return simulation


@dataclasses.dataclass
class EvacuationReport:
    """What a history of evacuations came to: numbers of orders after which the zones read back otherwise."""

    wrong: list
    acknowledged: int = 0


def run_evacuations(*, seed: int, count: int = 30) -> EvacuationReport:
    """One operator orders a zone out and back in turn, and reads back after each order that was acknowledged."""
    simulation = OrderSimulation(seed=seed)
    simulation.world.loss = 0.1
    report = EvacuationReport(wrong=[])

    def order(number):
        if number == count:
            return
        is_out = number % 2 == 0
        simulation.evacuate(zone=ZONES[0], is_out=is_out, done=lambda status, _body: ended(number, is_out, status))

    def ended(number, is_out, status):
        if status != 200:
            order(number + 1)
            return
        report.acknowledged += 1
        pause = simulation.world.chance.choice((0.0, 0.5, 3.5))
        simulation.world.later(
            pause, lambda: simulation.read_evacuations(done=lambda _status, body: read(number, is_out, body))
        )

    def read(number, is_out, body):
        if (ZONES[0] in body["zones"]) != is_out:
            report.wrong.append(number)
        order(number + 1)

    for number in range(8):
        simulation.world.later(2.0 + number * 5.0, simulation.inject_fault)
    order(0)
    simulation.world.run(until=600.0)
    return report


def search_seeds(*, first: int, count: int) -> int:
    """Plays both kinds of history for each seed and names those with a fault. How many there were."""
    sent = chosen = found = 0
    for seed in range(first, first + count):
        simulation = run_simulation(seed=seed, operators=3, count=70, loss=0.08 if seed % 2 else 0.03, fault_count=10)
        lines = simulation.faults()
        lines += [
            f"not known again: {order}" for order in simulation.sent if order.begun >= SETTLED_S and order.status != 200
        ]
        lines += [f"evacuation {number} reads back otherwise" for number in run_evacuations(seed=seed).wrong]
        sent += len(simulation.sent)
        chosen += len(simulation.chosen)
        found += bool(lines)
        for line in lines:
            print(f"seed {seed}: {line}", flush=True)
    print(f"{count} seeds from {first}: {sent} calls, {chosen} changes, {found} seeds with a fault")
    return found


def main() -> int:
    parser = argparse.ArgumentParser(
        description="Plays seeded histories of orders: python3 -m ploverward.simulation.order_simulation"
    )
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=100)
    args = parser.parse_args()
    return 1 if search_seeds(first=args.first, count=args.count) else 0


if __name__ == "__main__":
    sys.exit(main())

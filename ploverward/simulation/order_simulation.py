"""Seeded histories of orders: operators that call core nodes as the protocol says, while nodes fail (docs/orders.md).

`OrderSimulation` owns the nodes, what they chose and what operators sent and read; order_history.py checks that.
`python3 -m ploverward.simulation.order_simulation` plays many seeds.
"""

from __future__ import annotations

import argparse
import dataclasses
import itertools
import json
import sys
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from ploverward.control_plane.configuration import orders
from ploverward.control_plane.consensus import register_names
from ploverward.simulation import order_attempts
from ploverward.simulation import order_history
from ploverward.simulation import order_nodes
from ploverward.simulation import simulated_world

CONFIGURATION_PATH = "/ploverward/configuration"
LIMIT_S = 30.0  # for how long a call is tried
SETTLED_S = 400.0  # faults and the operators' orders are over by then
READ_BACK_S = 100.0  # for the repeats and reads after that
FAULT_S = (0.4, 2.0)  # how long one lasts
ROUTE = {"name": "r", "host": "h", "pathLead": "/a/", "kind": "retry_safe", "expiryMs": 1000, "destination": "d"}
ROUTE_PATCH = {"name": "q", "host": "h", "pathLead": "/q/", "kind": "streaming", "destination": "d"}
PARTS = {"routes": [ROUTE], "destinations": [{"name": "d"}]}

OnOrder = Callable[[order_history.SentOrder, Any], object]  # with the body of the answer


def configuration(*, edition: int, wait_ms: float = 1000) -> dict[str, Any]:
    """Returns a small valid configuration."""
    return {"edition": edition, **PARTS, "routes": [{**ROUTE, "expiryMs": wait_ms}]}


def encode(body: dict[str, Any]) -> bytes:
    """Returns the bytes of a call's body."""
    return json.dumps(body).encode()


class OrderSimulation:
    """Nodes, what they chose, and the history of what operators sent.

    Attributes:
        world: Time and network.
        nodes: By address.
        sent: All orders for configurations.
        read: All readings of the configuration that were answered.
        chosen: The configurations that were chosen, by edition.
    """

    def __init__(
        self, *, seed: int, names: Sequence[str] = ("a", "b", "c"), seeds: tuple[str, ...] = ("a", "b", "c")
    ) -> None:
        """Starts nodes of these names; `seeds` are the first core set."""
        self.world = simulated_world.World(seed=seed)
        self.nodes: dict[str, order_nodes.Node] = {}
        self.sent: list[order_history.SentOrder] = []
        self.read: list[order_history.ConfigurationRead] = []
        self.chosen: dict[int, order_history.ChosenConfiguration] = {}
        self._operators = itertools.count()
        for name in names:
            self.nodes[name] = order_nodes.Node(
                world=self.world, name=name, nodes=self.nodes, seeds=seeds, on_chosen=self._note_chosen
            )

    def _note_chosen(self, name: str, payload: Any) -> None:  # noqa: ANN401  # any register's
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

    def send(
        self,
        *,
        method: str,
        base: int,
        data: bytes,
        done: OnOrder | None = None,
        limit_s: float = LIMIT_S,
        is_again: bool = False,
    ) -> None:
        """Sends an order for a configuration.

        Args:
            method: "PUT" or "PATCH".
            base: The edition that it builds on.
            data: The body.
            done: Called with the order and the answer's body, when it ended.
            limit_s: For how long it is tried.
            is_again: Whether it is an order that ended before.
        """
        order = order_history.SentOrder(
            method=method,
            base=base,
            order_id=orders.compute_order_id(method=method, base=base, data=data),
            begun=self.world.now(),
            is_again=is_again,
        )
        self.sent.append(order)

        def end(status: int | None, body: Any) -> None:  # noqa: ANN401
            if status is not None:
                order.ended, order.status = self.world.now(), status
            if done is not None:
                done(order, body)

        call = order_attempts.OperatorCall(
            method=method, target=CONFIGURATION_PATH, body=data, headers={"If-Match": str(base)}
        )
        self._start(call, limit_s, end)

    def read_back(self, *, done: order_attempts.OnEnded | None = None, limit_s: float = LIMIT_S) -> None:
        """Reads the configuration; `done(status, body)` when that ended."""
        begun = self.world.now()

        def end(status: int | None, body: Any) -> None:  # noqa: ANN401
            if status in (200, 404):
                known = body if status == 200 else None
                edition = known["edition"] if known else 0
                self.read.append(
                    order_history.ConfigurationRead(begun=begun, ended=self.world.now(), edition=edition, body=known)
                )
            if done is not None:
                done(status, body)

        self._start(order_attempts.OperatorCall(method="GET", target=CONFIGURATION_PATH), limit_s, end)

    def evacuate(
        self, *, zone: str, is_evacuated: bool, done: order_attempts.OnEnded, limit_s: float = order_nodes.RECEIPT_S
    ) -> None:
        """Orders a zone out or back; `done(status, body)` when that ended."""
        method = "POST" if is_evacuated else "DELETE"
        target = f"{order_nodes.EVACUATION_PATH}{zone}"
        self._start(order_attempts.OperatorCall(method=method, target=target), limit_s, done)

    def read_evacuations(self, *, done: order_attempts.OnEnded, limit_s: float = LIMIT_S) -> None:
        """Reads the evacuated zones; `done(status, body)` when that ended."""
        target = order_nodes.EVACUATION_PATH.rstrip("/")
        self._start(order_attempts.OperatorCall(method="GET", target=target), limit_s, done)

    def _start(self, call: order_attempts.OperatorCall, limit_s: float, done: order_attempts.OnEnded) -> None:
        order_attempts.OrderAttempts(
            world=self.world,
            nodes=self.nodes,
            name=f"operator{next(self._operators)}",
            call=call,
            limit_s=limit_s,
            done=done,
        )

    def inject_fault(self) -> None:
        """One node restarts, loses its disk, or is cut off from the others, for about a second."""
        if not all(node.is_up and node.acceptor.votes for node in self.nodes.values()):
            return
        kind = self.world.chance.choice(("stop", "wipe", "cut"))
        name = self.world.chance.choice(sorted(self.nodes))
        duration_s = self.world.chance.uniform(*FAULT_S)
        if kind == "cut":
            for other in self.nodes:
                self.world.partitions |= {(name, other), (other, name)}
            self.world.later(duration_s, self.world.partitions.clear)
        else:
            self.nodes[name].stop(is_wiped=kind == "wipe")
            self.world.later(duration_s, self.nodes[name].start)

    def move_registers(self, *, by: str, to: tuple[str, ...], done: Callable[[Any], object]) -> None:
        """Moves every register to another set, as the cluster coordinator does.

        Args:
            by: The node that does it.
            to: The new set.
            done: Called with None, or with the error that ended it.
        """
        names = list(register_names.REGISTERS)

        def step(error: Any = None, *_row: object) -> None:  # noqa: ANN401  # as the proposer reports it
            if error is not None or not names:
                done(error)
                return
            self.nodes[by].proposer.change(
                name=names.pop(0), edit=lambda payload: (payload, None), done=step, next_set=to
            )

        step()

    def violations(self) -> list[str]:
        """Returns what is wrong with the history, as lines of text."""
        return order_history.violations(sent=self.sent, read=self.read, chosen=list(self.chosen.values()))


class Operator:
    """Sends one change after the other, each on the version that it knows, and some of the older ones again.

    Attributes:
        simulation: Where it sends them.
        left: How many it has still to send.
        again: How often it sends an older one again, of 0 to 1.
        known: The newest edition that it knows.
        ended: Its acknowledged orders, with their bodies.
    """

    def __init__(self, *, simulation: OrderSimulation, count: int, again: float) -> None:
        self.simulation = simulation
        self.left = count
        self.again = again
        self.known = 0
        self.ended: list[tuple[order_history.SentOrder, bytes]] = []
        self._step()

    def _step(self) -> None:
        if self.left <= 0:
            return
        self.left -= 1
        chance = self.simulation.world.chance
        if self.ended and chance.random() < self.again:
            self._send_again()
        else:
            self._send_next()

    def _send_again(self) -> None:
        order, data = self.simulation.world.chance.choice(self.ended)
        self.simulation.send(
            method=order.method, base=order.base, data=data, is_again=True, done=lambda *_answer: self._pause()
        )

    def _send_next(self) -> None:
        chance = self.simulation.world.chance
        edition = self.known + chance.randint(1, 3)
        if self.known and chance.random() < 0.5:
            method = "PATCH"
            route = {**ROUTE_PATCH, "expiryMs": chance.randint(1, 10**6)}
            data = encode({"edition": edition, "upsert": {"routes": [route]}})
        else:
            method = "PUT"
            data = encode(configuration(edition=edition, wait_ms=chance.randint(1, 10**6)))

        def end(order: order_history.SentOrder, _body: Any) -> None:  # noqa: ANN401
            if order.status == 200:
                self.ended.append((order, data))
                self.known = max(self.known, edition)
                self._pause()
            else:
                self.simulation.read_back(done=self._learn)

        self.simulation.send(method=method, base=self.known, data=data, done=end)

    def _learn(self, status: int | None, body: Any) -> None:  # noqa: ANN401
        if status == 200:
            self.known = body["edition"]
        self._pause()

    def _pause(self) -> None:
        self.simulation.world.later(self.simulation.world.chance.random() * 0.05, self._step)


def run_simulation(
    *, seed: int, operators: int, count: int, loss: float = 0.03, fault_count: int = 6, again: float = 0.2
) -> OrderSimulation:
    """Plays one history; all acknowledged orders are sent once more at its end.

    Args:
        seed: Decides all that is drawn.
        operators: How many.
        count: How many changes each of them sends.
        loss: Part of the messages that is lost.
        fault_count: How many faults there are.
        again: Part of the changes that are older ones sent again.
    """
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
    simulation.world.run(until=SETTLED_S + READ_BACK_S)
    return simulation


@dataclasses.dataclass(slots=True)
class EvacuationReport:
    """What came of a history of evacuations.

    Attributes:
        mismatched_orders: Numbers of the orders after which the zones were read back otherwise.
        acknowledged: How many orders were.
    """

    mismatched_orders: list[int] = dataclasses.field(default_factory=list)
    acknowledged: int = 0


class _EvacuationOperator:
    """Orders a zone out and back in turn, and reads back after each order that was acknowledged."""

    def __init__(self, *, simulation: OrderSimulation, count: int) -> None:
        self.report = EvacuationReport()
        self._simulation = simulation
        self._count = count
        self._zone = order_nodes.ZONES[0]

    def order(self, number: int) -> None:
        """Makes an order, and all after it."""
        if number == self._count:
            return
        is_evacuated = number % 2 == 0
        self._simulation.evacuate(
            zone=self._zone,
            is_evacuated=is_evacuated,
            done=lambda status, _body: self._end(number, is_evacuated, status),
        )

    def _end(self, number: int, is_evacuated: bool, status: int | None) -> None:
        if status != 200:
            self.order(number + 1)
            return
        self.report.acknowledged += 1
        world = self._simulation.world
        pause_s = world.chance.choice((0.0, 0.5, 3.5))
        world.later(
            pause_s,
            lambda: self._simulation.read_evacuations(
                done=lambda _status, body: self._check(number, is_evacuated, body)
            ),
        )

    def _check(self, number: int, is_evacuated: bool, body: Any) -> None:  # noqa: ANN401
        if (self._zone in body["zones"]) != is_evacuated:
            self.report.mismatched_orders.append(number)
        self.order(number + 1)


def run_evacuations(*, seed: int, count: int = 30) -> EvacuationReport:
    """Plays a history of so many evacuations and restorations of one zone."""
    simulation = OrderSimulation(seed=seed)
    simulation.world.loss = 0.1
    operator = _EvacuationOperator(simulation=simulation, count=count)
    for number in range(8):
        simulation.world.later(2.0 + number * 5.0, simulation.inject_fault)
    operator.order(0)
    simulation.world.run(until=600.0)
    return operator.report


def search_seeds(*, first: int, count: int) -> int:
    """Plays both kinds of history for each seed and prints what is wrong; returns how many seeds showed something."""
    sent = chosen = found = 0
    for seed in range(first, first + count):
        simulation = run_simulation(seed=seed, operators=3, count=70, loss=0.08 if seed % 2 else 0.03, fault_count=10)
        lines = simulation.violations()
        lines += [
            f"not known again: {order}" for order in simulation.sent if order.begun >= SETTLED_S and order.status != 200
        ]
        lines += [
            f"evacuation {number} reads back otherwise" for number in run_evacuations(seed=seed).mismatched_orders
        ]
        sent += len(simulation.sent)
        chosen += len(simulation.chosen)
        found += bool(lines)
        for line in lines:
            print(f"seed {seed}: {line}", flush=True)
    print(f"{count} seeds from {first}: {sent} calls, {chosen} changes, {found} seeds with a fault")
    return found


def main() -> int:
    """Plays the seeds that the flags name; 1 where one showed something."""
    parser = argparse.ArgumentParser(
        description="Plays seeded histories of orders: python3 -m ploverward.simulation.order_simulation"
    )
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=100)
    args = parser.parse_args()
    return 1 if search_seeds(first=args.first, count=args.count) else 0


if __name__ == "__main__":
    sys.exit(main())

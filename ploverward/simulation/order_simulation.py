"""Seeded simulation of orders: operators call core nodes by the protocol while nodes fail (docs/orders.md).

`OrderSimulation` owns the nodes, the configurations that they chose and the calls of operators; order_history.py checks
this history. `python3 -m ploverward.simulation.order_simulation` runs many seeds.
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
LIMIT_S = 30.0  # time limit of a call
SETTLED_S = 400.0  # time by which all faults and orders of operators have ended
READ_BACK_S = 100.0  # time after that for resending orders and reading back
FAULT_DURATION_S = (0.4, 2.0)  # shortest and longest fault
ROUTE = {"name": "r", "host": "h", "pathLead": "/a/", "kind": "retry_safe", "expiryMs": 1000, "destination": "d"}
ROUTE_PATCH = {"name": "q", "host": "h", "pathLead": "/q/", "kind": "streaming", "destination": "d"}
PARTS = {"routes": [ROUTE], "destinations": [{"name": "d"}]}

OnOrder = Callable[[order_history.SentOrder, Any], object]  # (order, body of the answer)


def configuration(*, edition: int, wait_ms: float = 1000) -> dict[str, Any]:
    """Returns a small valid configuration."""
    return {"edition": edition, **PARTS, "routes": [{**ROUTE, "expiryMs": wait_ms}]}


def encode(body: dict[str, Any]) -> bytes:
    """Returns a body as JSON bytes."""
    return json.dumps(body).encode()


class OrderSimulation:
    """Core nodes, the configurations that they chose, and the history of the calls of operators.

    Attributes:
        world: Simulated time and network.
        nodes: Core nodes by address.
        sent: All orders for configurations.
        read: All answered reads of the configuration.
        chosen: The chosen configurations by edition.
    """

    def __init__(
        self, *, seed: int, names: Sequence[str] = ("a", "b", "c"), seeds: tuple[str, ...] = ("a", "b", "c")
    ) -> None:
        """Starts nodes with these names; `seeds` is the initial core set."""
        self.world = simulated_world.World(seed=seed)
        self.nodes: dict[str, order_nodes.Node] = {}
        self.sent: list[order_history.SentOrder] = []
        self.read: list[order_history.ConfigurationRead] = []
        self.chosen: dict[int, order_history.ChosenConfiguration] = {}
        self._operators = itertools.count()
        for name in names:
            self.nodes[name] = order_nodes.Node(
                world=self.world, name=name, nodes=self.nodes, seeds=seeds, on_chosen=self._record_chosen
            )

    def _record_chosen(self, name: str, payload: Any) -> None:  # noqa: ANN401  # payload of any register
        """Records the configurations named by a chosen value.

        A value also names the orders before it, so an order whose proposer was lost is recorded as well.
        """
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
            base: Edition that it is based on.
            data: Body of the request.
            done: Called with the order and the body of the answer when the call ends.
            limit_s: Time limit of the call, in seconds.
            is_again: Whether the same order was answered before.
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
        self._start_call(call, limit_s, end)

    def read_back(self, *, done: order_attempts.OnEnded | None = None, limit_s: float = LIMIT_S) -> None:
        """Reads the configuration; calls `done(status, body)` when the call ends."""
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

        self._start_call(order_attempts.OperatorCall(method="GET", target=CONFIGURATION_PATH), limit_s, end)

    def evacuate(
        self, *, zone: str, is_evacuated: bool, done: order_attempts.OnEnded, limit_s: float = order_nodes.RECEIPT_S
    ) -> None:
        """Orders the evacuation or the restoration of a zone; calls `done(status, body)` when the call ends."""
        method = "POST" if is_evacuated else "DELETE"
        target = f"{order_nodes.EVACUATION_PATH}{zone}"
        self._start_call(order_attempts.OperatorCall(method=method, target=target), limit_s, done)

    def read_evacuations(self, *, done: order_attempts.OnEnded, limit_s: float = LIMIT_S) -> None:
        """Reads the evacuated zones; calls `done(status, body)` when the call ends."""
        target = order_nodes.EVACUATION_PATH.rstrip("/")
        self._start_call(order_attempts.OperatorCall(method="GET", target=target), limit_s, done)

    def _start_call(self, call: order_attempts.OperatorCall, limit_s: float, done: order_attempts.OnEnded) -> None:
        order_attempts.OrderAttempts(
            world=self.world,
            nodes=self.nodes,
            name=f"operator{next(self._operators)}",
            call=call,
            limit_s=limit_s,
            done=done,
        )

    def inject_fault(self) -> None:
        """Stops, wipes or partitions a random node for about a second, if all nodes run and vote."""
        if not all(node.is_up and node.acceptor.votes for node in self.nodes.values()):
            return
        kind = self.world.chance.choice(("stop", "wipe", "cut"))
        name = self.world.chance.choice(sorted(self.nodes))
        duration_s = self.world.chance.uniform(*FAULT_DURATION_S)
        if kind == "cut":
            for other in self.nodes:
                self.world.partitions |= {(name, other), (other, name)}
            self.world.later(duration_s, self.world.partitions.clear)
        else:
            self.nodes[name].stop(is_wiped=kind == "wipe")
            self.world.later(duration_s, self.nodes[name].start)

    def move_registers(self, *, by: str, to: tuple[str, ...], done: Callable[[Any], object]) -> None:
        """Moves every register to another core set, as the cluster coordinator does.

        Args:
            by: Name of the node that proposes the changes.
            to: The new core set.
            done: Called with None, or with the error that ended the move.
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
        """Returns the rules that the history violates, as lines of text."""
        return order_history.violations(sent=self.sent, read=self.read, chosen=list(self.chosen.values()))


class Operator:
    """An operator that sends orders one by one, each based on the newest edition it knows, and resends some older ones.

    Attributes:
        simulation: The simulation that it belongs to.
        remaining: Number of orders that it has still to send.
        again: Share of its orders that are older ones sent again, 0 to 1.
        known_edition: Newest edition that it knows.
        ended: Its acknowledged orders with their bodies.
    """

    def __init__(self, *, simulation: OrderSimulation, count: int, again: float) -> None:
        self.simulation = simulation
        self.remaining = count
        self.again = again
        self.known_edition = 0
        self.ended: list[tuple[order_history.SentOrder, bytes]] = []
        self._step()

    def _step(self) -> None:
        if self.remaining <= 0:
            return
        self.remaining -= 1
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
        edition = self.known_edition + chance.randint(1, 3)
        if self.known_edition and chance.random() < 0.5:
            method = "PATCH"
            route = {**ROUTE_PATCH, "expiryMs": chance.randint(1, 10**6)}
            data = encode({"edition": edition, "upsert": {"routes": [route]}})
        else:
            method = "PUT"
            data = encode(configuration(edition=edition, wait_ms=chance.randint(1, 10**6)))

        def end(order: order_history.SentOrder, _body: Any) -> None:  # noqa: ANN401
            if order.status == 200:
                self.ended.append((order, data))
                self.known_edition = max(self.known_edition, edition)
                self._pause()
            else:
                self.simulation.read_back(done=self._update_known_edition)

        self.simulation.send(method=method, base=self.known_edition, data=data, done=end)

    def _update_known_edition(self, status: int | None, body: Any) -> None:  # noqa: ANN401
        if status == 200:
            self.known_edition = body["edition"]
        self._pause()

    def _pause(self) -> None:
        self.simulation.world.later(self.simulation.world.chance.random() * 0.05, self._step)


def run_simulation(
    *, seed: int, operators: int, count: int, loss: float = 0.03, fault_count: int = 6, again: float = 0.2
) -> OrderSimulation:
    """Runs one simulation; all acknowledged orders are sent once more at its end.

    Args:
        seed: Seed of the random generator.
        operators: Number of operators.
        count: Number of orders that each of them sends.
        loss: Share of the messages that are lost.
        fault_count: Number of injected faults.
        again: Share of the orders that are older ones sent again.
    """
    simulation = OrderSimulation(seed=seed)
    simulation.world.loss = loss
    simulation.world.delay = (0.001, 0.01)
    active_operators = [Operator(simulation=simulation, count=count, again=again) for _ in range(operators)]
    for number in range(fault_count):
        simulation.world.later(1.0 + number * 6.0, simulation.inject_fault)
    simulation.world.run(until=SETTLED_S)
    simulation.world.loss = 0.0
    for operator in active_operators:
        for order, data in operator.ended:
            simulation.send(method=order.method, base=order.base, data=data, is_again=True)
    simulation.read_back()
    simulation.world.run(until=SETTLED_S + READ_BACK_S)
    return simulation


@dataclasses.dataclass(slots=True)
class EvacuationReport:
    """The result of a simulation of evacuations.

    Attributes:
        mismatched_orders: Numbers of the orders whose effect did not show when the zones were read back.
        acknowledged: Number of acknowledged orders.
    """

    mismatched_orders: list[int] = dataclasses.field(default_factory=list)
    acknowledged: int = 0


class _EvacuationOperator:
    """Evacuates and restores a zone in turn, and reads the zones back after each acknowledged order."""

    def __init__(self, *, simulation: OrderSimulation, count: int) -> None:
        self.report = EvacuationReport()
        self._simulation = simulation
        self._count = count
        self._zone = order_nodes.ZONES[0]

    def send_order(self, number: int) -> None:
        """Sends an order, and then all orders after it."""
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
            self.send_order(number + 1)
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
        self.send_order(number + 1)


def run_evacuations(*, seed: int, count: int = 30) -> EvacuationReport:
    """Simulates this number of evacuations and restorations of one zone."""
    simulation = OrderSimulation(seed=seed)
    simulation.world.loss = 0.1
    operator = _EvacuationOperator(simulation=simulation, count=count)
    for number in range(8):
        simulation.world.later(2.0 + number * 5.0, simulation.inject_fault)
    operator.send_order(0)
    simulation.world.run(until=600.0)
    return operator.report


def search_seeds(*, first: int, count: int) -> int:
    """Runs both simulations for each seed and prints the violations; returns the number of seeds with any."""
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
    """Runs the seeds that the flags name; returns 1 if one shows a violation, else 0."""
    parser = argparse.ArgumentParser(
        description="Plays seeded histories of orders: python3 -m ploverward.simulation.order_simulation"
    )
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=100)
    args = parser.parse_args()
    return 1 if search_seeds(first=args.first, count=args.count) else 0


if __name__ == "__main__":
    sys.exit(main())

"""Simulated operators: sequential, competing, repeated and invalid orders, evacuations and reads (docs/simulate.md).

`Operators` owns all orders and reads of a run, and the operators' knowledge: the newest edition that was acknowledged
or read. order_sender.py sends the orders.
"""

from __future__ import annotations

import dataclasses
import enum
import json
from collections.abc import Callable
from typing import Any

from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import order_model
from ploverward.simulation.control_plane import order_sender
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_http

FIRST_CHANGE_S, FIRST_READ_S, FIRST_EVACUATION_S = 0.4, 1.0, 2.0  # after the start of the run
# Upper bounds of one random number in [0, 1) that selects the kind of the next change; above them: a plain change.
RACE_UNTIL, REPEAT_UNTIL, INVALID_UNTIL = 0.12, 0.27, 0.33
PATCH_CHANCE = 0.4  # probability that a change is a patch, once there is a configuration
MAX_READ_ATTEMPTS = 60
READ_PAUSE_S = 0.2  # between two attempts of a read
MAX_REPEAT_ATTEMPTS, MAX_INVALID_ATTEMPTS = 6, 4

OnRead = Callable[[Any], object]  # called with the value; None: not answered


class Moment(enum.Enum):
    """Moments of orders and reads at which a fault may begin."""

    SENT = "sent"
    ACKNOWLEDGED = "acknowledged"
    READ = "read"  # a read returned an edition newer than all acknowledged or read before


class Operators:
    """All operators of a run.

    Attributes:
        sender: Sends the orders and reads.
        orders: All orders that were sent.
        reads: All reads that were answered.
        edition: The newest edition acknowledged or read.
        on_acknowledged: Called with each acknowledged configuration order.
        is_stopped: Whether no further order or read begins.
    """

    def __init__(
        self, *, sender: order_sender.OrderSender, recorder: recorders.Recorder, gap_s: float, receipt_s: float
    ) -> None:
        """Initializes the operators.

        Args:
            sender: Sends the orders and reads.
            recorder: The recorder of the run.
            gap_s: Approximate time from the end of one change to the start of the next.
            receipt_s: Time after which an evacuation order is given up.
        """
        self.sender = sender
        self.orders: list[order_model.Order] = []
        self.reads: list[order_model.Read] = []
        self.edition = 0
        self.on_acknowledged: order_sender.OnOrder = lambda _order: None
        self.is_stopped = False
        self._clock = sender.clock
        self._chance = sender.clock.chance
        self._recorder = recorder
        self._gap_s = gap_s
        self._receipt_s = receipt_s
        self._acknowledged: list[order_model.Order] = []  # configuration orders
        self._zone_orders: dict[str, order_model.Order] = {}  # by zone: the order in progress or the last one
        self._at_moments: dict[Moment, Callable[[], object]] = {}
        self._highest_edition = 0  # highest edition used in any order

    def start(self) -> None:
        """Schedules the first change, evacuation and read."""
        self._clock.later(delay=FIRST_CHANGE_S, callback=self._begin_change)
        self._clock.later(delay=FIRST_EVACUATION_S, callback=self._begin_evacuation)
        self._clock.later(delay=FIRST_READ_S, callback=self._begin_read)

    def call_at_next(self, moment: Moment, callback: Callable[[], object]) -> None:
        """Registers a callback that is called once, at the next moment of this kind."""
        self._at_moments[moment] = callback

    def cancel_moments(self) -> None:
        """Cancels all callbacks of `call_at_next`."""
        self._at_moments.clear()

    def _trigger(self, moment: Moment) -> None:
        callback = self._at_moments.pop(moment, None)
        if callback is not None:
            callback()

    # Configurations: a change begins only after the one before has ended.
    def _begin_change(self) -> None:
        if self.is_stopped:
            return
        roll = self._chance.random()
        if self.edition and roll < RACE_UNTIL:
            self._send_competing_orders()
        elif self._acknowledged and roll < REPEAT_UNTIL:
            self._send_again()
        elif self.edition and roll < INVALID_UNTIL:
            self._send_invalid()
        else:
            self._send_change()

    def _schedule_change(self, _ended: object = None) -> None:
        self._clock.later(delay=self._chance.uniform(0.2, 1.8) * self._gap_s, callback=self._begin_change)

    def _new_edition(self) -> int:
        self._highest_edition = max(self._highest_edition, self.edition) + self._chance.randint(1, 3)
        return self._highest_edition

    def _make_order(self, *, edition: int, is_valid: bool = True, suffix: str = "") -> order_model.Order:
        name = f"o{len(self.orders)}{suffix}"
        kind = order_model.OrderKind.PUT
        make_body = order_model.configuration_body
        if self.edition and self._chance.random() < PATCH_CHANCE:
            kind = order_model.OrderKind.PATCH
            make_body = order_model.patch_body
        call = order_model.HttpCall(
            method=kind.upper(),
            target=order_model.CONFIGURATION_PATH,
            headers=(("If-Match", str(self.edition)), ("Content-Type", "application/json")),
            body=make_body(edition=edition, order_name=name, is_valid=is_valid),
        )
        return order_model.Order(name=name, kind=kind, call=call, base=self.edition, edition=edition, is_valid=is_valid)

    def make_probe(self, *, name: str) -> order_model.Order:
        """Creates an order with a valid complete configuration, which the operators don't send themselves."""
        order = self._make_order(edition=self._new_edition())
        order.name = name
        order.is_uncontested = False
        body = order_model.configuration_body(edition=order.edition, order_name=name)
        order.call = dataclasses.replace(order.call, method="PUT", body=body)
        return order

    def _send_change(self) -> None:
        def handle_ended(order: order_model.Order) -> None:
            # If the order was refused, the operator first reads the current configuration.
            if order.outcome == order_model.Outcome.ACKNOWLEDGED:
                self._schedule_change()
            else:
                self.read(what=order_model.ReadKind.CONFIGURATION, then=self._schedule_change)

        self._send(self._make_order(edition=self._new_edition()), then=handle_ended)

    def _send_competing_orders(self) -> None:
        """Sends two orders with the same base at once, sometimes also with the same edition."""
        first = self._make_order(edition=self._new_edition())
        edition = first.edition if self._chance.random() < 0.5 else self._new_edition()
        second = self._make_order(edition=edition, suffix="b")
        first.is_uncontested = second.is_uncontested = False
        left = [first, second]

        def end(order: order_model.Order) -> None:
            left.remove(order)
            if not left:
                self.read(what=order_model.ReadKind.CONFIGURATION, then=self._schedule_change)

        for order in (first, second):
            self._send(order, then=end)

    def _send_again(self) -> None:
        """Sends an order that was acknowledged before once more, unchanged."""
        earlier = self._chance.choice(self._acknowledged)
        order = dataclasses.replace(
            earlier, outcome=order_model.Outcome.OPEN, attempts=[], is_repeat=True, ended_at=None
        )
        self._send(order, then=self._schedule_change, max_attempts=MAX_REPEAT_ATTEMPTS)

    def _send_invalid(self) -> None:
        """Sends an order that names an unknown destination or whose edition is not newer than its base."""
        if self._chance.random() < 0.5:
            order = self._make_order(edition=self._new_edition(), is_valid=False)
        else:
            order = self._make_order(edition=self._chance.randint(0, self.edition))
            order.is_valid = False
        self._send(order, then=self._schedule_change, max_attempts=MAX_INVALID_ATTEMPTS)

    # Evacuations: one at a time for each zone.
    def _begin_evacuation(self) -> None:
        if self.is_stopped:
            return
        zone = self._chance.choice(sorted(machines.ZONES))
        previous = self._zone_orders.get(zone)
        if previous is None or previous.outcome:
            order = self._make_evacuation(zone, previous)
            self._zone_orders[zone] = order
            self._send(order, then=lambda _order: None, limit_s=self._receipt_s)
        pause_s = self._chance.uniform(0.5, 2.0) * max(1.0, self._gap_s)
        self._clock.later(delay=pause_s, callback=self._begin_evacuation)

    def _make_evacuation(self, zone: str, previous: order_model.Order | None) -> order_model.Order:
        """Creates the next order for a zone: evacuate and restore alternate; one that was given up is repeated."""
        kind = order_model.OrderKind.EVACUATE
        if previous is not None and previous.outcome == order_model.Outcome.GIVEN_UP:
            kind = previous.kind
        elif previous is not None and previous.kind == order_model.OrderKind.EVACUATE:
            kind = order_model.OrderKind.RESTORE
        method = "POST" if kind == order_model.OrderKind.EVACUATE else "DELETE"
        call = order_model.HttpCall(method=method, target=f"{order_model.EVACUATION_PATH}/{zone}")
        return order_model.Order(name=f"e{len(self.orders)}", kind=kind, call=call, zone=zone)

    # Reads: periodic ones with a single attempt, and repeated ones that follow an order.
    def _begin_read(self) -> None:
        if self.is_stopped:
            return
        self.read(what=self._chance.choice(tuple(order_model.ReadKind)), then=lambda _value: None, max_attempts=1)
        self._clock.later(delay=self._chance.uniform(0.05, 1.0), callback=self._begin_read)

    def read(
        self,
        *,
        what: order_model.ReadKind,
        then: OnRead,
        max_attempts: int = MAX_READ_ATTEMPTS,
        host: str = "",
    ) -> None:
        """Sends a read until it is answered.

        Args:
            what: Kind of the read.
            then: Called with the value, or with None if no attempt was answered.
            max_attempts: Maximum number of attempts.
            host: The node to read from; empty: a random node for each attempt.
        """
        begun_at = self._clock.time
        hosts = [host] if host else self.sender.shuffled_hosts()
        node = hosts[max_attempts % len(hosts)]

        def handle_answer(answer: simulated_http.Answer | None) -> None:
            value = _read_value(what, answer)
            if value is not None:
                self._record_read(what, node, begun_at, value)
                then(value)
            elif max_attempts > 1:
                self._clock.later(
                    delay=READ_PAUSE_S,
                    callback=lambda: self.read(what=what, then=then, max_attempts=max_attempts - 1, host=host),
                )
            else:
                then(None)

        is_configuration = what == order_model.ReadKind.CONFIGURATION
        target = order_model.CONFIGURATION_PATH if is_configuration else order_model.EVACUATION_PATH
        self.sender.call(node, order_model.HttpCall(method="GET", target=target), done=handle_answer)

    def _record_read(self, what: order_model.ReadKind, host: str, begun_at: float, value: Any) -> None:  # noqa: ANN401
        self._recorder.record("read", what=what, host=host, value=value)
        read = order_model.Read(what=what, host=host, begun_at=begun_at, ended_at=self._clock.time, value=value)
        self.reads.append(read)
        if what == order_model.ReadKind.CONFIGURATION and value > self.edition:
            self.edition = value
            self._trigger(Moment.READ)

    # Sending, recording and acknowledgements of all orders.
    def _send(
        self,
        order: order_model.Order,
        *,
        then: order_sender.OnOrder,
        max_attempts: int = order_sender.MAX_ATTEMPTS,
        limit_s: float = order_sender.UNLIMITED_S,
    ) -> None:
        order.begun_at = self._clock.time
        self.orders.append(order)
        self._recorder.record("order", name=order.name, kind=order.kind, base=order.base, edition=order.edition)
        self._trigger(Moment.SENT)

        def end(order: order_model.Order) -> None:
            if order.outcome == order_model.Outcome.ACKNOWLEDGED:
                self._handle_acknowledged(order)
            then(order)

        self.sender.send(order, on_ended=end, max_attempts=max_attempts, limit_s=limit_s)

    def _handle_acknowledged(self, order: order_model.Order) -> None:
        if order.is_configuration and not order.is_repeat and order.is_valid:
            self.edition = max(self.edition, order.edition)
            self._acknowledged.append(order)
            self.on_acknowledged(order)
        self._trigger(Moment.ACKNOWLEDGED)


def _read_value(what: order_model.ReadKind, answer: simulated_http.Answer | None) -> Any:  # noqa: ANN401
    """Returns the edition or the evacuated zones of a response; None if it contains neither."""
    is_configuration = what == order_model.ReadKind.CONFIGURATION
    if answer is not None and answer.status == 200:
        body = json.loads(answer.body)
        return body["edition"] if is_configuration else frozenset(body["zones"])
    if answer is not None and answer.status == 404 and is_configuration:
        return 0
    return None

"""Sender for the simulated operators: tries one node after the other until the outcome is clear (docs/simulate.md)."""

from __future__ import annotations

import urllib.parse
from collections.abc import Callable
from collections.abc import Sequence

from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import order_model
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_http
from ploverward.simulation.control_plane import simulated_network

HOST = "operators"
ANSWER_LOSS_CHANCE = 0.3  # probability that a response is lost while `loses_answers`
CALLER_TIMEOUT_S = 1.0  # time without a response after which operators try another node
MAX_REDIRECTS = 2
MAX_REJECTIONS = 3  # number of 4xx responses outside the lists below after which an order is refused
MAX_ATTEMPTS = 10_000  # more than any run has time for
UNLIMITED_S = 10_000.0
CLEAR_STATUSES = (400, 409, 412, 413, 422)  # refusals that another node would repeat
UNCLEAR_STATUSES = (408, 429)  # temporary failures, after which the order is sent again
FIRST_PAUSE_S, MAX_PAUSE_S, PAUSE_GROWTH = 0.05, 0.5, 1.6  # backoff between two attempts

OnOrder = Callable[[order_model.Order], object]


class OrderSender:
    """Sends orders and reads for all operators of a run.

    Attributes:
        loses_answers: Whether some responses to orders are lost in the network now.
    """

    def __init__(
        self,
        *,
        network: simulated_network.Network,
        recorder: recorders.Recorder,
        hosts: Callable[[], Sequence[str]],
    ) -> None:
        """Initializes a sender; `hosts()` returns the nodes that the operators know."""
        self.loses_answers = False
        self.clock = network.clock
        self.recorder = recorder
        self._chance = network.clock.chance
        self._hosts = hosts
        self._caller = simulated_http.Caller(network=network, host=HOST)

    def shuffled_hosts(self) -> list[str]:
        """Returns the known nodes in random order."""
        hosts = sorted(self._hosts())
        self._chance.shuffle(hosts)
        return hosts

    def send(
        self,
        order: order_model.Order,
        *,
        on_ended: OnOrder,
        max_attempts: int = MAX_ATTEMPTS,
        limit_s: float = UNLIMITED_S,
    ) -> None:
        """Sends an order until its outcome is clear.

        Args:
            order: The order; its attempts and its outcome are recorded in it.
            on_ended: Called with the order once its outcome is clear.
            max_attempts: Number of attempts after which it is given up.
            limit_s: Time after which it is given up.
        """
        _OrderDelivery(
            sender=self, order=order, on_ended=on_ended, max_attempts=max_attempts, limit_s=limit_s
        ).attempt()

    def draw_answer_loss(self) -> bool:
        """Draws whether the response to the next attempt is lost."""
        return self.loses_answers and self._chance.random() < ANSWER_LOSS_CHANCE

    def call_once(
        self, host: str, call: order_model.HttpCall, *, limit_s: float, done: simulated_http.OnAnswer
    ) -> None:
        """Makes one call to one node without following redirects."""
        self._call(host, call, limit_s=limit_s, done=done)

    def call(
        self,
        host: str,
        call: order_model.HttpCall,
        *,
        done: simulated_http.OnAnswer,
        on_lost: simulated_http.OnAnswer | None = None,
        redirects: int = MAX_REDIRECTS,
    ) -> None:
        """Makes one call and follows redirects.

        Args:
            host: The node.
            call: The request.
            done: As for `simulated_http.Caller.call`.
            on_lost: As for `simulated_http.Caller.call`.
            redirects: Maximum number of redirects to follow.
        """

        def handle_answer(answer: simulated_http.Answer | None) -> None:
            if answer is None or answer.status != 307 or not redirects:
                done(answer)
                return
            location = urllib.parse.urlsplit(answer.headers.get("location", ""))
            moved = order_model.HttpCall(call.method, location.path or call.target, call.headers, call.body)
            self.call(location.hostname or host, moved, done=done, on_lost=on_lost, redirects=redirects - 1)

        self._call(host, call, limit_s=CALLER_TIMEOUT_S, done=handle_answer, on_lost=on_lost)

    def _call(
        self,
        host: str,
        call: order_model.HttpCall,
        *,
        limit_s: float,
        done: simulated_http.OnAnswer,
        on_lost: simulated_http.OnAnswer | None = None,
    ) -> None:
        self._caller.call(
            host=host,
            port=machines.CONTROL_PORT,
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            limit_s=limit_s,
            done=done,
            on_lost=on_lost,
        )


class _OrderDelivery:
    """Delivery of one order; the arguments are those of `OrderSender.send`."""

    def __init__(
        self,
        *,
        sender: OrderSender,
        order: order_model.Order,
        on_ended: OnOrder,
        max_attempts: int,
        limit_s: float,
    ) -> None:
        self._sender = sender
        self._clock = sender.clock
        self._order = order
        self._on_ended = on_ended
        self._max_attempts = max_attempts
        self._limit_s = limit_s
        self._pause_s = FIRST_PAUSE_S
        self._hosts = sender.shuffled_hosts()
        self._attempts = 0
        self._rejections = 0

    def attempt(self) -> None:
        """Sends the order to the next node, unless its outcome is clear."""
        order = self._order
        if order.outcome:
            return
        if self._attempts >= self._max_attempts or self._clock.time - order.begun_at >= self._limit_s:
            self._end(order_model.Outcome.GIVEN_UP)
            return
        if self._attempts and self._attempts % len(self._hosts) == 0:
            self._hosts = self._sender.shuffled_hosts()
        host = self._hosts[self._attempts % len(self._hosts)]
        self._attempts += 1
        attempt = order_model.Attempt(host=host, sent_at=self._clock.time)
        order.attempts.append(attempt)
        self._sender.call(
            host,
            order.call,
            done=lambda answer: self._handle_answer(attempt, answer),
            on_lost=self._record_lost if self._sender.draw_answer_loss() else None,
        )

    def _record_lost(self, answer: simulated_http.Answer | None) -> None:
        if answer is not None and answer.status == 200 and self._order.lost_at is None:
            self._order.lost_at = self._clock.time

    def _handle_answer(self, attempt: order_model.Attempt, answer: simulated_http.Answer | None) -> None:
        attempt.end(answer, now=self._clock.time)
        status = attempt.status
        self._sender.recorder.record(
            "answer", order=self._order.name, host=attempt.host, status=status, body=attempt.body[:90]
        )
        if status == 200:
            self._end(order_model.Outcome.ACKNOWLEDGED)
        elif status in CLEAR_STATUSES:
            self._end(order_model.Outcome.REFUSED)
        elif 400 <= status < 500 and status not in UNCLEAR_STATUSES:
            self._handle_rejection()
        else:
            self._schedule_next()

    def _handle_rejection(self) -> None:
        self._rejections += 1
        if self._rejections >= MAX_REJECTIONS:
            self._end(order_model.Outcome.REFUSED)
        else:
            self._schedule_next()

    def _schedule_next(self) -> None:
        pause_s = self._pause_s
        self._pause_s = min(pause_s * PAUSE_GROWTH, MAX_PAUSE_S)
        self._clock.later(delay=pause_s, callback=self.attempt)

    def _end(self, outcome: order_model.Outcome) -> None:
        order = self._order
        order.outcome = outcome
        order.ended_at = self._clock.time
        self._sender.recorder.record("order ended", name=order.name, outcome=outcome, zone=order.zone)
        self._on_ended(order)

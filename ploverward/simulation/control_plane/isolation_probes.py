"""The check that an isolated node answers each order in time and does not reject it (docs/simulate.md).

A valid order that a node can't carry out because it is cut off must end with an answer within `ANSWER_TIMEOUT_S`, and
not with a status of 400 to 499, which would blame the order.

A node is cut off if it has not reached a majority of any core set, in both directions, since then. The cut alone does
not tell: machines that are cut off together may have a majority among themselves.
"""

from __future__ import annotations

from collections.abc import Callable

from ploverward.simulation.control_plane import fault_log
from ploverward.simulation.control_plane import operators as model_operators
from ploverward.simulation.control_plane import order_model
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_http
from ploverward.simulation.control_plane import simulated_network

MIN_ISOLATION_S = 2.0  # after this time a node must have noticed that it is cut off
ANSWER_TIMEOUT_S = 1.05  # an order must be answered within this time


class IsolationProbes:
    """Sends orders to nodes that are cut off, and checks their answers.

    Attributes:
        orders: The orders that were sent.
    """

    def __init__(
        self,
        *,
        network: simulated_network.Network,
        recorder: recorders.Recorder,
        operators: model_operators.Operators,
        faults: fault_log.FaultLog,
        may_reach_majority: Callable[[str], bool],
    ) -> None:
        self.orders: list[order_model.Order] = []
        self._network = network
        self._clock = network.clock
        self._recorder = recorder
        self._operators = operators
        self._faults = faults
        self._may_reach_majority = may_reach_majority

    def probe(self, host: str) -> None:
        """Sends a valid order to a node that is cut off, and to no other node; does nothing if it is not cut off."""
        since = self._faults.isolated_since.get(host)
        if since is None:
            return
        order = self._operators.make_probe(name=f"probe{len(self.orders)}")
        attempt = order_model.Attempt(host=host, sent_at=self._clock.time)
        self.orders.append(order)

        def handle_answer(answer: simulated_http.Answer | None) -> None:
            attempt.end(answer, now=self._clock.time)
            self._recorder.record("probe answered", host=host, status=attempt.status)
            order.attempts.append(attempt)
            self._check(attempt, since)

        self._operators.sender.call_once(host, order.call, limit_s=ANSWER_TIMEOUT_S, done=handle_answer)

    def _check(self, attempt: order_model.Attempt, since: float) -> None:
        if not self._must_know_isolation(attempt, since):
            return
        if not attempt.status:
            self._recorder.add_finding(
                "cut off",
                f"{attempt.host} left an order without an end for {ANSWER_TIMEOUT_S} s, cut off since {since:.3f}",
            )
        if 400 <= attempt.status < 500:
            self._recorder.add_finding("cut off", f"{attempt.host} answered {attempt.status}: {attempt.body[:80]!r}")

    def _must_know_isolation(self, attempt: order_model.Attempt, since: float) -> bool:
        """Returns whether the node ran, cut off, for `MIN_ISOLATION_S` before the order, and still does."""
        is_still_isolated = self._faults.isolated_since.get(attempt.host) == since
        if not is_still_isolated or self._may_reach_majority(attempt.host) or attempt.sent_at - since < MIN_ISOLATION_S:
            return False
        process = self._network.machines[attempt.host].running_process
        if not process.is_alive or process.is_frozen:
            return False
        return attempt.sent_at - process.begun_at >= MIN_ISOLATION_S

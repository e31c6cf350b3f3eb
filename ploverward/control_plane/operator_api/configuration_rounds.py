"""Runs the consensus rounds of orders that change the configuration (docs/orders.md 2, 3).

Owns which calls wait for which order. One round runs for an order at a time: a duplicate that arrives meanwhile joins
it. An order is merged where it is a PATCH, then run as an edit of the register; where that finds a newer edition, the
archive decides between "accepted long ago" and "refused".
"""

import collections.abc

from ploverward.common import errors
from ploverward.control_plane.configuration import order_archive
from ploverward.control_plane.configuration import orders
from ploverward.control_plane.configuration import patch
from ploverward.control_plane.configuration.register_payloads import Payload
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.operator_api.call_lifecycle import CallLifecycle
from ploverward.control_plane.operator_api.dependencies import Json
from ploverward.control_plane.operator_api.dependencies import Registers
from ploverward.control_plane.operator_api.order_archiver import OrderArchiver
from ploverward.control_plane.operator_api.pending_response import PendingResponse
from ploverward.transport.interfaces import Loop
from ploverward.transport.interfaces import Outcome


class ConfigurationRounds:
    """Rounds in progress and the calls that wait for them.

    Args:
        loop: the event loop.
        registers: the replicated registers.
        lifecycle: answers the calls.
        archiver: writes the archive.
        configuration: the newest configuration that this node knows to be chosen, or None.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        registers: Registers,
        lifecycle: CallLifecycle,
        archiver: OrderArchiver,
        configuration: collections.abc.Callable[[], Json | None],
    ) -> None:
        self._loop = loop
        self._registers = registers
        self._lifecycle = lifecycle
        self._archiver = archiver
        self._configuration = configuration
        self._waiting: dict[str, list[PendingResponse]] = {}  # by order identifier

    @property
    def is_idle(self) -> bool:
        """Whether no order is in progress."""
        return not self._waiting

    def submit(self, order: orders.Order, response: PendingResponse) -> None:
        """Runs an order, or joins the round of the same order that is in progress.

        Args:
            order: the order.
            response: the answer to give at its end.
        """
        waiting = self._waiting.get(order.order_id)
        if waiting is not None:
            waiting.append(response)
            return
        self._waiting[order.order_id] = [response]
        if order.candidate is not None:
            self._start_round(order)
        else:
            self._build(order)

    def _build(self, order: orders.Order) -> None:
        """Merges a PATCH with the configuration that it builds on, where this node has it or can read it."""
        base_body = self._configuration()
        current = base_body[patch.EDITION] if base_body else 0
        if current == order.base:
            self._build_on(order, base_body or {})
        elif current > order.base:
            self._start_round(order)  # it can only be found to be accepted before, or refused
        else:
            self._registers.read(
                name=register_names.CONFIGURATION,
                done=lambda error, _number, payload, _result: self._build_on_read(order, error, payload),
            )

    def _build_on_read(self, order: orders.Order, error: Exception | None, payload: Payload) -> None:
        if error is not None:
            self._end(order, error)
        elif orders.edition_of(payload) == order.base:
            self._build_on(order, orders.body_of(payload) or {})
        else:
            self._start_round(order)

    def _build_on(self, order: orders.Order, base_body: Json) -> None:
        """Merges and checks on another thread: both are slow if there are many routes."""

        def done(future: Outcome) -> None:
            error = future.exception()
            if error is not None:
                self._end(order, error)
            else:
                self._start_round(future.result())

        self._loop.offload(work=lambda: orders.build(order=order, base_body=base_body), done=done)

    def _start_round(self, order: orders.Order) -> None:
        def done(error: Exception | None, number: int, payload: Payload, _result: object) -> None:
            if isinstance(error, errors.StaleVersionError) and order.base < error.current:
                self._look_up(order, error)
            elif error is not None:
                self._end(order, error)
            else:
                self._acknowledge(order, number)
                self._archiver.reconcile(payload)

        self._registers.change(
            name=register_names.CONFIGURATION,
            edit=orders.edit_for(order=order, archived=self._archiver.archived),
            done=done,
            is_wanted=lambda: any(not response.is_over for response in self._waiting.get(order.order_id, ())),
        )

    def _look_up(self, order: orders.Order, stale: errors.StaleVersionError) -> None:
        """Finds out whether an order on an older edition was accepted so long ago that only the archive has it."""

        def done(error: Exception | None, _number: int, payload: Payload, _result: object) -> None:
            if error is not None:
                self._end(order, error)
            elif order_archive.has(payload=payload, order_id=order.order_id):
                self._acknowledge(order, 0)  # it was applied long ago, so no proxy is waited for
            else:
                self._end(order, stale)

        self._registers.read(name=register_names.ARCHIVE, done=done)

    def _acknowledge(self, order: orders.Order, number: int) -> None:
        for response in self._waiting.pop(order.order_id):
            self._lifecycle.acknowledge(response, register=register_names.CONFIGURATION, number=number)

    def _end(self, order: orders.Order, error: BaseException) -> None:
        """Ends an order that was not accepted.

        Only the first call gets the error. Those that joined get a round of their own, as they may have arrived after
        the state that refused the first (`test_duplicate_orders_join_the_round_in_progress`).
        """
        first, *later = self._waiting.pop(order.order_id)
        self._lifecycle.fail(first, error)
        for response in later:
            if not response.is_over:
                self.submit(order, response)

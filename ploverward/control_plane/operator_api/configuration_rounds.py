"""Runs the consensus rounds of orders that change the configuration (docs/orders.md 2, 3).

This module tracks which calls wait for which order. Each order has at most one round at a time: a duplicate that
arrives meanwhile joins it. A PATCH is first merged with its base. The order then runs as an edit of the register; if
the edit finds a newer edition, the archive shows whether the order was accepted long ago or has to be refused.
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
    """The rounds in progress and the calls that wait for them.

    Args:
        loop: the event loop.
        registers: the replicated registers.
        lifecycle: answers the calls.
        archiver: writes the archive of accepted orders.
        configuration: returns the newest configuration that this node knows to be chosen, or None.
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
        self._waiting_responses: dict[str, list[PendingResponse]] = {}  # by order identifier

    @property
    def is_idle(self) -> bool:
        """Whether no order is in progress."""
        return not self._waiting_responses

    def submit(self, order: orders.Order, response: PendingResponse) -> None:
        """Runs an order, or joins the round of the same order that is in progress.

        Args:
            order: the order.
            response: the pending response, sent when the round ends.
        """
        waiting = self._waiting_responses.get(order.order_id)
        if waiting is not None:
            waiting.append(response)
            return
        self._waiting_responses[order.order_id] = [response]
        if order.candidate is not None:
            self._start_round(order)
        else:
            self._merge_patch(order)

    def _merge_patch(self, order: orders.Order) -> None:
        """Merges a PATCH with its base configuration, if this node has that or can read it."""
        base_body = self._configuration()
        current = base_body[patch.EDITION] if base_body else 0
        if current == order.base:
            self._merge_onto(order, base_body or {})
        elif current > order.base:
            self._start_round(order)  # on an outdated base: accepted before, or to be refused
        else:
            self._registers.read(
                name=register_names.CONFIGURATION,
                done=lambda error, _number, payload, _result: self._merge_onto_read(order, error, payload),
            )

    def _merge_onto_read(self, order: orders.Order, error: Exception | None, payload: Payload) -> None:
        if error is not None:
            self._fail(order, error)
        elif orders.edition_of(payload) == order.base:
            self._merge_onto(order, orders.body_of(payload) or {})
        else:
            self._start_round(order)

    def _merge_onto(self, order: orders.Order, base_body: Json) -> None:
        """Merges and validates on another thread, as both are slow for many routes."""

        def done(future: Outcome) -> None:
            error = future.exception()
            if error is not None:
                self._fail(order, error)
            else:
                self._start_round(future.result())

        self._loop.offload(work=lambda: orders.merge_patch(order=order, base_body=base_body), done=done)

    def _start_round(self, order: orders.Order) -> None:
        def done(error: Exception | None, number: int, payload: Payload, _result: object) -> None:
            if isinstance(error, errors.StaleVersionError) and order.base < error.current:
                self._check_archive(order, error)
            elif error is not None:
                self._fail(order, error)
            else:
                self._acknowledge(order, number)
                self._archiver.reconcile(payload)

        self._registers.change(
            name=register_names.CONFIGURATION,
            edit=orders.edit_for(order=order, archived=self._archiver.archived),
            done=done,
            is_wanted=lambda: any(
                not response.is_claimed for response in self._waiting_responses.get(order.order_id, ())
            ),
        )

    def _check_archive(self, order: orders.Order, stale: errors.StaleVersionError) -> None:
        """Checks if an order on an older edition was accepted so long ago that only the archive has its identifier."""

        def done(error: Exception | None, _number: int, payload: Payload, _result: object) -> None:
            if error is not None:
                self._fail(order, error)
            elif order_archive.contains(payload=payload, order_id=order.order_id):
                self._acknowledge(order, 0)  # it was applied long ago: version 0 waits for no proxy
            else:
                self._fail(order, stale)

        self._registers.read(name=register_names.ARCHIVE, done=done)

    def _acknowledge(self, order: orders.Order, number: int) -> None:
        for response in self._waiting_responses.pop(order.order_id):
            self._lifecycle.acknowledge(response, register=register_names.CONFIGURATION, number=number)

    def _fail(self, order: orders.Order, error: BaseException) -> None:
        """Answers the first call of a failed order with the error and submits the calls that joined it again.

        The calls that joined run in a new round, as they may have arrived after the state by which the first call
        was refused (`test_duplicate_orders_join_the_round_in_progress`).
        """
        first, *later = self._waiting_responses.pop(order.order_id)
        self._lifecycle.fail(first, error)
        for response in later:
            if not response.is_claimed:
                self.submit(order, response)

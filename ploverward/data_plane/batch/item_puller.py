"""Pulls items from stores while there is capacity, runs them, and reports the outcomes to the store (docs/batch.md 4).

Nothing is pushed to a proxy: after a restart it requests the items that it can run. `ItemPuller` owns the runs in
progress and lists them to their primaries at regular intervals. This renews the leases of the items, makes the runs
known to a new primary, and returns the runs whose results are no longer needed. A run that ends without a result gives
its item back only once the store has counted the failed attempts of the run.

An item is routed by its host and path in the current configuration. If no batch route covers it there, its route has
ended and the item becomes a dead letter, but only if this configuration is not older than the one by which the job was
accepted. Jobs that an earlier version accepted have no host: the route of their items is found by its name, and they
wait while there is none.
"""

from __future__ import annotations

import functools
import http
import logging
import math
import typing
from collections.abc import Callable

from ploverward.common import errors
from ploverward.common import job_origin
from ploverward.data_plane.batch import failed_attempts
from ploverward.data_plane.batch import item_handler
from ploverward.data_plane.batch import item_request
from ploverward.data_plane.batch import store_client
from ploverward.data_plane.quotas import tenant_directory
from ploverward.data_plane.requests import handler_context
from ploverward.data_plane.requests import route_table
from ploverward.transport import batch_messages
from ploverward.transport.batch_messages import Condition
from ploverward.transport.batch_messages import Outcome

_log = logging.getLogger(__name__)

PULL_INTERVAL_S = 0.1
RENEWAL_INTERVAL_S = 0.75
CALL_TIMEOUT_S = 1.0
REPORT_RETRY_S = 0.3
MAX_REPORT_ATTEMPTS = 60
_FIRST_SUCCESS, _FIRST_REDIRECT = 200, 300  # HTTP statuses
ENDED_ITEMS_PER_PULL = 16  # without a batch route no item needs a slot: all are of routes that have ended
ITEM_SLOT_SHARE = 0.5  # share of the replicas' slots that items of all proxies together may take


ItemKey = batch_messages.RunningItem


class _PendingReport:
    """A report of how a run ended, which the store has not acknowledged yet.

    Attributes:
        is_current: False once the item runs on this proxy again, which makes the report obsolete.
    """

    def __init__(self) -> None:
        self.is_current = True


class ItemPuller:
    """Pulls items from the stores and runs them.

    Args:
        node: The proxy.
        stores: The client for the stores.
        proxy_count: Returns the number of proxies.
        is_draining: Returns whether this proxy is shutting down.
    """

    def __init__(
        self,
        *,
        node: handler_context.HandlerContext,
        stores: store_client.StoreClient,
        proxy_count: Callable[[], int],
        is_draining: Callable[[], bool],
    ) -> None:
        self._node = node
        self._stores = stores
        self._proxy_count = proxy_count
        self._is_draining = is_draining
        self._context = typing.cast(handler_context.HandlerContext, item_handler.ItemContext(node))
        self._running: dict[ItemKey, item_handler.ItemHandler] = {}
        self._reports: dict[ItemKey, _PendingReport] = {}
        self._failures = failed_attempts.FailedAttemptReports(loop=node.loop, stores=stores)
        self._requested = 0  # items requested by pulls in progress
        self._next_primary = 0

    @property
    def has_unconfirmed_reports(self) -> bool:
        """Whether a store still has to confirm a result, the end of a run or a failed attempt."""
        return bool(self._reports) or self._failures.has_unconfirmed

    def start(self) -> None:
        """Starts pulling items and renewing leases."""
        self._node.loop.every(interval_s=PULL_INTERVAL_S, callback=self._pull)
        self._node.loop.every(interval_s=RENEWAL_INTERVAL_S, callback=self._renew_all_leases)

    # Leases.
    def _renew_all_leases(self) -> None:
        for address in {self._stores.primary_of(key.tenant) for key in self._running}:
            self.renew_leases(address)

    def renew_leases(self, address: str) -> None:
        """Lists to a store the running items of its partitions, which renews their leases."""
        keys = tuple(key for key in self._running if self._stores.primary_of(key.tenant) == address)
        if keys:
            self._stores.call(
                address=address,
                make_message=lambda number: batch_messages.RenewItems(number, keys),
                timeout_s=CALL_TIMEOUT_S,
                done=self._handle_renewed,
            )

    def _handle_renewed(self, reply: batch_messages.ItemsRenewed | None) -> None:
        for key in reply.stopped if reply is not None else ():
            self._stop_run(key)

    def _stop_run(self, key: ItemKey) -> None:
        handler = self._running.pop(key, None)
        if handler is not None:
            handler.on_client_gone()

    def _pull(self) -> None:
        primaries = self._stores.primaries()
        capacity = self._max_running() - len(self._running) - self._requested
        if not primaries or capacity <= 0 or self._is_draining() or not self._node.is_serving:
            return
        self._next_primary += 1
        address = primaries[self._next_primary % len(primaries)]
        self._requested += capacity
        self._stores.call(
            address=address,
            make_message=lambda number: batch_messages.PullItems(number, capacity),
            timeout_s=CALL_TIMEOUT_S,
            done=functools.partial(self._handle_pulled, capacity),
        )

    def _max_running(self) -> int:
        """Returns this proxy's part of the slots that items may take."""
        if not self._node.routes.batch_services:
            return ENDED_ITEMS_PER_PULL
        slots = sum(
            replica.batch_slots for replica in self._node.table.replicas.values() if self._runs_items(replica.service)
        )
        return max(1, math.ceil(slots * ITEM_SLOT_SHARE / max(1, self._proxy_count())))

    def _runs_items(self, service: str) -> bool:
        return service in self._node.routes.batch_services

    def _handle_pulled(
        self, capacity: int, reply: batch_messages.LeasedItems | batch_messages.PulledItems | None
    ) -> None:
        self._requested -= capacity
        for item in reply.items if reply is not None else ():
            self._run(item if isinstance(item, batch_messages.LeasedItem) else _without_origin(item))

    def _run(self, item: batch_messages.LeasedItem) -> None:
        if _key(item) in self._running:
            return  # the pull renewed the lease of the run in progress
        report = self._reports.pop(_key(item), None)
        if report is not None:
            report.is_current = False
        host = item.host or self._node.routes.host_and_prefix_of(item.route)[0]
        route = self._find_route(item)
        if route is None:
            self._report_without_route(item)
            return
        try:
            self._start(item, route, host=host)
        except (ValueError, errors.PloverwardError) as error:
            _log.error("item_not_started", extra={"item": item.item, "fault": str(error)})
            self._handle_end(item, item_request.INCOMPLETE, b"")

    def _find_route(self, item: batch_messages.LeasedItem) -> route_table.Route | None:
        """Returns the batch route of an item in the current configuration; None if there is none."""
        routes = self._node.routes
        if item.host:
            return routes.find_batch_route(host=item.host, path=item.path)
        route = routes.find_by_name(item.route)
        return route if route is not None and route.batch is not None else None

    def _report_without_route(self, item: batch_messages.LeasedItem) -> None:
        """Reports an item without a route: it is given up if its route has ended, and waits if that is not known."""
        routes = self._node.routes
        if not item.host or routes.edition < item.edition:
            self._report_outcome(item, Condition.RELEASED, b"")
            return
        _log.debug(
            "item_route_ended",
            extra={"item": item.item, "route": item.route, "accepted": item.edition, "edition": routes.edition},
        )
        self._report_outcome(item, Condition.DEAD_LETTER, b"")

    def _start(self, item: batch_messages.LeasedItem, route: route_table.Route, *, host: str) -> None:
        request = item_request.make_request(
            item=item,
            host=host,
            now=self._node.loop.now(),
            on_end=functools.partial(self._handle_end, item),
        )
        handler = item_handler.ItemHandler(
            context=self._context,
            request=request,
            tenant=self._tenant(item.tenant),
            key=_key(item),
            reports=self._failures,
            on_not_needed=functools.partial(self._stop_run, _key(item)),
        )
        self._context.handlers.add(handler)
        self._running[_key(item)] = handler
        handler.start(route)

    def _tenant(self, name: str) -> tenant_directory.Tenant | None:
        directory = self._node.routes.tenant_directory
        return directory.by_name.get(name) if directory is not None else None

    def _handle_end(self, item: batch_messages.LeasedItem, status: int, body: bytes) -> None:
        handler = self._running.pop(_key(item), None)
        if handler is not None and handler.failed_answers:
            _log.info(
                "item_run_failed",
                extra={
                    "item": item.item,
                    "status": status,
                    "attempts": handler.policy.sent_attempts,
                    "failed_answers": handler.failed_answers,
                },
            )
        is_rejected = handler is not None and handler.is_rejected
        if _FIRST_SUCCESS <= status < _FIRST_REDIRECT:
            self._report_outcome(item, Condition.DELIVERED, item_request.extract_event_data(body))
        elif is_rejected or status == http.HTTPStatus.UNPROCESSABLE_ENTITY:
            self._report_outcome(item, Condition.DEAD_LETTER, b"")
        else:
            self._give_back(item, handler)

    def _give_back(self, item: batch_messages.LeasedItem, handler: item_handler.ItemHandler | None) -> None:
        """Makes an item available for another run, once the store has counted the failed attempts of this run."""
        report = self._reports[_key(item)] = _PendingReport()

        def send() -> None:
            has_uncounted_failure = handler is not None and handler.has_uncounted_failure
            condition = Condition.FAILED if has_uncounted_failure else Condition.RELEASED
            self._send_report(report, _finish_message(item, condition, b""), attempt=1)

        self._failures.when_settled(_key(item), send)

    def _report_outcome(self, item: batch_messages.LeasedItem, condition: Condition, text: bytes) -> None:
        report = self._reports[_key(item)] = _PendingReport()
        self._send_report(report, _finish_message(item, condition, text), attempt=1)

    def _send_report(self, report: _PendingReport, message: batch_messages.FinishItem, *, attempt: int) -> None:
        """Sends a report, and repeats it until the store replies: a lost message must not lose a result."""
        if not report.is_current:
            return
        key = ItemKey(message.tenant, message.job, message.item)

        def handle(reply: batch_messages.JobReply | None) -> None:
            is_final = reply is not None and reply.outcome not in (Outcome.NOT_OWNER, Outcome.NOT_KNOWN)
            if not is_final and attempt < MAX_REPORT_ATTEMPTS:
                self._node.loop.after(
                    delay=REPORT_RETRY_S, callback=lambda: self._send_report(report, message, attempt=attempt + 1)
                )
            elif self._reports.get(key) is report:
                del self._reports[key]

        self._stores.call(
            address=self._stores.primary_of(message.tenant),
            make_message=lambda number: message._replace(number=number),
            timeout_s=CALL_TIMEOUT_S,
            done=handle,
        )


def _key(item: batch_messages.LeasedItem) -> ItemKey:
    return ItemKey(item.tenant, item.job, item.item)


def _finish_message(item: batch_messages.LeasedItem, condition: Condition, text: bytes) -> batch_messages.FinishItem:
    return batch_messages.FinishItem(0, item.tenant, item.job, item.item, int(condition), text)


def _without_origin(item: batch_messages.PulledItem) -> batch_messages.LeasedItem:
    """Returns an item that a store of an earlier version sent."""
    origin = job_origin.UNKNOWN_ORIGIN
    return batch_messages.LeasedItem(**item._asdict(), host=origin.host, edition=origin.edition)

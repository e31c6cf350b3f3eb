"""Takes items from stores while there is capacity, runs them, and tells the store how each run ended (docs/batch.md 4).

Nothing is pushed to a proxy: after a restart it asks for what it can run. `ItemPuller` owns the runs in progress, and
names them to their primaries again and again: that renews their leases, makes them known to a new primary, and finds
out which ones are of no use any more.
"""

from __future__ import annotations

import functools
import http
import logging
import math
import typing
from collections.abc import Callable

from ploverward.common import errors
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
RENEWAL_S = 0.75
CALL_TIMEOUT_S = 1.0
FINISH_RETRY_S = 0.3
MAX_FINISH_ATTEMPTS = 60
_FIRST_SUCCESS, _FIRST_REDIRECT = 200, 300  # statuses
SLOTS_SHARE = 0.5  # of the replicas' slots, that items take over all proxies


Key = batch_messages.RunningItem


class _Finish:
    """A report of how a run ended, until the store has it.

    Attributes:
        is_wanted: False once the item runs here again.
    """

    def __init__(self) -> None:
        self.is_wanted = True


class ItemPuller:
    """Pulls and runs items.

    Args:
        node: The proxy.
        stores: Calls stores.
        proxy_count: Returns how many proxies there are.
        is_draining: Whether this proxy is shutting down.
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
        self._running: dict[Key, item_handler.ItemHandler] = {}
        self._reports: dict[Key, _Finish] = {}
        self._expected = 0  # items of calls that are under way
        self._next_primary = 0

    def start(self) -> None:
        """Begins to pull."""
        self._node.loop.every(interval_s=PULL_INTERVAL_S, callback=self._tick)
        self._node.loop.every(interval_s=RENEWAL_S, callback=self._renew_all)

    # Leases.
    def _renew_all(self) -> None:
        for address in {self._stores.primary_of(key.tenant) for key in self._running}:
            self.renew(address)

    def renew(self, address: str) -> None:
        """Names a store the items of its partitions that run here."""
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
            handler = self._running.pop(key, None)
            if handler is not None:
                handler.on_client_gone()

    def _tick(self) -> None:
        primaries = self._stores.primaries()
        capacity = self._max_running() - len(self._running) - self._expected
        if not primaries or capacity <= 0 or self._is_draining() or not self._node.is_serving:
            return
        self._next_primary += 1
        address = primaries[self._next_primary % len(primaries)]
        self._expected += capacity
        self._stores.call(
            address=address,
            make_message=lambda number: batch_messages.PullItems(number, capacity),
            timeout_s=CALL_TIMEOUT_S,
            done=functools.partial(self._handle_pulled, capacity),
        )

    def _max_running(self) -> int:
        """This proxy's part of the slots that items may take."""
        slots = sum(
            replica.batch_slots for replica in self._node.table.replicas.values() if self._takes_items(replica.service)
        )
        return max(1, math.ceil(slots * SLOTS_SHARE / max(1, self._proxy_count())))

    def _takes_items(self, service: str) -> bool:
        return service in self._node.routes.batch_services

    def _handle_pulled(self, capacity: int, reply: batch_messages.PulledItems | None) -> None:
        self._expected -= capacity
        for item in reply.items if reply is not None else ():
            self._run(item)

    def _run(self, item: batch_messages.PulledItem) -> None:
        if _key(item) in self._running:
            return  # its lease was renewed by this
        report = self._reports.pop(_key(item), None)
        if report is not None:
            report.is_wanted = False
        route = self._node.routes.find_by_name(item.route)
        if route is None or route.batch is None:
            self._finish(item, Condition.RELEASED, b"")
            return
        try:
            self._start(item, route)
        except (ValueError, errors.PloverwardError) as error:
            _log.error("item_not_started", extra={"item": item.item, "fault": str(error)})
            self._handle_end(item, item_request.BROKEN_OFF, b"")

    def _start(self, item: batch_messages.PulledItem, route: route_table.Route) -> None:
        request = item_request.make_request(
            item=item,
            host=self._node.routes.host_and_prefix_of(item.route)[0],
            now=self._node.loop.now(),
            on_end=functools.partial(self._handle_end, item),
        )
        handler = item_handler.ItemHandler(context=self._context, request=request, tenant=self._tenant(item.tenant))
        self._context.handlers.add(handler)
        self._running[_key(item)] = handler
        handler.start(route)

    def _tenant(self, name: str) -> tenant_directory.Tenant | None:
        directory = self._node.routes.tenant_directory
        return directory.by_name.get(name) if directory is not None else None

    def _handle_end(self, item: batch_messages.PulledItem, status: int, body: bytes) -> None:
        self._running.pop(_key(item), None)
        if _FIRST_SUCCESS <= status < _FIRST_REDIRECT:
            self._finish(item, Condition.DELIVERED, item_request.text_of(body))
        elif status == http.HTTPStatus.UNPROCESSABLE_ENTITY:
            self._finish(item, Condition.DEAD_LETTER, b"")
        elif status == http.HTTPStatus.INTERNAL_SERVER_ERROR:
            self._finish(item, Condition.FAILED, b"")
        else:
            self._finish(item, Condition.RELEASED, b"")

    def _finish(self, item: batch_messages.PulledItem, condition: Condition, text: bytes) -> None:
        report = self._reports[_key(item)] = _Finish()
        message = batch_messages.FinishItem(0, item.tenant, item.job, item.item, int(condition), text)
        self._send_report(report, message, attempt=1)

    def _send_report(self, report: _Finish, message: batch_messages.FinishItem, *, attempt: int) -> None:
        """Tells the store, again and again until it answers: a result must not be lost with one message."""
        if not report.is_wanted:
            return
        key = Key(message.tenant, message.job, message.item)

        def handle(reply: batch_messages.JobReply | None) -> None:
            is_kept = reply is not None and reply.outcome not in (Outcome.NOT_OWNER, Outcome.NOT_KNOWN)
            if not is_kept and attempt < MAX_FINISH_ATTEMPTS:
                self._node.loop.after(
                    delay=FINISH_RETRY_S, callback=lambda: self._send_report(report, message, attempt=attempt + 1)
                )
            elif self._reports.get(key) is report:
                del self._reports[key]

        self._stores.call(
            address=self._stores.primary_of(message.tenant),
            make_message=lambda number: message._replace(number=number),
            timeout_s=CALL_TIMEOUT_S,
            done=handle,
        )


def _key(item: batch_messages.PulledItem) -> Key:
    return Key(item.tenant, item.job, item.item)

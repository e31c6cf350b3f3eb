"""Calls that retire a store: POST orders the retirement, GET reports whether it is complete (docs/batch.md 6).

The partitions of a retiring store move to other stores until it holds none.
"""

import http
import logging
import typing

from ploverward.common import errors
from ploverward.control_plane.cluster import partition_placement
from ploverward.control_plane.cluster import store_directory
from ploverward.control_plane.cluster import store_retirement
from ploverward.control_plane.configuration.register_payloads import Payload
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.operator_api import call_lifecycle
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import ErrorBody
from ploverward.control_plane.operator_api.router import Rule

_log = logging.getLogger(__name__)

PATH = "/ploverward/retire/<node>"
IN_SERVICE = "in_service"  # the store may still hold partitions, or no retirement was ordered
DELIVERED = "delivered"  # the retired store holds no partitions any more


class ConditionBody(typing.TypedDict):
    """The body that reports whether a retired store was emptied."""

    condition: str


class RetireHandlers:
    """Retires stores and reports whether they were emptied.

    Args:
        lifecycle: Starts and answers calls.
        stores: The stores that this node knows.
        copies: The number of stores that hold each partition.
    """

    def __init__(
        self,
        *,
        lifecycle: call_lifecycle.CallLifecycle,
        stores: store_directory.StoreDirectory,
        copies: int,
    ) -> None:
        self._lifecycle = lifecycle
        self._stores = stores
        self._copies = copies

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        return [Rule("POST", PATH, self.handle_post), Rule("GET", PATH, self.handle_get)]

    def handle_post(self, call: Call, node: str) -> None:
        """Orders the retirement of a store, unless too few stores would remain."""
        import pydantic  # imported late, as pydantic would slow the start of the node

        from ploverward.control_plane.operator_api import call_bodies

        try:
            call_bodies.RetireOrder.model_validate_json(call.body or b"{}")
        except pydantic.ValidationError as error:
            text = error.errors(include_url=False)[0]["msg"]
            call_lifecycle.answer_field_error(call, errors.InvalidConfigurationError(text, field_path="overS"))
            return
        store = self._find_store(node)
        if store is None:
            _answer_unknown(call, node)
            return
        zones = [
            other.zone
            for other in self._stores.states().values()
            if other.is_connected and not other.is_retiring and other.address != store.address
        ]
        if not store.is_retiring and not store_retirement.has_enough_zones(zones, copies=self._copies):
            body = ErrorBody(error=f"without '{node}' too few stores would be left for {self._copies} copies")
            call.answer(status=http.HTTPStatus.CONFLICT, body=body)
            return
        response = self._lifecycle.begin(call)
        if response is None:
            return
        retiring = store_retirement.RetiringStore(store.address, store.disk)

        def edit(payload: Payload) -> tuple[Payload, None]:
            return store_retirement.with_retirement(payload or {}, name=node, store=retiring), None

        self._lifecycle.change(response, register=register_names.SINGLETON_ROLES, edit=edit)

    def handle_get(self, call: Call, node: str) -> None:
        """Answers whether a retired store was emptied."""
        self._lifecycle.answer_with_register(
            call,
            register=register_names.SINGLETON_ROLES,
            answer=lambda claimed, payload: self._answer_condition(claimed, payload, node),
        )

    def _answer_condition(self, call: Call, payload: Payload, node: str) -> None:
        roles = payload or {}
        store = store_retirement.retiring_stores(roles).get(node)
        if store is None and self._find_store(node) is None:
            _answer_unknown(call, node)
            return
        is_emptied = store is not None and store_retirement.is_emptied(roles, store)
        body = ConditionBody(condition=DELIVERED if is_emptied else IN_SERVICE)
        if store is not None:
            _log.debug(
                "retirement_answered",
                extra={
                    "store": node,
                    "disk": store.disk,
                    "condition": body["condition"],
                    "copies": store_retirement.copies_of(roles, store.address),
                },
            )
        call.answer(status=http.HTTPStatus.OK, body=body)

    def _find_store(self, node: str) -> partition_placement.StoreState | None:
        address = self._stores.address_of(node)
        return self._stores.states().get(address) if address is not None else None


def _answer_unknown(call: Call, node: str) -> None:
    call.answer(status=http.HTTPStatus.NOT_FOUND, body=ErrorBody(error=f"no store '{node}' is known"))

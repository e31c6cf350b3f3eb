"""Calls that retire a store: POST orders it, GET reports whether it is complete, DELETE withdraws it (docs/batch.md 6).

The partitions of a retiring store move to other stores until it holds none.
"""

import functools
import http
import logging
import typing
from collections.abc import Callable

from ploverward.common import errors
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
        return [
            Rule("POST", PATH, self.handle_post),
            Rule("GET", PATH, self.handle_get),
            Rule("DELETE", PATH, self.handle_delete),
        ]

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
        address = self._stores.address_of(node)
        if address is None:
            _answer_unknown(call, node)
            return
        self._change(
            call,
            node,
            lambda roles: store_retirement.with_retirement(
                roles,
                name=node,
                address=address,
                known=self._stores.identities(),
                zones=self._stores.connected_zones(),
                copies=self._copies,
            ),
        )

    def handle_delete(self, call: Call, node: str) -> None:
        """Withdraws the retirement of a store, so that it gets copies again."""
        if self._stores.address_of(node) is None:
            _answer_unknown(call, node)
            return
        self._change(call, node, functools.partial(store_retirement.without_retirement, name=node))

    def _change(
        self, call: Call, node: str, edit_roles: Callable[[store_retirement.Roles], store_retirement.Roles]
    ) -> None:
        """Changes the retirement of a store, unless another order has changed it during the consensus round.

        A round may apply an edit several times; a further change would undo a later order
        (docs/incidents/evacuation-undone.md).
        """
        response = self._lifecycle.begin(call)
        if response is None:
            return
        first_epoch: list[int] = []  # one entry after the first application

        def edit(payload: Payload) -> tuple[Payload, None]:
            roles = payload or {}
            epoch = store_retirement.retirement_of(roles, node).epoch
            if not first_epoch:
                if response.is_claimed:
                    raise errors.QuorumUnavailableError("no majority in time", step="retire", peer=node)
                first_epoch.append(epoch)
            return edit_roles(roles) if epoch == first_epoch[0] else payload, None

        self._lifecycle.change(response, register=register_names.SINGLETON_ROLES, edit=edit)

    def handle_get(self, call: Call, node: str) -> None:
        """Answers whether a retired store was emptied."""
        self._lifecycle.answer_with_register(
            call,
            register=register_names.SINGLETON_ROLES,
            answer=lambda claimed, payload: self._answer_condition(claimed, payload or {}, node),
        )

    def _answer_condition(self, call: Call, roles: store_retirement.Roles, node: str) -> None:
        retirement = store_retirement.retirement_of(roles, node)
        if not retirement.is_ordered and self._stores.address_of(node) is None:
            _answer_unknown(call, node)
            return
        addresses = store_retirement.addresses_of(node, retirement, known=self._stores.identities())
        is_emptied = retirement.is_ordered and store_retirement.is_emptied(roles, addresses, copies=self._copies)
        body = ConditionBody(condition=DELIVERED if is_emptied else IN_SERVICE)
        _log.debug(
            "retirement_answered",
            extra={
                "store": node,
                "disk": retirement.disk,
                "condition": body["condition"],
                "copies": store_retirement.copies_of(roles, addresses),
            },
        )
        call.answer(status=http.HTTPStatus.OK, body=body)


def _answer_unknown(call: Call, node: str) -> None:
    call.answer(status=http.HTTPStatus.NOT_FOUND, body=ErrorBody(error=f"no store '{node}' is known"))

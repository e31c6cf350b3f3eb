"""Calls on roll-outs: POST starts one, GET reads that of one service or those of all (docs/rollouts.md 2)."""

import collections.abc
import http
import typing

from ploverward.common import errors
from ploverward.control_plane.configuration import orders as configuration_orders
from ploverward.control_plane.configuration.register_payloads import Payload
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.operator_api import call_lifecycle
from ploverward.control_plane.operator_api.dependencies import Json
from ploverward.control_plane.operator_api.pending_response import PendingResponse
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import ErrorBody
from ploverward.control_plane.operator_api.router import Rule
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import state

PATH = "/ploverward/rollouts"


class RolloutBody(typing.TypedDict):
    """The roll-out of a service: the two fields that the protocol requires, and further fields for operators."""

    condition: str
    targetEdition: str
    stage: str
    overS: float
    admitted: list[str]
    reason: str
    ageS: float
    number: int
    record: list[Json]


class RolloutsBody(typing.TypedDict):
    """The roll-outs of all services, by the service's name."""

    rollouts: dict[str, RolloutBody]


class RolloutHandlers:
    """Starts roll-outs and reads their state.

    Args:
        lifecycle: starts and answers calls.
        configuration: returns the newest configuration that this node knows to be chosen, or None.
    """

    def __init__(
        self,
        *,
        lifecycle: call_lifecycle.CallLifecycle,
        configuration: collections.abc.Callable[[], Json | None],
    ) -> None:
        self._lifecycle = lifecycle
        self._configuration = configuration

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        return [
            Rule("POST", PATH, self.handle_post),
            Rule("GET", PATH, self.handle_get_all),
            Rule("GET", f"{PATH}/<path:service>", self.handle_get),
        ]

    def handle_get_all(self, call: Call) -> None:
        """Answers with the roll-outs of all services."""
        self._lifecycle.answer_with_register(call, register=register_names.ROLLOUTS, answer=_answer_rollouts)

    def handle_get(self, call: Call, service: str) -> None:
        """Answers with the newest roll-out of a service."""
        self._lifecycle.answer_with_register(
            call,
            register=register_names.ROLLOUTS,
            answer=lambda claimed, payload: _answer_rollout(claimed, payload, service),
        )

    def handle_post(self, call: Call) -> None:
        """Starts a roll-out, if the configuration contains its service."""
        try:
            order = orders.read(data=call.body)
        except errors.InvalidConfigurationError as error:
            call_lifecycle.answer_field_error(call, error)
            return
        response = self._lifecycle.begin(call)
        if response is None:
            return
        if _has_service(self._configuration(), order.service):
            self._start(order, response)
            return
        # This node may not know the newest configuration yet, so the register decides.
        self._lifecycle.read(
            response,
            register=register_names.CONFIGURATION,
            then=lambda payload: self._start_if_known(order, response, payload),
        )

    def _start_if_known(self, order: orders.Order, response: PendingResponse, payload: Payload) -> None:
        if _has_service(configuration_orders.body_of(payload), order.service):
            self._start(order, response)
            return
        text = f"unknown service '{order.service}'"
        self._lifecycle.fail(response, errors.InvalidConfigurationError(text, field_path="destination"))

    def _start(self, order: orders.Order, response: PendingResponse) -> None:
        edit = orders.edit_for(order=order, is_late=lambda: response.is_claimed)
        self._lifecycle.change(response, register=register_names.ROLLOUTS, edit=edit)


def _has_service(configuration: Json | None, name: str) -> bool:
    return any(row["name"] == name for row in (configuration or {}).get("destinations", ()))


def _rollout_body(rollout: state.Rollout) -> RolloutBody:
    return RolloutBody(
        condition=rollout.condition,
        targetEdition=rollout.target,
        stage=str(rollout.stage),
        overS=rollout.over_s,
        admitted=list(rollout.admitted),
        reason=rollout.reason,
        ageS=round(rollout.age_s, 3),
        number=rollout.number,
        record=list(rollout.record),
    )


def _answer_rollout(call: Call, payload: Payload, service: str) -> None:
    rollout = state.rollouts_of(payload).get(service)
    if rollout is None or not rollout.number:
        call.answer(status=http.HTTPStatus.NOT_FOUND, body=ErrorBody(error=f"no roll-out of '{service}'"))
        return
    call.answer(status=http.HTTPStatus.OK, body=_rollout_body(rollout))


def _answer_rollouts(call: Call, payload: Payload) -> None:
    rollouts = sorted(state.rollouts_of(payload).items())
    body = RolloutsBody(rollouts={name: _rollout_body(rollout) for name, rollout in rollouts})
    call.answer(status=http.HTTPStatus.OK, body=body)

"""Calls on evacuations: GET of the evacuated zones, POST and DELETE of one zone (docs/orders.md 4).

Unlike orders on the configuration, duplicate calls don't join a round in progress: by the time a round ends, a later
order may have reversed its effect.
"""

import collections.abc
import http
import typing

from ploverward.control_plane.configuration import evacuations
from ploverward.control_plane.configuration.register_payloads import Payload
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.operator_api.call_lifecycle import CallLifecycle
from ploverward.control_plane.operator_api.call_lifecycle import FieldErrorBody
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import Rule

PATH = "/ploverward/evacuation"


class EvacuationsBody(typing.TypedDict):
    """The body that lists the evacuated zones."""

    zones: list[str]


class EvacuationHandlers:
    """Reads and changes evacuations.

    Args:
        lifecycle: starts and answers calls.
        zones: returns the zones of the settings in force.
    """

    def __init__(
        self, *, lifecycle: CallLifecycle, zones: collections.abc.Callable[[], collections.abc.Container[str]]
    ) -> None:
        self._lifecycle = lifecycle
        self._zones = zones

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        return [
            Rule("GET", PATH, self.handle_get),
            Rule("POST", f"{PATH}/<zone>", self.handle_post),
            Rule("DELETE", f"{PATH}/<zone>", self.handle_delete),
        ]

    def handle_get(self, call: Call) -> None:
        """Answers with the evacuated zones."""
        self._lifecycle.answer_with_register(call, register=register_names.EVACUATIONS, answer=_answer_evacuations)

    def handle_post(self, call: Call, zone: str) -> None:
        """Evacuates a zone."""
        self._change(call, zone, is_evacuated=True)

    def handle_delete(self, call: Call, zone: str) -> None:
        """Ends the evacuation of a zone."""
        self._change(call, zone, is_evacuated=False)

    def _change(self, call: Call, zone: str, *, is_evacuated: bool) -> None:
        if zone not in self._zones():
            body = FieldErrorBody(error=f"unknown zone '{zone}'", place="zone")
            call.answer(status=http.HTTPStatus.NOT_FOUND, body=body)
            return
        response = self._lifecycle.begin(call)
        if response is None:
            return
        edit = evacuations.edit_for(zone=zone, is_evacuated=is_evacuated, is_late=lambda: response.is_claimed)
        self._lifecycle.change(response, register=register_names.EVACUATIONS, edit=edit)


def _answer_evacuations(call: Call, payload: Payload) -> None:
    call.answer(status=http.HTTPStatus.OK, body=EvacuationsBody(zones=sorted(evacuations.zones_of(payload))))

"""Calls on the configuration: GET, PUT and PATCH (docs/orders.md)."""

import http
import re

from ploverward.control_plane.configuration import orders
from ploverward.control_plane.configuration.register_payloads import Payload
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.operator_api.call_lifecycle import CallLifecycle
from ploverward.control_plane.operator_api.call_lifecycle import FieldErrorBody
from ploverward.control_plane.operator_api.configuration_rounds import ConfigurationRounds
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import ErrorBody
from ploverward.control_plane.operator_api.router import Rule

PATH = "/ploverward/configuration"
BASE_HEADER = "If-Match"
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024  # a configuration of 2,000 routes has 0.7 MB
_EDITION = re.compile(r"[0-9]{1,19}")  # an edition above MAX_EDITION is refused as stale


class ConfigurationHandlers:
    """Reads and changes the configuration.

    Args:
        lifecycle: starts and answers calls.
        rounds: runs the consensus rounds of the orders.
    """

    def __init__(self, *, lifecycle: CallLifecycle, rounds: ConfigurationRounds) -> None:
        self._lifecycle = lifecycle
        self._rounds = rounds

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        return [
            Rule("GET", PATH, self.handle_get),
            Rule("PUT", PATH, self.handle_change, max_body_bytes=MAX_CONFIGURATION_BYTES),
            Rule("PATCH", PATH, self.handle_change, max_body_bytes=MAX_CONFIGURATION_BYTES),
        ]

    def handle_get(self, call: Call) -> None:
        """Answers with the configuration in force."""
        self._lifecycle.answer_with_register(call, register=register_names.CONFIGURATION, answer=_answer_configuration)

    def handle_change(self, call: Call) -> None:
        """Runs an order. It is parsed on another thread, as the validation of many routes is slow."""
        base = _parse_edition(call.headers.get(BASE_HEADER))
        if base is None:
            body = FieldErrorBody(error="If-Match is missing or not a version", place=BASE_HEADER)
            call.answer(status=http.HTTPStatus.BAD_REQUEST, body=body)
            return
        response = self._lifecycle.begin(call)
        if response is None:
            return
        method, data = call.method, call.body
        self._lifecycle.offload(
            response,
            work=lambda: orders.read(method=method, base=base, data=data),
            then=lambda order: self._rounds.submit(order, response),
        )


def _answer_configuration(call: Call, payload: Payload) -> None:
    if not payload:
        call.answer(status=http.HTTPStatus.NOT_FOUND, body=ErrorBody(error="no configuration yet"))
        return
    etag = b'"%d"' % orders.edition_of(payload)
    call.answer(status=http.HTTPStatus.OK, body=orders.body_of(payload), headers=[(b"ETag", etag)])


def _parse_edition(header: str | None) -> int | None:
    """Returns the edition in an If-Match header, quoted or not; None if it is missing or malformed."""
    text = (header or "").strip()
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    return int(text) if _EDITION.fullmatch(text) else None

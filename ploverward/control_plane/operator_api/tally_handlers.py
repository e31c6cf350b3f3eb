"""Calls on tallies (docs/tallies.md 1). They need no majority: each core node answers them on its own."""

import collections.abc
import http
import json
import typing

from ploverward.common import errors
from ploverward.control_plane.operator_api.dependencies import Json
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import ErrorBody
from ploverward.control_plane.operator_api.router import Rule
from ploverward.control_plane.tallies import tally_service
from ploverward.transport import messages

MAX_NAME_BYTES = 128  # limit for the names of tallies and the ids of adds


class AddBody(typing.TypedDict):
    """The answer to an add. It is empty, as other adds may have changed the sum already."""


class TotalBody(typing.TypedDict):
    """The sum of a tally."""

    total: int


class TalliesBody(typing.TypedDict):
    """The state of the tallies on this node; `peers` are the other core nodes, by address."""

    node: str
    merged: bool
    totals: dict[str, int]
    kept: int
    maxKept: int
    waiting: int
    peers: dict[str, Json]


class TallyHandlers:
    """Adds to tallies and reads them.

    Args:
        tallies: The tallies of this node.
        node_name: Returns the name of this node.
    """

    def __init__(self, *, tallies: tally_service.TallyService, node_name: collections.abc.Callable[[], str]) -> None:
        self._tallies = tallies
        self._node_name = node_name
        self._is_shutting_down = False

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        return [
            Rule("GET", "/ploverward/tallies", self.handle_get_all),
            Rule("GET", "/ploverward/tallies/<name>", self.handle_get),
            Rule("POST", "/ploverward/tallies/<name>", self.handle_add),
        ]

    def shut_down(self) -> None:
        """Refuses all further adds, so that callers send them to other nodes."""
        self._is_shutting_down = True

    def handle_add(self, call: Call, name: str) -> None:
        """Adds to a tally.

        The answer is 200 once the add is on enough disks. 400 and 503 are sent before anything is done.
        """
        try:
            add = _parse_add(name, call.body)
        except errors.InvalidArgumentError as error:
            call.answer(status=http.HTTPStatus.BAD_REQUEST, body=ErrorBody(error=error.text))
            return
        if self._is_shutting_down:
            call.answer_unavailable(reason="this node is shutting down")
        elif not self._tallies.can_accept(add):
            call.answer_unavailable(reason="too many adds are kept or wait here")
        else:
            forget = self._tallies.add(add=add, answer=lambda: call.answer(status=http.HTTPStatus.OK, body=AddBody()))
            call.set_disconnect_callback(forget)

    def handle_get(self, call: Call, name: str) -> None:
        """Answers with the sum of a tally, or 503 if this node does not know it yet."""
        problem = _name_error("name", name)
        if problem:
            call.answer(status=http.HTTPStatus.BAD_REQUEST, body=ErrorBody(error=problem))
            return

        def answer(total: int | None) -> None:
            if total is None:
                call.answer_unavailable(reason="this node has not merged with the others yet")
            else:
                call.answer(status=http.HTTPStatus.OK, body=TotalBody(total=total))

        self._tallies.read(tally=name, answer=answer)

    def handle_get_all(self, call: Call) -> None:
        """Answers operators with all sums and the replication state of the other nodes."""
        report = self._tallies.report()
        body = TalliesBody(
            node=self._node_name(),
            merged=report.is_merged,
            totals=report.totals,
            kept=report.kept,
            maxKept=report.max_kept,
            waiting=report.waiting,
            peers={
                address: {"inReach": peer.is_in_reach, "behind": peer.behind} for address, peer in report.peers.items()
            },
        )
        call.answer(status=http.HTTPStatus.OK, body=body)


def _parse_add(name: str, body: bytes) -> messages.TallyAdd:
    """Parses an add.

    Raises:
        InvalidArgumentError: The name or the body is invalid; the text names the field and the fault.
    """
    import pydantic  # imported late, as pydantic would slow the start of the node

    from ploverward.control_plane.operator_api import call_bodies

    try:
        order = call_bodies.AddOrder.model_validate(json.loads(body))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_context=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"]) or "body"
        raise errors.InvalidArgumentError(f"{place}: {first['msg']}", step="tally") from None
    except (ValueError, RecursionError):
        raise errors.InvalidArgumentError("the body is no JSON", step="tally") from None
    problem = _name_error("name", name) or _name_error("id", order.id)
    if problem:
        raise errors.InvalidArgumentError(problem, step="tally")
    return messages.TallyAdd(tally=name, add_id=order.id, amount=order.actor)


def _name_error(field: str, text: str) -> str:
    """Returns why a tally's name or an add's id is invalid, or an empty string if it is valid."""
    if not text:
        return f"{field}: is empty"
    if not text.isprintable():
        return f"{field}: has characters that can't be printed"
    if len(text.encode(errors="replace")) > MAX_NAME_BYTES:
        return f"{field}: is longer than {MAX_NAME_BYTES} bytes"
    return ""

"""Calls on tallies (docs/tallies.md 1). They need no majority: each core node answers them by itself."""

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

MAX_NAME_BYTES = 128  # of a tally's name, and of an id


class AddBody(typing.TypedDict):
    """The answer to an add: empty, as the sum may be another one already."""


class TotalBody(typing.TypedDict):
    """The sum of one tally."""

    total: int


class TalliesBody(typing.TypedDict):
    """How the tallies of this node stand; `peers` are the other core nodes, by address."""

    node: str
    merged: bool
    totals: dict[str, int]
    kept: int
    maxKept: int
    waiting: int
    peers: dict[str, Json]


class TallyHandlers:
    """Adds and reads.

    Args:
        tallies: The tallies of this node.
        node_name: Returns the name of this node.
    """

    def __init__(self, *, tallies: tally_service.TallyService, node_name: collections.abc.Callable[[], str]) -> None:
        self._tallies = tallies
        self._node_name = node_name
        self._is_shutting_down = False

    def rules(self) -> list[Rule]:
        """The calls that are handled here."""
        return [
            Rule("GET", "/ploverward/tallies", self.handle_get_all),
            Rule("GET", "/ploverward/tallies/<name>", self.handle_get),
            Rule("POST", "/ploverward/tallies/<name>", self.handle_add),
        ]

    def shut_down(self) -> None:
        """Refuses adds from now on: another node takes them."""
        self._is_shutting_down = True

    def handle_add(self, call: Call, name: str) -> None:
        """Adds to a tally. 200 once it is on enough disks; 4xx and 503 before anything is done."""
        try:
            add = _parse_add(name, call.body)
        except errors.InvalidArgumentError as error:
            call.answer(status=http.HTTPStatus.BAD_REQUEST, body=ErrorBody(error=error.text))
            return
        if self._is_shutting_down:
            call.unavailable(why="this node is shutting down")
        elif not self._tallies.can_take(add):
            call.unavailable(why="too many adds are kept or wait here")
        else:
            on_disconnect = self._tallies.add(
                add=add, answer=lambda: call.answer(status=http.HTTPStatus.OK, body=AddBody())
            )
            call.on_disconnect(on_disconnect)

    def handle_get(self, call: Call, name: str) -> None:
        """Answers with the sum of a tally; 503 where this node does not know it yet."""
        problem = _name_problem("name", name)
        if problem:
            call.answer(status=http.HTTPStatus.BAD_REQUEST, body=ErrorBody(error=problem))
            return

        def answer(total: int | None) -> None:
            if total is None:
                call.unavailable(why="this node has not merged with the others yet")
            else:
                call.answer(status=http.HTTPStatus.OK, body=TotalBody(total=total))

        self._tallies.read(tally=name, answer=answer)

    def handle_get_all(self, call: Call) -> None:
        """Answers with all sums and how far the other nodes are, for operators."""
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
    """Reads an add.

    Raises:
        InvalidArgumentError: It is malformed; the text says how.
    """
    import pydantic  # a start does not wait for it

    from ploverward.control_plane.operator_api import call_bodies

    try:
        order = call_bodies.AddOrder.model_validate(json.loads(body))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_context=False, include_input=False)[0]
        place = ".".join(str(part) for part in first["loc"]) or "body"
        raise errors.InvalidArgumentError(f"{place}: {first['msg']}", step="tally") from None
    except (ValueError, RecursionError):
        raise errors.InvalidArgumentError("the body is no JSON", step="tally") from None
    problem = _name_problem("name", name) or _name_problem("id", order.id)
    if problem:
        raise errors.InvalidArgumentError(problem, step="tally")
    return messages.TallyAdd(tally=name, add_id=order.id, amount=order.actor)


def _name_problem(field: str, text: str) -> str:
    """Why a name or an id can't be used; empty where it can."""
    if not text:
        return f"{field}: is empty"
    if not text.isprintable():
        return f"{field}: has characters that can't be printed"
    if len(text.encode(errors="replace")) > MAX_NAME_BYTES:
        return f"{field}: is longer than {MAX_NAME_BYTES} bytes"
    return ""

"""What model operators want, send and read: the records that the checks look at (docs/simulate.md)."""

from __future__ import annotations

import dataclasses
import enum
import json
from typing import Any

from ploverward.simulation.control_plane import simulated_http

CONFIGURATION_PATH = "/ploverward/configuration"
EVACUATION_PATH = "/ploverward/evacuation"


class OrderKind(enum.StrEnum):
    """What an order changes, and how."""

    PUT = "put"  # the complete configuration
    PATCH = "patch"  # a part of it
    EVACUATE = "evacuate"  # a zone
    RESTORE = "restore"  # a zone


CONFIGURATION_KINDS = (OrderKind.PUT, OrderKind.PATCH)


class Outcome(enum.StrEnum):
    """What became of an order as its operator sees it."""

    OPEN = ""
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    GIVEN_UP = "given up"


class ReadKind(enum.StrEnum):
    """What operators read."""

    CONFIGURATION = "configuration"
    EVACUATION = "evacuation"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """What is sent to a node; arguments as of `simulated_http.Caller.call`."""

    method: str
    target: str
    headers: simulated_http.TextHeaders = ()
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Attempt:
    """One sending of an order to one node.

    Attributes:
        host: The node.
        sent_at: By the simulated time in seconds.
        answered_at: When it was answered or given up.
        status: Of the answer; 0: none.
        body: Of the answer.
    """

    host: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    body: bytes = b""

    def end(self, answer: simulated_http.Answer | None, *, now: float) -> None:
        """Notes the answer, or that there is none."""
        self.answered_at = now
        if answer is not None:
            self.status, self.body = answer.status, answer.body


@dataclasses.dataclass(slots=True)
class Order:
    """One change that an operator wants.

    Attributes:
        name: Stands in the configuration that it makes.
        kind: What it changes.
        base: The edition that it builds on.
        edition: The edition that it makes.
        zone: The zone of an evacuation.
        is_valid: Whether the system may accept it.
        is_uncontested: Whether no other order has the same base.
        call: What is sent.
        begun_at: When it was first sent, by the simulated time in seconds.
        ended_at: When its outcome was known.
        outcome: What became of it.
        attempts: Its sendings.
        is_repeat: Whether it is an acknowledged order that is sent again.
        lost_at: When an acknowledgement was lost on its way.
    """

    name: str
    kind: OrderKind
    call: HttpCall
    base: int = 0
    edition: int = 0
    zone: str = ""
    is_valid: bool = True
    is_uncontested: bool = True
    begun_at: float = 0.0
    ended_at: float | None = None
    outcome: Outcome = Outcome.OPEN
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    is_repeat: bool = False
    lost_at: float | None = None

    @property
    def is_configuration(self) -> bool:
        """Whether it changes the configuration."""
        return self.kind in CONFIGURATION_KINDS


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """One reading that was answered.

    Attributes:
        what: What was read.
        host: The node that was asked.
        begun_at: When, by the simulated time in seconds.
        ended_at: When it was answered.
        value: The edition of the configuration (0: none), or the evacuated zones.
    """

    what: ReadKind
    host: str
    begun_at: float
    ended_at: float
    value: Any


def configuration_body(*, edition: int, order_name: str, is_valid: bool = True) -> bytes:
    """Returns a complete configuration whose first route names its order."""
    return _encode(
        {
            "edition": edition,
            "routes": [_route(order_name=order_name, is_valid=is_valid)],
            "destinations": [{"name": "llm"}],
        }
    )


def patch_body(*, edition: int, order_name: str, is_valid: bool = True) -> bytes:
    """Returns a patch that exchanges the first route."""
    return _encode({"edition": edition, "upsert": {"routes": [_route(order_name=order_name, is_valid=is_valid)]}})


def _encode(body: dict[str, Any]) -> bytes:
    return json.dumps(body).encode()


def _route(*, order_name: str, is_valid: bool) -> dict[str, Any]:
    return {
        "name": "r",
        "host": "h.example",
        "pathLead": "/a/",
        "kind": "streaming",
        "expiryMs": 5000,
        "destination": "llm" if is_valid else "nobody",
        "note": order_name,
    }

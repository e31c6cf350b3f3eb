"""Orders and reads of the simulated operators, as the checks examine them (docs/simulate.md)."""

from __future__ import annotations

import dataclasses
import enum
import json
from typing import Any

from ploverward.simulation.control_plane import simulated_http

CONFIGURATION_PATH = "/ploverward/configuration"
EVACUATION_PATH = "/ploverward/evacuation"


class OrderKind(enum.StrEnum):
    """Kinds of orders."""

    PUT = "put"  # replaces the complete configuration
    PATCH = "patch"  # changes a part of the configuration
    EVACUATE = "evacuate"  # evacuates a zone
    RESTORE = "restore"  # ends the evacuation of a zone


CONFIGURATION_KINDS = (OrderKind.PUT, OrderKind.PATCH)


class Outcome(enum.StrEnum):
    """Outcome of an order as its operator sees it."""

    OPEN = ""
    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    GIVEN_UP = "given up"


class ReadKind(enum.StrEnum):
    """Kinds of reads."""

    CONFIGURATION = "configuration"
    EVACUATION = "evacuation"


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """An HTTP request to a node; the fields are arguments of `simulated_http.Caller.call`."""

    method: str
    target: str
    headers: simulated_http.TextHeaders = ()
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to send an order to one node.

    Attributes:
        host: The node.
        sent_at: Time of sending, in seconds of simulated time.
        answered_at: Time at which it was answered or given up.
        status: Status code of the response; 0: no response.
        body: Body of the response.
    """

    host: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    body: bytes = b""

    def end(self, answer: simulated_http.Answer | None, *, now: float) -> None:
        """Records the response, or that there is none."""
        self.answered_at = now
        if answer is not None:
            self.status, self.body = answer.status, answer.body


@dataclasses.dataclass(slots=True)
class Order:
    """One change that an operator wants.

    Attributes:
        name: Name of the order, which is written into the configuration that it creates.
        kind: Kind of the order.
        base: The edition that it builds on.
        edition: The edition that it creates.
        zone: The zone of an evacuation.
        is_valid: Whether the system may accept it.
        is_uncontested: Whether no other order is known to compete for the same base.
        call: The request that is sent.
        begun_at: Time at which it was first sent, in seconds of simulated time.
        ended_at: Time at which its outcome was known.
        outcome: Outcome as the operator sees it.
        attempts: All attempts to send it.
        is_repeat: Whether it is an acknowledged order that is sent again.
        lost_at: Time at which its first lost acknowledgement was lost in the network.
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
    """One read that was answered.

    Attributes:
        what: Kind of the read.
        host: The node that answered.
        begun_at: Start of the read, in seconds of simulated time.
        ended_at: Time at which it was answered.
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
    """Returns a patch that replaces the first route."""
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

"""Orders that change the configuration: parsing an order, and its edit of the register (docs/orders.md 2, 3).

The payload of the register is `{"edition": int, "body": configuration, "recent": [[edition, order identifier], ...]}`.
Invariants: editions strictly rise; "recent" has the newest `MIN_RECENT_ORDERS` accepted orders, and all older ones that
`order_archive` is not known to have. So every node recognises an order that is sent again.
"""

import collections.abc
import dataclasses
import enum
import hashlib
import http
import typing

from ploverward.common import errors
from ploverward.control_plane.configuration import parser
from ploverward.control_plane.configuration import patch
from ploverward.control_plane.configuration.register_payloads import Edit
from ploverward.control_plane.configuration.register_payloads import Payload

MIN_RECENT_ORDERS = 64  # accepted orders that stay in the payload even if the archive has them
MIN_ARCHIVE_BATCH = 64  # orders that the archive lacks before they are appended to it in one write
ORDER_ID_DIGITS = 20  # hexadecimal, 80 bits
EDITION_KEY = "edition"
BODY_KEY = "body"
RECENT_KEY = "recent"

RecentOrder: typing.TypeAlias = collections.abc.Sequence  # [edition, order identifier], a JSON list


class Outcome(enum.StrEnum):
    """The result of an order's edit."""

    ACCEPTED = "taken"  # the edit accepted the order
    KNOWN = "known"  # the order had been accepted before; nothing was changed


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A complete, validated configuration that is to replace the one in force.

    Attributes:
        base: The edition that it replaces.
        edition: Its own edition.
        body: The configuration as the operator wrote it.
    """

    base: int
    edition: int
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A call that changes the configuration.

    Attributes:
        method: "PUT" or "PATCH".
        base: The edition that the change builds on, from If-Match.
        order_id: The identifier, the same if the same call is sent again (`compute_order_id`).
        body: The JSON object in the call's body: a configuration, or a patch of one.
        candidate: The configuration that the order requests; None for a PATCH that has not been merged yet.
    """

    method: str
    base: int
    order_id: str
    body: dict[str, typing.Any]
    candidate: Candidate | None = None


def compute_order_id(*, method: str, base: int, data: bytes) -> str:
    """Returns the identifier of the order with this method, base edition and body."""
    return hashlib.sha256(b"%s %d " % (method.encode(), base) + data).hexdigest()[:ORDER_ID_DIGITS]


def read(*, method: str, base: int, data: bytes) -> Order:
    """Parses a call, and validates it as far as possible without the configuration that it builds on.

    A PUT is validated completely, a PATCH only after it has been merged.

    Args:
        method: "PUT" or "PATCH".
        base: The edition in If-Match.
        data: The call's body.

    Raises:
        InvalidConfigurationError: The body is not a JSON object, or that of a PUT is not a valid configuration.
    """
    body = parser.read_json(data=data)
    order_id = compute_order_id(method=method, base=base, data=data)
    candidate = None if method == http.HTTPMethod.PATCH else _checked_candidate(base=base, body=body)
    return Order(method=method, base=base, order_id=order_id, body=body, candidate=candidate)


def merge_patch(*, order: Order, base_body: dict[str, typing.Any]) -> Order:
    """Returns the order of a PATCH with its candidate, the merged and validated configuration.

    Args:
        order: The order.
        base_body: The configuration that it builds on.

    Raises:
        InvalidConfigurationError: The patch can't be merged, or the result is not valid.
    """
    return dataclasses.replace(order, candidate=_merged_candidate(order=order, base_body=base_body))


def _merged_candidate(*, order: Order, base_body: dict[str, typing.Any]) -> Candidate:
    return _checked_candidate(base=order.base, body=patch.merge(body=base_body, patch=order.body))


def _checked_candidate(*, base: int, body: dict[str, typing.Any]) -> Candidate:
    from ploverward.control_plane.configuration import schema  # deferred: loading pydantic would delay a node's start

    edition = schema.check(body=body).edition
    return Candidate(base=base, edition=edition, body=body)


def edition_of(payload: Payload) -> int:
    """Returns the edition in force; 0 before the first configuration."""
    return payload[EDITION_KEY] if payload else 0


def body_of(payload: Payload) -> dict[str, typing.Any] | None:
    """Returns the configuration in force; None before the first one."""
    return payload[BODY_KEY] if payload else None


def recent_of(payload: Payload) -> list[RecentOrder]:
    """Returns [edition, order identifier] of the recently accepted orders, oldest first."""
    return payload[RECENT_KEY] if payload else []


def _is_recent(*, payload: Payload, order_id: str) -> bool:
    return any(accepted_id == order_id for _edition, accepted_id in recent_of(payload))


def edit_for(*, order: Order, archived: int) -> Edit:
    """Returns the edit for one order. Its result is an `Outcome`.

    Args:
        order: The order; a PATCH without a candidate is merged and validated inside the edit.
        archived: The edition up to which the archive is known to have all orders; only these may leave the payload.

    Returns:
        The edit. It raises `StaleVersionError` if the order builds on another edition than the one in force, and
        `InvalidConfigurationError` if the order's edition is not above that one or the merged configuration is not
        valid.
    """

    def edit(payload: Payload) -> tuple[Payload, Outcome]:
        if _is_recent(payload=payload, order_id=order.order_id):
            return payload, Outcome.KNOWN
        current = edition_of(payload)
        if order.base != current:
            raise errors.StaleVersionError(current=current)
        candidate = order.candidate
        if candidate is None:
            candidate = _merged_candidate(order=order, base_body=body_of(payload) or {})
        if candidate.edition <= current:
            raise errors.InvalidConfigurationError(f"{candidate.edition} is not above {current}", field_path="edition")
        rows = [*recent_of(payload), [candidate.edition, order.order_id]]
        recent = trimmed(rows=rows, archived=archived)
        return {EDITION_KEY: candidate.edition, BODY_KEY: candidate.body, RECENT_KEY: recent}, Outcome.ACCEPTED

    return edit


def trimmed(*, rows: list[RecentOrder], archived: int) -> list[RecentOrder]:
    """Returns the rows that the archive lacks, and always the newest `MIN_RECENT_ORDERS`."""
    older, newest = rows[:-MIN_RECENT_ORDERS], rows[-MIN_RECENT_ORDERS:]
    return [row for row in older if row[0] > archived] + newest

"""Orders that change the configuration: reading one, and its edit of the register (docs/orders.md 2, 3).

The payload of the register is `{"edition": int, "body": configuration, "recent": [[edition, order identifier], ...]}`.
Invariants: editions strictly rise; "recent" has the newest `MIN_RECENT_ORDERS` accepted orders and all older ones that
`order_archive` is not known to have. So an order that is sent again is recognised, whichever node gets it.
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

MIN_RECENT_ORDERS = 64  # orders that stay in the payload although the archive has them
MIN_ARCHIVE_BATCH = 64  # so many orders that the archive lacks are appended to it in one write
ORDER_ID_DIGITS = 20  # hexadecimal: 80 bits
EDITION_KEY = "edition"
BODY_KEY = "body"
RECENT_KEY = "recent"

RecentOrder: typing.TypeAlias = collections.abc.Sequence  # [edition, order identifier], as JSON stores it


class Outcome(enum.StrEnum):
    """What an edit found of its order."""

    ACCEPTED = "taken"  # it was accepted now
    KNOWN = "known"  # it was accepted before


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A complete, checked configuration.

    Attributes:
        base: the edition that it replaces.
        edition: its own edition.
        body: the configuration as the operator wrote it.
    """

    base: int
    edition: int
    body: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One call to change the configuration.

    Attributes:
        method: "PUT" or "PATCH".
        base: the edition that the change builds on, from If-Match.
        order_id: the same for the same call sent again (`compute_order_id`).
        body: the object in the call's body: a configuration, or a patch of one.
        candidate: the configuration that the order requests; None for a PATCH that was not merged yet.
    """

    method: str
    base: int
    order_id: str
    body: dict[str, typing.Any]
    candidate: Candidate | None = None


def compute_order_id(*, method: str, base: int, data: bytes) -> str:
    """The identifier of the order with this method, base edition and body bytes."""
    return hashlib.sha256(b"%s %d " % (method.encode(), base) + data).hexdigest()[:ORDER_ID_DIGITS]


def read(*, method: str, base: int, data: bytes) -> Order:
    """Reads a call, and checks it as far as that is possible without the edition that it builds on.

    Args:
        method: "PUT" or "PATCH".
        base: the edition in If-Match.
        data: the call's body.

    Raises:
        InvalidConfigurationError: the body is not JSON or not a valid configuration.
    """
    body = parser.read_json(data=data)
    order_id = compute_order_id(method=method, base=base, data=data)
    candidate = None if method == http.HTTPMethod.PATCH else _checked_candidate(base=base, body=body)
    return Order(method=method, base=base, order_id=order_id, body=body, candidate=candidate)


def merge_patch(*, order: Order, base_body: dict[str, typing.Any]) -> Order:
    """The order of a PATCH with its candidate.

    Args:
        order: the order.
        base_body: the configuration that it builds on.

    Raises:
        InvalidConfigurationError: the patch can't be merged, or the result is not valid.
    """
    return dataclasses.replace(order, candidate=_merged_candidate(order=order, base_body=base_body))


def _merged_candidate(*, order: Order, base_body: dict[str, typing.Any]) -> Candidate:
    return _checked_candidate(base=order.base, body=patch.merge(body=base_body, patch=order.body))


def _checked_candidate(*, base: int, body: dict[str, typing.Any]) -> Candidate:
    from ploverward.control_plane.configuration import schema  # a start does not wait for pydantic

    edition = schema.check(body=body).edition
    return Candidate(base=base, edition=edition, body=body)


def edition_of(payload: Payload) -> int:
    """The edition in force; 0 where there is none yet."""
    return payload[EDITION_KEY] if payload else 0


def body_of(payload: Payload) -> dict[str, typing.Any] | None:
    """The configuration in force; None where there is none yet."""
    return payload[BODY_KEY] if payload else None


def recent_of(payload: Payload) -> list[RecentOrder]:
    """[edition, order identifier] of the newest accepted orders, the oldest first."""
    return payload[RECENT_KEY] if payload else []


def _is_recent(*, payload: Payload, order_id: str) -> bool:
    return any(known == order_id for _edition, known in recent_of(payload))


def edit_for(*, order: Order, archived: int) -> Edit:
    """Makes the edit for one order. Its result is an `Outcome`.

    Args:
        order: the order; a PATCH without a candidate is merged and checked inside the edit.
        archived: the edition up to which the archive is known to have all orders; only these may leave the payload.

    Returns:
        The edit. It raises `StaleVersionError` where the order builds on another edition than the present one, and
        `InvalidConfigurationError` where its edition does not rise or its merged configuration is not valid.
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
    """The rows without those that the archive has; the newest `MIN_RECENT_ORDERS` always stay."""
    older, newest = rows[:-MIN_RECENT_ORDERS], rows[-MIN_RECENT_ORDERS:]
    return [row for row in older if row[0] > archived] + newest

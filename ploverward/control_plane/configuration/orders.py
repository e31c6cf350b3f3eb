"""Orders that change the configuration: what one makes of the register, and how it is known when it comes again.

The value of the register is {"edition", "body", "recent"}: `recent` holds (edition, mark) of the orders taken last. Older
marks are in the archive (ploverward/control_plane/configuration/order_archive.py). docs/orders.md has the argument.
"""

import dataclasses
import hashlib

from ploverward.common import errors
from ploverward.control_plane.configuration import parser
from ploverward.control_plane.configuration import patch
from ploverward.control_plane.configuration import schema

RECENT_KEPT = 64  # marks that stay in the value although the archive has them
ARCHIVE_FROM = 64  # marks that the archive lacks from which on they are put there
ORDER_ID_DIGITS = 20
TAKEN = "taken"
KNOWN = "known"


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A whole checked configuration that is built on version `base`."""

    base: int
    edition: int
    body: dict


@dataclasses.dataclass(frozen=True)
class Order:
    """One call to change the configuration; `mark` is the same for the same call sent again."""

    method: str
    base: int
    order_id: str
    body: dict
    candidate: Candidate | None = None


def digest(*, method: str, base: int, data: bytes) -> str:
    return hashlib.sha256(b"%s %d " % (method.encode(), base) + data).hexdigest()[:ORDER_ID_DIGITS]


def read(*, method: str, base: int, data: bytes) -> Order:
    """Reads a call, and checks it as far as that goes without the version it builds on."""
    body = parser.read_json(data=data)
    order_id = digest(method=method, base=base, data=data)
    order = Order(method=method, base=base, order_id=order_id, body=body)
    if method == "PATCH":
        return order
    return dataclasses.replace(order, candidate=_candidate(base=base, body=body))


def build(*, order: Order, base_body: dict) -> Order:
    """A PATCH with its candidate; `held` is the body of the version it builds on."""
    merged = patch.merge(body=base_body, patch=order.body)
    return dataclasses.replace(order, candidate=_candidate(base=order.base, body=merged))


def _candidate(*, base: int, body: dict) -> Candidate:
    edition = schema.check(body=body).edition
    return Candidate(base=base, edition=edition, body=body)


def edition_of(payload) -> int:
    return payload["edition"] if payload else 0


def recent_of(payload) -> list:
    """(edition, mark) of the orders taken last, the oldest first."""
    return payload["recent"] if payload else []


def is_recent(*, payload, order_id: str) -> bool:
    return any(known == order_id for _edition, known in recent_of(payload))


def edit_for(*, order: Order, archived: int):
    """The edit of the register for one order. Raises inside the round where the order can't be taken.

    `archived`: the edition up to which marks are known to be chosen in the archive; only these may leave the value.
    """

    def edit(payload):
        if is_recent(payload=payload, order_id=order.order_id):
            return payload, KNOWN
        current = edition_of(payload)
        if order.base != current:
            raise errors.StaleVersionError(current=current)
        candidate = order.candidate
        if candidate is None:
            candidate = build(order=order, base_body=payload["body"] if payload else {}).candidate
        if candidate.edition <= current:
            raise errors.InvalidConfigurationError(f"{candidate.edition} is not above {current}", field_path="edition")
        rows = [*recent_of(payload), [candidate.edition, order.order_id]]
        recent = trimmed(rows=rows, archived=archived)
        return {"edition": candidate.edition, "body": candidate.body, "recent": recent}, TAKEN

    return edit


def trimmed(*, rows: list, archived: int) -> list:
    """The rows without those that the archive has; the newest ones always stay."""
    older, newest = rows[:-RECENT_KEPT], rows[-RECENT_KEPT:]
    return [row for row in older if row[0] > archived] + newest

"""The archive: a register with the identifiers of orders that were accepted long ago (docs/orders.md 3).

The payload is `{"through": edition, "marks": base64 of 8 bytes per order, oldest first}`. Invariant: the archive has
the identifier of every order accepted up to edition "through", except the oldest ones beyond `MAX_ARCHIVED_IDS`.
Editions strictly rise, so a repeated append, also by another node, neither adds a duplicate nor leaves a gap.
"""

import base64
import collections.abc

from ploverward.control_plane.configuration.orders import RecentOrder
from ploverward.control_plane.configuration.register_payloads import Edit
from ploverward.control_plane.configuration.register_payloads import Payload

MAX_ARCHIVED_IDS = 12288  # about three days at 4,100 changes a day
SHORT_ID_BYTES = 8  # kept of each identifier; the probability of a false match is below 12,288 / 2^64
ARCHIVED_THROUGH_KEY = "through"
SHORT_IDS_KEY = "marks"
_SHORT_ID_DIGITS = SHORT_ID_BYTES * 2  # hexadecimal


def archived_through(payload: Payload) -> int:
    """Returns the edition up to which the archive has all identifiers; 0 if it is empty."""
    return payload[ARCHIVED_THROUGH_KEY] if payload else 0


def contains(*, payload: Payload, order_id: str) -> bool:
    """Returns whether the archive has this order."""
    wanted = _short_id(order_id)
    data = _short_ids(payload)
    offset = data.find(wanted)
    while offset >= 0:
        if offset % SHORT_ID_BYTES == 0:
            return True
        offset = data.find(wanted, offset + 1)  # the match straddled two identifiers
    return False


def edit_for(*, rows: collections.abc.Sequence[RecentOrder]) -> Edit:
    """Returns the edit that appends the orders that the archive lacks.

    Args:
        rows: Accepted orders from a chosen value of the configuration's register, oldest first.

    Returns:
        The edit. Its result is the edition up to which the archive has all identifiers.
    """

    def edit(payload: Payload) -> tuple[Payload, int]:
        newer = [(edition, order_id) for edition, order_id in rows if edition > archived_through(payload)]
        if not newer:
            return payload, archived_through(payload)
        last_edition, _order_id = newer[-1]
        data = _short_ids(payload) + b"".join(_short_id(order_id) for _edition, order_id in newer)
        encoded_ids = base64.b64encode(data[-MAX_ARCHIVED_IDS * SHORT_ID_BYTES :]).decode()
        return {ARCHIVED_THROUGH_KEY: last_edition, SHORT_IDS_KEY: encoded_ids}, last_edition

    return edit


def _short_id(order_id: str) -> bytes:
    return bytes.fromhex(order_id[:_SHORT_ID_DIGITS])


def _short_ids(payload: Payload) -> bytes:
    return base64.b64decode(payload[SHORT_IDS_KEY]) if payload else b""

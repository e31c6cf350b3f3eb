"""Marks of orders taken long ago: a register of its own, {"through": edition, "marks": base64 of 8 bytes each}.

Editions strictly rise, so `through` says which marks of the configuration's value are here already: an append that
comes twice, or from several nodes, adds nothing twice and leaves no gap.
"""

import base64

MAX_ARCHIVED_IDS = 12288  # about three days of 4,100 changes
SHORT_ID_BYTES = 8
_SHORT_ID_DIGITS = SHORT_ID_BYTES * 2


def through(payload) -> int:
    """The edition up to which the archive holds all marks."""
    return payload["through"] if payload else 0


def has(*, payload, order_id: str) -> bool:
    wanted = _short(order_id)
    data = _stored_ids(payload)
    offset = data.find(wanted)
    while offset >= 0:
        if offset % SHORT_ID_BYTES == 0:
            return True
        offset = data.find(wanted, offset + 1)
    return False


def edit_for(*, rows):
    """The edit that appends what is missing of `rows`: (edition, mark) from a chosen value, the oldest first."""

    def edit(payload):
        newer = [row for row in rows if row[0] > through(payload)]
        if not newer:
            return payload, through(payload)
        last = newer[-1][0]
        data = _stored_ids(payload) + b"".join(_short(order_id) for _edition, order_id in newer)
        encoded_ids = base64.b64encode(data[-MAX_ARCHIVED_IDS * SHORT_ID_BYTES :]).decode()
        return {"through": last, "marks": encoded_ids}, last

    return edit


def _short(order_id: str) -> bytes:
    return bytes.fromhex(order_id[:_SHORT_ID_DIGITS])


def _stored_ids(payload) -> bytes:
    return base64.b64decode(payload["marks"]) if payload else b""

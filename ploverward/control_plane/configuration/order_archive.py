"""Marks of orders taken long ago: a register of its own, {"through": edition, "marks": base64 of 8 bytes each}.

Editions strictly rise, so `through` says which marks of the configuration's value are here already: an append that
comes twice, or from several nodes, adds nothing twice and leaves no gap.
"""

import base64

MARKS_KEPT = 12288  # about three days of 4,100 changes
MARK_BYTES = 8
_MARK_DIGITS = MARK_BYTES * 2


def through(payload) -> int:
    """The edition up to which the archive holds all marks."""
    return payload["through"] if payload else 0


def has(*, payload, mark: str) -> bool:
    wanted = _short(mark)
    data = _marks(payload)
    place = data.find(wanted)
    while place >= 0:
        if place % MARK_BYTES == 0:
            return True
        place = data.find(wanted, place + 1)
    return False


def edit_for(*, rows):
    """The edit that appends what is missing of `rows`: (edition, mark) from a chosen value, the oldest first."""

    def edit(payload):
        newer = [row for row in rows if row[0] > through(payload)]
        if not newer:
            return payload, through(payload)
        last = newer[-1][0]
        data = _marks(payload) + b"".join(_short(mark) for _edition, mark in newer)
        marks = base64.b64encode(data[-MARKS_KEPT * MARK_BYTES :]).decode()
        return {"through": last, "marks": marks}, last

    return edit


def _short(mark: str) -> bytes:
    return bytes.fromhex(mark[:_MARK_DIGITS])


def _marks(payload) -> bytes:
    return base64.b64decode(payload["marks"]) if payload else b""

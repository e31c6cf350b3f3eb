"""Entries of a partition's log, and their stored form: a JSON object on the first line, then bytes (docs/batch.md 3).

The form is stored data and goes from store to store: it does not change.
"""

from __future__ import annotations

import json
import typing


class LotAccepted(typing.NamedTuple):
    """A lot was taken.

    Attributes:
        tenant: Whose it is.
        lot: Its id.
        route: The name of its route.
        due_at: When all results are due, by wall-clock time in seconds.
        max_attempts: Answers of 500 after which an item is a dead letter.
        body: The items, as the client sent them.
    """

    tenant: str
    lot: str
    route: str
    due_at: float
    max_attempts: int
    body: bytes


class ItemListed(typing.NamedTuple):
    """An item has its result; its position follows from the order of these entries.

    Attributes:
        tenant: Whose lot it is.
        lot: The lot.
        item: The item.
        condition: Of `batch_messages.Condition`: delivered or dead letter.
        text: The result.
    """

    tenant: str
    lot: str
    item: str
    condition: int
    text: bytes


class LotEnded(typing.NamedTuple):
    """Its client ended a lot."""

    tenant: str
    lot: str


Entry = LotAccepted | ItemListed | LotEnded


def pack(entry: Entry) -> bytes:
    """Returns the stored form of an entry."""
    if isinstance(entry, LotAccepted):
        head = {"lot": [entry.tenant, entry.lot, entry.route, entry.due_at, entry.max_attempts]}
        return _pack(head, entry.body)
    if isinstance(entry, ItemListed):
        return _pack({"item": [entry.tenant, entry.lot, entry.item, entry.condition]}, entry.text)
    return _pack({"end": [entry.tenant, entry.lot]}, b"")


def _pack(head: dict[str, list], rest: bytes) -> bytes:
    return json.dumps(head, separators=(",", ":")).encode() + b"\n" + rest


def unpack(data: bytes) -> Entry:
    """Returns the entry of a stored form.

    Raises:
        ValueError: It is none.
    """
    head, _newline, rest = data.partition(b"\n")
    try:
        ((kind, fields),) = json.loads(head).items()
        return _entry(kind, fields, rest)
    except (AttributeError, TypeError) as error:
        raise ValueError(str(error)) from error


def _entry(kind: str, fields: list, rest: bytes) -> Entry:
    if kind == "lot":
        return LotAccepted._make([*fields, rest])
    if kind == "item":
        return ItemListed._make([*fields, rest])
    if kind == "end":
        return LotEnded._make(fields)
    raise ValueError(f"unknown entry '{kind}'")

"""Entries of a partition's log, and their stored form: a JSON object on the first line, then bytes (docs/batch.md 3).

The form is stored data and goes from store to store: it does not change.
"""

from __future__ import annotations

import json
import typing


class JobAccepted(typing.NamedTuple):
    """A job was taken.

    Attributes:
        tenant: Whose it is.
        job: Its id.
        route: The name of its route.
        due_at: When all results are due, by wall-clock time in seconds.
        max_attempts: Answers of 500 after which an item is a dead letter.
        body: The items, as the client sent them.
    """

    tenant: str
    job: str
    route: str
    due_at: float
    max_attempts: int
    body: bytes


class ItemListed(typing.NamedTuple):
    """An item has its result; its position follows from the order of these entries.

    Attributes:
        tenant: Whose job it is.
        job: The job.
        item: The item.
        condition: Of `batch_messages.Condition`: delivered or dead letter.
        text: The result.
    """

    tenant: str
    job: str
    item: str
    condition: int
    text: bytes


class JobEnded(typing.NamedTuple):
    """Its client ended a job."""

    tenant: str
    job: str


class ItemFailed(typing.NamedTuple):
    """A replica answered an item's run with 500."""

    tenant: str
    job: str
    item: str


class JobForgotten(typing.NamedTuple):
    """Nobody may ask for a job any more.

    Attributes:
        tenant: Whose it was.
        job: Its id.
        positions: Of the entries that are of no use any more.
    """

    tenant: str
    job: str
    positions: tuple[int, ...]


Entry = JobAccepted | ItemListed | JobEnded | ItemFailed | JobForgotten
_FORGOTTEN = b'{"forgotten":'


def pack(entry: Entry) -> bytes:
    """Returns the stored form of an entry."""
    if isinstance(entry, JobAccepted):
        head = {"job": [entry.tenant, entry.job, entry.route, entry.due_at, entry.max_attempts]}
        return _pack(head, entry.body)
    if isinstance(entry, ItemListed):
        return _pack({"item": [entry.tenant, entry.job, entry.item, entry.condition]}, entry.text)
    if isinstance(entry, ItemFailed):
        return _pack({"failed": [*entry]}, b"")
    if isinstance(entry, JobForgotten):
        return _pack({"forgotten": [entry.tenant, entry.job, [*entry.positions]]}, b"")
    return _pack({"end": [entry.tenant, entry.job]}, b"")


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
    if kind == "job":
        return JobAccepted._make([*fields, rest])
    if kind == "item":
        return ItemListed._make([*fields, rest])
    if kind == "end":
        return JobEnded._make(fields)
    if kind == "failed":
        return ItemFailed._make(fields)
    if kind == "forgotten":
        tenant, job, positions = fields
        return JobForgotten(tenant, job, tuple(positions))
    raise ValueError(f"unknown entry '{kind}'")


def forgotten_positions(data: bytes) -> tuple[int, ...]:
    """Returns which entries are of no use any more once this one is committed; none for most entries."""
    if not data.startswith(_FORGOTTEN):
        return ()
    entry = unpack(data)
    return entry.positions if isinstance(entry, JobForgotten) else ()

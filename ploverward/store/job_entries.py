"""Entries of a partition's log and their stored form (docs/batch.md 3).

The stored form is a JSON object on the first line, followed by raw bytes. It is written to disk and replicated between
stores, so it must not change.
"""

from __future__ import annotations

import json
import typing


class JobAccepted(typing.NamedTuple):
    """A job was accepted.

    Attributes:
        tenant: The tenant that the job belongs to.
        job: The id of the job.
        route: The name of the job's route.
        due_at: When all results are due, in wall-clock seconds.
        max_attempts: Number of 500 responses after which an item becomes a dead letter.
        body: The items, as the client sent them.
    """

    tenant: str
    job: str
    route: str
    due_at: float
    max_attempts: int
    body: bytes


class ItemListed(typing.NamedTuple):
    """An item has its final result; the order of these entries determines the positions of the results.

    Attributes:
        tenant: The tenant that the job belongs to.
        job: The id of the job.
        item: The id of the item.
        condition: A value of `batch_messages.Condition`: delivered or dead letter.
        text: The result.
    """

    tenant: str
    job: str
    item: str
    condition: int
    text: bytes


class JobEnded(typing.NamedTuple):
    """The client ended a job."""

    tenant: str
    job: str


class ItemFailed(typing.NamedTuple):
    """A replica answered an attempt of an item with 500.

    Attributes:
        tenant: The tenant that the job belongs to.
        job: The id of the job.
        item: The id of the item.
        attempt: Identifies the attempt, so that it counts once. Empty in entries of earlier versions, and of reports of
            earlier versions: they stand for a whole run, of whose attempts at least one was answered with 500.
    """

    tenant: str
    job: str
    item: str
    attempt: str = ""


class JobForgotten(typing.NamedTuple):
    """A job is no longer readable, and its entries can be dropped.

    Attributes:
        tenant: The tenant that the job belonged to.
        job: The id of the job.
        positions: Log positions of the job's entries, which are no longer needed.
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
        return _pack({"failed": [entry.tenant, entry.job, entry.item]}, entry.attempt.encode())
    if isinstance(entry, JobForgotten):
        return _pack({"forgotten": [entry.tenant, entry.job, [*entry.positions]]}, b"")
    return _pack({"end": [entry.tenant, entry.job]}, b"")


def _pack(head: dict[str, list], rest: bytes) -> bytes:
    return json.dumps(head, separators=(",", ":")).encode() + b"\n" + rest


def unpack(data: bytes) -> Entry:
    """Parses the stored form of an entry.

    Raises:
        ValueError: The data is not the stored form of an entry.
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
        tenant, job, item = fields
        return ItemFailed(tenant, job, item, rest.decode())
    if kind == "forgotten":
        tenant, job, positions = fields
        return JobForgotten(tenant, job, tuple(positions))
    raise ValueError(f"unknown kind of log entry '{kind}'")


def forgotten_positions(data: bytes) -> tuple[int, ...]:
    """Returns the positions of the entries that can be dropped once this entry is committed.

    Only a `JobForgotten` entry has any.
    """
    if not data.startswith(_FORGOTTEN):
        return ()
    entry = unpack(data)
    return entry.positions if isinstance(entry, JobForgotten) else ()

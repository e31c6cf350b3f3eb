"""The messages of the batch tier, between proxies and stores and among stores (docs/batch.md).

`number` is chosen by the sender of a request and comes back in the reply. Like those of `messages`, the types are named
tuples, and the order of their fields is their order on the wire.
"""

import enum
import typing


class Outcome(enum.IntEnum):
    """What became of a request."""

    DONE = 1
    OVER_QUOTA = 2  # nothing was done
    NOT_FOUND = 3  # no such job or item, for certain
    NOT_OWNER = 4  # nothing was done: another store is the primary, or this one does not know enough yet


class Condition(enum.IntEnum):
    """How a run of an item ended."""

    DELIVERED = 1
    DEAD_LETTER = 2
    FAILED = 3  # the replica answered 500
    RELEASED = 4  # it did not run to its end, and no replica is known to have failed


class SubmitJob(typing.NamedTuple):
    """Takes a job."""

    number: int
    tenant: str
    job: str
    route: str
    due_ms: int  # from now
    max_attempts: int  # answers of 500 after which an item is a dead letter
    max_queued_tokens: int  # of the tenant on the route; 0: no limit
    body: bytes  # as the client sent it, checked


class JobReply(typing.NamedTuple):
    """Reply to `SubmitJob`, `FinishItem` and `EndJob`."""

    number: int
    outcome: int


class PullItems(typing.NamedTuple):
    """Leases items for a while."""

    number: int
    limit: int


class PulledItem(typing.NamedTuple):
    """One item that the proxy has leased."""

    tenant: str
    job: str
    item: str
    route: str
    path: str
    headers: bytes  # JSON: value by name
    parcel: bytes  # the body in base64
    left_ms: int  # until all results are due


class PulledItems(typing.NamedTuple):
    """Reply to `PullItems`."""

    number: int
    items: tuple[PulledItem, ...]


class FinishItem(typing.NamedTuple):
    """A run of an item ended."""

    number: int
    tenant: str
    job: str
    item: str
    condition: int
    text: bytes


class ReadJob(typing.NamedTuple):
    """Reads results from a position on."""

    number: int
    tenant: str
    job: str
    after: int


class ListedItem(typing.NamedTuple):
    """One result."""

    item: str
    condition: int
    text: bytes


class JobPage(typing.NamedTuple):
    """Reply to `ReadJob`."""

    number: int
    outcome: int
    total: int
    results: tuple[ListedItem, ...]


class ReadItem(typing.NamedTuple):
    """Reads the body of an item that is not listed yet."""

    number: int
    tenant: str
    job: str
    item: str


class ItemBody(typing.NamedTuple):
    """Reply to `ReadItem`."""

    number: int
    outcome: int
    parcel: bytes  # the body in base64


class EndJob(typing.NamedTuple):
    """Ends a job."""

    number: int
    tenant: str
    job: str


class LogEntry(typing.NamedTuple):
    """One entry of a partition's log."""

    data: bytes


class ReplicateEntries(typing.NamedTuple):
    """From a primary to a backup; without entries it asks how far the backup is."""

    partition: int
    epoch: int
    first: int  # position of the first entry, from 1
    entries: tuple[LogEntry, ...]


class EntriesStored(typing.NamedTuple):
    """From a backup to a primary: all entries up to this position are on its disk."""

    partition: int
    epoch: int
    last: int

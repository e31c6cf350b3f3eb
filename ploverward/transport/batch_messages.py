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
    NOT_KNOWN = 5  # the store is no longer the primary: its successor knows what became of it


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


class ItemResult(typing.NamedTuple):
    """One result."""

    item: str
    condition: int
    text: bytes


class JobPage(typing.NamedTuple):
    """Reply to `ReadJob`."""

    number: int
    outcome: int
    total: int
    results: tuple[ItemResult, ...]


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
    """From a primary of the first version to a backup. No longer sent: `AppendEntries` took its place."""

    partition: int
    epoch: int
    first: int  # position of the first entry, from 1
    entries: tuple[LogEntry, ...]


class EntriesStored(typing.NamedTuple):
    """From a backup of the first version to a primary. No longer sent: `EntriesDurable` took its place."""

    partition: int
    epoch: int
    last: int


class StoreIdentity(typing.NamedTuple):
    """From a store to core nodes, on each new connection."""

    node: str  # its name in the settings
    disk: str  # identifies its disk: an emptied one gets another identity
    process: str  # identifies the start of its process


class CaughtUpCopy(typing.NamedTuple):
    """A learner that has all that is committed."""

    address: str
    disk: str


class LostCopy(typing.NamedTuple):
    """A member that does not answer, or does not get on."""

    address: str


class CopyReport(typing.NamedTuple):
    """From a primary to the coordinator: what is to change in the arrangement of a partition."""

    partition: int
    epoch: int
    caught_up: tuple[CaughtUpCopy, ...]  # learners that have all that is committed
    lost: tuple[LostCopy, ...]  # members that do not answer, or do not get on


class PartitionEpoch(typing.NamedTuple):
    """A partition, and the epoch under which its primary acts."""

    partition: int
    epoch: int


class RenewPrimaryLeases(typing.NamedTuple):
    """From a primary to a store that keeps copies: may it go on to answer for these partitions?"""

    number: int
    partitions: tuple[PartitionEpoch, ...]


class PrimaryLeasesGranted(typing.NamedTuple):
    """Reply to `RenewPrimaryLeases`: those for which no later epoch is known."""

    number: int
    partitions: tuple[PartitionEpoch, ...]


class RequestLogState(typing.NamedTuple):
    """From a primary to a store that keeps a copy: where does its log stand?"""

    partition: int
    epoch: int


class EpochRun(typing.NamedTuple):
    """Entries of one epoch that follow each other in a log: up to which position."""

    epoch: int
    last: int


class LogState(typing.NamedTuple):
    """Where a store's log of a partition stands."""

    partition: int
    epoch: int  # of the question
    disk: str
    base: int  # position before the first entry
    base_epoch: int
    runs: tuple[EpochRun, ...]


class EpochEntry(typing.NamedTuple):
    """One entry of a partition's log, and the epoch in which it was added."""

    epoch: int
    data: bytes


class AppendEntries(typing.NamedTuple):
    """From a primary to a store that keeps a copy. What the store has from `first` on is replaced."""

    partition: int
    epoch: int
    first: int  # position of the first entry, from 1
    previous_epoch: int  # of the entry before
    is_reset: bool  # the store drops its log first: what is before `first` is not kept any more
    committed: int
    entries: tuple[EpochEntry, ...]


class EntriesDurable(typing.NamedTuple):
    """Reply to `AppendEntries`, as often as more is synced: all up to this position is on the disk."""

    partition: int
    epoch: int
    last: int


class RunningItem(typing.NamedTuple):
    """An item that runs at a proxy."""

    tenant: str
    job: str
    item: str


class RenewItems(typing.NamedTuple):
    """From a proxy to a primary: these items still run here."""

    number: int
    items: tuple[RunningItem, ...]


class ItemsRenewed(typing.NamedTuple):
    """Reply to `RenewItems`: runs that are of no use any more."""

    number: int
    stopped: tuple[RunningItem, ...]

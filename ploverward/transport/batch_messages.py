"""Types of the messages of the batch tier: between proxies and stores, among stores, and to core nodes (docs/batch.md).

`number` is chosen by the sender of a request and returned in the reply. As in `messages`, the types are named tuples,
and the order of their fields is their order on the wire.
"""

import enum
import typing


class Outcome(enum.IntEnum):
    """Outcome of a request to a store."""

    DONE = 1
    OVER_QUOTA = 2  # the tenant has too many queued tokens; the request had no effect
    NOT_FOUND = 3  # the job or item certainly does not exist
    NOT_OWNER = 4  # the request had no effect: another store is the primary, or this one can't serve it now
    NOT_KNOWN = 5  # the store is no longer the primary: only its successor knows whether the request took effect
    NOT_NEEDED = 6  # only for a failed attempt: it is counted, and the item is not to be tried again


class Condition(enum.IntEnum):
    """Result of one run of an item."""

    DELIVERED = 1
    DEAD_LETTER = 2  # it is not tried again
    FAILED = 3  # a replica responded with status 500
    RELEASED = 4  # the run did not finish, and no replica is known to have failed


class SubmitJob(typing.NamedTuple):
    """Request to store and run a job."""

    number: int
    tenant: str
    job: str
    route: str
    due_ms: int  # until all results are due, from the time of the request
    max_attempts: int  # number of responses with status 500 after which an item becomes a dead letter
    max_queued_tokens: int  # limit for the tenant on the route; 0: no limit
    body: bytes  # as sent by the client; already validated


class JobReply(typing.NamedTuple):
    """Reply to `SubmitJob`, `FinishItem` and `EndJob`."""

    number: int
    outcome: int


class PullItems(typing.NamedTuple):
    """Request of a proxy to lease items that wait to be run."""

    number: int
    limit: int


class LeasedItem(typing.NamedTuple):
    """An item that is leased to the proxy, with the host by which it is routed."""

    tenant: str
    job: str
    item: str
    route: str  # name of the route on which the job was submitted; routes the item only if `host` is empty
    host: str  # host of that route; empty if the job was accepted by an earlier version
    edition: int  # version of the configuration by which the job was accepted
    path: str
    headers: bytes  # JSON object: value by name
    parcel: bytes  # request body in base64
    left_ms: int  # until all results of the job are due


class LeasedItems(typing.NamedTuple):
    """Reply to `PullItems` of a proxy that sent a `Handshake` on the connection."""

    number: int
    items: tuple[LeasedItem, ...]


class PulledItem(typing.NamedTuple):
    """An item that is leased to the proxy, without the host by which it is routed."""

    tenant: str
    job: str
    item: str
    route: str
    path: str
    headers: bytes  # JSON object: value by name
    parcel: bytes  # request body in base64
    left_ms: int  # until all results of the job are due


class PulledItems(typing.NamedTuple):
    """Reply to `PullItems` of a proxy without a `Handshake`, and of stores of earlier versions."""

    number: int
    items: tuple[PulledItem, ...]


class FinishItem(typing.NamedTuple):
    """Reports the result of a run of an item, or one failed attempt of a run that goes on.

    Proxies send each failed attempt to a store that sent a `Handshake`: `condition` is `FAILED`, and `text` identifies
    the attempt. To other stores, and by proxies of earlier versions, the end of a run with such an attempt is sent as
    `FAILED` without a text.
    """

    number: int
    tenant: str
    job: str
    item: str
    condition: int  # a `Condition`
    text: bytes  # response, if delivered; identifier of a failed attempt; otherwise empty


class ReadJob(typing.NamedTuple):
    """Request for the results of a job from a position on."""

    number: int
    tenant: str
    job: str
    after: int  # number of results to skip


class ItemResult(typing.NamedTuple):
    """The final result of an item."""

    item: str
    condition: int  # `Condition.DELIVERED` or `Condition.DEAD_LETTER`
    text: bytes  # response, if delivered; otherwise empty


class JobPage(typing.NamedTuple):
    """Reply to `ReadJob`."""

    number: int
    outcome: int
    total: int
    results: tuple[ItemResult, ...]


class ReadItem(typing.NamedTuple):
    """Request for the body of an item that has no final result yet."""

    number: int
    tenant: str
    job: str
    item: str


class ItemBody(typing.NamedTuple):
    """Reply to `ReadItem`."""

    number: int
    outcome: int
    parcel: bytes  # request body in base64


class EndJob(typing.NamedTuple):
    """Request to end a job."""

    number: int
    tenant: str
    job: str


class LogEntry(typing.NamedTuple):
    """One entry of a partition's log, a row of `ReplicateEntries`."""

    data: bytes


class ReplicateEntries(typing.NamedTuple):
    """Log entries for a backup in the first protocol version. No longer sent: replaced by `AppendEntries`."""

    partition: int
    epoch: int
    first: int  # position of the first entry, from 1
    entries: tuple[LogEntry, ...]


class EntriesStored(typing.NamedTuple):
    """Reply to `ReplicateEntries` in the first protocol version. No longer sent: replaced by `EntriesDurable`."""

    partition: int
    epoch: int
    last: int


class StoreIdentity(typing.NamedTuple):
    """Identifies a store to core nodes, on each new connection."""

    node: str  # name of the store in the settings
    disk: str  # identifier of its disk; an emptied disk gets a new one
    process: str  # identifier of the start of its process


class CaughtUpCopy(typing.NamedTuple):
    """A learner that has all committed entries."""

    address: str
    disk: str


class LostCopy(typing.NamedTuple):
    """A member or learner that does not respond, or makes no progress."""

    address: str


class CopyReport(typing.NamedTuple):
    """From a primary to the coordinator: copies whose role in a partition is to change."""

    partition: int
    epoch: int
    caught_up: tuple[CaughtUpCopy, ...]  # learners that have all committed entries
    lost: tuple[LostCopy, ...]  # copies that do not respond, or make no progress


class PartitionEpoch(typing.NamedTuple):
    """A partition and the epoch of its primary."""

    partition: int
    epoch: int


class RenewPrimaryLeases(typing.NamedTuple):
    """Request of a primary to a store that keeps copies: renews the leases for serving these partitions."""

    number: int
    partitions: tuple[PartitionEpoch, ...]


class PrimaryLeasesGranted(typing.NamedTuple):
    """Reply to `RenewPrimaryLeases`: the partitions for which the sender knows no later epoch."""

    number: int
    partitions: tuple[PartitionEpoch, ...]


class RequestLogState(typing.NamedTuple):
    """Request of a primary to a store that keeps a copy: the state of its log."""

    partition: int
    epoch: int


class EpochRun(typing.NamedTuple):
    """Consecutive entries of one epoch in a log, up to and including position `last`."""

    epoch: int
    last: int


class LogState(typing.NamedTuple):
    """Reply to `RequestLogState`: the positions and epochs in a store's log of a partition."""

    partition: int
    epoch: int  # of the request
    disk: str
    base: int  # position before the first entry
    base_epoch: int  # epoch of the entry that was at `base`
    runs: tuple[EpochRun, ...]


class EpochEntry(typing.NamedTuple):
    """An entry of a partition's log and the epoch in which it was added."""

    epoch: int
    data: bytes


class AppendEntries(typing.NamedTuple):
    """Entries from a primary to a store that keeps a copy; they replace what the store has from `first` on."""

    partition: int
    epoch: int
    first: int  # position of the first entry, from 1
    previous_epoch: int  # epoch of the entry before `first`
    is_reset: bool  # the store drops its log first, because the primary no longer has the entries before `first`
    committed: int  # position up to which entries are committed
    entries: tuple[EpochEntry, ...]


class EntriesDurable(typing.NamedTuple):
    """Reply to `AppendEntries`, sent whenever more entries are synced: all up to position `last` are on the disk."""

    partition: int
    epoch: int
    last: int


class RunningItem(typing.NamedTuple):
    """An item that a proxy is running."""

    tenant: str
    job: str
    item: str


class RenewItems(typing.NamedTuple):
    """Renews the leases of the items that a proxy is still running, at their primary."""

    number: int
    items: tuple[RunningItem, ...]


class ItemsRenewed(typing.NamedTuple):
    """Reply to `RenewItems`: items whose runs are no longer needed."""

    number: int
    stopped: tuple[RunningItem, ...]

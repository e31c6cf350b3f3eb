"""Types of the messages that nodes send to each other (docs/design.md 2, 4, 5).

`ploverward.transport.frames` encodes each message as one frame; the order of the fields here is their order on the
wire. The names of the types appear in the log event `work_counted`. The types are named tuples and not dataclasses:
creating the fifty types as frozen, slotted dataclasses adds 30 ms to the start of every process.

Some fields have the same meaning in several messages:

- `number` is chosen by the sender of a request and returned in the reply, so that a late reply is never matched to a
  newer request.
- `epoch` is the epoch of the singleton role under which the sender acts, or which the receiver is expected to own
  (docs/control.md 1).
- `known` is the version or ballot that the requester already has, so that the reply can omit its value.
- `..._rows` of type `bytes` are rows of fixed layout, decoded by `ploverward.transport.row_codec` unless the field
  names another module.
"""

import typing

from ploverward.common.identifiers import Ballot
from ploverward.common.identifiers import Version

# Messages on every connection.


class Handshake(typing.NamedTuple):
    """Identifies the sender; the first message of each side of a connection."""

    role: str  # "core", "proxy" or "store"
    address: str  # IP address of the node
    zone: str
    region: str
    incarnation: str  # unique to each start of the process
    public_address: str  # ADDRESS:PORT for clients; empty for core nodes


class KeepAlive(typing.NamedTuple):
    """Shows that the sender is running; there is no reply."""

    number: int  # always 0


# Consensus registers, between core nodes (docs/register.md).


class Prepare(typing.NamedTuple):
    """Phase 1 of a proposal."""

    number: int
    register: str
    ballot: Ballot
    known: Ballot  # accepted ballot whose value the proposer already has; the reply omits that value


class Promise(typing.NamedTuple):
    """Reply to `Prepare`: a promise, or a refusal if `is_granted` is false."""

    number: int
    register: str
    is_granted: bool
    incarnation: str  # of the acceptor; an `Accept` must contain the same one
    promised: Ballot
    accepted: Ballot
    revision: int
    value: bytes  # empty if the proposer already has it


class Accept(typing.NamedTuple):
    """Phase 2 of a proposal."""

    number: int
    register: str
    ballot: Ballot
    incarnation: str  # of the acceptor that promised
    revision: int
    value: bytes


class Accepted(typing.NamedTuple):
    """Reply to `Accept`: whether the value was accepted."""

    number: int
    register: str
    is_granted: bool
    ballot: Ballot  # the accepted one; in a refusal, the one that the acceptor has promised


class Chosen(typing.NamedTuple):
    """Announces to the other members that a majority accepted a value."""

    register: str
    ballot: Ballot
    revision: int


class QuorumRead(typing.NamedTuple):
    """Requests the accepted value; the receiver makes no promise."""

    number: int
    register: str
    known: Ballot  # accepted ballot whose value the reader already has


class QuorumReadReply(typing.NamedTuple):
    """Reply to `QuorumRead`."""

    number: int
    register: str
    is_voter: bool
    promised: Ballot
    accepted: Ballot
    revision: int
    value: bytes  # empty if the reader already has it


class CatchUpFence(typing.NamedTuple):
    """The request of a learner for one register, a row of `CatchUpRequest`."""

    register: str
    fence: Ballot  # the voter promises it before it replies; `NO_BALLOT`: no promise is requested
    known: Ballot  # accepted ballot whose value the learner already has


class CatchUpRequest(typing.NamedTuple):
    """Request of a learner for the registers of a voter (docs/register.md 4)."""

    number: int
    fences: tuple[CatchUpFence, ...]


class RegisterRow(typing.NamedTuple):
    """The state of one register at an acceptor."""

    register: str
    promised: Ballot
    accepted: Ballot
    revision: int
    value: bytes


class CatchUpReply(typing.NamedTuple):
    """Reply to `CatchUpRequest`."""

    number: int
    is_voter: bool
    rows: tuple[RegisterRow, ...]


# Distribution of versioned topics (docs/scale.md 2).


class TopicVersion(typing.NamedTuple):
    """A topic and one of its versions."""

    topic: str
    version: Version


class Announcement(typing.NamedTuple):
    """Announces the newest versions that a publisher has."""

    versions: tuple[TopicVersion, ...]


class RegisterRevision(typing.NamedTuple):
    """A register and its newest revision on a core node's disk."""

    register: str
    revision: int


class MinimumVersions(typing.NamedTuple):
    """The register revisions on a core node's disk.

    A starting proxy must reach the highest ones reported by a majority of core nodes (docs/design.md 5).
    """

    revisions: tuple[RegisterRevision, ...]


class Fetch(typing.NamedTuple):
    """Request of a subscriber for the newest version of a topic."""

    topic: str
    known: Version  # the version that the subscriber has; `NO_VERSION`: none


class Snapshot(typing.NamedTuple):
    """Reply to `Fetch`: the complete value."""

    topic: str
    version: Version
    data: bytes


class Delta(typing.NamedTuple):
    """The change from the previous version to this one."""

    version: Version
    data: bytes


class Deltas(typing.NamedTuple):
    """Reply to `Fetch`: the changes since the version that the subscriber has."""

    topic: str
    base: Version  # the version that the first delta applies to
    deltas: tuple[Delta, ...]


class Acknowledgement(typing.NamedTuple):
    """The versions that a subscriber has installed."""

    versions: tuple[TopicVersion, ...]


# Leases between core nodes, and from core nodes to proxies (docs/control.md 2, docs/design.md 8).


class NodeState(typing.NamedTuple):
    """Readiness and draining state of the sender, sent when either changes."""

    is_ready: bool
    is_draining: bool


class RenewShares(typing.NamedTuple):
    """Request of a proxy for its share of the limits; reports the requests that it admitted."""

    number: int
    usage_rows: bytes  # decoded by `ploverward.common.tenant_usage`


class ShareLease(typing.NamedTuple):
    """Reply to `RenewShares`: shares of the limits that apply to all machines together (docs/design.md 8)."""

    slack_share: float  # share of the retry slack, 0 to 1
    rate_share: float  # share of the rates, 0 to 1
    duration_s: float  # from the time when the renewal was sent
    core_share: float  # share of every limit that this core node owns, 0 to 1
    slot: int  # the proxy's rate slot: selects the replicas in warm-up to which it may send
    slot_count: int  # number of rate slots of all proxies; 0: the proxy has no slot
    number: int


class Heartbeat(typing.NamedTuple):
    """Request to renew the sender's contact with a majority of the core set."""

    number: int
    core_set_version: int


class HeartbeatReply(typing.NamedTuple):
    """Reply to `Heartbeat`."""

    number: int
    core_set_version: int
    configuration_version: int  # the newest one that the sender of the reply has accepted


class QuotaStatus(typing.NamedTuple):
    """Additional reply to `RenewShares` if there are tenants (docs/quotas.md, docs/keys.md)."""

    number: int
    configuration_version: int  # the newest one known to be chosen
    age_s: float  # for how many seconds before this reply a newer one may have been acknowledged
    proxy_count: int
    credit_rows: bytes  # decoded by `ploverward.common.tenant_usage`


# Roll-outs: between proxies and the coordinator (docs/rollouts.md 3, 4).


class RolloutEvidence(typing.NamedTuple):
    """Request outcomes of the roll-outs in progress, counted by a proxy."""

    number: int
    reports: bytes  # decoded by `ploverward.common.rollout_evidence`


class RolloutLeases(typing.NamedTuple):
    """Reply to `RolloutEvidence`: the share of its traffic that the proxy may send to new versions."""

    number: int
    duration_s: float  # from the time when the evidence was sent
    report_interval: int  # number of heartbeats from one report to the next
    leases: bytes  # decoded by `ploverward.control_plane.rollouts.leases`


# Usage counts and custody trails: between proxies and core nodes (docs/residency.md).


class UsageCount(typing.NamedTuple):
    """Number of requests of one tenant that began to run at replicas in one window, counted by one proxy."""

    window: int
    tenant: str
    requests: int


class UsageCounts(typing.NamedTuple):
    """Counts that changed since the last message, from a proxy to the coordinator; each count is cumulative."""

    counted_until: float  # by the proxy's wall clock, in seconds since 1970
    counts: tuple[UsageCount, ...]


class CustodyTrail(typing.NamedTuple):
    """The custody trail of one request, recorded by a proxy."""

    request_id: str
    trail: bytes  # JSON


class CustodyTrails(typing.NamedTuple):
    """A batch of custody trails from one proxy."""

    node: str
    incarnation: str
    number: int
    is_last: bool
    trails: tuple[CustodyTrail, ...]


class PromptHash(typing.NamedTuple):
    """The hash of one part of a prompt."""

    full_hash: bytes


class FindCacheOwners(typing.NamedTuple):
    """Request of a core node for the replicas that have any of these prompt parts in their caches."""

    number: int
    service: str
    model: str
    hashes: tuple[PromptHash, ...]


class CacheOwner(typing.NamedTuple):
    """A replica that has a prompt part in its cache, and its zone."""

    replica: str
    zone: str


class CacheOwners(typing.NamedTuple):
    """Reply to `FindCacheOwners`."""

    number: int
    owners: tuple[CacheOwner, ...]


# Load reports: between proxies, the digest of their zone and the gateway of their region (docs/digest.md,
# docs/scale.md 3).


class JoinDigest(typing.NamedTuple):
    """Request of a proxy to join the digest of its zone."""

    epoch: int
    address: str


class DigestJoined(typing.NamedTuple):
    """Reply to `JoinDigest` and `JoinGateway`: the sender was admitted as a member."""

    epoch: int


class JoinGateway(typing.NamedTuple):
    """Request of a digest to join the gateway of its region."""

    epoch: int  # of the relay
    digest: str  # name of the digest's singleton role
    digest_epoch: int


class LoadReport(typing.NamedTuple):
    """Loads and prompt reads that a member of a digest reports."""

    number: int
    load_rows: bytes
    read_rows: bytes


class ReportCredited(typing.NamedTuple):
    """Confirms that the loads that a region's relay publishes include the member's reports up to this one."""

    region: str
    number: int


class RelayedFrame(typing.NamedTuple):
    """A frame of a region's relay, forwarded unchanged."""

    region: str
    frame: bytes


class RegionLost(typing.NamedTuple):
    """Notifies members that the stream of a region's relay broke at their digest."""

    region: str


class FollowReplicas(typing.NamedTuple):
    """Selects the replicas whose loads a member receives."""

    follows_all: bool
    key_rows: bytes  # keys of the replicas, if not all


class AdapterCount(typing.NamedTuple):
    """Adapter counts of one proxy for one window (docs/pins.md 3)."""

    node: str
    zone: str
    region: str
    incarnation: str
    window: int
    number: int
    counts: bytes


class AdapterCounts(typing.NamedTuple):
    """Adapter counts of several proxies, collected by their digest."""

    counts: tuple[AdapterCount, ...]


class Subscribe(typing.NamedTuple):
    """Request of a digest to subscribe to the relay of a region."""

    epoch: int
    region: str
    zone: str  # identifies the digest: name of its singleton role, or its zone if it serves a single proxy
    zone_epoch: int  # epoch of the digest


class Aggregates(typing.NamedTuple):
    """Loads and prompt reads of all members of a digest, sent to a relay."""

    number: int
    load_rows: bytes
    read_rows: bytes


class AggregatesCounted(typing.NamedTuple):
    """Confirms that the loads that the relay publishes include the subscriber's aggregates up to this number."""

    number: int


# KV DC Relay: from the relay of a region to its subscribers (docs/relay.md).


class Pool(typing.NamedTuple):
    """A live generation of a pool."""

    name: str
    service: str
    model: str
    generation: int
    owner_bit_rows: bytes


class Catalogue(typing.NamedTuple):
    """All live pools of a relay."""

    epoch: int
    pools: tuple[Pool, ...]


class PoolCut(typing.NamedTuple):
    """A complete image of a pool's filter; later deltas apply to it."""

    pool: str
    generation: int
    bucket_count: int
    words: int  # 32-bit words of owner bits in each slot; 0: slots have owner tags instead
    bucket_rows: bytes


class PoolDelta(typing.NamedTuple):
    """Changed buckets of a pool's filter."""

    pool: str
    generation: int
    bucket_rows: bytes


class PoolWithdrawn(typing.NamedTuple):
    """Announces that a generation of a pool has ended."""

    pool: str
    generation: int


class ReplicaLoads(typing.NamedTuple):
    """Loads of replicas, summed over all proxies."""

    epoch: int
    is_snapshot: bool  # whether these loads replace all earlier ones
    load_rows: bytes


# Witness queries between core nodes: whether others can still reach a coordinator that the sender has lost
# (docs/control.md 7).


class WitnessRequest(typing.NamedTuple):
    """Request for whether the receiver can reach a core node to which the sender has lost its connection."""

    address: str


class WitnessReply(typing.NamedTuple):
    """Reply to `WitnessRequest`."""

    address: str
    is_live: bool  # whether the sender of the reply is connected to that node and has received messages from it


# Tallies, between core nodes (docs/tallies.md 3). The node that opened a connection sends its adds on it; the other
# side replies on the same connection with the positions that it has on its disk.


class TallyLogName(typing.NamedTuple):
    """Identifies a log of adds. Each start of each core node writes its own log."""

    origin: str  # IP address of the node
    incarnation: str  # of the node's process


class TallyPosition(typing.NamedTuple):
    """The position up to which a node has a log, or has folded it."""

    log: TallyLogName
    position: int


class TallyAdd(typing.NamedTuple):
    """One add to one tally."""

    tally: str
    add_id: str  # chosen by the caller; a retried add has the same one
    amount: int


class TallyTotal(typing.NamedTuple):
    """The sum of all folded adds of one tally."""

    tally: str
    total: int


class TallyPositionsRequest(typing.NamedTuple):
    """Request for the positions on the receiver's disk, now and whenever they change."""

    number: int  # always 0


class TallyPositions(typing.NamedTuple):
    """Positions of the logs on the sender's disk."""

    is_complete: bool  # whether all logs are listed; otherwise only those that changed
    positions: tuple[TallyPosition, ...]


class TallyAdds(typing.NamedTuple):
    """Consecutive adds of one log; also a record type of the tally file."""

    log: TallyLogName
    first: int  # position of the first add; positions start at 1
    adds: tuple[TallyAdd, ...]


class TallySnapshot(typing.NamedTuple):
    """The folded state of the sender; later adds are sent separately. Also a record type of the tally file."""

    positions: tuple[TallyPosition, ...]  # position up to which each log is folded
    totals: tuple[TallyTotal, ...]
    counted: tuple[TallyAdd, ...]  # adds that are in the totals and also occur in the adds sent later

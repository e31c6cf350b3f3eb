"""The messages that nodes send to each other, one type a frame (docs/design.md 2, 4, 5).

`ploverward.transport.frames` encodes them; the order of the fields here is their order on the wire. They are named
tuples and not dataclasses: creating the fifty types as frozen, slotted dataclasses adds 30 ms to the start of every
process.

Three kinds of field occur in several messages: `number` is chosen by the sender of a request and comes back in the
reply, so that a late reply is never taken for that of a newer request; `epoch` is that of the singleton role under
which a node acts (docs/control.md 1); fields named `rows` or `..._rows` are blobs that
`ploverward.transport.row_codec` reads.
"""

import typing

from ploverward.common.identifiers import Ballot
from ploverward.common.identifiers import Version

# Every connection.


class Handshake(typing.NamedTuple):
    """The first message of each side: who it is."""

    role: str  # "core" or "proxy"
    address: str  # IP address of the node
    zone: str
    region: str
    incarnation: str  # a new one for each start of the process
    public_address: str  # ADDRESS:PORT that clients reach; empty for core nodes


class KeepAlive(typing.NamedTuple):
    """Shows that the sender is running; it is answered by nothing."""

    number: int  # always 0


# Consensus registers, between core nodes (docs/register.md).


class Prepare(typing.NamedTuple):
    """Phase 1 of a proposal."""

    number: int
    register: str
    ballot: Ballot
    known: Ballot  # accepted ballot whose value the proposer has already; the reply leaves that value out


class Promise(typing.NamedTuple):
    """Reply to `Prepare`."""

    number: int
    register: str
    is_granted: bool
    incarnation: str  # of the acceptor; an `Accept` has to name it
    promised: Ballot
    accepted: Ballot
    revision: int
    value: bytes  # empty where the proposer has it


class Accept(typing.NamedTuple):
    """Phase 2 of a proposal."""

    number: int
    register: str
    ballot: Ballot
    incarnation: str  # of the acceptor that promised
    revision: int
    value: bytes


class Accepted(typing.NamedTuple):
    """Reply to `Accept`."""

    number: int
    register: str
    is_granted: bool
    ballot: Ballot  # the accepted one, or the one that stood in the way


class Chosen(typing.NamedTuple):
    """A value that a majority accepted, announced to the other members."""

    register: str
    ballot: Ballot
    revision: int


class QuorumRead(typing.NamedTuple):
    """Asks for the accepted value; nothing is promised."""

    number: int
    register: str
    known: Ballot  # accepted ballot whose value the reader has already


class QuorumReadReply(typing.NamedTuple):
    """Reply to `QuorumRead`."""

    number: int
    register: str
    is_voter: bool
    promised: Ballot
    accepted: Ballot
    revision: int
    value: bytes  # empty where the reader has it


class CatchUpFence(typing.NamedTuple):
    """What a learner asks of one register."""

    register: str
    fence: Ballot  # to be promised before the reply; `NO_BALLOT` asks for no promise
    known: Ballot  # accepted ballot whose value the learner has already


class CatchUpRequest(typing.NamedTuple):
    """A learner asks a voter for its registers (docs/register.md 4)."""

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
    """A topic and a version of it."""

    topic: str
    version: Version


class Announcement(typing.NamedTuple):
    """The newest versions that a publisher has."""

    versions: tuple[TopicVersion, ...]


class RegisterRevision(typing.NamedTuple):
    """A register and its newest revision on a disk."""

    register: str
    revision: int


class MinimumVersions(typing.NamedTuple):
    """The revisions on a core node's disk: a proxy that starts must reach the highest ones of a majority (design 5)."""

    revisions: tuple[RegisterRevision, ...]


class Fetch(typing.NamedTuple):
    """A subscriber asks for the newest version of a topic."""

    topic: str
    known: Version  # the version that the subscriber has; `NO_VERSION` for none


class Snapshot(typing.NamedTuple):
    """Reply to `Fetch`: the complete value."""

    topic: str
    version: Version
    data: bytes


class Delta(typing.NamedTuple):
    """How to get from the version before to this one."""

    version: Version
    data: bytes


class Deltas(typing.NamedTuple):
    """Reply to `Fetch`: what changed since the version that the subscriber has."""

    topic: str
    base: Version  # the version that the first delta applies to
    deltas: tuple[Delta, ...]


class Acknowledgement(typing.NamedTuple):
    """The versions that a subscriber has installed."""

    versions: tuple[TopicVersion, ...]


# Leases, between core nodes and from core nodes to proxies (docs/control.md 2, design 8).


class NodeState(typing.NamedTuple):
    """How the sender stands, sent when that changes."""

    is_ready: bool
    is_draining: bool


class RenewShares(typing.NamedTuple):
    """A proxy asks a core node for its share of the limits, and reports what it admitted."""

    number: int
    usage_rows: bytes  # `ploverward.common.tenant_usage`


class ShareLease(typing.NamedTuple):
    """Reply to `RenewShares`: shares of the limits that hold over all machines (design 8)."""

    slack_share: float  # of the retry slack, 0 to 1
    rate_share: float  # of the rates, 0 to 1
    duration_s: float  # counted from when the renewal was sent
    core_share: float  # the part of every limit that this core node owns, 0 to 1
    slot: int  # of the rate slots of replicas that are warming up
    slot_count: int  # 0: there are none
    number: int


class Heartbeat(typing.NamedTuple):
    """Renews the sender's contact with a majority of the core set."""

    number: int
    core_set_version: int


class HeartbeatReply(typing.NamedTuple):
    """Reply to `Heartbeat`."""

    number: int
    core_set_version: int
    configuration_version: int  # the newest one that the replying node accepted


class QuotaStatus(typing.NamedTuple):
    """Reply to `RenewShares` where there are tenants (docs/quotas.md, docs/keys.md)."""

    number: int
    configuration_version: int  # the newest one known as chosen
    age_s: float  # for how long no newer one may have been acknowledged
    proxy_count: int
    credit_rows: bytes  # `ploverward.common.tenant_usage`


# Roll-outs: proxies and the coordinator (docs/rollouts.md 3, 4).


class RolloutEvidence(typing.NamedTuple):
    """What a proxy counted of the roll-outs in progress."""

    number: int
    reports: bytes  # `ploverward.common.rollout_evidence`


class RolloutLeases(typing.NamedTuple):
    """Reply to `RolloutEvidence`: how much of its traffic the proxy may send to new versions."""

    number: int
    duration_s: float  # counted from when the evidence was sent
    report_interval: int  # heartbeats between two reports
    leases: bytes  # `ploverward.control_plane.rollouts.leases`


# Custody trails: proxies and core nodes (docs/residency.md).


class UsageCount(typing.NamedTuple):
    """Requests of one tenant that began to run at replicas in one window, counted by one proxy."""

    window: int
    tenant: str
    requests: int


class UsageCounts(typing.NamedTuple):
    """From a proxy to the coordinator: counts that changed; each is cumulative."""

    counted_until: float  # by the proxy's time of day, in seconds since 1970
    counts: tuple[UsageCount, ...]


class CustodyTrail(typing.NamedTuple):
    """What a proxy knows of one request."""

    request_id: str
    trail: bytes  # JSON


class CustodyTrails(typing.NamedTuple):
    """A batch of trails."""

    node: str
    incarnation: str
    number: int
    is_last: bool
    trails: tuple[CustodyTrail, ...]


class PromptHash(typing.NamedTuple):
    """The hash of one part of a prompt."""

    full_hash: bytes


class FindCacheOwners(typing.NamedTuple):
    """A core node asks which replicas have any of these parts in their caches."""

    number: int
    service: str
    model: str
    hashes: tuple[PromptHash, ...]


class CacheOwner(typing.NamedTuple):
    """A replica and its zone."""

    replica: str
    zone: str


class CacheOwners(typing.NamedTuple):
    """Reply to `FindCacheOwners`."""

    number: int
    owners: tuple[CacheOwner, ...]


# Load reports: proxies, the digest of their zone, the gateway of their region (docs/digest.md, docs/scale.md 3).


class JoinDigest(typing.NamedTuple):
    """A proxy joins the digest of its zone."""

    epoch: int
    address: str


class DigestJoined(typing.NamedTuple):
    """Reply to `JoinDigest` and `JoinGateway`."""

    epoch: int


class JoinGateway(typing.NamedTuple):
    """A digest joins the gateway of its region."""

    epoch: int  # of the relay
    digest: str  # the singleton role of the digest
    digest_epoch: int


class LoadReport(typing.NamedTuple):
    """What a member has running, to its digest."""

    number: int
    load_rows: bytes
    read_rows: bytes


class ReportCredited(typing.NamedTuple):
    """The loads that a region's relay publishes contain the member's reports up to this one."""

    region: str
    number: int


class RelayedFrame(typing.NamedTuple):
    """A frame of a region's relay, passed on unchanged."""

    region: str
    frame: bytes


class RegionLost(typing.NamedTuple):
    """The stream of a region's relay broke at the digest."""

    region: str


class FollowReplicas(typing.NamedTuple):
    """Which replicas' loads a member wants."""

    follows_all: bool
    key_rows: bytes  # keys of replicas, where it doesn't want all


class AdapterCount(typing.NamedTuple):
    """What one proxy counted of adapters in one window (docs/pins.md 3)."""

    node: str
    zone: str
    region: str
    incarnation: str
    window: int
    number: int
    counts: bytes


class AdapterCounts(typing.NamedTuple):
    """Counts of several proxies, by way of their digest."""

    counts: tuple[AdapterCount, ...]


class Subscribe(typing.NamedTuple):
    """A digest subscribes to the relay of a region."""

    epoch: int
    region: str
    zone: str
    zone_epoch: int  # of the digest


class Aggregates(typing.NamedTuple):
    """What all members of a digest have running, to a relay."""

    number: int
    load_rows: bytes
    read_rows: bytes


class AggregatesCounted(typing.NamedTuple):
    """The loads that the relay publishes contain the subscriber's aggregates up to these."""

    number: int


# KV DC Relay: the relay of a region to its subscribers (docs/relay.md).


class Pool(typing.NamedTuple):
    """A live pool generation."""

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
    """A complete image of a pool's filter, from which deltas go on."""

    pool: str
    generation: int
    bucket_count: int
    words: int  # of 32 bits that each slot has for its owners; 0: tags instead
    bucket_rows: bytes


class PoolDelta(typing.NamedTuple):
    """Buckets of a pool's filter that changed."""

    pool: str
    generation: int
    bucket_rows: bytes


class PoolWithdrawn(typing.NamedTuple):
    """A pool generation that ended."""

    pool: str
    generation: int


class ReplicaLoads(typing.NamedTuple):
    """Loads of replicas, summed over all proxies."""

    epoch: int
    is_snapshot: bool  # whether they replace all loads sent before
    load_rows: bytes


# Who hears a lost coordinator, between core nodes (docs/control.md 7).


class WitnessRequest(typing.NamedTuple):
    """Asks whether the receiver hears a core node that the sender has lost."""

    address: str


class WitnessReply(typing.NamedTuple):
    """Reply to `WitnessRequest`."""

    address: str
    is_live: bool  # whether the sender of the reply is connected to it and has heard it


# Tallies, between core nodes (docs/tallies.md 3). The node that dialed a connection sends its adds on it; the other
# side answers on the same connection with what it has on its disk.


class TallyLogName(typing.NamedTuple):
    """The log of adds that one start of one core node writes."""

    origin: str  # IP address of the node
    incarnation: str  # of its process


class TallyPosition(typing.NamedTuple):
    """How much of a log a node has, or has folded."""

    log: TallyLogName
    position: int


class TallyAdd(typing.NamedTuple):
    """One add to one tally."""

    tally: str
    add_id: str  # chosen by the caller; an add that comes again has the same
    amount: int


class TallyTotal(typing.NamedTuple):
    """The sum of the folded adds of one tally."""

    tally: str
    total: int


class TallyPositionsRequest(typing.NamedTuple):
    """Asks for the positions on the other node's disk, now and whenever they change."""

    number: int  # always 0


class TallyPositions(typing.NamedTuple):
    """What is on the sender's disk."""

    is_complete: bool  # whether all logs are named; otherwise those that changed
    positions: tuple[TallyPosition, ...]


class TallyAdds(typing.NamedTuple):
    """Adds of one log, in order; also a record of the file."""

    log: TallyLogName
    first: int  # position of the first of them, from 1
    adds: tuple[TallyAdd, ...]


class TallySnapshot(typing.NamedTuple):
    """What the sender has folded; adds behind it follow. Also a record of the file."""

    positions: tuple[TallyPosition, ...]  # up to where each log is folded
    totals: tuple[TallyTotal, ...]
    counted: tuple[TallyAdd, ...]  # ids that are in the totals and stand in adds that follow, too

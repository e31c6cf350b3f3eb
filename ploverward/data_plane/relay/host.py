"""The relay of a region, on the node that owns the singleton role (docs/relay.md 1, 5).

It receives the aggregates of digests, one row for each replica whose counts changed (docs/digest.md 2), and publishes
pools and loads to digests, which forward them unchanged.

A `RelayHost` owns its subscribers and the totals of their loads. It has one epoch; for a new epoch a new host is
created, with new generations. Invariant: a total is the sum of the connected subscribers' newest loads.
"""

import dataclasses
import logging
import math
from collections.abc import Callable
from collections.abc import Iterable

from ploverward.common import errors
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import hub
from ploverward.data_plane.relay import load_feed
from ploverward.data_plane.relay import outcomes
from ploverward.data_plane.relay import pool_registry
from ploverward.data_plane.relay import resolution
from ploverward.data_plane.relay.load_counts import NO_LOAD
from ploverward.data_plane.relay.load_counts import LoadCounts
from ploverward.data_plane.relay.load_counts import LoadTotal
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import peer_connection
from ploverward.transport import row_codec

_log = logging.getLogger(__name__)

REMOTE_PUBLICATION_TICKS = 2  # ticks between two publications to other regions, whose bytes are priced
MIN_LOAD_ROWS = 16  # limit of the load rows published at a time, however small the region is
LOAD_ROWS_SHARE = 1 / 16  # the same limit in a large region, as a share of its replicas
LOCAL_BUCKETS_PER_TICK = 8  # buckets of each pool's filter published at a time to this region, at most
REMOTE_BUCKETS_PER_PUBLICATION = 6  # the same, to other regions


@dataclasses.dataclass(slots=True)
class Subscriber:
    """A digest, or the gateway of another region, that receives what the relay publishes."""

    is_remote: bool  # whether it is in another region
    zone: str  # zone of the digest, or the name of its singleton role
    zone_epoch: int  # epoch of that role; 0: the digest serves one proxy alone
    loads: dict[bytes, LoadCounts] = dataclasses.field(default_factory=dict)  # by replica key
    newest_batch: int = 0  # number of its newest batch of aggregates that is in the totals
    acknowledged_batch: int = 0  # number of the newest batch that was acknowledged to it


class RelayHost:
    """One relay under one epoch of its singleton role.

    Args:
        region: Name of its own region.
        epoch: Epoch of the singleton role.
        now: Clock of the event loop, in seconds.
        suspicion_s: Seconds for which a replica that does not respond is suspected; failing replicas are ejected for
            multiples of it.
    """

    def __init__(self, *, region: str, epoch: int, now: Callable[[], float], suspicion_s: float) -> None:
        self.region = region
        self.epoch = epoch
        self.registry = pool_registry.PoolRegistry(
            on_withdraw=self._broadcast_withdrawn,
            on_catalogue=self._broadcast_catalogue,
            first_generation=epoch * 1000000,
        )
        self.subscribers: dict[peer_connection.PeerConnection, Subscriber] = {}
        self._totals: dict[bytes, LoadTotal] = {}  # by replica key
        self._outlier_detector = outcomes.OutlierDetector(now=now, suspicion_s=suspicion_s)
        self._zone_epochs: dict[str, int] = {}  # zone: newest epoch of its digest
        self._feeds = {False: load_feed.LoadFeed(), True: load_feed.LoadFeed()}  # by `Subscriber.is_remote`
        self._capacities: dict[bytes, load_feed.Capacity] = {}  # by replica key
        self._ticks = 0
        self._sent: set[str] = set()  # ids of replicas that were sent requests
        self._ids: dict[bytes, str] = {}  # by replica key
        self._replicas: list[dict] = []
        self._services: dict[str, dict] = {}

    def sync(self, *, services: dict[str, dict], replicas: list[dict]) -> None:
        """Applies a changed configuration or endpoint list.

        Args:
            services: Services of the configuration by name, each with `models` and `cache_tokens`.
            replicas: Rows of the endpoint list.
        """
        self._services = services
        self._replicas = replicas
        self._ids = {row_codec.replica_key(row["id"]): row["id"] for row in replicas}
        self._capacities = {
            row_codec.replica_key(row["id"]): load_feed.Capacity(
                batch_slots=row.get("berths", 0), tokens=services.get(row["service"], {}).get("cache_tokens", 1)
            )
            for row in replicas
        }
        self._sent &= set(self._ids.values())
        self._outlier_detector.retain(keys=self._ids)
        self._resolve()

    def _resolve(self) -> None:
        pools, conflicts = resolution.resolve(
            region=self.region, services=self._services, replicas=self._replicas, sent=self._sent
        )
        self.registry.sync(resolved=pools, conflicts=conflicts)
        self._join_new_pools()

    def _join_new_pools(self) -> None:
        for pool in self.registry.pools.values():
            new = {is_remote for is_remote in (False, True) if is_remote not in pool.hubs}
            for connection, subscriber in list(self.subscribers.items()):
                if subscriber.is_remote in new:
                    self.registry.join(pool=pool, connection=connection, is_remote=subscriber.is_remote)

    # Publication.
    def _broadcast(
        self, message: tuple, *, connections: Iterable[peer_connection.PeerConnection] | None = None
    ) -> None:
        """Sends a message, packed once, to all or some subscribers.

        If a subscriber does not read and its queue overflows, only its own connection is closed.
        """
        frame = frames.pack(message)
        for connection in list(self.subscribers if connections is None else connections):
            if connection.queued() > hub.QUEUE_LIMIT_BYTES:
                connection.close(reason="relay queue overflow")
                continue
            connection.send_bytes(frame)

    def _broadcast_withdrawn(self, pool: pool_registry.Pool) -> None:
        self._broadcast(messages.PoolWithdrawn(pool.name, pool.generation))

    def _catalogue(self) -> messages.Catalogue:
        return messages.Catalogue(self.epoch, self.registry.rows())

    def _broadcast_catalogue(self) -> None:
        self._broadcast(self._catalogue())

    def tick(self) -> None:
        """Publishes what changed since the last tick; to other regions every `REMOTE_PUBLICATION_TICKS` ticks."""
        self.registry.grow_filters()
        self._join_new_pools()
        self._ticks += 1
        for key in self._outlier_detector.update():
            _log.debug(
                "replica_outcomes_changed",
                extra={"replica": self._ids.get(key, ""), "is_failing": key in self._outlier_detector.failing},
            )
            self._record_change(key)
        self._publish(is_remote=False)
        if self._ticks % REMOTE_PUBLICATION_TICKS == 0:
            self._publish(is_remote=True)

    def _publish(self, *, is_remote: bool) -> None:
        """Sends buckets, acknowledgements and loads to the subscribers in this region, or to those in other regions."""
        self.registry.flush(
            is_remote=is_remote, most=REMOTE_BUCKETS_PER_PUBLICATION if is_remote else LOCAL_BUCKETS_PER_TICK
        )
        connections = [
            connection for connection, subscriber in self.subscribers.items() if subscriber.is_remote == is_remote
        ]
        for connection in connections:
            subscriber = self.subscribers[connection]
            if subscriber.newest_batch != subscriber.acknowledged_batch:
                subscriber.acknowledged_batch = subscriber.newest_batch
                connection.send(messages.AggregatesCounted(subscriber.newest_batch))
        if connections:
            most = max(MIN_LOAD_ROWS, math.ceil(len(self._ids) * LOAD_ROWS_SHARE))
        else:  # without subscribers no rows are held back for later
            most = len(self._ids) + len(self._totals)
        rows = self._feeds[is_remote].next_rows(load_of=self._load_of, capacity_of=self._capacity_of, most=most)
        if rows and connections:
            loads = messages.ReplicaLoads(self.epoch, is_snapshot=False, load_rows=rows)
            self._broadcast(loads, connections=connections)

    def _capacity_of(self, key: bytes) -> load_feed.Capacity:
        return self._capacities.get(key, load_feed.UNKNOWN_CAPACITY)

    def _load_of(self, key: bytes) -> load_feed.Load:
        flags = load_feed.FAILING if key in self._outlier_detector.failing else 0
        total = self._totals.get(key)
        if total is None:
            return load_feed.Load(flags=flags) if flags else load_feed.NO_LOAD
        batch_slots = self._capacity_of(key).batch_slots
        if batch_slots and total.running >= batch_slots * load_feed.FULL_LOAD_SHARE:
            flags |= load_feed.FULL
        return load_feed.Load(
            row_codec.clamp_uint16(total.running),
            row_codec.clamp_uint32(total.prefill_tokens),
            row_codec.clamp_uint16(total.suspect_count),
            flags,
        )

    # Subscribers.
    def subscribe(
        self, connection: peer_connection.PeerConnection, *, region: str, zone: str = "", zone_epoch: int = 0
    ) -> None:
        """Starts a stream to a digest, or closes the connection if a newer epoch of the same zone subscribed before.

        Streams of older epochs of the same zone are closed.

        Args:
            connection: Connection to the digest.
            region: Region of the digest.
            zone: Zone of the digest, or the name of its singleton role.
            zone_epoch: Epoch of that role; 0: the digest serves one proxy alone.
        """
        if zone_epoch and not self._fence_older(connection, zone, zone_epoch):
            return
        is_remote = region != self.region
        self.subscribers[connection] = Subscriber(is_remote=is_remote, zone=zone, zone_epoch=zone_epoch)
        self._broadcast(self._catalogue(), connections=[connection])
        for pool in self.registry.pools.values():
            self.registry.join(pool=pool, connection=connection, is_remote=is_remote)
        loads = messages.ReplicaLoads(self.epoch, is_snapshot=True, load_rows=self._feeds[is_remote].snapshot())
        self._broadcast(loads, connections=[connection])

    def _fence_older(self, connection: peer_connection.PeerConnection, zone: str, zone_epoch: int) -> bool:
        """Closes the streams of older epochs of a zone's digest.

        Returns:
            False if this epoch is itself older than the newest one; then its connection is closed.
        """
        if zone_epoch < self._zone_epochs.get(zone, 0):
            connection.close(reason=f"digest of {zone}: epoch {zone_epoch} is older than the newest one")
            return False
        self._zone_epochs[zone] = zone_epoch
        for other, subscriber in list(self.subscribers.items()):
            if subscriber.zone == zone and 0 < subscriber.zone_epoch < zone_epoch and other is not connection:
                other.close(reason=f"digest of {zone}: replaced by epoch {zone_epoch}")
        return True

    def remove(self, connection: peer_connection.PeerConnection) -> None:
        """Removes a subscriber whose connection ended, and subtracts its loads from the totals."""
        subscriber = self.subscribers.pop(connection, None)
        for pool in self.registry.pools.values():
            pool.leave(connection)
        if subscriber is not None:
            for key, load in subscriber.loads.items():
                self._adjust_total(key, before=load, load=NO_LOAD)

    # Aggregates.
    def handle_aggregates(self, connection: peer_connection.PeerConnection, message: messages.Aggregates) -> None:
        """Applies a batch of aggregates from a digest; ignores it if the connection does not subscribe.

        Raises:
            FrameError: The batch is malformed, or not newer than the last one; nothing was changed.
        """
        subscriber = self.subscribers.get(connection)
        if subscriber is None:
            return
        rows = row_codec.rows(shape=row_codec.REPORTED_LOAD_ROW, data=message.load_rows)
        reads = [
            row_codec.unpack_read(data=packed) for _region, packed in row_codec.split_reads(data=message.read_rows)
        ]
        if message.number <= subscriber.newest_batch:
            raise errors.FrameError(
                f"batch {message.number} is not newer than batch {subscriber.newest_batch}", step="aggregates"
            )
        is_new = False
        for key, _region, running, prefill_tokens, suspect_count, ended, failed in rows:
            self._set_load(subscriber, key, LoadCounts(running, prefill_tokens, suspect_count))
            replica_id = self._ids.get(key)
            if replica_id is None:
                continue
            if ended:
                self._outlier_detector.record(key=key, ended=ended, failed=failed)
            if replica_id not in self._sent:
                self._sent.add(replica_id)
                is_new = True
        subscriber.newest_batch = message.number
        if is_new:
            self._resolve()
        for key, domain, parts in reads:
            self._handle_read(key, domain.hex(), parts)

    def _set_load(self, subscriber: Subscriber, key: bytes, load: LoadCounts) -> None:
        before = subscriber.loads.get(key, NO_LOAD)
        if load == before:
            return
        self._adjust_total(key, before=before, load=load)
        if load == NO_LOAD:
            del subscriber.loads[key]
        else:
            subscriber.loads[key] = load

    def _adjust_total(self, key: bytes, *, before: LoadCounts, load: LoadCounts) -> None:
        total = self._totals.get(key)
        if total is None:
            total = self._totals[key] = LoadTotal()
        total.replace(before, load)
        if total.is_zero:
            del self._totals[key]
        self._record_change(key)

    def _record_change(self, key: bytes) -> None:
        for feed in self._feeds.values():
            feed.record(key)

    def _handle_read(self, key: bytes, domain: str, parts: tuple) -> None:
        pool = self.registry.find_by_domain(domain=domain)
        replica_id = self._ids.get(key)
        if pool is not None and replica_id in pool.actor.owner_bits:
            pool.actor.record_prompt(replica=replica_id, rows=cuckoo_filter.sequence_hashes(parts=parts))

    def total(self, key: bytes) -> LoadCounts:
        """Returns the load of a replica, summed over all subscribers."""
        total = self._totals.get(key)
        return total.counts() if total is not None else NO_LOAD

    def totals(self) -> dict[bytes, LoadCounts]:
        """Returns the loads summed over all subscribers, by replica key; replicas without load are omitted."""
        return {key: total.counts() for key, total in self._totals.items()}

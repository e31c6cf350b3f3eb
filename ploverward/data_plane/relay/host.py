"""The relay of a region, at the node that owns the singleton role (docs/relay.md 1, 5).

It ingests the aggregates of digests, one row for each replica that changed (docs/digest.md 2), and publishes pools
and loads to digests, which forward them unchanged.

A `Host` owns its subscribers and the totals of their loads. It has one epoch; for a new epoch a new host is made,
with new generations. Invariant: a total is the sum of the connected subscribers' newest loads.
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

FAR_TICKS = 2  # ticks between two publications to other regions, whose bytes are priced
MIN_LOAD_ROWS = 16  # loads published at a time, however small the region is
ROWS_SHARE = 1 / 16  # of the region's replicas: loads published at a time in a large region
NEAR_BUCKETS = 8  # buckets of each pool's filter published at a time in this region
FAR_BUCKETS = 6  # the same, to other regions


@dataclasses.dataclass(slots=True)
class Subscriber:
    """One digest, or the gateway of another region."""

    is_far: bool  # whether it is in another region
    zone: str  # its zone, or the name of its singleton role
    zone_epoch: int  # of that role; 0: it serves one proxy alone
    loads: dict[bytes, LoadCounts] = dataclasses.field(default_factory=dict)  # by replica key
    counted: int = 0  # its newest batch in the totals
    acknowledged: int = 0  # the newest one that was acknowledged to it


class Host:
    """One relay under one epoch.

    Args:
        region: its own.
        epoch: of the singleton role.
        now: the loop's clock, in seconds.
        suspicion_s: for how long a replica that does not respond is suspected; failing ones are ejected for multiples
            of it.
    """

    def __init__(self, *, region: str, epoch: int, now: Callable[[], float], suspicion_s: float) -> None:
        self.region = region
        self.epoch = epoch
        self.registry = pool_registry.Registry(
            on_withdraw=self._broadcast_withdrawn,
            on_catalogue=self._broadcast_catalogue,
            first_generation=epoch * 1000000,
        )
        self.subscribers: dict[peer_connection.PeerConnection, Subscriber] = {}
        self._totals: dict[bytes, LoadTotal] = {}  # by replica key
        self._judge = outcomes.Judge(now=now, suspicion_s=suspicion_s)
        self._zone_epochs: dict[str, int] = {}  # zone: the newest epoch of its digest
        self._feeds = {False: load_feed.LoadFeed(), True: load_feed.LoadFeed()}  # by whether subscribers are far
        self._scales: dict[bytes, load_feed.Scale] = {}  # by replica key
        self._ticks = 0
        self._sent: set[str] = set()  # ids of replicas that were sent requests
        self._ids: dict[bytes, str] = {}  # by replica key
        self._replicas: list[dict] = []
        self._services: dict[str, dict] = {}

    def sync(self, *, services: dict[str, dict], replicas: list[dict]) -> None:
        """The configuration or the list of replicas changed.

        Args:
            services: of the configuration, with `models` and `cache_tokens`, by name.
            replicas: rows of the list.
        """
        self._services = services
        self._replicas = replicas
        self._ids = {row_codec.replica_key(row["id"]): row["id"] for row in replicas}
        self._scales = {
            row_codec.replica_key(row["id"]): load_feed.Scale(
                batch_slots=row.get("berths", 0), tokens=services.get(row["service"], {}).get("cache_tokens", 1)
            )
            for row in replicas
        }
        self._sent &= set(self._ids.values())
        self._judge.keep(keys=self._ids)
        self._resolve()

    def _resolve(self) -> None:
        pools, conflicts = resolution.resolve(
            region=self.region, services=self._services, replicas=self._replicas, sent=self._sent
        )
        self.registry.sync(resolved=pools, conflicts=conflicts)
        self._join_new_pools()

    def _join_new_pools(self) -> None:
        for pool in self.registry.pools.values():
            new = {is_far for is_far in (False, True) if is_far not in pool.hubs}
            for connection, subscriber in list(self.subscribers.items()):
                if subscriber.is_far in new:
                    self.registry.join(pool=pool, connection=connection, is_far=subscriber.is_far)

    # Publication.
    def _broadcast(
        self, message: tuple, *, connections: Iterable[peer_connection.PeerConnection] | None = None
    ) -> None:
        """Sends one frame, packed once. For a subscriber that does not read, only its own stream is closed."""
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
        """Publishes what changed, to other regions in every second tick."""
        self.registry.grow()
        self._join_new_pools()
        self._ticks += 1
        for key in self._judge.update():
            _log.debug(
                "replica_outcomes_changed",
                extra={"replica": self._ids.get(key, ""), "is_failing": key in self._judge.failing},
            )
            self._record_change(key)
        self._publish(is_far=False)
        if self._ticks % FAR_TICKS == 0:
            self._publish(is_far=True)

    def _publish(self, *, is_far: bool) -> None:
        """Sends buckets, acknowledgements and loads to the subscribers of one kind."""
        self.registry.flush(is_far=is_far, most=FAR_BUCKETS if is_far else NEAR_BUCKETS)
        connections = [connection for connection, subscriber in self.subscribers.items() if subscriber.is_far == is_far]
        for connection in connections:
            subscriber = self.subscribers[connection]
            if subscriber.counted != subscriber.acknowledged:
                subscriber.acknowledged = subscriber.counted
                connection.send(messages.AggregatesCounted(subscriber.counted))
        if connections:
            most = max(MIN_LOAD_ROWS, math.ceil(len(self._ids) * ROWS_SHARE))
        else:  # there is no subscriber, so nothing is kept for later
            most = len(self._ids) + len(self._totals)
        rows = self._feeds[is_far].next_rows(load_of=self._load_of, scale_of=self._scale_of, most=most)
        if rows and connections:
            loads = messages.ReplicaLoads(self.epoch, is_snapshot=False, load_rows=rows)
            self._broadcast(loads, connections=connections)

    def _scale_of(self, key: bytes) -> load_feed.Scale:
        return self._scales.get(key, load_feed.NO_SCALE)

    def _load_of(self, key: bytes) -> load_feed.Load:
        flags = load_feed.FAILING if key in self._judge.failing else 0
        total = self._totals.get(key)
        if total is None:
            return load_feed.Load(flags=flags) if flags else load_feed.NO_LOAD
        batch_slots = self._scale_of(key).batch_slots
        if batch_slots and total.running >= batch_slots * load_feed.FULL_SHARE:
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
        """Starts a stream to a digest, or closes the connection.

        The stream of an older epoch of the same zone ends; a later subscriber under an older one is refused.

        Args:
            connection: to the digest.
            region: of the digest.
            zone: of the digest, or the name of its singleton role.
            zone_epoch: of that role; 0: it serves one proxy alone.
        """
        if zone_epoch and not self._fence_older(connection, zone, zone_epoch):
            return
        is_far = region != self.region
        self.subscribers[connection] = Subscriber(is_far=is_far, zone=zone, zone_epoch=zone_epoch)
        self._broadcast(self._catalogue(), connections=[connection])
        for pool in self.registry.pools.values():
            self.registry.join(pool=pool, connection=connection, is_far=is_far)
        loads = messages.ReplicaLoads(self.epoch, is_snapshot=True, load_rows=self._feeds[is_far].snapshot())
        self._broadcast(loads, connections=[connection])

    def _fence_older(self, connection: peer_connection.PeerConnection, zone: str, zone_epoch: int) -> bool:
        """Whether this epoch of the zone's digest is the newest one; streams of older ones are closed."""
        if zone_epoch < self._zone_epochs.get(zone, 0):
            connection.close(reason=f"digest of {zone} under epoch {zone_epoch}")
            return False
        self._zone_epochs[zone] = zone_epoch
        for other, subscriber in list(self.subscribers.items()):
            if subscriber.zone == zone and 0 < subscriber.zone_epoch < zone_epoch and other is not connection:
                other.close(reason="a newer digest of the zone")
        return True

    def remove(self, connection: peer_connection.PeerConnection) -> None:
        """A connection ended: the digest's loads are withdrawn completely."""
        subscriber = self.subscribers.pop(connection, None)
        for pool in self.registry.pools.values():
            pool.leave(connection)
        if subscriber is not None:
            for key, load in subscriber.loads.items():
                self._replace(key, before=load, load=NO_LOAD)

    # Ingest.
    def handle_aggregates(self, connection: peer_connection.PeerConnection, message: messages.Aggregates) -> None:
        """One batch of a digest; one of a connection that does not subscribe is ignored.

        Raises:
            FrameError: it is malformed, or not newer than the last one; nothing was changed.
        """
        subscriber = self.subscribers.get(connection)
        if subscriber is None:
            return
        rows = row_codec.rows(shape=row_codec.REPORTED_LOAD_ROW, data=message.load_rows)
        reads = [row_codec.unpack_read(data=read) for _region, read in row_codec.split_reads(data=message.read_rows)]
        if message.number <= subscriber.counted:
            raise errors.FrameError(f"cut {message.number} after {subscriber.counted}", step="sums")
        is_new = False
        for key, _region, running, prefill_tokens, suspect_count, ended, failed in rows:
            self._count(subscriber, key, LoadCounts(running, prefill_tokens, suspect_count))
            replica_id = self._ids.get(key)
            if replica_id is None:
                continue
            if ended:
                self._judge.record(key=key, ended=ended, failed=failed)
            if replica_id not in self._sent:
                self._sent.add(replica_id)
                is_new = True
        subscriber.counted = message.number
        if is_new:
            self._resolve()
        for key, domain, parts in reads:
            self._handle_read(key, domain.hex(), parts)

    def _count(self, subscriber: Subscriber, key: bytes, load: LoadCounts) -> None:
        before = subscriber.loads.get(key, NO_LOAD)
        if load == before:
            return
        self._replace(key, before=before, load=load)
        if load == NO_LOAD:
            del subscriber.loads[key]
        else:
            subscriber.loads[key] = load

    def _replace(self, key: bytes, *, before: LoadCounts, load: LoadCounts) -> None:
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
        pool = self.registry.find_domain(domain=domain)
        replica_id = self._ids.get(key)
        if pool is not None and replica_id in pool.actor.owner_bits:
            pool.actor.read(replica=replica_id, rows=cuckoo_filter.extend(parts=parts))

    def total(self, key: bytes) -> LoadCounts:
        """The sum of all subscribers' loads of this replica."""
        total = self._totals.get(key)
        return total.counts() if total is not None else NO_LOAD

    def totals(self) -> dict[bytes, LoadCounts]:
        """The sums by replica key, of the replicas that have load."""
        return {key: total.counts() for key, total in self._totals.items()}

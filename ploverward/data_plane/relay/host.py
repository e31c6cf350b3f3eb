"""The relay of a region, while its proxy holds the duty (docs/relay.md 1, 5): ingest, publication, load beside the pools.

What it takes are the sums of digests, one row for each replica that changed (docs/digest.md 2); what it publishes goes
to digests, which pass it on unchanged.
"""

import logging
import math

from ploverward.common import errors
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import hub
from ploverward.data_plane.relay import load_feed
from ploverward.data_plane.relay import outcomes
from ploverward.data_plane.relay import pool_registry
from ploverward.data_plane.relay import resolution
from ploverward.transport import frames
from ploverward.transport import row_codec

_log = logging.getLogger(__name__)

FAR_TICKS = 2  # what is told crosses regions so much less often
MIN_LOAD_ROWS = 16  # loads told at a time, whatever the size of the region
ROWS_SHARE = 1 / 16  # of the region's replicas: the same in a large one
NEAR_BUCKETS = 8  # buckets of each pool's filter told at a time
FAR_BUCKETS = 6
NOTHING = (0, 0, 0)


class Subscriber:
    """One digest: what it told, and what it is still to be told."""

    def __init__(self, *, is_far: bool, zone: str, zone_epoch: int):
        self.is_far = is_far
        self.zone = zone
        self.zone_epoch = zone_epoch
        self.parts = {}  # replica key: (running, tokens, marks)
        self.counted = 0
        self.acknowledged_counted = 0


class Host:
    """Only lives under one epoch; a new epoch makes a new one, with new generations."""

    def __init__(self, *, region: str, epoch: int, now, suspicion_s: float):
        self.region = region
        self.epoch = epoch
        self.registry = pool_registry.Registry(
            on_withdraw=self._withdrawn, on_catalogue=self._catalogue, first_generation=epoch * 1000000
        )
        self.subscribers = {}  # link: Subscriber
        self.totals = {}  # replica key: [running, tokens, marks]
        self._judge = outcomes.Judge(now=now, suspicion_s=suspicion_s)
        self._zone_epochs = {}  # zone: the newest epoch of its digest
        self._feeds = {False: load_feed.LoadFeed(), True: load_feed.LoadFeed()}  # by whether it goes far
        self._scales = {}  # replica key: load_feed.Scale
        self._ticks = 0
        self._sent = set()
        self._ids = {}  # replica key: id
        self._replicas = []
        self._services = {}

    def sync(self, *, services: dict, replicas: list) -> None:
        self._services = services
        self._replicas = replicas
        self._ids = {row_codec.key_of(row["id"]): row["id"] for row in replicas}
        self._scales = {
            row_codec.key_of(row["id"]): load_feed.Scale(
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
        self._join_new()

    def _join_new(self) -> None:
        for pool in self.registry.pools.values():
            new = {is_far for is_far in (False, True) if is_far not in pool.hubs}
            for link, known in list(self.subscribers.items()):
                if known.is_far in new:
                    self.registry.join(pool=pool, link=link, is_far=known.is_far)

    def _broadcast(self, message: tuple, *, links=None) -> None:
        """One frame, packed once. A subscriber that does not read loses its own stream alone."""
        frame = frames.pack(message)
        for link in list(self.subscribers if links is None else links):
            if link.queued() > hub.QUEUE_LIMIT_BYTES:
                link.close(reason="relay queue overflow")
                continue
            link.send_bytes(frame)

    def _withdrawn(self, pool) -> None:
        self._broadcast(("withdrawn", pool.name, pool.generation))

    def _catalogue(self) -> None:
        self._broadcast(("catalogue", self.epoch, self.registry.rows()))

    def subscribe(self, link, *, region: str, zone: str = "", zone_epoch: int = 0) -> None:
        """A digest's stream. One of an older epoch of the same zone is over; one that comes under it is closed."""
        if zone_epoch:
            if zone_epoch < self._zone_epochs.get(zone, 0):
                link.close(reason=f"digest of {zone} under epoch {zone_epoch}")
                return
            self._zone_epochs[zone] = zone_epoch
            for other, known in list(self.subscribers.items()):
                if known.zone == zone and 0 < known.zone_epoch < zone_epoch and other is not link:
                    other.close(reason="a newer digest of the zone")
        is_far = region != self.region
        self.subscribers[link] = Subscriber(is_far=is_far, zone=zone, zone_epoch=zone_epoch)
        self._broadcast(("catalogue", self.epoch, self.registry.rows()), links=[link])
        for pool in self.registry.pools.values():
            self.registry.join(pool=pool, link=link, is_far=is_far)
        self._broadcast(("load", self.epoch, True, self._feeds[is_far].snapshot()), links=[link])

    def end(self, link) -> None:
        """The digest is gone: its sums are withdrawn whole."""
        known = self.subscribers.pop(link, None)
        for pool in self.registry.pools.values():
            pool.leave(link)
        if known is not None:
            for key, load in known.parts.items():
                self._add(key, NOTHING, load)

    def _add(self, key: bytes, load: tuple, before: tuple) -> None:
        total = self.totals.setdefault(key, [0, 0, 0])
        for column in range(3):
            total[column] += load[column] - before[column]
        if not any(total):
            del self.totals[key]
        self._note(key)

    def _note(self, key: bytes) -> None:
        for feed in self._feeds.values():
            feed.record(key)

    def handle_aggregates(self, link, message: tuple) -> None:
        """One cut of a digest; a malformed one raises before anything changes."""
        known = self.subscribers.get(link)
        if known is None:
            return
        _kind, number, data, read_data = message
        loads = row_codec.rows(shape=row_codec.REPORTED, data=data)
        reads = [row_codec.unpack_read(data=read) for _region, read in row_codec.split_reads(data=read_data)]
        if number <= known.counted:
            raise errors.FrameError(f"cut {number} after {known.counted}", step="sums")
        is_new = False
        for key, _region, running, tokens, suspect_count, ended, failed in loads:
            load = (running, tokens, suspect_count)
            before = known.parts.get(key, NOTHING)
            if load != before:
                self._add(key, load, before)
                if load == NOTHING:
                    del known.parts[key]
                else:
                    known.parts[key] = load
            if ended and key in self._ids:
                self._judge.take(key=key, ended=ended, failed=failed)
            name = self._ids.get(key)
            if name is not None and name not in self._sent:
                self._sent.add(name)
                is_new = True
        known.counted = number
        if is_new:
            self._resolve()
        for key, domain, parts in reads:
            self._handle_read(key, domain.hex(), parts)

    def _handle_read(self, key: bytes, domain: str, parts) -> None:
        pool = self.registry.find_domain(domain=domain)
        name = self._ids.get(key)
        if pool is not None and name in pool.actor.owner_bits:
            pool.actor.read(replica=name, rows=cuckoo_filter.extend(parts=parts))

    def _load_of(self, key: bytes) -> load_feed.Load:
        running, tokens, suspect_count = self.totals.get(key, NOTHING)
        batch_slots = self._scales.get(key, load_feed.NO_SCALE).batch_slots
        flags = load_feed.FAILING if key in self._judge.failing else 0
        if batch_slots and running >= batch_slots * load_feed.FULL_SHARE:
            flags |= load_feed.FULL
        return load_feed.Load(
            running=row_codec.short(running),
            tokens=row_codec.long(tokens),
            suspect_count=row_codec.short(suspect_count),
            flags=flags,
        )

    def tick(self) -> None:
        self.registry.grow()
        self._join_new()
        self._ticks += 1
        for key in self._judge.look():
            _log.debug(
                "replica_outcomes_changed",
                extra={"replica": self._ids.get(key, ""), "is_failing": key in self._judge.failing},
            )
            self._note(key)
        self._publish(is_far=False)
        if self._ticks % FAR_TICKS == 0:
            self._publish(is_far=True)

    def _publish(self, *, is_far: bool) -> None:
        """To all subscribers of one pace: what of the filters and of the loads is to be told now."""
        self.registry.flush(is_far=is_far, most=FAR_BUCKETS if is_far else NEAR_BUCKETS)
        links = [link for link, known in self.subscribers.items() if known.is_far == is_far]
        for link in links:
            known = self.subscribers[link]
            if known.counted != known.acknowledged_counted:
                known.acknowledged_counted = known.counted
                link.send(("counted", known.counted))
        most = (
            max(MIN_LOAD_ROWS, math.ceil(len(self._ids) * ROWS_SHARE)) if links else len(self._ids) + len(self.totals)
        )
        data = self._feeds[is_far].take(
            load_of=self._load_of, scale_of=lambda key: self._scales.get(key, load_feed.NO_SCALE), most=most
        )
        if data and links:
            self._broadcast(("load", self.epoch, False, data), links=links)

"""The catalogue of live pool generations (docs/relay.md 4). Withdrawal always comes before teardown."""

import logging

from ploverward.common import errors
from ploverward.data_plane.relay import actor as actors
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import hub as hubs
from ploverward.transport import row_codec

_log = logging.getLogger(__name__)


class Pool:
    def __init__(self, *, identity, service, model, generation, actor):
        self.identity = identity
        self.service = service
        self.model = model
        self.generation = generation
        self.actor = actor
        self.hubs = {}  # whether its subscribers are in other regions: hub
        self.catalogued = {}

    @property
    def name(self) -> str:
        return "%d/%s/%s" % self.identity

    def note_changes(self) -> None:
        """Hands to each hub what changed in the filter since the last call."""
        dirty, dirty_later = self.actor.filter.pop_dirty()
        for hub in self.hubs.values():
            hub.record(dirty=dirty, dirty_later=dirty_later)

    def leave(self, link) -> None:
        for hub in self.hubs.values():
            hub.leave(link)


def _owner_bits_for(replicas) -> int:
    return int(len(replicas) * actors.OWNER_BIT_HEADROOM) + 1


class Registry:
    """Owns all pools of one relay. `on_withdraw(pool)` is called before a pool is torn down."""

    def __init__(self, *, on_withdraw, on_catalogue, first_generation: int):
        self.pools = {}  # PoolId: Pool
        self._on_withdraw = on_withdraw
        self._on_catalogue = on_catalogue
        self._generation = first_generation

    def sync(self, *, resolved: dict, conflicts=()) -> None:
        """Brings the pools to what resolution says."""
        for identity in list(self.pools):
            if identity not in resolved or identity in conflicts:
                self.withdraw(identity=identity)
        is_changed = False
        for identity, (service, model, cache_tokens, replicas) in resolved.items():
            pool = self.pools.get(identity)
            if pool is None:
                self._generation += 1
                pool = Pool(
                    identity=identity,
                    service=service,
                    model=model,
                    generation=self._generation,
                    actor=actors.Actor(
                        cache_tokens=cache_tokens,
                        bucket_count=actors.buckets_for(cache_tokens=cache_tokens, replicas=len(replicas)),
                        words=cuckoo_filter.words_for(owner_bits=_owner_bits_for(replicas)),
                    ),
                )
                self.pools[identity] = pool
                is_changed = True
            for gone in set(pool.actor.owner_bits) - replicas:
                pool.actor.drop(replica=gone)
            if not pool.actor.has_owner_bits_for(replicas=replicas):
                pool = self._renew(pool, owner_bits=_owner_bits_for(replicas))
                is_changed = True
            for replica in sorted(replicas):
                pool.actor.admit(replica)
            owner_bits = {} if pool.actor.is_wide else pool.actor.owner_bits
            if owner_bits != pool.catalogued:
                pool.catalogued = dict(owner_bits)
                is_changed = True
        if is_changed:
            # Cleared lanes are published before a lane can be told under another replica's name.
            for pool in self.pools.values():
                if not pool.actor.is_wide:
                    pool.note_changes()
                    for hub in pool.hubs.values():
                        hub.flush()
            self._on_catalogue()

    def _renew(self, pool, *, owner_bits: int):
        """The filter is too small: the generation is withdrawn, the next one starts from the same exact ownership."""
        actor = pool.actor
        self.withdraw(identity=pool.identity)
        self._generation += 1
        actor.resize(owner_bits=owner_bits)
        fresh = Pool(
            identity=pool.identity, service=pool.service, model=pool.model, generation=self._generation, actor=actor
        )
        fresh.catalogued = {} if actor.is_wide else dict(actor.owner_bits)
        self.pools[pool.identity] = fresh
        return fresh

    def grow(self) -> None:
        """Pools whose filter had no room get a larger one."""
        short = [pool for pool in self.pools.values() if pool.actor.is_short]
        for pool in short:
            self._renew(pool, owner_bits=len(pool.actor.owner_bits))
        if short:
            self._on_catalogue()

    def rows(self) -> tuple:
        return tuple(
            (
                pool.name,
                pool.service,
                pool.model,
                pool.generation,
                b"".join(
                    row_codec.OWNER_BIT.pack(row_codec.key_of(replica), owner_bit)
                    for replica, owner_bit in sorted(pool.catalogued.items())
                ),
            )
            for pool in self.pools.values()
        )

    def withdraw(self, *, identity) -> None:
        pool = self.pools.pop(identity, None)
        if pool is None:
            return
        self._on_withdraw(pool)
        pool.hubs = {}
        pool.actor = None

    def find_domain(self, *, domain: str):
        for identity, pool in self.pools.items():
            if identity[1] == domain:
                return pool
        return None

    def join(self, *, pool, link, is_far: bool) -> None:
        """Hubs are lazy: the first subscriber of its kind makes one."""
        pool.note_changes()
        if is_far not in pool.hubs:
            pool.hubs[is_far] = hubs.Hub(identity=pool.name, generation=pool.generation, actor=pool.actor)
        pool.hubs[is_far].flush()  # the cut is as new as it can be
        pool.hubs[is_far].join(link)

    def flush(self, *, is_far: bool, most: int | None = None) -> None:
        for identity, pool in list(self.pools.items()):
            pool.note_changes()
            hub = pool.hubs.get(is_far)
            if hub is None:
                continue
            try:
                hub.check(generation=pool.generation)
                hub.flush(most=most)
            except (hubs.Fenced, errors.FrameError, ValueError) as fault:
                _log.error("pool_fenced", extra={"pool": pool.name, "fault": str(fault)})
                self.withdraw(identity=identity)

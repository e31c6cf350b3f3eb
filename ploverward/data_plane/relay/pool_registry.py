"""The catalogue of live pool generations (docs/relay.md 1, 4).

A `Registry` owns all pools of one relay. Invariant: a generation is withdrawn from the catalogue before it is torn
down, and no generation number is used twice under one epoch.
"""

import logging
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from ploverward.common import errors
from ploverward.data_plane.relay import actor as actors
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import hub as hubs
from ploverward.data_plane.relay import resolution
from ploverward.transport import messages
from ploverward.transport import peer_connection
from ploverward.transport import row_codec

_log = logging.getLogger(__name__)


class Pool:
    """One generation of a pool."""

    def __init__(
        self, *, identity: resolution.PoolId, service: str, model: str, generation: int, actor: actors.Actor
    ) -> None:
        self.identity = identity
        self.service = service
        self.model = model
        self.generation = generation
        self.actor = actor
        self.hubs: dict[bool, hubs.Hub] = {}  # by whether their subscribers are in other regions
        self.catalogued: dict[str, int] = {}  # replica id: its owner bit in the catalogue

    @property
    def name(self) -> str:
        """The identity as frames carry it."""
        return f"{self.identity.version}/{self.identity.domain}/{self.identity.region}"

    def record_changes(self) -> None:
        """Passes each hub what changed in the filter since the last call."""
        dirty, dirty_later = self.actor.filter.pop_dirty()
        for hub in self.hubs.values():
            hub.record(dirty=dirty, dirty_later=dirty_later)

    def flush_all(self) -> None:
        """Publishes everything that changed."""
        self.record_changes()
        for hub in self.hubs.values():
            hub.flush()

    def leave(self, connection: peer_connection.PeerConnection) -> None:
        """A subscriber disconnected."""
        for hub in self.hubs.values():
            hub.leave(connection)

    def tear_down(self) -> None:
        """The generation is over; the next one may use its actor."""
        self.hubs = {}
        self.actor = None  # type: ignore[assignment]  # a pool that left the registry is not used


def _owner_bits_for(replicas: Collection[str]) -> int:
    return int(len(replicas) * actors.OWNER_BIT_HEADROOM) + 1


class Registry:
    """The pools of one relay.

    Args:
        on_withdraw: called with a pool before it is torn down.
        on_catalogue: called when the catalogue changed.
        first_generation: the generations count on from it.
    """

    def __init__(
        self,
        *,
        on_withdraw: Callable[[Pool], None],
        on_catalogue: Callable[[], None],
        first_generation: int,
    ) -> None:
        self.pools: dict[resolution.PoolId, Pool] = {}
        self._on_withdraw = on_withdraw
        self._on_catalogue = on_catalogue
        self._generation = first_generation

    def sync(
        self,
        *,
        resolved: Mapping[resolution.PoolId, resolution.ResolvedPool],
        conflicts: Collection[resolution.PoolId] = (),
    ) -> None:
        """Changes the pools to those that resolution requires."""
        for identity in list(self.pools):
            if identity not in resolved or identity in conflicts:
                self.withdraw(identity=identity)
        is_changed = False
        for identity, wanted in resolved.items():
            is_changed |= self._sync_pool(identity, wanted)
        if is_changed:
            # Cleared owner bits are published before one can be assigned to another replica.
            for pool in self.pools.values():
                if not pool.actor.is_wide:
                    pool.flush_all()
            self._on_catalogue()

    def _sync_pool(self, identity: resolution.PoolId, wanted: resolution.ResolvedPool) -> bool:
        """Whether the pool's row of the catalogue changed."""
        pool = self.pools.get(identity)
        is_changed = pool is None
        if pool is None:
            pool = self._start(identity, wanted)
        for gone in set(pool.actor.owner_bits) - wanted.replicas:
            pool.actor.drop(replica=gone)
        if not pool.actor.has_owner_bits_for(replicas=wanted.replicas):
            pool = self._renew(pool, owner_bits=_owner_bits_for(wanted.replicas))
            is_changed = True
        for replica in sorted(wanted.replicas):
            pool.actor.admit(replica)
        owner_bits = {} if pool.actor.is_wide else pool.actor.owner_bits
        if owner_bits != pool.catalogued:
            pool.catalogued = dict(owner_bits)
            is_changed = True
        return is_changed

    def _start(self, identity: resolution.PoolId, wanted: resolution.ResolvedPool) -> Pool:
        self._generation += 1
        actor = actors.Actor(
            cache_tokens=wanted.cache_tokens,
            bucket_count=actors.buckets_for(cache_tokens=wanted.cache_tokens, replicas=len(wanted.replicas)),
            words=cuckoo_filter.words_for(owner_bits=_owner_bits_for(wanted.replicas)),
        )
        pool = Pool(
            identity=identity, service=wanted.service, model=wanted.model, generation=self._generation, actor=actor
        )
        self.pools[identity] = pool
        return pool

    def _renew(self, pool: Pool, *, owner_bits: int) -> Pool:
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
        """Replaces filters that had no room by larger ones."""
        short = [pool for pool in self.pools.values() if pool.actor.is_short]
        for pool in short:
            self._renew(pool, owner_bits=len(pool.actor.owner_bits))
        if short:
            self._on_catalogue()

    def rows(self) -> tuple[messages.Pool, ...]:
        """The catalogue."""
        return tuple(
            messages.Pool(
                pool.name, pool.service, pool.model, pool.generation, _pack_owner_bits(sorted(pool.catalogued.items()))
            )
            for pool in self.pools.values()
        )

    def withdraw(self, *, identity: resolution.PoolId) -> None:
        """Ends a pool's generation."""
        pool = self.pools.pop(identity, None)
        if pool is not None:
            self._on_withdraw(pool)
            pool.tear_down()

    def find_domain(self, *, domain: str) -> Pool | None:
        """The pool of this indexer domain."""
        return next((pool for identity, pool in self.pools.items() if identity.domain == domain), None)

    def join(self, *, pool: Pool, connection: peer_connection.PeerConnection, is_far: bool) -> None:
        """Starts a subscriber's stream of a pool. Hubs are lazy: the first subscriber of its kind makes one."""
        pool.record_changes()
        if is_far not in pool.hubs:
            pool.hubs[is_far] = hubs.Hub(identity=pool.name, generation=pool.generation, actor=pool.actor)
        pool.hubs[is_far].flush()  # the cut is as new as it can be
        pool.hubs[is_far].join(connection)

    def flush(self, *, is_far: bool, most: int | None = None) -> None:
        """Publishes changed buckets to one kind of subscribers. A pool whose publication fails is withdrawn.

        Args:
            is_far: whether to those in other regions.
            most: buckets of each pool, at most; None: all.
        """
        for identity, pool in list(self.pools.items()):
            pool.record_changes()
            hub = pool.hubs.get(is_far)
            if hub is None:
                continue
            try:
                hub.check(generation=pool.generation)
                hub.flush(most=most)
            except (hubs.FencedError, errors.FrameError, ValueError) as error:
                _log.error("pool_fenced", extra={"pool": pool.name, "fault": str(error)})
                self.withdraw(identity=identity)


def _pack_owner_bits(owner_bits: Iterable[tuple[str, int]]) -> bytes:
    return b"".join(row_codec.OWNER_BIT_ROW.pack(row_codec.replica_key(replica), bit) for replica, bit in owner_bits)

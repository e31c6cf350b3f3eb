"""The registry and catalogue of live pool generations (docs/relay.md 1, 4).

A `PoolRegistry` owns all pools of one relay. Invariant: a generation is withdrawn from the catalogue before it is torn
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
        self.catalogued_owner_bits: dict[str, int] = {}  # replica id: its owner bit in the catalogue

    @property
    def name(self) -> str:
        """The identity of the pool as frames carry it."""
        return f"{self.identity.version}/{self.identity.domain}/{self.identity.region}"

    def record_changes(self) -> None:
        """Passes the buckets that changed since the last call to each hub."""
        dirty, dirty_deferrable = self.actor.filter.pop_dirty()
        for hub in self.hubs.values():
            hub.queue_changes(dirty=dirty, dirty_deferrable=dirty_deferrable)

    def flush_all(self) -> None:
        """Publishes all buckets that changed."""
        self.record_changes()
        for hub in self.hubs.values():
            hub.flush()

    def leave(self, connection: peer_connection.PeerConnection) -> None:
        """Removes a disconnected subscriber from all hubs."""
        for hub in self.hubs.values():
            hub.leave(connection)

    def tear_down(self) -> None:
        """Releases the hubs and the actor of a generation that ended; the next generation may use the actor."""
        self.hubs = {}
        self.actor = None  # type: ignore[assignment]  # a pool that left the registry is not used


def _owner_bits_for(replicas: Collection[str]) -> int:
    return int(len(replicas) * actors.OWNER_BIT_HEADROOM) + 1


class PoolRegistry:
    """Starts, replaces and withdraws the pools of one relay.

    Args:
        on_withdraw: Called with a pool before it is torn down.
        on_catalogue: Called when the catalogue changed.
        first_generation: Number after which the generations are counted.
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
        """Makes the live pools match the resolved ones.

        Args:
            resolved: Pools that should exist.
            conflicts: Identities of several pools; a live pool with such an identity is withdrawn.
        """
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
        """Starts or updates a pool; returns whether its row of the catalogue changed."""
        pool = self.pools.get(identity)
        is_changed = pool is None
        if pool is None:
            pool = self._start(identity, wanted)
        for gone in set(pool.actor.owner_bits) - wanted.replicas:
            pool.actor.remove_replica(replica=gone)
        if not pool.actor.has_owner_bits_for(replicas=wanted.replicas):
            pool = self._start_next_generation(pool, owner_bits=_owner_bits_for(wanted.replicas))
            is_changed = True
        for replica in sorted(wanted.replicas):
            pool.actor.add_replica(replica)
        owner_bits = {} if pool.actor.is_wide else pool.actor.owner_bits
        if owner_bits != pool.catalogued_owner_bits:
            pool.catalogued_owner_bits = dict(owner_bits)
            is_changed = True
        return is_changed

    def _start(self, identity: resolution.PoolId, wanted: resolution.ResolvedPool) -> Pool:
        self._generation += 1
        actor = actors.Actor(
            cache_tokens=wanted.cache_tokens,
            bucket_count=actors.initial_bucket_count(cache_tokens=wanted.cache_tokens, replicas=len(wanted.replicas)),
            words=cuckoo_filter.words_for(owner_bits=_owner_bits_for(wanted.replicas)),
        )
        pool = Pool(
            identity=identity, service=wanted.service, model=wanted.model, generation=self._generation, actor=actor
        )
        self.pools[identity] = pool
        return pool

    def _start_next_generation(self, pool: Pool, *, owner_bits: int) -> Pool:
        """Withdraws a generation whose filter is too small, and starts the next one from the same exact record."""
        actor = pool.actor
        self.withdraw(identity=pool.identity)
        self._generation += 1
        actor.resize(owner_bits=owner_bits)
        successor = Pool(
            identity=pool.identity, service=pool.service, model=pool.model, generation=self._generation, actor=actor
        )
        successor.catalogued_owner_bits = {} if actor.is_wide else dict(actor.owner_bits)
        self.pools[pool.identity] = successor
        return successor

    def grow_filters(self) -> None:
        """Replaces the filters that had no room by larger ones, under new generations."""
        short = [pool for pool in self.pools.values() if pool.actor.needs_larger_filter]
        for pool in short:
            self._start_next_generation(pool, owner_bits=len(pool.actor.owner_bits))
        if short:
            self._on_catalogue()

    def rows(self) -> tuple[messages.Pool, ...]:
        """Returns the rows of the catalogue."""
        return tuple(
            messages.Pool(
                pool.name,
                pool.service,
                pool.model,
                pool.generation,
                _pack_owner_bits(sorted(pool.catalogued_owner_bits.items())),
            )
            for pool in self.pools.values()
        )

    def withdraw(self, *, identity: resolution.PoolId) -> None:
        """Withdraws the generation of a pool from the subscribers and tears it down."""
        pool = self.pools.pop(identity, None)
        if pool is not None:
            self._on_withdraw(pool)
            pool.tear_down()

    def find_by_domain(self, *, domain: str) -> Pool | None:
        """Returns the pool of an indexer domain, or None if there is none."""
        return next((pool for identity, pool in self.pools.items() if identity.domain == domain), None)

    def join(self, *, pool: Pool, connection: peer_connection.PeerConnection, is_remote: bool) -> None:
        """Adds a subscriber to a pool's hub; the first subscriber in this or in other regions creates the hub."""
        pool.record_changes()
        if is_remote not in pool.hubs:
            pool.hubs[is_remote] = hubs.Hub(identity=pool.name, generation=pool.generation, actor=pool.actor)
        pool.hubs[is_remote].flush()  # so that the cut holds all changes
        pool.hubs[is_remote].join(connection)

    def flush(self, *, is_remote: bool, most: int | None = None) -> None:
        """Publishes changed buckets; a pool whose publication fails is withdrawn.

        Publication fails if the hub is fenced or has another generation, or if a message can't be encoded.

        Args:
            is_remote: Whether to publish to subscribers in other regions, or to those in this region.
            most: Maximum number of buckets of each pool; None: all.
        """
        for identity, pool in list(self.pools.items()):
            pool.record_changes()
            hub = pool.hubs.get(is_remote)
            if hub is None:
                continue
            try:
                hub.check_generation(generation=pool.generation)
                hub.flush(most=most)
            except (hubs.FencedError, errors.FrameError, ValueError) as error:
                _log.error("pool_fenced", extra={"pool": pool.name, "fault": str(error)})
                self.withdraw(identity=identity)


def _pack_owner_bits(owner_bits: Iterable[tuple[str, int]]) -> bytes:
    return b"".join(row_codec.OWNER_BIT_ROW.pack(row_codec.replica_key(replica), bit) for replica, bit in owner_bits)

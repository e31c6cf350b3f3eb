"""The mirror of what one region's relay publishes (docs/relay.md 5).

A `RegionMirror` owns the region's pools and loads as this proxy, digest or gateway received them. Invariant: a frame is
checked completely before any of it takes effect; a frame that is rejected changes nothing.
"""

import typing
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from ploverward.common import errors
from ploverward.data_plane.relay import load_feed
from ploverward.data_plane.relay.pool_mirror import PoolMirror
from ploverward.transport import messages
from ploverward.transport import row_codec


class NamedOwners(typing.NamedTuple):
    """The owners of the longest run of parts, from the front of a prompt, that is in some replica's cache."""

    depth: int  # number of parts in the run
    tags: tuple[bytes, ...]  # of the first few owners that the mirror names


class RegionMirror:
    """A copy of what one region's relay publishes: pools and loads.

    After its stream broke, the pools are used for `trust_s` and count as unknown afterwards. Loads change much faster
    than caches, so they count as unknown after a tenth of that time.

    Args:
        now: Clock of the event loop, in seconds.
        trust_s: Seconds for which the pools of a broken mirror are still used.
    """

    def __init__(self, *, now: Callable[[], float], trust_s: float) -> None:
        self._now = now
        self._trust_s = trust_s
        self.epoch = 0
        self.pools: dict[str, PoolMirror] = {}  # by name
        self.load: dict[bytes, load_feed.Load] = {}  # by replica key, summed over all proxies
        self.broken_at: float | None = now()
        self._handlers: dict[type, Callable] = {
            messages.Catalogue: self._handle_catalogue,
            messages.PoolCut: self._handle_cut,
            messages.PoolDelta: self._handle_delta,
            messages.PoolWithdrawn: self._handle_withdrawn,
            messages.ReplicaLoads: self._handle_loads,
        }

    @property
    def is_trusted(self) -> bool:
        """True if its pools may be used: its stream is not broken, or broke at most `trust_s` ago."""
        return self.broken_at is None or self._now() - self.broken_at <= self._trust_s

    @property
    def is_fresh(self) -> bool:
        """True if its loads may be used: its stream is not broken, or broke at most a tenth of `trust_s` ago."""
        return self.broken_at is None or self._now() - self.broken_at <= self._trust_s / 10

    def handle_publication(self, message: tuple) -> None:
        """Installs a message of the relay; ignores messages of other kinds.

        Raises:
            FrameError: The message is malformed or does not continue the present state; nothing was changed.
        """
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _handle_cut(self, message: messages.PoolCut) -> None:
        pool = self._pool(message.pool, message.generation)
        if pool is not None:
            pool.install_cut(bucket_count=message.bucket_count, words=message.words, data=message.bucket_rows)

    def _handle_delta(self, message: messages.PoolDelta) -> None:
        pool = self._pool(message.pool, message.generation)
        if pool is not None:
            pool.install_delta(data=message.bucket_rows)

    def _handle_withdrawn(self, message: messages.PoolWithdrawn) -> None:
        if self._pool(message.pool, message.generation) is not None:
            del self.pools[message.pool]

    def _pool(self, name: str, generation: int) -> PoolMirror | None:
        pool = self.pools.get(name)
        return pool if pool is not None and pool.generation == generation else None

    def _handle_loads(self, message: messages.ReplicaLoads) -> None:
        if message.epoch != self.epoch:
            return
        rows = row_codec.rows(shape=row_codec.LOAD_ROW, data=message.load_rows)
        if message.is_snapshot:
            self.load = {}
        for key, running, tokens, suspect_count, flags in rows:
            if running or tokens or suspect_count or flags:
                self.load[key] = load_feed.Load(running, tokens, suspect_count, flags)
            else:
                self.load.pop(key, None)

    def _handle_catalogue(self, message: messages.Catalogue) -> None:
        if message.epoch < self.epoch:
            raise errors.FrameError(
                f"epoch {message.epoch} is older than the mirror's epoch {self.epoch}", step="catalogue"
            )
        checked = [
            (row, dict(row_codec.rows(shape=row_codec.OWNER_BIT_ROW, data=row.owner_bit_rows))) for row in message.pools
        ]
        if message.epoch != self.epoch:
            self.load = {}
        self.epoch = message.epoch
        self.broken_at = None
        pools = {}
        for row, owner_bits in checked:
            pool = self._pool(row.name, row.generation)
            if pool is None:
                pool = PoolMirror(name=row.name, service=row.service, model=row.model, generation=row.generation)
            pool.owner_bits = owner_bits
            pools[row.name] = pool
        self.pools = pools

    def catalogue(self) -> messages.Catalogue:
        """Returns the catalogue of pools, for a member of the zone that joins later; cuts are sent separately."""
        rows = tuple(
            messages.Pool(
                pool.name,
                pool.service,
                pool.model,
                pool.generation,
                b"".join(row_codec.OWNER_BIT_ROW.pack(key, owner_bit) for key, owner_bit in pool.owner_bits.items()),
            )
            for pool in self.pools.values()
        )
        return messages.Catalogue(self.epoch, rows)

    def load_snapshot(self) -> messages.ReplicaLoads:
        """Returns all loads as a relay would publish them now."""
        rows = b"".join([row_codec.LOAD_ROW.pack(key, *load) for key, load in self.load.items()])
        return messages.ReplicaLoads(self.epoch, is_snapshot=True, load_rows=rows)

    def mark_broken(self) -> None:
        """Records the time when the mirror's connection failed; a repeated failure does not change it."""
        if self.broken_at is None:
            self.broken_at = self._now()

    def _find_pool(self, *, service: str, model: str) -> PoolMirror | None:
        """Returns the pool of this model, or None if its cut was not received yet."""
        for pool in self.pools.values():
            if pool.service == service and pool.model == model and pool.buckets:
                return pool
        return None

    def find_cache_owners(
        self, *, service: str, model: str, hashes: Iterable[bytes], keys: Collection[bytes]
    ) -> set[bytes]:
        """Returns those of the replicas that are named as owners of any of these prompt parts.

        Args:
            service: Service of the pool.
            model: Model of the pool.
            hashes: Full hashes of prompt parts.
            keys: Keys of the replicas.
        """
        pool = self._find_pool(service=service, model=model)
        if pool is None:
            return set()
        found: set[bytes] = set()
        for full_hash in hashes:
            owners = pool.owners(full_hash)
            found.update(key for key in keys if owners.names(key))
        return found

    def cached_tokens(
        self,
        *,
        service: str,
        model: str,
        chain: Iterable[tuple[bytes, int]],
        replicas: Iterable[str],
        pool_size: int = 0,
    ) -> dict[str, int]:
        """Returns how many tokens of the prompt, without a gap from its front, are in each replica's cache.

        This is as far as the mirror knows. Replicas that the pool cannot name are omitted, and so are all replicas
        while the mirror is not trusted or has not received the pool's cut.

        Args:
            service: Service of the pool.
            model: Model of the pool.
            chain: (full hash, tokens) of the prompt's parts, from the front.
            replicas: Ids of the replicas.
            pool_size: Number of replicas in the pool, if more than in `replicas`.
        """
        pool = self._find_pool(service=service, model=model) if self.is_trusted else None
        if pool is None:
            return {}
        keys = {name: row_codec.replica_key(name) for name in replicas}
        found = {name: 0 for name, key in keys.items() if pool.can_name(key)}
        alive = list(found)
        for full_hash, tokens in chain:
            owners = pool.owners(full_hash, pool_size=max(pool_size, len(found)))
            alive = [name for name in alive if owners.is_widespread or owners.names(keys[name])] if owners.count else []
            if not alive:
                break
            for name in alive:
                found[name] += tokens
        return found

    def named_owners(self, *, service: str, model: str, chain: Iterable[tuple[bytes, int]]) -> NamedOwners:
        """Returns the owners of the longest run of the prompt, from its front, that is in some replica's cache."""
        pool = self._find_pool(service=service, model=model) if self.is_trusted else None
        if pool is None:
            return NamedOwners(0, ())
        depth, longest = 0, None
        for full_hash, _tokens in chain:
            owners = pool.owners(full_hash)
            if not owners.count:
                break
            depth, longest = depth + 1, owners
        return NamedOwners(depth, longest.first_tags() if longest is not None else ())

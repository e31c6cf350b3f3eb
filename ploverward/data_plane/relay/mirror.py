"""A proxy's mirror of the pools of all regions (docs/relay.md 5). Frames are checked and installed whole."""

import dataclasses
import itertools

from ploverward.common import errors
from ploverward.data_plane.relay import actor
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import hub
from ploverward.transport import row_codec

ASSUMED_OWNERS_SHARE = 0.5  # of a wide pool's replicas: a part that so many keep is taken to be kept by all


@dataclasses.dataclass(frozen=True)
class Owners:
    """The replicas that keep one part, as far as a slot names them: by lanes all of them, by tags the first few."""

    count: int
    tags: tuple = ()
    is_most: bool = False  # so many that one that is not named is taken for an owner too
    bits: int = 0
    owner_bits: dict | None = None

    def names(self, key: bytes) -> bool:
        """Whether this replica is known to be an owner."""
        if self.owner_bits is None:
            return key[: cuckoo_filter.TAG_SIZE] in self.tags
        owner_bit = self.owner_bits.get(key)
        return owner_bit is not None and bool(self.bits >> owner_bit & 1)

    def some_tags(self) -> tuple:
        """Tags of the first few that are named."""
        if self.owner_bits is None:
            return self.tags
        keys = (key for key, owner_bit in self.owner_bits.items() if self.bits >> owner_bit & 1)
        return tuple(key[: cuckoo_filter.TAG_SIZE] for key in itertools.islice(keys, cuckoo_filter.OWNERS_NAMED))


class Mirror:
    """One pool generation as this proxy sees it. Bucket images are read only where a prompt asks for them."""

    def __init__(self, *, name: str, service: str, model: str, generation: int):
        self.name = name
        self.service = service
        self.model = model
        self.generation = generation
        self.owner_bits = {}  # replica key: lane
        self.words = 1
        self.buckets = None  # images
        self.versions = None

    def _rows(self, data: bytes, *, size: int, bucket_count: int, step: str) -> list:
        width = hub.ROW.size + size
        if len(data) % width:
            raise errors.FrameError(f"{len(data)} bytes of rows", step=step, peer=self.name)
        rows = []
        for offset in range(0, len(data), width):
            index, version = hub.ROW.unpack_from(data, offset)
            if index >= bucket_count:
                raise errors.FrameError(f"bucket {index}", step=step, peer=self.name)
            rows.append((index, version, data[offset + hub.ROW.size : offset + width]))
        return rows

    def install_cut(self, *, bucket_count: int, words: int, data: bytes) -> None:
        if (
            bucket_count < 1
            or bucket_count & (bucket_count - 1)
            or bucket_count > actor.MAX_BUCKETS
            or not 0 <= words <= cuckoo_filter.MAX_MASK_WORDS
        ):
            raise errors.FrameError("bucket count", step="cut", peer=self.name)
        blank = cuckoo_filter.empty_image(words=words)
        buckets = [blank] * bucket_count
        versions = [0] * bucket_count
        for index, version, image in self._rows(data, size=len(blank), bucket_count=bucket_count, step="cut"):
            buckets[index] = image
            versions[index] = version
        self.words, self.buckets, self.versions = words, buckets, versions

    def install_delta(self, *, data: bytes) -> None:
        """Every bucket is checked before any is exposed."""
        if self.buckets is None:
            raise errors.FrameError("a delta before the cut", step="delta", peer=self.name)
        rows = self._rows(
            data, size=len(cuckoo_filter.empty_image(words=self.words)), bucket_count=len(self.buckets), step="delta"
        )
        for index, version, _image in rows:
            if version != self.versions[index] + 1:
                raise errors.FrameError(f"bucket {index} at {version}", step="delta", peer=self.name)
        for index, version, image in rows:
            self.buckets[index] = image
            self.versions[index] = version

    def frame(self) -> tuple:
        """A cut as of now, for a member of the zone that joins later: its own, with the same sequences."""
        blank = cuckoo_filter.empty_image(words=self.words)
        rows = b"".join(
            hub.ROW.pack(index, version) + image
            for index, (version, image) in enumerate(zip(self.versions, self.buckets, strict=False))
            if version or image != blank
        )
        return ("cut", self.name, self.generation, len(self.buckets), self.words, rows)

    def knows(self, key: bytes) -> bool:
        """Whether the pool may name this replica. A wide pool's replicas are those of the list."""
        return self.words == cuckoo_filter.WIDE or key in self.owner_bits

    def owners(self, full_hash: bytes, *, pool_size: int = 0) -> "Owners":
        value = cuckoo_filter.find_in_images(images=self.buckets, words=self.words, full_hash=full_hash)
        if self.words == cuckoo_filter.WIDE:
            count, tags = cuckoo_filter.read_wide(value)
            return Owners(
                count=count,
                tags=tags,
                is_most=count >= min(cuckoo_filter.MAX_OWNERS, max(1, pool_size * ASSUMED_OWNERS_SHARE)),
            )
        return Owners(count=value.bit_count(), bits=value, owner_bits=self.owner_bits)


class Region:
    """What one region's relay publishes. Broken, it keeps deciding for `trust_s`, then counts as unknown."""

    def __init__(self, *, now, trust_s: float):
        self._now = now
        self._trust_s = trust_s
        self.epoch = 0
        self.mirrors = {}  # pool name: Mirror
        self.load = {}  # replica key: (running, tokens to read, marks, is failing), of all proxies
        self.broken_at = now()
        self._staged = None

    @property
    def is_trusted(self) -> bool:
        return self.broken_at is None or self._now() - self.broken_at <= self._trust_s

    @property
    def is_fresh(self) -> bool:
        """Load ages much faster than what is kept."""
        return self.broken_at is None or self._now() - self.broken_at <= self._trust_s / 10

    def take(self, message: tuple) -> None:
        kind = message[0]
        if kind == "catalogue":
            self._handle_catalogue(message)
        elif kind in ("cut", "delta"):
            mirror = self.mirrors.get(message[1])
            if mirror is None or mirror.generation != message[2]:
                return
            if kind == "cut":
                mirror.install_cut(bucket_count=message[3], words=message[4], data=message[5])
            else:
                mirror.install_delta(data=message[3])
        elif kind == "withdrawn":
            mirror = self.mirrors.get(message[1])
            if mirror is not None and mirror.generation == message[2]:
                del self.mirrors[message[1]]
        elif kind == "load":
            self._handle_load(message)

    def _handle_load(self, message: tuple) -> None:
        _kind, epoch, is_snapshot, data = message
        if epoch != self.epoch:
            return
        rows = row_codec.rows(shape=row_codec.LOAD, data=data)
        if is_snapshot:
            self.load = {}
        for key, *load in rows:
            if any(load):
                self.load[key] = tuple(load)
            else:
                self.load.pop(key, None)

    def catalogue(self) -> tuple:
        """What the relay published last of its pools, for a later member of the zone. Each pool's cut goes beside it."""
        rows = tuple(
            (
                mirror.name,
                mirror.service,
                mirror.model,
                mirror.generation,
                b"".join(row_codec.OWNER_BIT.pack(key, owner_bit) for key, owner_bit in mirror.owner_bits.items()),
            )
            for mirror in self.mirrors.values()
        )
        return ("catalogue", self.epoch, rows)

    def load_frame(self) -> tuple:
        """All loads, as a relay would tell them now."""
        return ("load", self.epoch, True, b"".join(row_codec.LOAD.pack(key, *load) for key, load in self.load.items()))

    def _handle_catalogue(self, message: tuple) -> None:
        _kind, epoch, rows = message
        if epoch < self.epoch:
            raise errors.FrameError(f"epoch {epoch} is below {self.epoch}", step="catalogue")
        checked = [(row, dict(row_codec.rows(shape=row_codec.OWNER_BIT, data=row[4]))) for row in rows]
        if epoch != self.epoch:
            self.load = {}
        self.epoch = epoch
        self.broken_at = None
        mirrors = {}
        for (name, service, model, generation, _data), owner_bits in checked:
            mirror = self.mirrors.get(name)
            if mirror is None or mirror.generation != generation:
                mirror = Mirror(name=name, service=service, model=model, generation=generation)
            mirror.owner_bits = owner_bits
            mirrors[name] = mirror
        self.mirrors = mirrors

    def fail(self) -> None:
        if self.broken_at is None:
            self.broken_at = self._now()

    def _mirror(self, *, service: str, model: str):
        for mirror in self.mirrors.values():
            if mirror.service == service and mirror.model == model and mirror.buckets is not None:
                return mirror
        return None

    def find_cache_owners(self, *, service: str, model: str, hashes, keys) -> set:
        """Those of the replicas (keys) that keep any of these parts, as far as the mirror names them."""
        mirror = self._mirror(service=service, model=model)
        if mirror is None:
            return set()
        found = set()
        for full_hash in hashes:
            owners = mirror.owners(full_hash)
            found.update(key for key in keys if owners.names(key))
        return found

    def kept(self, *, service: str, model: str, chain, replicas, pool_size: int = 0) -> dict:
        """Tokens of the prompt that each replica keeps already, by the mirror: a run from the front.

        `pool_size`: how many replicas the pool has, where more than those named here.
        """
        mirror = self._mirror(service=service, model=model) if self.is_trusted else None
        if mirror is None:
            return {}
        keys = {name: row_codec.key_of(name) for name in replicas}
        found = {name: 0 for name, key in keys.items() if mirror.knows(key)}
        alive = list(found)
        for full_hash, tokens in chain:
            owners = mirror.owners(full_hash, pool_size=max(pool_size, len(found)))
            alive = [name for name in alive if owners.is_most or owners.names(keys[name])] if owners.count else ()
            if not alive:
                break
            for name in alive:
                found[name] += tokens
        return found

    def named_owners(self, *, service: str, model: str, chain) -> tuple:
        """(parts in the longest run of the prompt that some replica keeps, tags of the few such that the mirror names)."""
        mirror = self._mirror(service=service, model=model) if self.is_trusted else None
        if mirror is None:
            return 0, ()
        depth, longest = 0, None
        for full_hash, _tokens in chain:
            owners = mirror.owners(full_hash)
            if not owners.count:
                break
            depth, longest = depth + 1, owners
        return depth, longest.some_tags() if longest is not None else ()

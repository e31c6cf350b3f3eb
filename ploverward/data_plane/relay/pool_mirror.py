"""A proxy's mirror of one pool generation (docs/relay.md 3, 5).

A `PoolMirror` owns the images of the buckets of the pool's filter, as the relay published them, and their sequences.
Invariant: a delta is installed completely or not at all, and each bucket's sequence has no gaps.
"""

import dataclasses
import itertools
import typing

from ploverward.common import errors
from ploverward.data_plane.relay import actor
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import hub
from ploverward.transport import messages

ASSUMED_OWNERS_SHARE = 0.5  # of a wide pool's replicas: a part that so many have is assumed to be in every cache


class BucketRow(typing.NamedTuple):
    """The image of one bucket."""

    bucket: int
    version: int  # its sequence
    image: bytes


@dataclasses.dataclass(frozen=True)
class Owners:
    """The replicas that have one part in their caches, as far as a slot names them.

    With owner bits a slot names all of them, with tags the first few.
    """

    count: int
    tags: tuple[bytes, ...] = ()
    is_widespread: bool = False  # so many that one that is not named is assumed to be an owner too
    bits: int = 0
    owner_bits: dict[bytes, int] | None = None  # by replica key; None: named by tags

    def names(self, key: bytes) -> bool:
        """Whether this replica is known to be an owner."""
        if self.owner_bits is None:
            return key[: cuckoo_filter.TAG_SIZE] in self.tags
        owner_bit = self.owner_bits.get(key)
        return owner_bit is not None and bool(self.bits >> owner_bit & 1)

    def first_tags(self) -> tuple[bytes, ...]:
        """Tags of the first few that are named."""
        if self.owner_bits is None:
            return self.tags
        keys = (key for key, owner_bit in self.owner_bits.items() if self.bits >> owner_bit & 1)
        return tuple(key[: cuckoo_filter.TAG_SIZE] for key in itertools.islice(keys, cuckoo_filter.MAX_NAMED_OWNERS))


class PoolMirror:
    """One pool generation as this proxy knows it. Bucket images are decoded only when a prompt needs them."""

    def __init__(self, *, name: str, service: str, model: str, generation: int) -> None:
        self.name = name
        self.service = service
        self.model = model
        self.generation = generation
        self.owner_bits: dict[bytes, int] = {}  # by replica key
        self.words = 1
        self.buckets: list[bytes] = []  # images; none before the cut
        self.versions: list[int] = []

    def _rows(self, data: bytes, *, size: int, bucket_count: int, step: str) -> list[BucketRow]:
        width = hub.ROW.size + size
        if len(data) % width:
            raise errors.FrameError(f"{len(data)} bytes of rows", step=step, peer=self.name)
        rows = []
        for offset in range(0, len(data), width):
            index, version = hub.ROW.unpack_from(data, offset)
            if index >= bucket_count:
                raise errors.FrameError(f"bucket {index}", step=step, peer=self.name)
            rows.append(BucketRow(index, version, data[offset + hub.ROW.size : offset + width]))
        return rows

    def install_cut(self, *, bucket_count: int, words: int, data: bytes) -> None:
        """Replaces all buckets.

        Args:
            bucket_count: a power of two.
            words: of 64 bits that each slot has for its owners; 0: tags instead.
            data: rows of the buckets that are not empty.

        Raises:
            FrameError: the cut is malformed; nothing was changed.
        """
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
        for row in self._rows(data, size=len(blank), bucket_count=bucket_count, step="cut"):
            buckets[row.bucket] = row.image
            versions[row.bucket] = row.version
        self.words, self.buckets, self.versions = words, buckets, versions

    def install_delta(self, *, data: bytes) -> None:
        """Replaces some buckets; all are checked before any is exposed.

        Raises:
            FrameError: the delta is malformed, or not the next one of one of its buckets; nothing was changed.
        """
        if not self.buckets:
            raise errors.FrameError("a delta before the cut", step="delta", peer=self.name)
        size = len(cuckoo_filter.empty_image(words=self.words))
        rows = self._rows(data, size=size, bucket_count=len(self.buckets), step="delta")
        for row in rows:
            if row.version != self.versions[row.bucket] + 1:
                raise errors.FrameError(f"bucket {row.bucket} at {row.version}", step="delta", peer=self.name)
        for row in rows:
            self.buckets[row.bucket] = row.image
            self.versions[row.bucket] = row.version

    def cut(self) -> messages.PoolCut:
        """A cut of the present state, with the same sequences, for a member of the zone that joins later."""
        rows = hub.pack_rows(
            versions=self.versions, images=self.buckets, blank=cuckoo_filter.empty_image(words=self.words)
        )
        return messages.PoolCut(self.name, self.generation, len(self.buckets), self.words, rows)

    def can_name(self, key: bytes) -> bool:
        """Whether the pool may name this replica. A wide pool's replicas are those of the list."""
        return self.words == cuckoo_filter.WIDE or key in self.owner_bits

    def owners(self, full_hash: bytes, *, pool_size: int = 0) -> Owners:
        """The replicas that have a prompt part in their caches.

        Args:
            full_hash: of the part.
            pool_size: replicas of the pool, for wide pools.
        """
        value = cuckoo_filter.find_in_images(images=self.buckets, words=self.words, full_hash=full_hash)
        if self.words != cuckoo_filter.WIDE:
            return Owners(count=value.bit_count(), bits=value, owner_bits=self.owner_bits)
        count, tags = cuckoo_filter.decode_wide_value(value)
        is_widespread = count >= min(cuckoo_filter.MAX_OWNERS, max(1, pool_size * ASSUMED_OWNERS_SHARE))
        return Owners(count=count, tags=tags, is_widespread=is_widespread)

"""The mirror of one pool generation (docs/relay.md 3, 5).

A `PoolMirror` owns the images of the buckets of the pool's filter, as the relay published them, and their sequence
numbers. Invariant: a delta is installed completely or not at all, and the sequence numbers of a bucket have no gaps.
"""

import dataclasses
import itertools
import typing

from ploverward.common import errors
from ploverward.data_plane.relay import actor
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import hub
from ploverward.transport import messages

ASSUMED_OWNERS_SHARE = 0.5  # share of a wide pool's replicas; a part that so many have is assumed to be in all caches


class BucketRow(typing.NamedTuple):
    """A row of a cut or delta: the image of one bucket."""

    bucket: int
    version: int  # sequence number of the bucket
    image: bytes


@dataclasses.dataclass(frozen=True)
class Owners:
    """The replicas that have one part in their caches, as far as a slot names them.

    With owner bits a slot names all of them, with tags the first few.
    """

    count: int
    tags: tuple[bytes, ...] = ()
    is_widespread: bool = False  # so many are owners that a replica that is not named is assumed to be one too
    bits: int = 0  # mask of owner bits
    owner_bits: dict[bytes, int] | None = None  # by replica key; None: owners are named by tags

    def names(self, key: bytes) -> bool:
        """Returns whether this replica is one of the named owners."""
        if self.owner_bits is None:
            return key[: cuckoo_filter.TAG_SIZE] in self.tags
        owner_bit = self.owner_bits.get(key)
        return owner_bit is not None and bool(self.bits >> owner_bit & 1)

    def first_tags(self) -> tuple[bytes, ...]:
        """Returns the tags of the first few named owners."""
        if self.owner_bits is None:
            return self.tags
        keys = (key for key, owner_bit in self.owner_bits.items() if self.bits >> owner_bit & 1)
        return tuple(key[: cuckoo_filter.TAG_SIZE] for key in itertools.islice(keys, cuckoo_filter.MAX_NAMED_OWNERS))


class PoolMirror:
    """A copy of one pool generation. Bucket images are decoded only when a prompt is looked up in them."""

    def __init__(self, *, name: str, service: str, model: str, generation: int) -> None:
        self.name = name
        self.service = service
        self.model = model
        self.generation = generation
        self.owner_bits: dict[bytes, int] = {}  # by replica key
        self.words = 1
        self.buckets: list[bytes] = []  # images; empty before the cut
        self.versions: list[int] = []  # sequence numbers of the buckets

    def _rows(self, data: bytes, *, size: int, bucket_count: int, step: str) -> list[BucketRow]:
        width = hub.ROW.size + size
        if len(data) % width:
            raise errors.FrameError(
                f"{len(data)} bytes are not a multiple of the row size {width}", step=step, peer=self.name
            )
        rows = []
        for offset in range(0, len(data), width):
            index, version = hub.ROW.unpack_from(data, offset)
            if index >= bucket_count:
                raise errors.FrameError(
                    f"bucket {index} of a filter of {bucket_count} buckets", step=step, peer=self.name
                )
            rows.append(BucketRow(index, version, data[offset + hub.ROW.size : offset + width]))
        return rows

    def install_cut(self, *, bucket_count: int, words: int, data: bytes) -> None:
        """Replaces all buckets.

        Args:
            bucket_count: Number of buckets, a power of two.
            words: Words of 32 bits in the mask of each slot; `cuckoo_filter.WIDE`: slots hold tags instead.
            data: Rows of the buckets that were published or are not empty.

        Raises:
            FrameError: The cut is malformed; nothing was changed.
        """
        if (
            bucket_count < 1
            or bucket_count & (bucket_count - 1)
            or bucket_count > actor.MAX_BUCKETS
            or not 0 <= words <= cuckoo_filter.MAX_MASK_WORDS
        ):
            raise errors.FrameError(
                f"bucket_count {bucket_count} must be a power of two up to {actor.MAX_BUCKETS}, "
                f"words {words} must be from 0 to {cuckoo_filter.MAX_MASK_WORDS}",
                step="cut",
                peer=self.name,
            )
        blank = cuckoo_filter.empty_image(words=words)
        buckets = [blank] * bucket_count
        versions = [0] * bucket_count
        for row in self._rows(data, size=len(blank), bucket_count=bucket_count, step="cut"):
            buckets[row.bucket] = row.image
            versions[row.bucket] = row.version
        self.words, self.buckets, self.versions = words, buckets, versions

    def install_delta(self, *, data: bytes) -> None:
        """Replaces some buckets; all rows are checked before any is installed.

        Raises:
            FrameError: The delta is malformed, came before the cut, or has a row whose sequence number is not the next
                one of its bucket; nothing was changed.
        """
        if not self.buckets:
            raise errors.FrameError("delta received before the cut", step="delta", peer=self.name)
        size = len(cuckoo_filter.empty_image(words=self.words))
        rows = self._rows(data, size=size, bucket_count=len(self.buckets), step="delta")
        for row in rows:
            if row.version != self.versions[row.bucket] + 1:
                raise errors.FrameError(
                    f"bucket {row.bucket} has sequence number {row.version}, expected {self.versions[row.bucket] + 1}",
                    step="delta",
                    peer=self.name,
                )
        for row in rows:
            self.buckets[row.bucket] = row.image
            self.versions[row.bucket] = row.version

    def cut(self) -> messages.PoolCut:
        """Returns a cut of the present state, with the same sequence numbers, for a zone member that joins later."""
        rows = hub.pack_rows(
            versions=self.versions, images=self.buckets, blank=cuckoo_filter.empty_image(words=self.words)
        )
        return messages.PoolCut(self.name, self.generation, len(self.buckets), self.words, rows)

    def can_name(self, key: bytes) -> bool:
        """Returns whether the pool can name this replica as an owner.

        A wide pool has no list of its replicas, so it can name any: the caller passes replicas of the endpoint list.
        """
        return self.words == cuckoo_filter.WIDE or key in self.owner_bits

    def owners(self, full_hash: bytes, *, pool_size: int = 0) -> Owners:
        """Returns the replicas that have a prompt part in their caches.

        Args:
            full_hash: Full hash of the part.
            pool_size: Number of replicas in the pool; used for wide pools only.
        """
        value = cuckoo_filter.find_in_images(images=self.buckets, words=self.words, full_hash=full_hash)
        if self.words != cuckoo_filter.WIDE:
            return Owners(count=value.bit_count(), bits=value, owner_bits=self.owner_bits)
        count, tags = cuckoo_filter.decode_wide_value(value)
        is_widespread = count >= min(cuckoo_filter.MAX_OWNERS, max(1, pool_size * ASSUMED_OWNERS_SHARE))
        return Owners(count=count, tags=tags, is_widespread=is_widespread)

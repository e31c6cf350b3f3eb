"""The fingerprint filter of a pool: a cuckoo filter whose slots also name the owners (docs/relay.md 3).

The filter of the paper only tells that some replica of the pool has a prefix; to choose a replica, a proxy needs to
know which one. In a pool of few replicas each slot has a mask with one bit for each replica, in `words` of 32 bits. In
a wide pool (`words` is `WIDE`) such masks would cost more than they are worth: a slot has the number of owners and the
tags of the first few. An image is the complete encoded content of a bucket, not a difference from an earlier one.

Invariant: a fingerprint is in at most one of its two buckets.
"""

import functools
import hashlib
import struct
import typing
from collections.abc import Iterable
from collections.abc import Sequence

SLOTS_PER_BUCKET = 4
BITS_PER_MASK_WORD = 32  # a mask of owner bits has as many such words as the listed replicas need
# A pool that needs more owner bits is wide: when many replicas leave at once, clearing their bits in all slots would
# cause a burst of publication.
MAX_OWNER_BITS = 16
MAX_MASK_WORDS = 4  # limit for the images that a mirror accepts
WIDE = 0  # stands for tags in place of a number of mask words
MAX_NAMED_OWNERS = 4  # owners whose tags a slot of a wide pool holds
# Bytes from the front of a replica's key. In one of thirty pools of a thousand replicas, two have the same tag.
TAG_SIZE = 3
MAX_OWNERS = 255  # a larger number of owners is stored as this one
_WIDE_SIZE = 1 + MAX_NAMED_OWNERS * TAG_SIZE
MAX_KICKS = 64  # slots moved for one insertion before the filter counts as full

HashedPart = tuple[bytes, int]  # hash, tokens; plain, as every request creates one for each part of its prompt
SlotId = tuple[int, int]  # fingerprint, the lower of its two bucket indices


class FingerprintAndBuckets(typing.NamedTuple):
    """The fingerprint of a hash and the indices of the two buckets that it may be in."""

    fingerprint: int
    first: int
    second: int


class WideValue(typing.NamedTuple):
    """The decoded slot of a wide pool."""

    owner_count: int
    tags: tuple[bytes, ...]  # of the first `MAX_NAMED_OWNERS` owners


class Slot(typing.NamedTuple):
    """A fingerprint and the encoded owners of the hashes that have it."""

    fingerprint: int  # 0: the slot is free
    bits: int  # a mask of owner bits, or the result of `encode_wide_value`


class _Move(typing.NamedTuple):
    """A slot that an insertion changed, with its previous content."""

    bucket: int
    position: int
    before: Slot


FREE_SLOT = Slot(0, 0)


def value_size(*, words: int) -> int:
    """Returns the size of a slot without its fingerprint, in bytes."""
    return _WIDE_SIZE if words == WIDE else 4 * words


@functools.lru_cache(maxsize=64)
def _bucket_struct(words: int) -> struct.Struct:
    return struct.Struct(">" + f"H{value_size(words=words)}s" * SLOTS_PER_BUCKET)


def words_for(*, owner_bits: int) -> int:
    """Returns the mask words that a slot needs for this many owner bits, or `WIDE`."""
    return max(1, -(-owner_bits // BITS_PER_MASK_WORD)) if owner_bits <= MAX_OWNER_BITS else WIDE


def encode_wide_value(*, count: int, tags: Iterable[bytes]) -> int:
    """Encodes the slot of a wide pool: the number of owners and the tags of the first `MAX_NAMED_OWNERS`."""
    named = b"".join(tags).ljust(MAX_NAMED_OWNERS * TAG_SIZE, b"\0")
    return int.from_bytes(bytes([min(count, MAX_OWNERS)]) + named, "big")


def decode_wide_value(value: int) -> WideValue:
    """Decodes a value that `encode_wide_value` returned; 0 stands for no owners."""
    if not value:
        return WideValue(0, ())
    data = value.to_bytes(_WIDE_SIZE, "big")
    count = data[0]
    tags = tuple(data[position : position + TAG_SIZE] for position in range(1, _WIDE_SIZE, TAG_SIZE))
    return WideValue(count, tags[: min(count, MAX_NAMED_OWNERS)])


def empty_image(*, words: int) -> bytes:
    """Returns the image of a bucket whose slots are all free."""
    return bytes(_bucket_struct(words).size)


def fingerprint_and_buckets(*, full_hash: bytes, bucket_count: int) -> FingerprintAndBuckets:
    """Returns the fingerprint of a hash and its buckets, in a filter of `bucket_count` buckets (a power of two)."""
    fingerprint = int.from_bytes(full_hash[:2], "big") or 1
    first = int.from_bytes(full_hash[2:6], "big") % bucket_count
    second = other_bucket(bucket=first, fingerprint=fingerprint, bucket_count=bucket_count)
    return FingerprintAndBuckets(fingerprint, first, second)


def other_bucket(*, bucket: int, fingerprint: int, bucket_count: int) -> int:
    """Returns the other one of the two buckets of a fingerprint."""
    return bucket ^ ((fingerprint * 0x5BD1E995 >> 3) % bucket_count)


def sequence_hash(*, parent: bytes, token_hash: bytes) -> bytes:
    """Returns the canonical sequence hash of a part.

    It is the token hash itself for the root, which has no parent; the hash of a child extends that of its parent.
    """
    return token_hash if not parent else hashlib.blake2b(parent + token_hash, digest_size=8).digest()


def token_hash(*, model: str, part: str, tokens: int) -> bytes:
    """Returns the hash of one part of a prompt, independent of the parts before it."""
    return hashlib.blake2b(f"{model}\0{part}\0{tokens}".encode(), digest_size=8).digest()


def chain(*, model: str, parts: Iterable[tuple[str, int]]) -> tuple[HashedPart, ...]:
    """Returns the canonical sequence hashes of a prompt, each with the tokens of its part.

    Args:
        model: Model that processes the prompt.
        parts: (name, tokens) of each part, from the front.
    """
    return sequence_hashes(
        parts=tuple((token_hash(model=model, part=part, tokens=tokens), tokens) for part, tokens in parts)
    )


def sequence_hashes(*, parts: Iterable[HashedPart]) -> tuple[HashedPart, ...]:
    """Returns the canonical sequence hashes for (token hash, tokens) of each part, from the front of the prompt."""
    rows = []
    parent = b""
    for stored_hash, tokens in parts:
        parent = sequence_hash(parent=parent, token_hash=stored_hash)
        rows.append((parent, tokens))
    return tuple(rows)


def find_in_images(*, images: Sequence[bytes], words: int, full_hash: bytes) -> int:
    """Returns the value of the slot of a hash, from the bucket images of a filter; 0 if there is no such slot."""
    fingerprint, first, second = fingerprint_and_buckets(full_hash=full_hash, bucket_count=len(images))
    value = 0
    for index in (first, second):
        flat = _bucket_struct(words).unpack(images[index])
        for position in range(0, 2 * SLOTS_PER_BUCKET, 2):
            if flat[position] == fingerprint:
                value |= int.from_bytes(flat[position + 1], "big")
    return value


class Filter:
    """A cuckoo filter that maps fingerprints to owners and records which buckets changed.

    Args:
        bucket_count: Number of buckets, a power of two.
        words: Words of 32 bits in the mask of each slot, or `WIDE`.

    Raises:
        ValueError: `bucket_count` is not a power of two.
    """

    def __init__(self, *, bucket_count: int, words: int = 1) -> None:
        if bucket_count & (bucket_count - 1):
            raise ValueError(f"bucket_count is {bucket_count}, must be a power of two")
        self.bucket_count = bucket_count
        self.words = words
        self.buckets = [[FREE_SLOT] * SLOTS_PER_BUCKET for _ in range(bucket_count)]
        self.dirty: set[int] = set()  # buckets that changed since the last `pop_dirty`
        self.dirty_deferrable: set[int] = set()  # the same, for changes that may be published later

    def _locate(self, fingerprint: int, first: int, second: int) -> tuple[int, int] | None:
        """Returns (bucket, position) of the slot of a fingerprint, or None if there is none."""
        for index in (first, second):
            for position, (stored, _bits) in enumerate(self.buckets[index]):
                if stored == fingerprint:
                    return index, position
        return None

    def pop_dirty(self) -> tuple[set[int], set[int]]:
        """Returns (buckets that changed, others whose changes are deferrable) since the last call."""
        dirty, dirty_deferrable = self.dirty, self.dirty_deferrable - self.dirty
        self.dirty, self.dirty_deferrable = set(), set()
        return dirty, dirty_deferrable

    def put(self, *, full_hash: bytes, bits: int, is_deferrable: bool = False) -> bool:
        """Sets the owners in the slot of a hash; inserts the slot if there is none.

        Args:
            full_hash: Hash whose fingerprint identifies the slot.
            bits: Mask of owner bits, or the result of `encode_wide_value`.
            is_deferrable: Whether subscribers lose little if the change is published later than others.

        Returns:
            False if there is no room; then nothing was changed.
        """
        fingerprint, first, second = fingerprint_and_buckets(full_hash=full_hash, bucket_count=self.bucket_count)
        dirty = self.dirty_deferrable if is_deferrable else self.dirty
        found = self._locate(fingerprint, first, second)
        if found is None:
            return self._insert(Slot(fingerprint, bits), first, second, dirty)
        index, position = found
        if self.buckets[index][position].bits != bits:
            self.buckets[index][position] = Slot(fingerprint, bits)
            dirty.add(index)
        return True

    def _fill_free(self, index: int, row: Slot) -> bool:
        """Puts a row into a free slot of a bucket; returns False if the bucket has none."""
        bucket = self.buckets[index]
        for position, (stored, _bits) in enumerate(bucket):
            if stored == 0:
                bucket[position] = row
                return True
        return False

    def _insert(self, row: Slot, first: int, second: int, dirty: set[int]) -> bool:
        for index in (first, second):
            if self._fill_free(index, row):
                dirty.add(index)
                return True
        moves = []
        index = first
        for step in range(MAX_KICKS):
            position = (step + row.fingerprint) % SLOTS_PER_BUCKET
            moves.append(_Move(index, position, self.buckets[index][position]))
            row, self.buckets[index][position] = self.buckets[index][position], row
            index = other_bucket(bucket=index, fingerprint=row.fingerprint, bucket_count=self.bucket_count)
            if self._fill_free(index, row):
                dirty.add(index)
                dirty.update(move.bucket for move in moves)
                return True
        for move in reversed(moves):  # no room: restore every slot
            self.buckets[move.bucket][move.position] = move.before
        return False

    def remove(self, *, full_hash: bytes, is_deferrable: bool = False) -> None:
        """Frees the slot of a hash; does nothing if there is none. `is_deferrable` means the same as in `put`."""
        fingerprint, first, second = fingerprint_and_buckets(full_hash=full_hash, bucket_count=self.bucket_count)
        found = self._locate(fingerprint, first, second)
        if found is not None:
            index, position = found
            self.buckets[index][position] = FREE_SLOT
            (self.dirty_deferrable if is_deferrable else self.dirty).add(index)

    def image(self, index: int) -> bytes:
        """Returns the content of a bucket as frames carry it."""
        size = value_size(words=self.words)
        flat: list[int | bytes] = []
        for fingerprint, bits in self.buckets[index]:
            flat += (fingerprint, bits.to_bytes(size, "big"))
        return _bucket_struct(self.words).pack(*flat)

"""The fingerprint filter of a pool (docs/relay.md 3): a cuckoo filter whose slots also say which replicas own.

The source's filter says that some replica of the pool holds a prefix. Choosing one needs to know which. In a pool of few
replicas each slot carries a lane bit for every owner, in `words` of 32. In a wide pool (`words` is `WIDE`) masks would
cost more than they tell: a slot carries how many owners there are and the tags of the first few. Bucket images are absolute.
"""

import functools
import hashlib
import struct

SLOTS = 4
BITS_PER_MASK_WORD = 32  # lane masks grow by such words, as many as the replicas that are listed need
MAX_OWNER_BITS = (
    16  # a pool that needs more is wide: when many replicas leave at once, their lanes cost a burst to clear
)
MAX_MASK_WORDS = 4  # of an image that a mirror takes
WIDE = 0  # stands in place of a count of words
OWNERS_NAMED = 4  # of a wide pool's slot
TAG_SIZE = 3  # the front of a replica's key: of a thousand replicas two are alike once in thirty pools
MAX_OWNERS = 255  # a slot counts no further
_WIDE_SIZE = 1 + OWNERS_NAMED * TAG_SIZE
MAX_KICKS = 64


def value_size(*, words: int) -> int:
    """Bytes of a slot beside its fingerprint."""
    return _WIDE_SIZE if words == WIDE else 4 * words


@functools.lru_cache(maxsize=64)
def _shape(words: int):
    return struct.Struct(">" + f"H{value_size(words=words)}s" * SLOTS)


def words_for(*, owner_bits: int) -> int:
    return max(1, -(-owner_bits // BITS_PER_MASK_WORD)) if owner_bits <= MAX_OWNER_BITS else WIDE


def wide_value(*, count: int, tags) -> int:
    """What a wide pool's slot says: how many owners, and the tags of the first `OWNERS_NAMED` of them."""
    named = b"".join(tags).ljust(OWNERS_NAMED * TAG_SIZE, b"\0")
    return int.from_bytes(bytes([min(count, MAX_OWNERS)]) + named, "big")


def read_wide(value: int) -> tuple:
    """(how many owners, the tags of the first few)"""
    if not value:
        return 0, ()
    data = value.to_bytes(_WIDE_SIZE, "big")
    count = data[0]
    tags = tuple(data[position : position + TAG_SIZE] for position in range(1, _WIDE_SIZE, TAG_SIZE))
    return count, tags[: min(count, OWNERS_NAMED)]


def empty_image(*, words: int) -> bytes:
    return bytes(_shape(words).size)


def fingerprint_and_buckets(*, full_hash: bytes, bucket_count: int) -> tuple:
    """(fingerprint, first bucket, second bucket). bucket_count is a power of two."""
    fingerprint = int.from_bytes(full_hash[:2], "big") or 1
    first = int.from_bytes(full_hash[2:6], "big") % bucket_count
    return fingerprint, first, other_bucket(bucket=first, fingerprint=fingerprint, bucket_count=bucket_count)


def other_bucket(*, bucket: int, fingerprint: int, bucket_count: int) -> int:
    return bucket ^ ((fingerprint * 0x5BD1E995 >> 3) % bucket_count)


def sequence_hash(*, parent: bytes, token_hash: bytes) -> bytes:
    """Canonical: the root is the first token hash, each child extends its parent."""
    return token_hash if not parent else hashlib.blake2b(parent + token_hash, digest_size=8).digest()


def token_hash(*, model: str, part: str, tokens: int) -> bytes:
    return hashlib.blake2b(f"{model}\0{part}\0{tokens}".encode(), digest_size=8).digest()


def chain(*, model: str, parts) -> tuple:
    """Canonical sequence hashes of a prompt: ((hash, tokens), ...)."""
    return extend(parts=tuple((token_hash(model=model, part=part, tokens=tokens), tokens) for part, tokens in parts))


def extend(*, parts) -> tuple:
    """Canonical sequence hashes from (token hash, tokens) in order."""
    rows = []
    parent = b""
    for stored_hash, tokens in parts:
        parent = sequence_hash(parent=parent, token_hash=stored_hash)
        rows.append((parent, tokens))
    return tuple(rows)


def find_in_images(*, images, words: int, full_hash: bytes) -> int:
    """What the slot of this hash says of its owners, by a list of bucket images; 0 where unknown.

    A fingerprint stands in one of its two buckets at most, so no two values are mixed.
    """
    fingerprint, first, second = fingerprint_and_buckets(full_hash=full_hash, bucket_count=len(images))
    value = 0
    for index in (first, second):
        flat = _shape(words).unpack(images[index])
        for position in range(0, 2 * SLOTS, 2):
            if flat[position] == fingerprint:
                value |= int.from_bytes(flat[position + 1], "big")
    return value


def find(*, buckets, full_hash: bytes) -> int:
    """Lane bits of the owners by a list of bucket slots; 0 where unknown."""
    fingerprint, first, second = fingerprint_and_buckets(full_hash=full_hash, bucket_count=len(buckets))
    owner_bits = 0
    for index in (first, second):
        for stored_hash, bits in buckets[index]:
            if stored_hash == fingerprint:
                owner_bits |= bits
    return owner_bits


class Filter:
    def __init__(self, *, bucket_count: int, words: int = 1):
        if bucket_count & (bucket_count - 1):
            raise ValueError("bucket_count must be a power of two")
        self.bucket_count = bucket_count
        self.words = words
        self.buckets = [[(0, 0)] * SLOTS for _ in range(bucket_count)]
        self.dirty = set()  # buckets that changed since they were taken
        self.dirty_later = set()  # the same, where nobody waits for it

    def _locate(self, fingerprint: int, first: int, second: int):
        for index in (first, second):
            for slot, (stored_hash, _bits) in enumerate(self.buckets[index]):
                if stored_hash == fingerprint:
                    return index, slot
        return None

    def pop_dirty(self) -> tuple:
        """(buckets that changed, those of them that may wait), since the last call."""
        taken = self.dirty, self.dirty_later - self.dirty
        self.dirty, self.dirty_later = set(), set()
        return taken

    def put(self, *, full_hash: bytes, bits: int, may_wait: bool = False) -> bool:
        """Sets what a slot says of a fingerprint's owners, inserting it; False where there is no room.

        `may_wait`: subscribers lose little where they are told of it later than of others.
        """
        fingerprint, first, second = fingerprint_and_buckets(full_hash=full_hash, bucket_count=self.bucket_count)
        found = self._locate(fingerprint, first, second)
        if found is not None:
            index, slot = found
            if self.buckets[index][slot][1] != bits:
                self.buckets[index][slot] = (fingerprint, bits)
                self._dirty_set(may_wait).add(index)
            return True
        return self._insert(fingerprint, bits, first, second, self._dirty_set(may_wait))

    def _dirty_set(self, may_wait: bool) -> set:
        return self.dirty_later if may_wait else self.dirty

    def _insert(self, fingerprint: int, bits: int, first: int, second: int, dirty: set) -> bool:
        for index in (first, second):
            for slot, (stored_hash, _bits) in enumerate(self.buckets[index]):
                if stored_hash == 0:
                    self.buckets[index][slot] = (fingerprint, bits)
                    dirty.add(index)
                    return True
        moves = []
        index = first
        row = (fingerprint, bits)
        for step in range(MAX_KICKS):
            slot = (step + row[0]) % SLOTS
            moves.append((index, slot, self.buckets[index][slot]))
            row, self.buckets[index][slot] = self.buckets[index][slot], row
            index = other_bucket(bucket=index, fingerprint=row[0], bucket_count=self.bucket_count)
            for free, (stored_hash, _bits) in enumerate(self.buckets[index]):
                if stored_hash == 0:
                    self.buckets[index][free] = row
                    dirty.add(index)
                    dirty.update(position for position, _slot, _old in moves)
                    return True
        for index, slot, old in reversed(moves):  # no room: nothing is left half moved
            self.buckets[index][slot] = old
        return False

    def remove(self, *, full_hash: bytes, may_wait: bool = False) -> None:
        fingerprint, first, second = fingerprint_and_buckets(full_hash=full_hash, bucket_count=self.bucket_count)
        found = self._locate(fingerprint, first, second)
        if found is not None:
            index, slot = found
            self.buckets[index][slot] = (0, 0)
            self._dirty_set(may_wait).add(index)

    def image(self, index: int) -> bytes:
        flat = []
        for stored_hash, bits in self.buckets[index]:
            flat += (stored_hash, bits.to_bytes(value_size(words=self.words), "big"))
        return _shape(self.words).pack(*flat)

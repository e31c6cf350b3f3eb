"""The actor of a pool: the exact record of cached prompt parts, and the filter made from it (docs/relay.md 2).

An `Actor` owns the exact record of which prompt parts each replica has cached, and the filter made from it. Replicas
announce no evictions, so each one's cache is modelled as a least-recently-used list that is limited by the number of
tokens that the cache holds. Invariant: a slot of the filter agrees with the exact record of the hashes that share it,
except for omissions, which are counted.
"""

import collections
import itertools
from collections.abc import Collection
from collections.abc import Sequence

from ploverward.data_plane.relay import cuckoo_filter
from ploverward.transport import row_codec

MIN_INITIAL_BUCKETS = 1024
MAX_INITIAL_BUCKETS = 1 << 14
ASSUMED_PART_TOKENS = 512  # sizes a new filter: one that grows later is published again to all subscribers
TARGET_LOAD_FACTOR = 0.7  # share of a new filter's slots that are expected to be used
MAX_BUCKETS = 1 << 17
OWNER_BIT_HEADROOM = 1.5  # owner bits per listed replica: a roll-out has old and new replicas at the same time


def initial_bucket_count(*, cache_tokens: int, replicas: int) -> int:
    """Returns the bucket count of a new filter for the caches of this many replicas: a power of two."""
    wanted = cache_tokens / ASSUMED_PART_TOKENS * replicas / (cuckoo_filter.SLOTS_PER_BUCKET * TARGET_LOAD_FACTOR)
    count = MIN_INITIAL_BUCKETS
    while count < min(wanted, MAX_INITIAL_BUCKETS):
        count *= 2
    return count


class Actor:
    """Records which replicas of one pool own which prompt parts, and keeps the pool's filter up to date.

    A replica owns a part while the part is in its cache, as modelled.

    Args:
        cache_tokens: Tokens that the cache of each replica holds.
        bucket_count: Buckets of the filter, a power of two.
        words: Mask words of each slot of the filter, or `cuckoo_filter.WIDE`; see `cuckoo_filter.words_for`.
    """

    def __init__(self, *, cache_tokens: int, bucket_count: int = MIN_INITIAL_BUCKETS, words: int = 1) -> None:
        self.cache_tokens = cache_tokens
        self.filter = cuckoo_filter.Filter(bucket_count=bucket_count, words=words)
        self.needs_larger_filter = False  # the filter had no room for a hash, and may still grow
        self.owner_bits: dict[str, int] = {}  # by replica id
        self._cached: dict[str, collections.OrderedDict[bytes, int]] = {}  # replica id: tokens by hash, oldest first
        self._cached_tokens: dict[str, int] = {}  # replica id: tokens in its cache
        self._owners: dict[bytes, dict[str, bool]] = {}  # hash: ids of its owners, in the order of adding
        self._hashes_by_slot: dict[cuckoo_filter.SlotId, set[bytes]] = {}  # slot: the hashes that share it
        self.omission_count = 0  # prompts without a free owner bit, and hashes without a free slot

    def add_replica(self, replica: str) -> bool:
        """Adds a replica to the pool and assigns it a free owner bit; does nothing if it is already in the pool.

        Returns:
            False if all owner bits are assigned. Replicas of a wide pool need none, so adding one always succeeds.
        """
        if replica in self.owner_bits:
            return True
        owner_bit = 0 if self.is_wide else self._next_owner_bit()
        if not self.is_wide and owner_bit >= self.filter.words * cuckoo_filter.BITS_PER_MASK_WORD:
            return False
        self.owner_bits[replica] = owner_bit
        self._cached[replica] = collections.OrderedDict()
        self._cached_tokens[replica] = 0
        return True

    @property
    def is_wide(self) -> bool:
        """True if slots name owners by tags instead of owner bits; then the owner bit of a replica has no meaning."""
        return self.filter.words == cuckoo_filter.WIDE

    def _next_owner_bit(self) -> int:
        owned = set(self.owner_bits.values())
        return next(owner_bit for owner_bit in range(len(owned) + 1) if owner_bit not in owned)

    def has_owner_bits_for(self, *, replicas: Collection[str]) -> bool:
        """Returns whether there are owner bits for all these replicas in addition to the present ones."""
        count = len(set(self.owner_bits) | set(replicas))
        return self.is_wide or count <= self.filter.words * cuckoo_filter.BITS_PER_MASK_WORD

    def resize(self, *, owner_bits: int) -> None:
        """Rebuilds the filter in a larger size from the exact record, for a new generation. A wide pool stays wide.

        Args:
            owner_bits: Number of replicas that need an owner bit.
        """
        wanted = cuckoo_filter.words_for(owner_bits=owner_bits)
        is_wide = cuckoo_filter.WIDE in (wanted, self.filter.words)
        words = cuckoo_filter.WIDE if is_wide else max(self.filter.words, wanted)
        bucket_count = self.filter.bucket_count
        if self.needs_larger_filter and bucket_count < MAX_BUCKETS:
            bucket_count *= 2
        while self._rebuild(bucket_count=bucket_count, words=words) and bucket_count < MAX_BUCKETS:
            bucket_count *= 2
        self.needs_larger_filter = False

    def _rebuild(self, *, bucket_count: int, words: int) -> int:
        """Rebuilds the filter with this size and returns the number of slots that had no room in it."""
        self.filter = cuckoo_filter.Filter(bucket_count=bucket_count, words=words)
        self._hashes_by_slot = {}
        for full_hash in self._owners:
            self._hashes_by_slot.setdefault(self._slot_id(full_hash), set()).add(full_hash)
        return sum(
            not self.filter.put(full_hash=next(iter(owned)), bits=self._slot_value(slot_id))
            for slot_id, owned in self._hashes_by_slot.items()
        )

    def owners(self, full_hash: bytes) -> frozenset[str]:
        """Returns the ids of the replicas that have this part in their caches, as modelled."""
        return frozenset(self._owners.get(full_hash, ()))

    def cached_tokens(self, replica: str) -> int:
        """Returns the number of tokens in a replica's cache, as modelled."""
        return self._cached_tokens.get(replica, 0)

    def record_prompt(self, *, replica: str, rows: Sequence[cuckoo_filter.HashedPart]) -> None:
        """Records that a replica processed a prompt: its parts enter the cache, the least recently used ones leave it.

        Args:
            replica: Id of the replica.
            rows: (canonical sequence hash, tokens) of the prompt's parts, from the front.
        """
        if not self.add_replica(replica):
            self.omission_count += 1
            return
        cached = self._cached[replica]
        last = len(rows) - 1
        for index, (full_hash, tokens) in enumerate(rows):
            if full_hash in cached:
                cached.move_to_end(full_hash)
                continue
            cached[full_hash] = tokens
            self._cached_tokens[replica] += tokens
            # The last part belongs to one request or session. Until a second replica has it, few requests look it up.
            self._add_owner(replica, full_hash, is_deferrable=index == last and full_hash not in self._owners)
        # A child is never used later than its parents: from back to front, so that the root is the most recently used.
        for full_hash, _tokens in reversed(rows):
            if full_hash in cached:
                cached.move_to_end(full_hash)
        while self._cached_tokens[replica] > self.cache_tokens and cached:
            full_hash, tokens = cached.popitem(last=False)
            self._cached_tokens[replica] -= tokens
            self._remove_owner(replica, full_hash)

    def remove_part(self, *, replica: str, full_hash: bytes) -> None:
        """Removes one part from a replica's cache; does nothing if the replica or the part is unknown."""
        cached = self._cached.get(replica)
        if cached is None or full_hash not in cached:
            return
        self._cached_tokens[replica] -= cached.pop(full_hash)
        self._remove_owner(replica, full_hash)

    def remove_replica(self, *, replica: str) -> None:
        """Removes a replica and everything that it owned; does nothing if the replica is unknown."""
        cached = self._cached.pop(replica, None)
        if cached is None:
            return
        for full_hash in cached:
            self._remove_owner(replica, full_hash)
        self._cached_tokens.pop(replica, None)
        self.owner_bits.pop(replica, None)

    def _slot_id(self, full_hash: bytes) -> cuckoo_filter.SlotId:
        fingerprint, first, second = cuckoo_filter.fingerprint_and_buckets(
            full_hash=full_hash, bucket_count=self.filter.bucket_count
        )
        return fingerprint, min(first, second)

    def _slot_value(self, slot_id: cuckoo_filter.SlotId) -> int:
        """Returns the value of a slot: the owners of all hashes that share it."""
        if self.is_wide:
            return self._wide_slot_value(slot_id)
        bits = 0
        for full_hash in self._hashes_by_slot.get(slot_id, ()):
            for owner in self._owners.get(full_hash, ()):
                bits |= 1 << self.owner_bits[owner]
        return bits

    def _wide_slot_value(self, slot_id: cuckoo_filter.SlotId) -> int:
        hashes = self._hashes_by_slot.get(slot_id, set())
        owners: Collection[str]
        if len(hashes) == 1:
            owners = self._owners.get(next(iter(hashes)), {})
        else:
            owners = dict.fromkeys(owner for owned in hashes for owner in self._owners.get(owned, ()))
        first = itertools.islice(owners, cuckoo_filter.MAX_NAMED_OWNERS)
        return cuckoo_filter.encode_wide_value(
            count=len(owners), tags=[row_codec.replica_key(owner)[: cuckoo_filter.TAG_SIZE] for owner in first]
        )

    def _add_owner(self, replica: str, full_hash: bytes, *, is_deferrable: bool) -> None:
        owners = self._owners.setdefault(full_hash, {})
        owners[replica] = True
        slot_id = self._slot_id(full_hash)
        self._hashes_by_slot.setdefault(slot_id, set()).add(full_hash)
        if not self.filter.put(full_hash=full_hash, bits=self._slot_value(slot_id), is_deferrable=is_deferrable):
            self.omission_count += 1  # missing in the filter only: the record of owners stays exact
            self.needs_larger_filter = self.filter.bucket_count < MAX_BUCKETS

    def _remove_owner(self, replica: str, full_hash: bytes) -> None:
        """Removes an owner of a part.

        The change is deferrable: until a subscriber receives it, it only expects a part in a cache that lacks it.
        """
        owners = self._owners[full_hash]
        owners.pop(replica, None)
        slot_id = self._slot_id(full_hash)
        if not owners:
            del self._owners[full_hash]
            self._hashes_by_slot[slot_id].discard(full_hash)
        if self._hashes_by_slot[slot_id]:
            self.filter.put(full_hash=full_hash, bits=self._slot_value(slot_id), is_deferrable=True)
        else:
            del self._hashes_by_slot[slot_id]
            self.filter.remove(full_hash=full_hash, is_deferrable=True)

"""The actor of one pool generation (docs/relay.md 2).

An `Actor` owns the exact record of which prompt parts each replica has cached, and the filter made from it. Replicas
announce no evictions, so each one's cache is modelled as a least-recently-used list over its cache tokens. Invariant:
a slot of the filter agrees with the exact record of the hashes that share it, except for omissions, which are
counted.
"""

import collections
import itertools
from collections.abc import Collection
from collections.abc import Sequence

from ploverward.data_plane.relay import cuckoo_filter
from ploverward.transport import row_codec

BUCKET_COUNT = 1024  # of a new filter, at least
MAX_INITIAL_BUCKETS = 1 << 14
PART_TOKENS = 512  # of a cached part: what a filter is sized for, since one that grows is published again to all
TARGET_LOAD_FACTOR = 0.7  # of a filter's slots
MAX_BUCKETS = 1 << 17
OWNER_BIT_HEADROOM = 1.5  # owner bits for each replica listed: a roll-out has old and new ones at the same time


def buckets_for(*, cache_tokens: int, replicas: int) -> int:
    """Buckets of a filter for all that so many replicas have in their caches, a power of two."""
    wanted = cache_tokens / PART_TOKENS * replicas / (cuckoo_filter.SLOTS * TARGET_LOAD_FACTOR)
    count = BUCKET_COUNT
    while count < min(wanted, MAX_INITIAL_BUCKETS):
        count *= 2
    return count


class Actor:
    """Exact ownership, reference counts and the filter of one pool.

    Args:
        cache_tokens: of each replica.
        bucket_count: of the filter, a power of two.
        words: of the filter's slots, see `cuckoo_filter.words_for`.
    """

    def __init__(self, *, cache_tokens: int, bucket_count: int = BUCKET_COUNT, words: int = 1) -> None:
        self.cache_tokens = cache_tokens
        self.filter = cuckoo_filter.Filter(bucket_count=bucket_count, words=words)
        self.is_short = False  # the filter had no room for a hash
        self.owner_bits: dict[str, int] = {}  # by replica id
        self._kept: dict[str, collections.OrderedDict[bytes, int]] = {}  # replica id: tokens by hash, oldest first
        self._sizes: dict[str, int] = {}  # replica id: tokens in its cache
        self._owners: dict[bytes, dict[str, bool]] = {}  # hash: its owners, the first one first
        self._groups: dict[cuckoo_filter.SlotId, set[bytes]] = {}  # hashes that share one slot
        self.omitted = 0  # reads and hashes that had no room

    def admit(self, replica: str) -> bool:
        """Whether the replica has an owner bit now; in a wide pool it needs none."""
        if replica in self.owner_bits:
            return True
        owner_bit = 0 if self.is_wide else self._next_owner_bit()
        if not self.is_wide and owner_bit >= self.filter.words * cuckoo_filter.BITS_PER_MASK_WORD:
            return False
        self.owner_bits[replica] = owner_bit
        self._kept[replica] = collections.OrderedDict()
        self._sizes[replica] = 0
        return True

    @property
    def is_wide(self) -> bool:
        """Whether slots name owners by tags: then a replica's owner bit has no meaning."""
        return self.filter.words == cuckoo_filter.WIDE

    def _next_owner_bit(self) -> int:
        owned = set(self.owner_bits.values())
        return next(owner_bit for owner_bit in range(len(owned) + 1) if owner_bit not in owned)

    def has_owner_bits_for(self, *, replicas: Collection[str]) -> bool:
        """Whether there is room for all these replicas in addition to the present ones."""
        count = len(set(self.owner_bits) | set(replicas))
        return self.is_wide or count <= self.filter.words * cuckoo_filter.BITS_PER_MASK_WORD

    def resize(self, *, owner_bits: int) -> None:
        """Makes a larger filter from the exact ownership, for a new generation. A wide pool stays wide.

        Args:
            owner_bits: how many replicas it needs room for.
        """
        wanted = cuckoo_filter.words_for(owner_bits=owner_bits)
        is_wide = cuckoo_filter.WIDE in (wanted, self.filter.words)
        words = cuckoo_filter.WIDE if is_wide else max(self.filter.words, wanted)
        bucket_count = self.filter.bucket_count
        if self.is_short and bucket_count < MAX_BUCKETS:
            bucket_count *= 2
        while self._rebuild(bucket_count=bucket_count, words=words) and bucket_count < MAX_BUCKETS:
            bucket_count *= 2
        self.is_short = False

    def _rebuild(self, *, bucket_count: int, words: int) -> int:
        """How many slots had no room in a filter of this size."""
        self.filter = cuckoo_filter.Filter(bucket_count=bucket_count, words=words)
        self._groups = {}
        for full_hash in self._owners:
            self._groups.setdefault(self._group(full_hash), set()).add(full_hash)
        return sum(
            not self.filter.put(full_hash=next(iter(owned)), bits=self._bits(group))
            for group, owned in self._groups.items()
        )

    def owners(self, full_hash: bytes) -> frozenset[str]:
        """Ids of the replicas that have this part."""
        return frozenset(self._owners.get(full_hash, ()))

    def kept_tokens(self, replica: str) -> int:
        """Tokens in a replica's cache, by the model."""
        return self._sizes.get(replica, 0)

    def read(self, *, replica: str, rows: Sequence[cuckoo_filter.HashedPart]) -> None:
        """The replica processed this prompt.

        Args:
            replica: its id.
            rows: (canonical sequence hash, tokens) of the prompt's parts, from the front.
        """
        if not self.admit(replica):
            self.omitted += 1
            return
        kept = self._kept[replica]
        last = len(rows) - 1
        for index, (full_hash, tokens) in enumerate(rows):
            if full_hash in kept:
                kept.move_to_end(full_hash)
                continue
            kept[full_hash] = tokens
            self._sizes[replica] += tokens
            # The last part is the request's own or its session's: until another replica has it, few will search for it.
            self._own(replica, full_hash, may_wait=index == last and full_hash not in self._owners)
        # Children are used no later than their parents: walk back so that the root is the youngest.
        for full_hash, _tokens in reversed(rows):
            if full_hash in kept:
                kept.move_to_end(full_hash)
        while self._sizes[replica] > self.cache_tokens and kept:
            full_hash, tokens = kept.popitem(last=False)
            self._sizes[replica] -= tokens
            self._disown(replica, full_hash)

    def forget(self, *, replica: str, full_hash: bytes) -> None:
        """An unknown removal does nothing."""
        kept = self._kept.get(replica)
        if kept is None or full_hash not in kept:
            return
        self._sizes[replica] -= kept.pop(full_hash)
        self._disown(replica, full_hash)

    def drop(self, *, replica: str) -> None:
        """Removes a replica and everything that it owned."""
        kept = self._kept.pop(replica, None)
        if kept is None:
            return
        for full_hash in kept:
            self._disown(replica, full_hash)
        self._sizes.pop(replica, None)
        self.owner_bits.pop(replica, None)

    def _group(self, full_hash: bytes) -> cuckoo_filter.SlotId:
        fingerprint, first, second = cuckoo_filter.fingerprint_and_buckets(
            full_hash=full_hash, bucket_count=self.filter.bucket_count
        )
        return fingerprint, min(first, second)

    def _bits(self, group: cuckoo_filter.SlotId) -> int:
        """The owners in the group's slot."""
        if self.is_wide:
            return self._wide_bits(group)
        bits = 0
        for full_hash in self._groups.get(group, ()):
            for owner in self._owners.get(full_hash, ()):
                bits |= 1 << self.owner_bits[owner]
        return bits

    def _wide_bits(self, group: cuckoo_filter.SlotId) -> int:
        hashes = self._groups.get(group, set())
        owners: Collection[str]
        if len(hashes) == 1:
            owners = self._owners.get(next(iter(hashes)), {})
        else:
            owners = dict.fromkeys(owner for owned in hashes for owner in self._owners.get(owned, ()))
        first = itertools.islice(owners, cuckoo_filter.OWNERS_NAMED)
        return cuckoo_filter.wide_value(
            count=len(owners), tags=[row_codec.replica_key(owner)[: cuckoo_filter.TAG_SIZE] for owner in first]
        )

    def _own(self, replica: str, full_hash: bytes, *, may_wait: bool) -> None:
        owners = self._owners.setdefault(full_hash, {})
        owners[replica] = True
        group = self._group(full_hash)
        self._groups.setdefault(group, set()).add(full_hash)
        if not self.filter.put(full_hash=full_hash, bits=self._bits(group), may_wait=may_wait):
            self.omitted += 1  # an observable omission; ownership stays exact
            self.is_short = self.filter.bucket_count < MAX_BUCKETS

    def _disown(self, replica: str, full_hash: bytes) -> None:
        """This may wait: until a subscriber knows, it only expects a part in a cache that is not there."""
        owners = self._owners[full_hash]
        owners.pop(replica, None)
        group = self._group(full_hash)
        if not owners:
            del self._owners[full_hash]
            self._groups[group].discard(full_hash)
        if self._groups[group]:
            self.filter.put(full_hash=full_hash, bits=self._bits(group), may_wait=True)
        else:
            del self._groups[group]
            self.filter.remove(full_hash=full_hash, may_wait=True)

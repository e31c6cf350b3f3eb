"""Prefix affinity: estimates which replicas have parts of a prompt cached (docs/relay.md).

There are three sources: the mirrors of the relays, this proxy's recent sends, which the mirrors may not show yet, and a
common rule: shared parts that no replica has cached are credited to one replica, the same at all proxies, so that they
are prefilled once. `PrefixAffinity` owns the recent sends.
"""

from __future__ import annotations

import hashlib
import typing

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from ploverward.data_plane.load_balancing import replica as replicas
    from ploverward.data_plane.load_balancing import replica_table

MAX_RECENT_SENDS = 20000  # entries; beyond this number, expired ones are dropped
RECENT_SEND_SHARE = 1 / 3  # share of contactMs: how long a send of this proxy counts; by then the mirror shows it

Chain = typing.Sequence[tuple[bytes, int]]  # (hash of all parts up to this one, tokens of this one)


class PrefixAffinity:
    """Estimates how many tokens of a prompt each replica has cached.

    Args:
        table: The replicas.
        regions: Mirrors by region (`relay.mirror.RegionMirror`).
        contact_s: The bound `contactMs`, in seconds.
        now: The loop's clock, in seconds.
    """

    def __init__(
        self,
        *,
        table: replica_table.ReplicaTable,
        regions: dict[str, typing.Any],
        contact_s: float,
        now: Callable[[], float],
    ) -> None:
        self._table = table
        self._regions = regions
        self._recent_s = contact_s * RECENT_SEND_SHARE
        self._now = now
        self._recent: dict[tuple[str, bytes], float] = {}  # by replica id and hash: when the send expires

    def note_send(self, *, replica: replicas.Replica, chain: Chain) -> None:
        """Records that a prompt was sent to a replica, which will have it cached."""
        now = self._now()
        for full_hash, _tokens in chain:
            self._recent[(replica.id, full_hash)] = now + self._recent_s
        if len(self._recent) > MAX_RECENT_SENDS:
            self._recent = {key: until for key, until in self._recent.items() if until > now}

    def sent_tokens(self, replica: replicas.Replica, chain: Chain) -> int:
        """Returns the number of tokens at the head of a prompt that this proxy has recently sent to a replica."""
        now = self._now()
        total = 0
        for full_hash, tokens in chain:
            if self._recent.get((replica.id, full_hash), 0.0) <= now:
                break
            total += tokens
        return total

    def cached_tokens(
        self,
        rows: Sequence[replicas.Replica],
        *,
        service: str,
        model: str,
        chain: Chain,
        permitted: frozenset[str] | None,
    ) -> dict[str, int]:
        """Returns the cached tokens of a prompt by replica id, from the mirrors and the rule for uncached parts."""
        cached: dict[str, int] = {}
        if not chain:
            return cached
        for name, region in self._regions.items():
            region_ids = [replica.id for replica in rows if replica.region == name]
            if region_ids:
                size = self._table.count(service=service, region=name)
                cached.update(
                    region.cached_tokens(service=service, model=model, chain=chain, replicas=region_ids, pool_size=size)
                )
        shared = chain[:-1]
        if shared:
            self.credit_owner(rows, shared=shared, cached=cached, service=service, permitted=permitted)
        return cached

    def credit_owner(
        self,
        rows: Sequence[replicas.Replica],
        *,
        shared: Chain,
        cached: dict[str, int],
        service: str,
        permitted: frozenset[str] | None,
    ) -> None:
        """Credits shared parts that no candidate has cached to one replica, which is the same at all proxies.

        Args:
            rows: The candidates.
            shared: The parts of the prompt that other prompts may have too: all but the last.
            cached: Cached tokens by replica id; the owner's entry is raised.
            service: The service.
            permitted: Regions that may be used, None for all.
        """
        tokens = sum(count for _hash, count in shared)
        if any(cached.get(replica.id, 0) >= tokens or self.sent_tokens(replica, shared) >= tokens for replica in rows):
            return
        last = shared[-1][0]
        owner: replicas.Replica | None
        if self._table.has_all_replicas(service):
            owner = max(rows, key=lambda replica: hashlib.blake2b(last + replica.id.encode(), digest_size=8).digest())
        else:
            candidate_ids = {replica.id for replica in rows}
            owner = self._table.prefill_owner(
                service=service, part=last, permitted=permitted, is_usable=lambda replica: replica.id in candidate_ids
            )
        if owner is not None:
            cached[owner.id] = max(cached.get(owner.id, 0), tokens)

    def owners(self, *, service: str, model: str, chain: Chain) -> tuple[int, list[replicas.Replica]]:
        """Finds the replicas that have most of a prompt cached, for a service of which this proxy uses a subset.

        Returns:
            The number of parts in the longest cached prefix of the prompt, and the replicas that the mirrors name for
            the longest cached prefix in each region.
        """
        found: dict[str, replicas.Replica] = {}
        longest = 0
        for region in self._regions.values() if chain else ():
            depth, tags = region.named_owners(service=service, model=model, chain=chain)
            longest = max(longest, depth)
            for replica in self._table.by_tags(service=service, tags=tags):
                found[replica.id] = replica
        return longest, list(found.values())

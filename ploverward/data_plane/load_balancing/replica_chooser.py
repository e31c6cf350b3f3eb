"""Chooses a replica for one attempt: the candidate with the lowest score (design 6).

`ReplicaChooser` owns no state of its own: measured prefill rates are in `scoring.PrefillRates`, sent prompts in
`prefix_affinity`, and replicas in the table. A replica that may not be used is never a candidate, whatever its score:
a mirror with wrong contents costs time, but breaks no rule (docs/requests.md 6, `test_broken_mirror.py`).
"""

from __future__ import annotations

import typing

from ploverward.data_plane.load_balancing import prefix_affinity
from ploverward.data_plane.load_balancing import scoring
from ploverward.data_plane.relay import load_feed

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container
    from collections.abc import Iterable

    from ploverward.common import settings as settings_files
    from ploverward.data_plane.load_balancing import replica as replicas
    from ploverward.data_plane.load_balancing import replica_table
    from ploverward.data_plane.quotas import shared_limits
    from ploverward.data_plane.rollouts import version_routing

REPEATED_PREFILL_WEIGHT = 1.0  # times the prefill time of tokens that another replica has cached: it is spent twice
MAX_CANARY_SLOTS_SHARE = 0.75  # of a canary replica's batch slots: with this share in use it is no candidate
MAX_CANARY_PREFILL_MS = 900.0  # pending prefill there: an overloaded canary is no evidence about its version


class ReplicaChooser:
    """Chooses replicas for attempts.

    Args:
        table: The replicas.
        settings: The settings of this node.
        regions: Mirrors by region (`relay.mirror.RegionMirror`).
        quota: Limits the requests to replicas in slow start, by this proxy's share of each limit.
        now: The loop's clock, in seconds.
        counted: Returns the part of this proxy's load at a replica that the mirrors' totals already include.

    Attributes:
        rates: Measured prefill rates.
        affinity: Estimates which replicas have parts of a prompt cached.
    """

    def __init__(
        self,
        *,
        table: replica_table.ReplicaTable,
        settings: settings_files.Settings,
        regions: dict[str, typing.Any],
        quota: shared_limits.SharedLimits,
        now: Callable[[], float],
        counted: Callable[[replicas.Replica], tuple[int, int, int]] = lambda replica: (0, 0, 0),
    ) -> None:
        contact_s = settings.bound_s(name="contactMs")
        self._table = table
        self._regions = regions
        self._quota = quota
        self._now = now
        self._counted = counted
        self.rates = scoring.PrefillRates()
        self.affinity = prefix_affinity.PrefixAffinity(table=table, regions=regions, contact_s=contact_s, now=now)
        self._scorer = scoring.Scorer(
            region=settings.region,
            crossing_s=contact_s / scoring.CROSSINGS_IN_CONTACT,
            latencies=table.latencies,
            now=now,
        )

    # Observations.
    def note_send(self, *, replica: replicas.Replica, chain: prefix_affinity.Chain) -> None:
        """Records that a prompt was sent to a replica."""
        self.affinity.note_send(replica=replica, chain=chain)

    def note_prefill(self, *, service: str, tokens: int, took_s: float) -> None:
        """Records a prefill: the first event arrived `took_s` seconds after the prompt, without the network latency."""
        self.rates.record(service=service, tokens=tokens, took_s=took_s)

    def expected_s(self, *, replica: replicas.Replica, tokens: int, is_connected: bool) -> float:
        """Returns the expected seconds to the first event at an idle replica.

        This is the network latency, which counts twice for a new connection, plus the time to prefill.
        """
        network_s = (self._table.estimate_latency_s(replica) or 0.0) * (1 if is_connected else 2)
        if not self._table.services.get(replica.service, {}).get("cache_tokens"):
            return network_s
        return network_s + tokens / self.rates.rate_of(replica.service) / 1000.0

    def load(self, replica: replicas.Replica) -> scoring.Load:
        """Returns the load of all proxies at a replica.

        This is the mirror's total, less the part of it that this proxy reported, plus this proxy's current load.
        """
        region = self._regions.get(replica.region)
        total = region.load.get(replica.key) if region is not None and region.is_fresh else None
        running, tokens = replica.running, sum(replica.prefill_tokens.values())
        if total is None:
            return running, tokens, False, False
        reported = self._counted(replica)
        return (
            running + max(0, total[0] - reported[0]),
            tokens + max(0, total[1] - reported[1]),
            total[2] > reported[2],
            bool(total[3] & load_feed.FAILING),
        )

    # Candidates.
    def candidates(
        self,
        *,
        service: str,
        permitted: frozenset[str] | None,
        model: str,
        avoid: Container[str],
        chain: prefix_affinity.Chain = (),
        pool: version_routing.VersionPool | None = None,
    ) -> list[replicas.Replica]:
        """Returns the replicas that may be chosen.

        These are the usable replicas of this proxy's subset, those that have most of the prompt cached, and the one
        that is to prefill the prompt's uncached shared parts. If no replica of the subset is usable, all usable
        replicas of the service are returned. If the pool names replicas, those of them that are usable and have
        capacity are returned.

        Args:
            service: The service.
            permitted: Regions that may be used, None for all.
            model: The model that the replica has to serve, empty for any.
            avoid: Ids of replicas that are not to be chosen.
            chain: The parts of the prompt.
            pool: The versions that may be used, None for all.
        """

        def usable(rows: Iterable[replicas.Replica]) -> list[replicas.Replica]:
            of_version = rows if pool is None else [replica for replica in rows if pool.has(replica)]
            return self._usable(of_version, permitted=permitted, model=model, avoid=avoid)

        table = self._table
        if pool is not None and pool.replicas:
            named = [table.replicas[name] for name in pool.replicas if name in table.replicas]
            return usable([replica for replica in named if self._has_canary_capacity(replica)])
        rows = usable(table.subset(service))
        if table.has_all_replicas(service):
            return rows
        if not rows:
            return usable(table.by_service.get(service, ()))
        subset_ids = {replica.id for replica in rows}
        depth, owners = self.affinity.owners(service=service, model=model, chain=chain)
        if depth < len(chain) - 1:
            prefill_owner = table.prefill_owner(
                service=service,
                part=chain[-2][0],
                permitted=permitted,
                is_usable=lambda replica: bool(usable([replica])),
            )
            if prefill_owner is not None and prefill_owner not in owners:
                owners.append(prefill_owner)
        return rows + usable([replica for replica in owners if replica.id not in subset_ids])

    def _has_canary_capacity(self, replica: replicas.Replica) -> bool:
        running, prefill_tokens, _is_suspected, _is_failing = self.load(replica)
        prefill_ms = prefill_tokens / self.rates.rate_of(replica.service)
        return running < MAX_CANARY_SLOTS_SHARE * replica.batch_slots and prefill_ms < MAX_CANARY_PREFILL_MS

    def _usable(
        self,
        rows: Iterable[replicas.Replica],
        *,
        permitted: frozenset[str] | None,
        model: str,
        avoid: Container[str],
    ) -> list[replicas.Replica]:
        evacuated_zones = self._table.evacuated_zones
        found = [
            replica
            for replica in rows
            # Suspected replicas are probed in the background: a request is rejected rather than used as a probe.
            if not replica.is_suspected
            and not replica.is_draining
            and replica.zone not in evacuated_zones
            and replica.id not in avoid
            and (permitted is None or replica.region in permitted)
            and (not model or not replica.models or model in replica.models)
        ]
        now = self._now()
        return [replica for replica in found if replica.backoff_until <= now] or found

    # The choice.
    def choose(
        self,
        *,
        service: str,
        permitted: frozenset[str] | None,
        model: str,
        chain: prefix_affinity.Chain,
        prompt_tokens: int,
        avoid: Container[str],
        latency_target_s: float = 1.0,
        adapter_load_s: Callable[[replicas.Replica], float] | None = None,
        pool: version_routing.VersionPool | None = None,
    ) -> tuple[replicas.Replica | None, int, bool]:
        """Chooses the replica with the lowest score among those that have capacity.

        Args:
            service: The service.
            permitted: Regions that may be used, None for all.
            model: The model that the replica has to serve, empty for any.
            chain: The parts of the prompt.
            prompt_tokens: The number of tokens of the whole prompt.
            avoid: Ids of replicas that are not to be chosen.
            latency_target_s: The latency target of the request, in seconds.
            adapter_load_s: Returns the seconds that a replica needs to load the adapter; None if the request names no
                adapter.
            pool: The versions that may be used, None for all.

        Returns:
            The replica or None, the number of tokens that it has to prefill, and whether there was any candidate.
        """
        rows = self.candidates(service=service, permitted=permitted, model=model, avoid=avoid, chain=chain, pool=pool)
        if not rows:
            return None, 0, False
        affinity, connections = self.affinity, self._table.pool
        service_row = self._table.services.get(service, {})
        rate = self.rates.rate_of(service)
        prefill_rate = rate if service_row.get("cache_tokens") else None
        cached = affinity.cached_tokens(rows, service=service, model=model, chain=chain, permitted=permitted)
        most_cached = max(cached.values(), default=0)
        now = self._now()
        best: replicas.Replica | None = None
        best_score, best_tokens = 0.0, 0
        for replica in rows:
            if not connections.has_capacity(replica):
                continue
            is_warming_up = replica.warming_up_until > now
            is_within_rate = self._quota.may_send(replica=replica, service=service_row, is_hard=is_warming_up)
            if is_warming_up and not is_within_rate:
                continue
            cached_tokens = max(cached.get(replica.id, 0), affinity.sent_tokens(replica, chain) if chain else 0)
            prefill_tokens = max(0, prompt_tokens - cached_tokens)
            score = self._scorer.score(
                replica,
                self.load(replica),
                rate=prefill_rate,
                prefill_tokens=prefill_tokens,
                is_warming_up=is_warming_up,
                is_within_rate=is_within_rate,
                latency_target_s=latency_target_s,
            )
            if most_cached > cached_tokens:
                score += (most_cached - cached_tokens) / rate * REPEATED_PREFILL_WEIGHT
            if adapter_load_s is not None:
                score += adapter_load_s(replica) * 1000.0  # the time to load the adapter there (docs/pins.md 5)
            if best is None or score < best_score:
                best, best_score, best_tokens = replica, score, prefill_tokens
        return best, best_tokens, True

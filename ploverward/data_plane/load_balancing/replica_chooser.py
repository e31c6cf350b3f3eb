"""The choice of a replica: tokens to read by the mirror, load, way (design 6)."""

import hashlib

from ploverward.data_plane.relay import load_feed

FIRST_RATE = 20.0  # tokens in a millisecond before anything was measured; ours
INTERFERENCE_WEIGHT = 4.0  # of a read, for a replica whose places are all taken
LATENCY_PART = 0.25  # of the way, where a prompt is to be read
REPEATED_PREFILL_WEIGHT = 1.0  # of the reading time, for tokens that another replica keeps
CANARY_SLOTS_FRACTION = 0.75  # of its places, that a replica of a version on trial may have taken
MAX_TRIAL_PREFILL_MS = 900.0  # of prompts that wait there
MIN_MEASURED_TOKENS = 500  # fewer tokens say more of the way than of the reading


class Chooser:
    """Scores are in milliseconds. The measured reading rate of each service is learnt from first events."""

    def __init__(self, *, table, settings, regions, quota, now, counted=lambda replica: (0, 0, 0)):
        self._table = table
        self._settings = settings
        self._regions = regions  # region: mirror.RegionMirror
        self._quota = quota
        self._counted = counted  # replica: our part of the sums that are shown
        self._now = now
        self._cross_region_penalty_s = settings.bound_s(name="contactMs") / 50
        self.rates = {}  # service: tokens read in a millisecond
        self.recent = {}  # (replica id, hash): until; our own sends that the mirror can't know yet

    def note_send(self, *, replica, chain) -> None:
        until = self._now() + self._settings.bound_s(name="contactMs") / 3
        for full_hash, _tokens in chain:
            self.recent[(replica.id, full_hash)] = until
        if len(self.recent) > 20000:
            now = self._now()
            self.recent = {key: when for key, when in self.recent.items() if when > now}

    def _own_cached_tokens(self, replica, chain) -> int:
        now = self._now()
        total = 0
        for full_hash, tokens in chain:
            if self.recent.get((replica.id, full_hash), 0.0) <= now:
                break
            total += tokens
        return total

    def load(self, replica) -> tuple:
        """(running, tokens to read, is suspect, is failing), of all proxies: the sums, less what they hold of ours, and ours."""
        region = self._regions.get(replica.region)
        total = region.load.get(replica.key) if region is not None and region.is_fresh else None
        running, tokens = replica.running, sum(replica.prefill_tokens.values())
        if total is None:
            return running, tokens, False, False
        own = self._counted(replica)
        return (
            running + max(0, total[0] - own[0]),
            tokens + max(0, total[1] - own[1]),
            total[2] > own[2],
            bool(total[3] & load_feed.FAILING),
        )

    def candidates(self, *, service: str, permitted, model: str, avoid, chain=(), pool=None) -> list:
        """Replicas that may be chosen: of the subset that this proxy looks at and of those that keep most of the prompt
        or are to read it first; of all, where that leaves nobody. `pool`: the versions that may be asked, None: all."""

        def usable(replicas) -> list:
            rows = replicas if pool is None else [replica for replica in replicas if pool.has(replica)]
            return self._usable(rows, permitted=permitted, model=model, avoid=avoid)

        if pool is not None and pool.replicas:
            named = [self._table.replicas[name] for name in pool.replicas if name in self._table.replicas]
            return usable([replica for replica in named if self._has_trial_capacity(replica)])
        rows = usable(self._table.subset(service))
        if self._table.has_all_replicas(service):
            return rows
        if not rows:
            return usable(self._table.by_service.get(service, ()))
        known = {replica.id for replica in rows}
        depth, owners = self._owners(service, model, chain)
        if depth < len(chain) - 1:
            first = self._table.prefill_owner(
                service=service, part=chain[-2][0], permitted=permitted, is_usable=lambda one: bool(usable([one]))
            )
            if first is not None and first not in owners:
                owners.append(first)
        return rows + usable([replica for replica in owners if replica.id not in known])

    def _has_trial_capacity(self, replica) -> bool:
        """Whether a replica that is tried out has room for one more request: it shows nothing by being overrun."""
        running, prefill_tokens, _is_bad, _is_failing = self.load(replica)
        reading_ms = prefill_tokens / self.rates.get(replica.service, FIRST_RATE)
        return running < CANARY_SLOTS_FRACTION * replica.batch_slots and reading_ms < MAX_TRIAL_PREFILL_MS

    def _owners(self, service: str, model: str, chain) -> tuple:
        """(parts in the longest run of the prompt that is kept anywhere, replicas that the mirrors name for the longest
        run in each region)."""
        found, most = {}, 0
        for region in self._regions.values() if chain else ():
            depth, tags = region.named_owners(service=service, model=model, chain=chain)
            most = max(most, depth)
            for replica in self._table.by_tags(service=service, tags=tags):
                found[replica.id] = replica
        return most, list(found.values())

    def _usable(self, replicas, *, permitted, model: str, avoid) -> list:
        now = self._now()
        rows = []
        for replica in replicas:
            if replica.is_clearing or replica.zone in self._table.evacuated_zones or replica.id in avoid:
                continue
            if permitted is not None and replica.region not in permitted:
                continue
            if model and replica.models and model not in replica.models:
                continue
            rows.append(replica)
        # Suspects are tried by connections of their own; a request is better refused at once than spent on them.
        rows = [replica for replica in rows if not replica.is_suspected]
        return [replica for replica in rows if replica.backoff_until <= now] or rows

    def choose(
        self,
        *,
        service: str,
        permitted,
        model: str,
        chain,
        prompt_tokens: int,
        avoid,
        latency_target_s: float = 1.0,
        load_s=None,
        pool=None,
    ) -> tuple:
        """(replica or None, tokens to read there, whether any could be named at all)."""
        service_row = self._table.services.get(service, {})
        rows = self.candidates(service=service, permitted=permitted, model=model, avoid=avoid, chain=chain, pool=pool)
        if not rows:
            return None, 0, False
        kept = {}
        if chain:
            for name, region in self._regions.items():
                there = [replica.id for replica in rows if replica.region == name]
                if there:
                    size = self._table.count(service=service, region=name)
                    kept.update(region.kept(service=service, model=model, chain=chain, replicas=there, pool_size=size))
        now = self._now()
        shared = chain[:-1]
        if shared:
            self._name_owner(rows, shared, kept, service, permitted)
        best = None
        most_kept = max(kept.values(), default=0)
        for replica in rows:
            if not self._table.has_capacity(replica=replica):
                continue
            is_warming_up = replica.warming_up_until > now
            may = self._quota.may_send(replica=replica, service=service_row, is_hard=is_warming_up)
            if is_warming_up and not may:
                continue
            known = max(kept.get(replica.id, 0), self._own_cached_tokens(replica, chain) if chain else 0)
            prefill_tokens = max(0, prompt_tokens - known)
            score = self._score(replica, service_row, prefill_tokens, is_warming_up, may, latency_target_s)
            if most_kept > known:  # what another one keeps would be read again here, which is paid for besides the time
                score += (most_kept - known) / self.rates.get(replica.service, FIRST_RATE) * REPEATED_PREFILL_WEIGHT
            if load_s is not None:
                score += load_s(replica) * 1000.0  # an adapter that it does not hold (docs/pins.md 5)
            if best is None or score < best[0]:
                best = (score, replica, prefill_tokens)
        if best is None:
            return None, 0, True
        return best[1], best[2], True

    def _name_owner(self, rows: list, shared, kept: dict, service: str, permitted) -> None:
        """Shared parts that no replica keeps yet: all proxies agree on who is to read them first."""
        tokens = sum(count for _hash, count in shared)
        if any(
            kept.get(replica.id, 0) >= tokens or self._own_cached_tokens(replica, shared) >= tokens for replica in rows
        ):
            return
        last = shared[-1][0]
        if self._table.has_all_replicas(service):
            owner = max(rows, key=lambda replica: hashlib.blake2b(last + replica.id.encode(), digest_size=8).digest())
        else:
            known = {replica.id for replica in rows}
            owner = self._table.prefill_owner(
                service=service, part=last, permitted=permitted, is_usable=lambda replica: replica.id in known
            )
        if owner is not None:
            kept[owner.id] = max(kept.get(owner.id, 0), tokens)

    def expected_s(self, *, replica, tokens: int, is_connected: bool) -> float:
        """Seconds to the first event at an idle replica: the way, twice by a new connection, and the reading."""
        network_latency_s = (self._table.estimate_latency_s(replica) or 0.0) * (1 if is_connected else 2)
        if not self._table.services.get(replica.service, {}).get("cache_tokens"):
            return network_latency_s
        return network_latency_s + tokens / self.rates.get(replica.service, FIRST_RATE) / 1000.0

    def note_read(self, *, service: str, tokens: int, took_s: float) -> None:
        """The reading rate of a service, as its quicker answers show it: a maximum that fades."""
        if took_s > 0 and tokens >= MIN_MEASURED_TOKENS:
            seen = tokens / (took_s * 1000.0)
            self.rates[service] = max(seen, self.rates.get(service, FIRST_RATE) * 0.99)

    def _score(self, replica, service_row, prefill_tokens, is_warming_up, may, latency_target_s) -> float:
        """Milliseconds to the first event, as far as this node can tell, and what the choice costs others."""
        running, pending, is_bad, is_failing = self.load(replica)
        batch_slots = max(1, replica.batch_slots)
        network_latency_s = self._table.estimate_latency_s(replica)
        if network_latency_s is None:
            network_latency_s = 0.0 if replica.region == self._settings.region else self._cross_region_penalty_s
        wait = network_latency_s * 1000.0 * (1 if replica.idle else 2)
        if service_row.get("cache_tokens"):
            rate = self.rates.get(replica.service, FIRST_RATE)
            reading = (prefill_tokens + pending) / rate
            # A long read slows all that run beside it.
            prefill_contention = prefill_tokens / rate * running / batch_slots * INTERFERENCE_WEIGHT
            # Inside the aim a longer way harms little, while what is read again is paid for twice.
            score = (
                reading
                + prefill_contention
                + wait * LATENCY_PART
                + running / batch_slots * 120.0
                + max(0.0, wait + reading - latency_target_s * 400.0) * 2.0
            )
        else:
            score = wait + running / batch_slots * 90.0
        if running >= batch_slots:
            score += 400.0 * (running - batch_slots + 1) / batch_slots + 200.0
        if replica.region != self._settings.region:
            score += self._cross_region_penalty_s * 200.0  # what crosses is priced
        if not replica.idle:
            score += self._cross_region_penalty_s * 100.0  # a new connection is priced
        if is_bad:
            score += 1500.0
        if is_failing:
            score += 1500.0
        score += replica.recent_failures(now=self._now()) * self._cross_region_penalty_s * 2000.0
        if is_warming_up:
            score += 40.0
        if not may:
            score += 300.0
        return score

"""The choice of a replica: tokens to read by the mirror, busyness, way (design 6)."""


class Chooser:
    """Scores are in milliseconds. The measured reading rate of each service is learnt from first events."""

    def __init__(self, *, table, settings, regions, quota, now):
        self._table = table
        self._settings = settings
        self._regions = regions  # region: mirror.Region
        self._quota = quota
        self._now = now
        self.recent = {}  # (replica id, hash): until; our own sends that the mirror can't know yet

    def note_send(self, *, replica, chain) -> None:
        until = self._now() + self._settings.bound_s(name="contactMs") / 3
        for full_hash, _tokens in chain:
            self.recent[(replica.id, full_hash)] = until
        if len(self.recent) > 20000:
            now = self._now()
            self.recent = {key: when for key, when in self.recent.items() if when > now}

    def _own_kept(self, replica, chain) -> int:
        now = self._now()
        total = 0
        for full_hash, tokens in chain:
            if self.recent.get((replica.id, full_hash), 0.0) <= now:
                break
            total += tokens
        return total

    def busyness(self, replica) -> tuple:
        """(running, tokens to read, is suspect), of all proxies."""
        region = self._regions.get(replica.region)
        others = region.busyness.get(replica.id) if region is not None and region.is_fresh else None
        running, tokens, is_bad = others if others is not None else (0, 0, False)
        return running + replica.running, tokens + sum(replica.to_read.values()), is_bad

    def candidates(self, *, service: str, permitted, model: str, avoid) -> list:
        now = self._now()
        rows = []
        for replica in self._table.by_service.get(service, ()):
            if replica.is_clearing or replica.zone in self._table.out_zones or replica.id in avoid:
                continue
            if permitted is not None and replica.region not in permitted:
                continue
            if model and replica.models and model not in replica.models:
                continue
            rows.append(replica)
        fit = [replica for replica in rows if replica.away_until <= now and not replica.is_suspect]
        return fit or rows

    def choose(self, *, service: str, permitted, model: str, chain, prompt_tokens: int, avoid) -> tuple:
        """(replica or None, tokens to read there, whether any could be named at all)."""
        spec = self._table.services.get(service, {})
        rows = self.candidates(service=service, permitted=permitted, model=model, avoid=avoid)
        if not rows:
            return None, 0, False
        kept = {}
        if chain:
            for name, region in self._regions.items():
                there = [replica.id for replica in rows if replica.region == name]
                if there:
                    kept.update(region.kept(service=service, model=model, chain=chain, replicas=there))
        now = self._now()
        best = None
        for replica in rows:
            if not self._table.has_room(replica=replica):
                continue
            is_cold = replica.cold_until > now
            may = self._quota.may_send(replica=replica, service=spec, is_hard=is_cold)
            if is_cold and not may:
                continue
            known = max(kept.get(replica.id, 0), self._own_kept(replica, chain) if chain else 0)
            to_read = max(0, prompt_tokens - known)
            score = self._score(replica, spec, to_read, is_cold, may)
            if best is None or score < best[0]:
                best = (score, replica, to_read)
        if best is None:
            return None, 0, True
        return best[1], best[2], True

    def _score(self, replica, spec, to_read, is_cold, may) -> float:
        running, pending, is_bad = self.busyness(replica)
        berths = max(1, replica.berths)
        if spec.get("cache_tokens"):
            read_rate = 45.0
            score = (to_read + pending) / read_rate + running / berths * 120.0
        else:
            score = running / berths * 90.0
        if running >= berths:
            score += 400.0 * (running - berths + 1) / berths + 200.0
        if replica.zone != self._settings.zone:
            score += 4.0 if replica.region == self._settings.region else 100.0
        if is_bad:
            score += 1500.0
        if is_cold:
            score += 40.0
        if not may:
            score += 300.0
        return score

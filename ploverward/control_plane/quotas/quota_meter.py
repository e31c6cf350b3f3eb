"""Quotas at a core node: what all proxies admitted of each tenant, and who may admit how much more (docs/quotas.md).

Counts are cumulative for one life of a proxy and merged by taking the greater, so loss, repeats and order change nothing.
A tenant far from its limit is free everywhere; close to it, each core node hands out its own part of the limit as credits,
by the demand that each proxy sees.
"""

import dataclasses
import math

from ploverward.common import tenant_usage

MIN_DEPTH_SHARE = 0.2  # of the error that the bound allows, by which a bucket is deeper than the burst
MAX_DEPTH_SHARE = 0.6  # the same for small tenants, of which little is admitted while a report is on its way
REPORT_S = 0.8  # from an admission to the last proxy that acts on it
SCARCE_PART = 0.4  # of the depth, below which admissions want credits
DEMAND_SPAN_S = 0.8  # over which the demand of all proxies is reckoned
FREE_DEMAND = 1.1  # of the limit: a tenant that asks for more goes on wanting credits, however full its bucket is
FREE_PART = 0.6  # of the depth, above which they don't any more
START_PART = 0.5  # of the depth beyond the burst, at the start: what went before is not known, so nobody has the burst
START_DEBT_S = 0.5  # of the rate, that is taken off besides
START_SCARCE_PART = 0.12  # of the depth, below which admissions want credits from the start
ISSUE_S = 0.5  # seconds of its part that a core node may have left to hand out
MAX_GAP_S = 0.8  # between two reports of a proxy, that its credits cover
DEMAND_KEPT_S = 1.5
DEMAND_WEIGHT = 0.5  # of the newest report, in a proxy's demand
KNOWN_S = 60.0  # how long a proxy that is out of touch may go on admitting by itself


@dataclasses.dataclass(frozen=True)
class Bounds:
    """How far the requests of a tenant may exceed its limit, over any window."""

    window_s: float
    excess: float
    slack: float

    def error(self, limit: tenant_usage.Limit) -> float:
        """Requests beyond per_s x window + burst that the bound allows."""
        return self.excess * (limit.per_s * self.window_s + limit.burst) + self.slack


class Bucket:
    """One tenant's tokens over all proxies, as this core node reckons; below 0 after more was admitted than there was."""

    def __init__(self, *, limit: tenant_usage.Limit, bounds: Bounds, now: float):
        self._bounds = bounds
        self.at = now
        self.issue = 0.0  # credits that this core node may hand out now
        self.asked_per_s = 0.0  # by all proxies, let in or not
        self.demands = {}  # proxy: (requests a report, when)
        self._asked_at = {}  # proxy: when it last got credits
        self._set(limit)
        self.level = (self.depth - limit.burst) * START_PART - limit.per_s * START_DEBT_S
        self.is_scarce = self.level < START_SCARCE_PART * self.depth

    def _set(self, limit: tenant_usage.Limit) -> None:
        self.limit = limit
        error = self._bounds.error(limit)
        self.depth = limit.burst + max(MIN_DEPTH_SHARE * error, MAX_DEPTH_SHARE * error - REPORT_S * limit.per_s)

    def change_limit(self, *, limit: tenant_usage.Limit, now: float, part: float) -> None:
        self.refill(now=now, part=part)
        self._set(limit)
        self.level = min(self.level, self.depth)

    def refill(self, *, now: float, part: float) -> None:
        """`part`: of the limit, that this core node hands out."""
        elapsed_s = max(0.0, now - self.at)
        self.at = now
        self.level = min(self.depth, self.level + elapsed_s * self.limit.per_s)
        rate = self._issue_rate(part)
        self.asked_per_s *= math.exp(-elapsed_s / DEMAND_SPAN_S)
        self.issue = min(rate * ISSUE_S, self.issue + elapsed_s * rate)
        if self.level > FREE_PART * self.depth and self.asked_per_s <= FREE_DEMAND * self.limit.per_s:
            self.is_scarce = False

    def _issue_rate(self, part: float) -> float:
        """Credits a second. Those that nobody spends leave the bucket fuller: so much more may be handed out."""
        return part * self.limit.per_s * (1.0 + max(0.0, self.level / self.depth))

    def charge(self, count: int) -> None:
        self.level = max(self.level - count, -self.limit.per_s * self._bounds.window_s)
        if self.level < SCARCE_PART * self.depth:
            self.is_scarce = True

    def note_demand(self, *, proxy, count: int, now: float) -> None:
        self.asked_per_s += count / DEMAND_SPAN_S
        previous, _when = self.demands.get(proxy, (float(count), now))
        self.demands[proxy] = (previous + DEMAND_WEIGHT * (count - previous), now)

    def credit(self, *, proxy, now: float, part: float) -> float:
        """Credits for one proxy: its part, by demand, of what this core node hands out between two of its reports."""
        elapsed_s = min(MAX_GAP_S, now - self._asked_at.get(proxy, now - MAX_GAP_S / 2))
        self._asked_at[proxy] = now
        self.demands = {name: row for name, row in self.demands.items() if now - row[1] <= DEMAND_KEPT_S}
        total = sum(count for count, _when in self.demands.values())
        demand = self.demands.get(proxy, (0.0, 0.0))[0]
        if self.level <= 0.0 or total <= 0.0:
            return 0.0
        tokens = min(self.issue, demand / total * self._issue_rate(part) * elapsed_s)
        self.issue -= tokens
        return tokens


class QuotaMeter:
    """Usage and credits of all tenants. `part()`: this core node's part of every bound."""

    def __init__(self, *, now, bounds: Bounds, part):
        self._now = now
        self._bounds = bounds
        self._part = part
        self._buckets = {}  # tenant: Bucket
        self._admitted = {}  # proxy: {tenant: admitted} in its present life
        self._incarnations = {}  # proxy: its life
        self._heard = {}  # proxy: when it last reported

    def install(self, body) -> None:
        """The limits of a configuration."""
        limits = tenant_usage.limits_of(body)
        now = self._now()
        for key in self._buckets.keys() - limits.keys():
            del self._buckets[key]
        for key, limit in limits.items():
            bucket = self._buckets.get(key)
            if bucket is None:
                self._buckets[key] = Bucket(limit=limit, bounds=self._bounds, now=now)
            elif bucket.limit != limit:
                bucket.change_limit(limit=limit, now=now, part=self._share())

    def proxies(self) -> int:
        """Those that may be admitting requests, in touch or not."""
        now = self._now()
        self._heard = {proxy: when for proxy, when in self._heard.items() if now - when <= KNOWN_S}
        return max(1, len(self._heard))

    def _share(self) -> float:
        """This node's part, less what proxies out of touch may admit by themselves."""
        now = self._now()
        known = self.proxies()
        lost = sum(now - when > DEMAND_KEPT_S for when in self._heard.values())
        return self._part() * (1.0 - lost / known)

    def record(self, *, proxy: str, incarnation: str, rows: list) -> None:
        """One report of a proxy. Rows of tenants without a limit are left out."""
        now = self._now()
        self._heard[proxy] = now
        if proxy not in self._incarnations:
            # What it admitted before this node heard of it is no news of now: this node may have been restarted.
            self._admitted[proxy] = {row.tenant: row.admitted for row in rows}
        elif self._incarnations[proxy] != incarnation:
            self._admitted[proxy] = {}
        self._incarnations[proxy] = incarnation
        admitted = self._admitted.setdefault(proxy, {})
        part = self._share()
        for row in rows:
            bucket = self._buckets.get(row.tenant)
            if bucket is None:
                continue
            bucket.refill(now=now, part=part)
            bucket.charge(max(0, row.admitted - admitted.get(row.tenant, 0)))
            admitted[row.tenant] = max(admitted.get(row.tenant, 0), row.admitted)
            bucket.note_demand(proxy=proxy, count=row.demand, now=now)

    def credits(self, *, proxy: str) -> list:
        """Tenants that want credits now, with those for this proxy."""
        now = self._now()
        part = self._share()
        found = []
        for key, bucket in self._buckets.items():
            if not bucket.is_scarce:
                continue
            bucket.refill(now=now, part=part)
            if bucket.is_scarce:
                found.append(tenant_usage.Credit(tenant=key, tokens=bucket.credit(proxy=proxy, now=now, part=part)))
        return found

    def view(self) -> dict:
        """For operators, by tenant's digest: level, depth, whether credits are wanted."""
        part = self._share()
        for bucket in self._buckets.values():
            bucket.refill(now=self._now(), part=part)
        return {
            key.hex(): {
                "perS": bucket.limit.per_s,
                "burst": bucket.limit.burst,
                "level": round(bucket.level, 2),
                "depth": round(bucket.depth, 2),
                "scarce": bucket.is_scarce,
            }
            for key, bucket in self._buckets.items()
        }

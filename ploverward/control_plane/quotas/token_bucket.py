"""A tenant's token bucket over all proxies, as one core node estimates it (docs/quotas.md 3, 4).

The bucket has two states. Above its thresholds the tenant is admitted freely everywhere. Once the level falls below
`SCARCE_DEPTH_SHARE` the tenant is scarce: proxies need credits, which this core node issues out of its own share of
the limit, to each proxy by the demand that it reports. It stays scarce until the level is above `FREE_DEPTH_SHARE`
and the demand is close to the limit again; the distance between the two thresholds keeps it from changing back and
forth.
"""

import dataclasses
import math

from ploverward.common import tenant_usage

MIN_DEPTH_TOLERANCE = 0.2  # fraction of the allowed overrun; a bucket is deeper than the burst by at least this
MAX_DEPTH_TOLERANCE = 0.6  # the same for small tenants, of which few requests are admitted while a report is in flight
REPORT_DELAY_S = 0.8  # time from an admission to the last proxy that acts on it
SCARCE_DEPTH_SHARE = 0.4  # fraction of the depth, below which admissions need credits
FREE_DEPTH_SHARE = 0.6  # fraction of the depth, above which admissions need no credits any more
FREE_DEMAND_SHARE = 1.1  # multiple of the limit; with more demand, a tenant stays scarce however full its bucket is
DEMAND_SPAN_S = 0.8  # time constant of the demand of all proxies
# Fraction of the depth beyond the burst, at which a bucket starts. Earlier admissions are unknown, so no tenant has the
# burst.
INITIAL_DEPTH_SHARE = 0.5
INITIAL_DEBT_S = 0.5  # seconds of the rate that are also subtracted from the initial level
INITIAL_SCARCE_DEPTH_SHARE = 0.12  # fraction of the depth; a bucket that starts with less is scarce from the start
MAX_ISSUABLE_S = 0.5  # seconds of its share of the rate that a core node may accumulate to issue
MAX_REPORT_GAP_S = 0.8  # longest time between two reports of a proxy that its credits cover
DEMAND_VALID_S = 1.5  # how long the demand in a proxy's report is used; after that, the proxy counts as out of contact
DEMAND_WEIGHT = 0.5  # weight of the newest report in the moving average of a proxy's demand


@dataclasses.dataclass(frozen=True)
class QuotaTolerance:
    """How far the requests of a tenant may exceed its limit, over any window of `window_s` seconds."""

    window_s: float
    excess: float  # fraction of what the limit allows in a window
    slack: float  # requests

    def allowed_overrun(self, limit: tenant_usage.Limit) -> float:
        """Returns the number of requests tolerated in a window beyond `per_s` x window + `burst`."""
        return self.excess * (limit.per_s * self.window_s + limit.burst) + self.slack


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyDemand:
    """A proxy's smoothed demand for one tenant."""

    count: float  # requests per report
    reported_at: float


class TokenBucket:
    """The token bucket of one tenant.

    The level becomes negative if more requests were admitted than there were tokens, but not below minus one window of
    the rate. `owned_share` in the methods below is this core node's share of the limit, 0 to 1.
    """

    def __init__(self, *, limit: tenant_usage.Limit, tolerance: QuotaTolerance, now: float) -> None:
        self.demands: dict[str, ProxyDemand] = {}  # by proxy
        self._tolerance = tolerance
        self._refilled_at = now
        self._issuable = 0.0  # credits that this core node may issue now
        self._demand_per_s = 0.0  # of all proxies, admitted or not
        self._credited_at: dict[str, float] = {}  # by proxy
        self._set_limit(limit)
        self.level = (self.depth - limit.burst) * INITIAL_DEPTH_SHARE - limit.per_s * INITIAL_DEBT_S
        self.is_scarce = self.level < INITIAL_SCARCE_DEPTH_SHARE * self.depth

    def _set_limit(self, limit: tenant_usage.Limit) -> None:
        self.limit = limit
        overrun = self._tolerance.allowed_overrun(limit)
        in_flight = REPORT_DELAY_S * limit.per_s
        self.depth = limit.burst + max(MIN_DEPTH_TOLERANCE * overrun, MAX_DEPTH_TOLERANCE * overrun - in_flight)

    def change_limit(self, *, limit: tenant_usage.Limit, now: float, owned_share: float) -> None:
        """Applies a new limit from now on; tokens beyond the new depth are discarded."""
        self.refill(now=now, owned_share=owned_share)
        self._set_limit(limit)
        self.level = min(self.level, self.depth)

    def refill(self, *, now: float, owned_share: float) -> None:
        """Adds the tokens and issuable credits for the time since the last call."""
        elapsed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self.level = min(self.depth, self.level + elapsed_s * self.limit.per_s)
        issue_per_s = self._issue_per_s(owned_share)
        self._demand_per_s *= math.exp(-elapsed_s / DEMAND_SPAN_S)
        self._issuable = min(issue_per_s * MAX_ISSUABLE_S, self._issuable + elapsed_s * issue_per_s)
        if self.level > FREE_DEPTH_SHARE * self.depth and self._demand_per_s <= FREE_DEMAND_SHARE * self.limit.per_s:
            self.is_scarce = False

    def _issue_per_s(self, owned_share: float) -> float:
        """Returns the issuable credits per second. Unspent credits leave the bucket fuller, so that more are issued."""
        return owned_share * self.limit.per_s * (1.0 + max(0.0, self.level / self.depth))

    def charge(self, count: int) -> None:
        """Subtracts admitted requests from the level."""
        self.level = max(self.level - count, -self.limit.per_s * self._tolerance.window_s)
        if self.level < SCARCE_DEPTH_SHARE * self.depth:
            self.is_scarce = True

    def record_demand(self, *, proxy: str, count: int, now: float) -> None:
        """Records the requests in one report of a proxy, whether they were admitted or not."""
        self._demand_per_s += count / DEMAND_SPAN_S
        previous = self.demands[proxy].count if proxy in self.demands else float(count)
        smoothed = previous + DEMAND_WEIGHT * (count - previous)
        self.demands[proxy] = ProxyDemand(count=smoothed, reported_at=now)

    def issue_credits(self, *, proxy: str, now: float, owned_share: float) -> float:
        """Issues credits to a proxy: its share, by demand, of what this core node issues between two of its reports.

        Returns:
            Requests that the proxy may admit; 0 while the bucket is in debt.
        """
        elapsed_s = min(MAX_REPORT_GAP_S, now - self._credited_at.get(proxy, now - MAX_REPORT_GAP_S / 2))
        self._credited_at[proxy] = now
        self.demands = {
            name: demand for name, demand in self.demands.items() if now - demand.reported_at <= DEMAND_VALID_S
        }
        total = sum(demand.count for demand in self.demands.values())
        if self.level <= 0.0 or total <= 0.0:
            return 0.0
        count = self.demands[proxy].count if proxy in self.demands else 0.0
        tokens = min(self._issuable, count / total * self._issue_per_s(owned_share) * elapsed_s)
        self._issuable -= tokens
        return tokens

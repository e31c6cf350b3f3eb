"""Quotas of tenants at a core node: counts of admitted requests, and credits for more (docs/quotas.md).

`QuotaMeter` owns the counts of admitted requests that proxies report. They form a grow-only counter: each proxy's
count is cumulative for one incarnation, and the greatest one counts. So lost, repeated or reordered reports change
nothing (`test_record_merges_repeated_and_reordered_reports_to_the_same_level`).
"""

import dataclasses
import itertools
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from ploverward.common import tenant_usage
from ploverward.control_plane.quotas import token_bucket

PROXY_EXPIRY_S = 60.0  # time without reports for which a proxy is assumed to admit requests by itself


@dataclasses.dataclass(slots=True)
class ProxyUsage:
    """Requests that one incarnation of a proxy admitted."""

    incarnation: str
    admitted: dict[bytes, int]  # by tenant key


class QuotaMeter:
    """Usage and credits of all tenants.

    Args:
        now: Clock of this process, in seconds.
        tolerance: How far all proxies together may exceed a limit.
        owned_share: Returns this core node's share of every limit, 0 to 1.
    """

    def __init__(
        self, *, now: Callable[[], float], tolerance: token_bucket.QuotaTolerance, owned_share: Callable[[], float]
    ) -> None:
        self._now = now
        self._tolerance = tolerance
        self._owned_share = owned_share
        self._buckets: dict[bytes, token_bucket.TokenBucket] = {}  # by tenant key
        self._usage: dict[str, ProxyUsage] = {}  # by proxy
        self._reported_at: dict[str, float] = {}  # by proxy, in the order of the last reports

    def install(self, configuration: Mapping | None) -> None:
        """Installs the limits of a configuration."""
        limits = tenant_usage.limits_of(configuration)
        now = self._now()
        for key in self._buckets.keys() - limits.keys():
            del self._buckets[key]
        for key, limit in limits.items():
            bucket = self._buckets.get(key)
            if bucket is None:
                self._buckets[key] = token_bucket.TokenBucket(limit=limit, tolerance=self._tolerance, now=now)
            elif bucket.limit != limit:
                bucket.change_limit(limit=limit, now=now, owned_share=self._issuable_share())

    def proxy_count(self) -> int:
        """Returns the number of proxies that may be admitting requests, in contact or isolated; at least 1."""
        for proxy in self._silent_for(PROXY_EXPIRY_S):
            del self._reported_at[proxy]
        return max(1, len(self._reported_at))

    def _silent_for(self, span_s: float) -> list[str]:
        """Returns the proxies that have not reported for longer than `span_s`.

        They come first in `_reported_at`, so the search ends at the first other proxy.
        """
        now = self._now()
        silent = itertools.takewhile(lambda row: now - row[1] > span_s, self._reported_at.items())
        return [proxy for proxy, _at in silent]

    def _issuable_share(self) -> float:
        """Returns the owned share less an even part for each isolated proxy, which admits that much by itself."""
        count = self.proxy_count()
        isolated = len(self._silent_for(token_bucket.DEMAND_VALID_S))
        return self._owned_share() * (1.0 - isolated / count)

    def record(self, *, proxy: str, incarnation: str, rows: Sequence[tenant_usage.Usage]) -> None:
        """Merges one report of a proxy. Rows of tenants without a limit are ignored."""
        now = self._now()
        self._reported_at.pop(proxy, None)
        self._reported_at[proxy] = now
        admitted = self._admitted_before(proxy=proxy, incarnation=incarnation, rows=rows)
        owned_share = self._issuable_share()
        for row in rows:
            bucket = self._buckets.get(row.tenant)
            if bucket is None:
                continue
            bucket.refill(now=now, owned_share=owned_share)
            known = admitted.get(row.tenant, 0)
            bucket.charge(max(0, row.admitted - known))
            admitted[row.tenant] = max(known, row.admitted)
            bucket.record_demand(proxy=proxy, count=row.demand, now=now)

    def _admitted_before(self, *, proxy: str, incarnation: str, rows: Sequence[tenant_usage.Usage]) -> dict[bytes, int]:
        """Returns the counts of this incarnation before the report, by tenant key; the caller updates them."""
        usage = self._usage.get(proxy)
        if usage is None:
            # It may have admitted these requests long ago, since this node may have been restarted: don't charge them.
            usage = ProxyUsage(incarnation=incarnation, admitted={row.tenant: row.admitted for row in rows})
            self._usage[proxy] = usage
        elif usage.incarnation != incarnation:
            usage.incarnation, usage.admitted = incarnation, {}
        return usage.admitted

    def credits(self, *, proxy: str) -> list[tenant_usage.Credit]:
        """Issues credits to a proxy, and returns them for each scarce tenant."""
        now = self._now()
        owned_share = self._issuable_share()
        credits = []
        for key, bucket in self._buckets.items():
            if not bucket.is_scarce:
                continue
            bucket.refill(now=now, owned_share=owned_share)
            if bucket.is_scarce:
                tokens = bucket.issue_credits(proxy=proxy, now=now, owned_share=owned_share)
                credits.append(tenant_usage.Credit(tenant=key, tokens=tokens))
        return credits

    def view(self) -> dict[str, dict[str, float | bool]]:
        """Returns JSON for operators, by tenant key in hexadecimal: limit, level, depth, whether it is scarce."""
        now = self._now()
        owned_share = self._issuable_share()
        for bucket in self._buckets.values():
            bucket.refill(now=now, owned_share=owned_share)
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

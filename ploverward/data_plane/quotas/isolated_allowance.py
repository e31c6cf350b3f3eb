"""Admission of tenants' requests while the proxy is isolated: no core node is in contact (docs/quotas.md 3).

Core nodes reserve an even share of each limit for every isolated proxy, so that all proxies together do not exceed it.
`IsolatedAllowance` owns a token bucket for each tenant, and the rate at which the proxy admitted each tenant's requests
while it was in contact.
"""

import math
import typing
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from ploverward.common import tenant_usage

NEW_TENANT_RATE_SHARE = 0.3  # fraction of an even share of the limit: minimum rate, also for tenants new at this proxy
KNOWN_TENANT_RATE_FACTOR = 1.1  # times the tenant's rate while the proxy was in contact
RATE_WINDOW_S = 8.0  # time constant of the rates' exponential decay
ASSUMED_PROXY_COUNT = 200  # until a core node has reported the number of proxies
INITIAL_TOKENS = 1.0
INITIAL_TOKENS_NEVER_IN_CONTACT = 0.5  # all proxies may start at once, and none knows how many there are


class _Bucket(typing.NamedTuple):
    tokens: float
    filled_at: float


class IsolatedAllowance:
    """Token buckets of tenants, refilled at about the rate at which the proxy admitted requests while in contact.

    Attributes:
        proxy_count: The number of proxies that share a limit.
        was_in_contact: Whether a core node has ever replied.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self.proxy_count = ASSUMED_PROXY_COUNT
        self.was_in_contact = False
        self._now = now
        self._buckets: dict[bytes, _Bucket] = {}  # by tenant key
        self._rates: dict[bytes, float] = {}  # by tenant key: requests per second while in contact
        self._counted: dict[bytes, int] = {}  # by tenant key: admitted requests when its rate was last updated
        self._rates_at = now()

    def keep_only(self, tenants: Collection[bytes]) -> None:
        """Drops the buckets of all tenants but these."""
        self._buckets = {tenant: bucket for tenant, bucket in self._buckets.items() if tenant in tenants}

    def update_rates(self, *, tenants: Iterable[bytes], admitted: Mapping[bytes, int]) -> None:
        """Updates the rates from the cumulative counts of admitted requests; called while in contact."""
        now = self._now()
        elapsed_s, self._rates_at = now - self._rates_at, now
        kept = math.exp(-max(0.0, elapsed_s) / RATE_WINDOW_S)
        for tenant in tenants:
            count = admitted[tenant] - self._counted.get(tenant, 0)
            self._counted[tenant] = admitted[tenant]
            self._rates[tenant] = self._rates.get(tenant, 0.0) * kept + count / RATE_WINDOW_S

    def try_admit(self, tenant: bytes, limit: tenant_usage.Limit) -> bool:
        """Spends a token on one request of the tenant; returns False if the bucket has none."""
        now = self._now()
        initial = INITIAL_TOKENS if self.was_in_contact else INITIAL_TOKENS_NEVER_IN_CONTACT
        tokens, filled_at = self._buckets.get(tenant, (initial, now))
        new_tenant_rate = NEW_TENANT_RATE_SHARE * limit.per_s / self.proxy_count
        rate = max(new_tenant_rate, KNOWN_TENANT_RATE_FACTOR * self._rates.get(tenant, 0.0))
        tokens = min(max(1.0, limit.burst / self.proxy_count), tokens + (now - filled_at) * rate)
        is_admitted = tokens >= 1.0
        self._buckets[tenant] = _Bucket(tokens - 1.0 if is_admitted else tokens, now)
        return is_admitted

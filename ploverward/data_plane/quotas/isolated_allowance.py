"""What a proxy admits of tenants while no core node is in contact (docs/quotas.md 3).

Core nodes reserve an even share of each limit for every isolated proxy, which all proxies together do not exceed.
`IsolatedAllowance` owns a token bucket for each tenant and the rates at which the proxy admitted them in contact.
"""

import math
import typing
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from ploverward.common import tenant_usage

NEW_TENANT_RATE_SHARE = 0.3  # of an even share of the limit, for a tenant that is new at this proxy
KNOWN_TENANT_RATE_FACTOR = 1.1  # of the rate before, for the others
RATE_WINDOW_S = 8.0  # time constant of the rates
ASSUMED_PROXY_COUNT = 200  # before a core node reported their number
INITIAL_TOKENS = 1.0
INITIAL_TOKENS_NEVER_IN_CONTACT = 0.5  # all proxies may start at once, and none knows how many there are


class _Bucket(typing.NamedTuple):
    tokens: float
    filled_at: float


class IsolatedAllowance:
    """Token buckets of tenants, filled by what the proxy admitted before.

    Attributes:
        proxy_count: How many proxies share a limit.
        was_in_contact: Whether a core node has ever replied.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self.proxy_count = ASSUMED_PROXY_COUNT
        self.was_in_contact = False
        self._now = now
        self._buckets: dict[bytes, _Bucket] = {}  # by tenant key
        self._rates: dict[bytes, float] = {}  # by tenant key: requests a second in contact
        self._counted: dict[bytes, int] = {}  # by tenant key: admitted when its rate was updated last
        self._rates_at = now()

    def keep_only(self, tenants: Collection[bytes]) -> None:
        """Drops the buckets of all other tenants."""
        self._buckets = {tenant: bucket for tenant, bucket in self._buckets.items() if tenant in tenants}

    def update_rates(self, *, tenants: Iterable[bytes], admitted: Mapping[bytes, int]) -> None:
        """Updates the rates in contact, by the cumulative counts of admitted requests."""
        now = self._now()
        elapsed_s, self._rates_at = now - self._rates_at, now
        kept = math.exp(-max(0.0, elapsed_s) / RATE_WINDOW_S)
        for tenant in tenants:
            count = admitted[tenant] - self._counted.get(tenant, 0)
            self._counted[tenant] = admitted[tenant]
            self._rates[tenant] = self._rates.get(tenant, 0.0) * kept + count / RATE_WINDOW_S

    def try_admit(self, tenant: bytes, limit: tenant_usage.Limit) -> bool:
        """Spends a token on one request of the tenant, if there is one."""
        now = self._now()
        initial = INITIAL_TOKENS if self.was_in_contact else INITIAL_TOKENS_NEVER_IN_CONTACT
        tokens, filled_at = self._buckets.get(tenant, (initial, now))
        new_tenant_rate = NEW_TENANT_RATE_SHARE * limit.per_s / self.proxy_count
        rate = max(new_tenant_rate, KNOWN_TENANT_RATE_FACTOR * self._rates.get(tenant, 0.0))
        tokens = min(max(1.0, limit.burst / self.proxy_count), tokens + (now - filled_at) * rate)
        is_admitted = tokens >= 1.0
        self._buckets[tenant] = _Bucket(tokens - 1.0 if is_admitted else tokens, now)
        return is_admitted

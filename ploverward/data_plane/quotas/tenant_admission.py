"""Tenants at a proxy: whose key a request bears, how sure this proxy is of that, and how much of a quota is left here.

docs/keys.md, docs/quotas.md.
"""

import collections
import dataclasses
import enum
import hashlib
import math
import os

from ploverward.common import tenant_usage

BEARER = b"bearer "
BASE_CREDITS = 1.0  # a proxy keeps so many, though it gets only parts of one at a time
LEASE_SHARE = 0.15  # of contactMs: how long an answer of a core node says how a tenant stands
MAX_REFUSAL_AGE_SHARE = (
    0.25  # of contactMs: so fresh a proxy's configuration is, for it to refuse a key that it does not know
)
REVOKE_SHARE = 0.96  # of revokeMs: older than this, no key is trusted
STANDINGS_KEPT = 16
ISOLATED_RATE_SHARE = (
    0.3  # of an even part of the limit, that a proxy out of touch lets in of a tenant that is new there
)
ISOLATED_RATE_FACTOR = 1.1  # what it let in before, of the others
RATE_WINDOW_S = 8.0  # over which that is reckoned
ASSUMED_PROXY_COUNT = 200  # taken to be there before a core node said how many are


@dataclasses.dataclass(frozen=True)
class Tenant:
    """A tenant as the configuration has it."""

    name: str
    priority: int | None
    homes: tuple
    limit: tenant_usage.Limit | None

    @property
    def key(self) -> bytes:
        return tenant_usage.tenant_key(self.name)


def key_of(header: bytes) -> bytes:
    """The key in an Authorization header; empty where there is none."""
    text = header.strip()
    if text[: len(BEARER)].lower() != BEARER:
        return b""
    return text[len(BEARER) :].strip()


class TenantDirectory:
    """The tenants of one configuration, found by a keyed digest of their keys. None where it names no tenants."""

    def __init__(self, *, body):
        self._salt = os.urandom(16)
        self._by_digest = {}
        self.by_name = {}
        for row in body["senders"]:
            per_s = float(row.get("perS") or 0)
            limit = tenant_usage.Limit(per_s=per_s, burst=float(row.get("burst") or 0)) if per_s > 0 else None
            priority = row.get("urgency")
            tenant = Tenant(
                name=row["name"],
                priority=None if priority is None else int(priority),
                homes=tuple(row.get("homeRegions") or ()),
                limit=limit,
            )
            self.by_name[tenant.name] = tenant
            for key in row.get("apiKeys") or ():
                self._by_digest[self._digest(key.encode())] = tenant

    def _digest(self, key: bytes) -> bytes:
        return hashlib.blake2b(key, digest_size=16, key=self._salt).digest()

    def find(self, key: bytes) -> Tenant | None:
        """Whose key it is."""
        return self._by_digest.get(self._digest(key))


def tenant_directory_of(body) -> TenantDirectory | None:
    return TenantDirectory(body=body) if (body or {}).get("senders") is not None else None


class ConfigurationFreshness:
    """How fresh this proxy's configuration is: as of when nothing newer was acknowledged than what it has.

    A core node in contact with a majority tells the newest version that it knows to be chosen, and how long ago it is
    certain that there was none newer; that counts back from when it was asked, on this proxy's clock.
    """

    def __init__(self, *, now):
        self._now = now
        self._reported = {}  # core node: (fresh as of, version)

    def record(self, *, core: str, version: int, asked_at: float, age_s: float) -> None:
        self._reported[core] = (asked_at - age_s, version)
        while len(self._reported) > STANDINGS_KEPT:
            self._reported.pop(next(iter(self._reported)))

    def age_s(self, *, version: int) -> float:
        """Seconds since a moment at which nothing newer than `version`, which this proxy has, was acknowledged."""
        fresh = [as_of for as_of, reported in self._reported.values() if reported <= version]
        return self._now() - max(fresh) if fresh else float("inf")


class Verdict(enum.Enum):
    """What becomes of a request as far as its key goes."""

    ADMITTED = "admitted"
    UNKNOWN = "unknown"  # 401: no configuration has this key
    UNSURE = "unsure"  # 503: this proxy may be behind


@dataclasses.dataclass(frozen=True)
class CredentialFreshness:
    """How long this proxy's configuration is trusted, in seconds; `revoke_s` 0: keys are not revoked strictly."""

    max_refusal_age_s: float
    max_key_age_s: float

    @classmethod
    def of(cls, settings) -> "CredentialFreshness":
        strict = settings.bound(name="revocationStrict") > 0
        return cls(
            max_refusal_age_s=settings.bound_s(name="contactMs") * MAX_REFUSAL_AGE_SHARE,
            max_key_age_s=settings.bound_s(name="revokeMs") * REVOKE_SHARE if strict else 0.0,
        )

    def verdict(self, *, tenant: Tenant | None, has_key: bool, age_s: float) -> Verdict:
        if tenant is None:
            return Verdict.UNKNOWN if not has_key or age_s <= self.max_refusal_age_s else Verdict.UNSURE
        if self.max_key_age_s and age_s >= self.max_key_age_s:
            return Verdict.UNSURE
        return Verdict.ADMITTED


class QuotaAllowance:
    """What this proxy may admit of each tenant: all while the tenant is far from its limit, credits close to it, and a
    small even part while no core node is in touch."""

    def __init__(self, *, now, lease_s: float):
        self._now = now
        self._lease_s = lease_s
        self._limits = {}  # tenant: Limit
        self._admitted = collections.Counter()
        self._demand = collections.Counter()
        self._returned_admissions = {}  # tenant: until when each place that was given back may be used
        self._credits = {}  # tenant: credits left
        self._limited_tenants = {}  # core node: (until, tenants that want credits)
        self._reported = {}  # core node: {tenant: admitted, as last told}
        self._isolated_buckets = {}  # tenant: (tokens, when) while no core node is in touch
        self._proxies = ASSUMED_PROXY_COUNT
        self._was_in_touch = False
        self._rates = {}  # tenant: requests let in a second
        self._rated = {}  # tenant: admitted, when its rate was reckoned last
        self._rated_at = now()

    def install(self, body) -> None:
        self._limits = tenant_usage.limits_of(body)
        for table in (self._credits, self._isolated_buckets):
            for key in table.keys() - self._limits.keys():
                del table[key]

    @property
    def is_on(self) -> bool:
        return bool(self._limits)

    def admit(self, tenant: bytes) -> bool:
        """Whether one more request of this tenant is let in; it is counted then."""
        limit = self._limits.get(tenant)
        if limit is None:
            return True
        self._demand[tenant] += 1
        if self._take_returned_admission(tenant):
            return True
        if not self._may_admit(tenant, limit):
            return False
        self._admitted[tenant] += 1
        return True

    def return_admission(self, tenant: bytes) -> None:
        """A request that was let in has not run and never will."""
        if tenant in self._limits:
            self._returned_admissions.setdefault(tenant, collections.deque()).append(self._now() + self._lease_s)

    def _take_returned_admission(self, tenant: bytes) -> bool:
        """Takes a place that was given back lately."""
        places = self._returned_admissions.get(tenant)
        while places:
            if places.popleft() > self._now():
                return True
        return False

    def _may_admit(self, tenant: bytes, limit: tenant_usage.Limit) -> bool:
        now = self._now()
        live = [scarce for until, scarce in self._limited_tenants.values() if until > now]
        if not live:
            return self._may_admit_isolated(tenant, limit, now)
        if 2 * sum(tenant in scarce for scarce in live) < len(live):
            return True  # by most core nodes: one that has just started knows nothing of what went before
        if self._credits.get(tenant, 0.0) < 1.0:
            return False
        self._credits[tenant] -= 1.0
        return True

    def _may_admit_isolated(self, tenant: bytes, limit: tenant_usage.Limit, now: float) -> bool:
        """What this proxy let in of the tenant before, and a little for those that are new here.

        Core nodes set an even part of the limit aside for each proxy out of touch; all of them together keep to it.
        """
        first = 1.0 if self._was_in_touch else 0.5
        tokens, when = self._isolated_buckets.get(tenant, (first, now))
        rate = max(
            ISOLATED_RATE_SHARE * limit.per_s / self._proxies, ISOLATED_RATE_FACTOR * self._rates.get(tenant, 0.0)
        )
        tokens = min(max(1.0, limit.burst / self._proxies), tokens + (now - when) * rate)
        is_let_in = tokens >= 1.0
        self._isolated_buckets[tenant] = (tokens - 1.0 if is_let_in else tokens, now)
        return is_let_in

    def report(self, *, core: str) -> bytes:
        """What this core node is to be told now: rows that changed since it was told last."""
        reported = self._reported.setdefault(core, {})
        rows = []
        for tenant in self._limits:
            demand = self._demand[tenant]
            admitted = self._admitted[tenant]
            if demand or admitted != reported.get(tenant, 0):
                rows.append(tenant_usage.Usage(tenant=tenant, demand=demand, admitted=admitted))
                reported[tenant] = admitted
        return tenant_usage.pack_usage(rows)

    def end_report(self) -> None:
        """All core nodes have been told: demand is counted anew."""
        self._demand.clear()
        now = self._now()
        if any(until > now for until, _limited_tenants in self._limited_tenants.values()):
            self._note_rates(now)

    def _note_rates(self, now: float) -> None:
        """What was let in of each tenant a second, lately and while a core node was in touch."""
        elapsed_s, self._rated_at = now - self._rated_at, now
        kept = math.exp(-max(0.0, elapsed_s) / RATE_WINDOW_S)
        for tenant in self._limits:
            count = self._admitted[tenant] - self._rated.get(tenant, 0)
            self._rated[tenant] = self._admitted[tenant]
            self._rates[tenant] = self._rates.get(tenant, 0.0) * kept + count / RATE_WINDOW_S

    def forget(self, *, core: str) -> None:
        """The link to this core node ended: what it was told last may not have come."""
        self._reported.pop(core, None)

    def record(self, *, core: str, asked_at: float, proxies: int, credits: list) -> None:
        """A core node's answer to a report that was sent at `asked_at`."""
        until = asked_at + self._lease_s
        current = self._limited_tenants.get(core)
        if current is not None and current[0] >= until:
            return
        self._limited_tenants[core] = (until, frozenset(row.tenant for row in credits))
        self._proxies = max(1, proxies)
        self._was_in_touch = True
        for row in credits:
            if row.tenant in self._limits:
                most = BASE_CREDITS + row.tokens * len(self._limited_tenants)
                self._credits[row.tenant] = min(most, self._credits.get(row.tenant, 0.0) + row.tokens)

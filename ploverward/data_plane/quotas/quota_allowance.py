"""Admission of requests by the tenants' quotas (docs/quotas.md 3).

A tenant that most core nodes in contact do not list as scarce is far from its limit and is admitted without a check.
A scarce tenant needs a credit for each request; core nodes send credits with their replies to reports. While no core
node is in contact, the proxy uses its isolated allowance.

`QuotaAllowance` owns the counts of this incarnation. They only grow, so that core nodes can merge reports in any order
(a G-counter, `ploverward.control_plane.quotas.quota_meter`).
"""

import collections
import typing
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from ploverward.common import tenant_usage
from ploverward.data_plane.quotas import isolated_allowance

LEASE_CONTACTS = 0.15  # share of contactMs: how long a core node's reply is valid
BASE_CREDITS = 1.0  # credits kept in addition to the newest ones: a core node sends a fraction of a credit at a time


class _CoreReply(typing.NamedTuple):
    until: float
    scarce_tenants: frozenset[bytes]


class QuotaAllowance:
    """Admits requests of tenants with limits.

    Args:
        now: Clock of this process, in seconds.
        lease_s: How long a core node's reply is valid, counted from when the report that it answers was sent.
    """

    def __init__(self, *, now: Callable[[], float], lease_s: float) -> None:
        self._now = now
        self._lease_s = lease_s
        self._limits: dict[bytes, tenant_usage.Limit] = {}  # by tenant key, as all below
        self._admitted: collections.Counter[bytes] = collections.Counter()  # in this incarnation
        self._demand: collections.Counter[bytes] = collections.Counter()  # since the last report
        self._returned: dict[bytes, collections.deque[float]] = {}  # when each returned admission expires
        self._credits: dict[bytes, float] = {}
        self._core_replies: dict[str, _CoreReply] = {}  # by core node
        self._reported: dict[str, dict[bytes, int]] = {}  # by core node: admitted requests in its last report
        self._isolated = isolated_allowance.IsolatedAllowance(now=now)

    def install(self, configuration: Mapping[str, Any] | None) -> None:
        """Installs the limits of a configuration, and drops the credits of tenants without one."""
        self._limits = tenant_usage.limits_of(configuration)
        self._credits = {tenant: tokens for tenant, tokens in self._credits.items() if tenant in self._limits}
        self._isolated.keep_only(self._limits.keys())

    @property
    def has_limits(self) -> bool:
        """Whether any tenant has a limit."""
        return bool(self._limits)

    def admit(self, tenant: bytes) -> bool:
        """Admits and counts one more request of this tenant; returns False if its quota does not allow it."""
        limit = self._limits.get(tenant)
        if limit is None:
            return True
        self._demand[tenant] += 1
        if self._use_returned_admission(tenant):
            return True
        if not self._try_admit(tenant, limit):
            return False
        self._admitted[tenant] += 1
        return True

    def return_admission(self, tenant: bytes) -> None:
        """Returns the admission of a request that will never run.

        The admission stays counted, and one more request may use it while it is valid.
        """
        if tenant in self._limits:
            self._returned.setdefault(tenant, collections.deque()).append(self._now() + self._lease_s)

    def _use_returned_admission(self, tenant: bytes) -> bool:
        returned = self._returned.get(tenant)
        while returned:
            if returned.popleft() > self._now():
                return True
        return False

    def _try_admit(self, tenant: bytes, limit: tenant_usage.Limit) -> bool:
        now = self._now()
        live = [reply.scarce_tenants for reply in self._core_replies.values() if reply.until > now]
        if not live:
            return self._isolated.try_admit(tenant, limit)
        if 2 * sum(tenant in scarce for scarce in live) < len(live):
            return True  # the majority of the replies decides, because a core node that has just started has no counts
        if self._credits.get(tenant, 0.0) < 1.0:
            return False
        self._credits[tenant] -= 1.0
        return True

    def report(self, *, core: str) -> bytes:
        """Returns the rows that changed since the last report to this core node, packed for `messages.RenewShares`."""
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
        """Resets the counts of demand; called once the reports to all core nodes have been sent.

        While a core node is in contact, it also updates the rates of the isolated allowance.
        """
        self._demand.clear()
        now = self._now()
        if any(reply.until > now for reply in self._core_replies.values()):
            self._isolated.update_rates(tenants=self._limits, admitted=self._admitted)

    def clear_reported(self, *, core: str) -> None:
        """Makes the next report to this core node complete.

        Called when the connection to it has ended, because the last report may not have arrived.
        """
        self._reported.pop(core, None)

    def proxy_count(self) -> int:
        """Returns the number of proxies that a core node reported last."""
        return self._isolated.proxy_count

    def record(self, *, core: str, sent_at: float, proxy_count: int, credits: Iterable[tenant_usage.Credit]) -> None:
        """Records a core node's reply, unless it answers no newer report than the last recorded reply of that node.

        Args:
            core: The core node.
            sent_at: When the report that the reply answers was sent, on this proxy's clock.
            proxy_count: The number of proxies.
            credits: The scarce tenants, each with new credits for this proxy.
        """
        until = sent_at + self._lease_s
        current = self._core_replies.get(core)
        if current is not None and current.until >= until:
            return
        credits = list(credits)
        self._core_replies[core] = _CoreReply(until, frozenset(credit.tenant for credit in credits))
        self._isolated.proxy_count = max(1, proxy_count)
        self._isolated.was_in_contact = True
        for credit in credits:
            if credit.tenant in self._limits:
                max_credits = BASE_CREDITS + credit.tokens * len(self._core_replies)
                self._credits[credit.tenant] = min(max_credits, self._credits.get(credit.tenant, 0.0) + credit.tokens)

"""Grants proxies their shares of the global limits (design 8, docs/control.md 2, docs/quotas.md).

Owns this core node's share of every limit, and the leases on that share. A lease counts until it has expired and the
limit's window after it has passed. Invariant: the leases of all core nodes that count never add up to more than the
limit, whichever machines are lost, frozen, evicted or restarted. That is why no lease is granted without the majority
lease, and why an increase of a share takes effect only after a wait.
"""

from collections.abc import Callable
from collections.abc import Collection

from ploverward.common import tenant_usage
from ploverward.control_plane import core_timing
from ploverward.control_plane.cluster import core_membership
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.quotas import quota_meter
from ploverward.control_plane.quotas import rate_slots
from ploverward.control_plane.quotas import share_leases
from ploverward.transport import interfaces
from ploverward.transport import messages

RATE_WINDOW_S = 1.5  # a proxy counts rates over one second; the rest allows for clocks that run late
FIRST_START_WITHHOLD_TIMEOUTS = 2  # peer timeouts from process start until leases are granted, at a first start
# Multiple of `lease_s` until all leases of an evicted member have expired: its majority lease, then the share lease
# that it granted last.
EVICTION_LEASE_PERIODS = 2


class OwnedShares:
    """This core node's shares of the limits on retry slack and on rates.

    The two are kept apart because spent retries count for retryWindowS, but a rate only for `RATE_WINDOW_S`.

    Args:
        own: Address of this node.
        now: Returns the time in seconds.
        timing: Lease durations and timeouts of this node.

    Attributes:
        slack: Share of the retry slack.
        rate: Share of the rates.
    """

    def __init__(
        self,
        *,
        own: str,
        now: Callable[[], float],
        timing: core_timing.CoreTiming,
    ) -> None:
        self._own = own
        # An evicted member may grant leases until its majority lease ends; each of them counts for its duration and the
        # window after it.
        eviction_s = EVICTION_LEASE_PERIODS * timing.lease_s
        self.slack = share_leases.OwnedShare(now=now, transfer_wait_s=eviction_s + timing.retry_window_s)
        self.rate = share_leases.OwnedShare(now=now, transfer_wait_s=eviction_s + RATE_WINDOW_S)

    def begin_first_start(self, members: Collection[str]) -> None:
        """Takes up the share at once at the first start of the system.

        This node is a founding member of the core set, so no other node can have had its share.
        """
        self.resume(core_membership.AgreedCoreSet(members=tuple(members), version=0))

    def install(self, agreed: core_membership.AgreedCoreSet) -> None:
        """Installs this node's share under the agreed core set; an increase takes effect after the transfer wait."""
        share = self._share_under(agreed.members)
        self.slack.install(share=share, version=agreed.version)
        self.rate.install(share=share, version=agreed.version)

    def resume(self, agreed: core_membership.AgreedCoreSet) -> None:
        """Resumes the share of this node's earlier incarnation, which stored this core set on disk as agreed.

        No other node can have had that share under this version. The lease tables wait until the leases of the earlier
        incarnation have expired.
        """
        share = self._share_under(agreed.members)
        self.slack.resume(share=share, version=agreed.version)
        self.rate.resume(share=share, version=agreed.version)

    def _share_under(self, members: Collection[str]) -> float:
        return 1.0 / len(members) if self._own in members else 0.0


class ShareLeaseGranter:
    """Grants share leases to the proxies that renew them.

    Args:
        now: Returns the time in seconds.
        timing: Lease durations and timeouts of this node.
        started_at: Start of this process on that clock. No lease is granted until the leases that the earlier
            incarnation may have granted up to then have expired.
        owned: This node's share of every limit.
        membership: The agreed core set, and whether this node has the majority lease.
        sessions: The connected proxies.
        meter: Usage of the tenants, and their credits.
        has_tenants: Returns whether the configuration has tenants.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        timing: core_timing.CoreTiming,
        started_at: float,
        owned: OwnedShares,
        membership: core_membership.CoreMembership,
        sessions: peer_sessions.PeerSessions,
        meter: quota_meter.QuotaMeter,
        has_tenants: Callable[[], bool],
    ) -> None:
        self._now = now
        self._lease_s = timing.lease_s
        self._owned = owned
        self._membership = membership
        self._sessions = sessions
        self._meter = meter
        self._has_tenants = has_tenants
        self._started_at = started_at
        self._first_start_withhold_s = timing.peer_timeout_s * FIRST_START_WITHHOLD_TIMEOUTS
        self._rates_from = started_at + timing.lease_s + RATE_WINDOW_S
        self._slack_table = share_leases.ShareTable(
            now=now,
            lease_s=timing.lease_s,
            window_s=timing.retry_window_s,
            withheld_until=started_at + timing.lease_s + timing.retry_window_s,
        )
        self._rate_table = share_leases.ShareTable(
            now=now, lease_s=timing.lease_s, window_s=RATE_WINDOW_S, withheld_until=self._rates_from
        )
        self._slots = rate_slots.RateSlots(now=now, reserved_s=timing.lease_s + RATE_WINDOW_S)

    def begin_first_start(self) -> None:
        """Shortens the wait before the first grant at the first start of the system.

        There are no leases of an earlier incarnation to wait for.
        """
        granted_from = self._started_at + self._first_start_withhold_s
        self._rates_from = min(self._rates_from, granted_from)
        self._slack_table.withhold_until(granted_from)
        self._rate_table.withhold_until(self._rates_from)

    def handle_renewal(self, connection: interfaces.Connection, message: messages.RenewShares) -> None:
        """Replies to a proxy with its share lease, and with its quota status if tenants are configured.

        A draining proxy gets no new lease and uses its last one until that expires. Without the majority lease no reply
        is sent; earlier leases expire on their own.
        """
        proxy = self._sessions.proxy_of(connection)
        if proxy is None or not self._membership.has_majority_lease():
            return
        if not proxy.is_draining:
            connection.send(self._grant(proxy, message.number))
        if self._has_tenants():
            self._meter.record(
                proxy=proxy.address,
                incarnation=proxy.incarnation,
                rows=tenant_usage.unpack_usage(message.usage_rows),
            )
            connection.send(self._quota_status(proxy, message.number))

    def _grant(self, proxy: peer_sessions.Peer, number: int) -> messages.ShareLease:
        self._owned.install(self._membership.agreed())
        live_proxies = self._sessions.proxy_count
        rate_share = self._owned.rate.value()
        slot = rate_slots.NO_SLOT
        if rate_share > 0 and self._now() >= self._rates_from:
            slot = self._slots.renew(node=proxy.address)
        return messages.ShareLease(
            slack_share=self._slack_table.renew(
                node=proxy.address, owned_share=self._owned.slack.value(), live_nodes=live_proxies
            ),
            rate_share=self._rate_table.renew(node=proxy.address, owned_share=rate_share, live_nodes=live_proxies),
            duration_s=self._lease_s,
            core_share=rate_share,
            slot=slot.slot,
            slot_count=slot.slot_count,
            number=number,
        )

    def _quota_status(self, proxy: peer_sessions.Peer, number: int) -> messages.QuotaStatus:
        credit_rows = tenant_usage.pack_credits(self._meter.credits(proxy=proxy.address))
        age = self._membership.configuration_age()
        return messages.QuotaStatus(
            number=number,
            configuration_version=age.version,
            age_s=age.age_s,
            proxy_count=self._meter.proxy_count(),
            credit_rows=credit_rows,
        )

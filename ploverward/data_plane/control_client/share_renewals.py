"""Renewal of a proxy's shares of the limits at each core node (docs/control.md 2, docs/quotas.md, design 8).

At each heartbeat the proxy requests its share from every core node and reports what it admitted of each tenant. An
answer counts from when the renewal was sent, on this proxy's clock, whenever it arrives: so no lease lasts longer
here than at the core node that granted it. The state is when each of the newest renewals was sent.
"""

from collections.abc import Callable

from ploverward.common import tenant_usage
from ploverward.common.identifiers import NO_VERSION
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import subscriber as subscribers
from ploverward.data_plane.control_client import core_connections
from ploverward.data_plane.quotas import credential_freshness
from ploverward.data_plane.quotas import quota_allowance as quota_allowances
from ploverward.data_plane.quotas import shared_limits
from ploverward.transport import messages
from ploverward.transport import peer_connection

MAX_PENDING_RENEWALS = 16  # leases that answer older renewals have run out


class RenewalLog:
    """When the newest renewals were sent."""

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._number = 0
        self._sent_at: dict[int, float] = {}

    def start_renewal(self) -> int:
        """The number of a renewal that is sent now."""
        self._number += 1
        self._sent_at[self._number] = self._now()
        self._sent_at.pop(self._number - MAX_PENDING_RENEWALS, None)
        return self._number

    def sent_at(self, number: int) -> float | None:
        """When the renewal was sent, in seconds; None for one that is too old or was never sent."""
        return self._sent_at.get(number)


class ShareRenewals:
    """Sends renewals and installs the answers."""

    def __init__(
        self,
        *,
        now: Callable[[], float],
        connections: core_connections.CoreConnections,
        quota: shared_limits.SharedLimits,
        quota_allowance: quota_allowances.QuotaAllowance,
        configuration_freshness: credential_freshness.ConfigurationFreshness,
    ) -> None:
        """Creates renewals of which none is sent.

        Args:
            now: seconds on a monotonic clock.
            connections: to the core nodes.
            quota: receives the share leases.
            quota_allowance: reports what was admitted of each tenant, and receives what may be.
            configuration_freshness: receives how recent the configuration here is.
        """
        self._log = RenewalLog(now=now)
        self._connections = connections
        self._quota = quota
        self._quota_allowance = quota_allowance
        self._configuration_freshness = configuration_freshness

    def renew(self) -> None:
        """Requests this proxy's share from each core node."""
        number = self._log.start_renewal()
        for host, connection in self._connections.established_connections():
            usage = self._quota_allowance.report(core=host) if self._quota_allowance.has_limits else b""
            connection.send(messages.RenewShares(number=number, usage_rows=usage))
        self._quota_allowance.end_report()

    def handle_share_lease(
        self, _host: str, connection: peer_connection.PeerConnection, message: messages.ShareLease
    ) -> None:
        """Installs the shares that a core node leases to this proxy."""
        sent_at = self._log.sent_at(message.number)
        if sent_at is not None:
            # By the core node's address: the lease of an ended connection and that of its successor are one.
            self._quota.handle_share_lease(connection.peer, message, sent_at=sent_at)

    def handle_quota_status(
        self, host: str, _connection: peer_connection.PeerConnection, message: messages.QuotaStatus
    ) -> None:
        """Records how fresh the configuration here is, and what may be admitted of each tenant."""
        sent_at = self._log.sent_at(message.number)
        if sent_at is None:
            return
        self._configuration_freshness.record(
            core=host, version=message.configuration_version, sent_at=sent_at, age_s=message.age_s
        )
        self._quota_allowance.record(
            core=host,
            sent_at=sent_at,
            proxy_count=message.proxy_count,
            credits=tenant_usage.unpack_credits(message.credit_rows),
        )

    def handle_end(self, host: str) -> None:
        """A connection ended: what was reported last may not have arrived, and is reported again."""
        self._quota_allowance.clear_reported(core=host)

    def configuration_age_s(self, subscriber: subscribers.Subscriber) -> float:
        """Seconds since a moment at which nothing newer was acknowledged than what this proxy has."""
        installed = subscriber.versions.get(register_names.CONFIGURATION, NO_VERSION)
        return self._configuration_freshness.age_s(version=installed.number)

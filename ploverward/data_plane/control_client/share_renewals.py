"""Renewal of a proxy's shares of the limits at each core node (docs/control.md 2, docs/quotas.md, design 8).

At each heartbeat the proxy requests its share from every core node and reports the usage that it admitted for each
tenant. A lease starts when the renewal was sent, on this proxy's clock, however late the response arrives, so that no
lease lasts longer here than at the core node that granted it. The renewal log keeps when the newest renewals were
sent.
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

MAX_PENDING_RENEWALS = 16  # leases granted for older renewals have expired


class RenewalLog:
    """Records when the newest renewals were sent."""

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._number = 0
        self._sent_at: dict[int, float] = {}

    def start_renewal(self) -> int:
        """Returns the number of a renewal that is sent now, and records the time."""
        self._number += 1
        self._sent_at[self._number] = self._now()
        self._sent_at.pop(self._number - MAX_PENDING_RENEWALS, None)
        return self._number

    def sent_at(self, number: int) -> float | None:
        """Returns when a renewal was sent, in seconds; None for one that is too old or was never sent."""
        return self._sent_at.get(number)


class ShareRenewals:
    """Sends renewals and installs the shares and quotas received in response."""

    def __init__(
        self,
        *,
        now: Callable[[], float],
        connections: core_connections.CoreConnections,
        quota: shared_limits.SharedLimits,
        quota_allowance: quota_allowances.QuotaAllowance,
        configuration_freshness: credential_freshness.ConfigurationFreshness,
    ) -> None:
        """Creates the object without sending a renewal.

        Args:
            now: Returns seconds on a monotonic clock.
            connections: Connections to the core nodes.
            quota: Receives the share leases.
            quota_allowance: Reports the usage admitted for each tenant, and receives the tenants' credits.
            configuration_freshness: Receives how recent the installed configuration is.
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
            # Keyed by the core node's address: leases received on an ended connection and on its successor are one.
            self._quota.handle_share_lease(connection.peer, message, sent_at=sent_at)

    def handle_quota_status(
        self, host: str, _connection: peer_connection.PeerConnection, message: messages.QuotaStatus
    ) -> None:
        """Records how recent the installed configuration is, and the usage that may be admitted for each tenant."""
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
        """Makes the next usage report complete: the last one may have been lost with the connection that ended."""
        self._quota_allowance.clear_reported(core=host)

    def configuration_age_s(self, subscriber: subscribers.Subscriber) -> float:
        """Returns the seconds since the installed configuration was last known to be the newest acknowledged one."""
        installed = subscriber.versions.get(register_names.CONFIGURATION, NO_VERSION)
        return self._configuration_freshness.age_s(version=installed.number)

"""Grants roll-out leases to proxies in reply to their evidence (docs/rollouts.md 3, 4)."""

from ploverward.control_plane.cluster import core_membership
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import manager
from ploverward.transport import interfaces
from ploverward.transport import messages


def origin_of(proxy: peer_sessions.Peer) -> evidence_table.Origin:
    """Returns the origin of a proxy's evidence, which distinguishes it from evidence of an earlier incarnation."""
    return evidence_table.Origin(address=proxy.address, incarnation=proxy.incarnation)


class RolloutLeaseGranter:
    """Passes evidence to the roll-out manager, and replies with leases if this node may grant them.

    Args:
        sessions: The connected proxies.
        membership: The core set; leases are granted only while this node has its majority lease.
        rollout_manager: Collects evidence and decides on leases.
    """

    def __init__(
        self,
        *,
        sessions: peer_sessions.PeerSessions,
        membership: core_membership.CoreMembership,
        rollout_manager: manager.RolloutManager,
    ) -> None:
        self._sessions = sessions
        self._membership = membership
        self._rollout_manager = rollout_manager

    def handle_evidence(self, connection: interfaces.Connection, message: messages.RolloutEvidence) -> None:
        """Records the evidence of a proxy; the coordinator replies with the proxy's leases."""
        proxy = self._sessions.proxy_of(connection)
        if proxy is None:
            return
        leases = self._rollout_manager.handle_evidence(
            origin=origin_of(proxy), message=message, proxy_count=self._sessions.proxy_count
        )
        if leases is not None and self._membership.has_majority_lease():
            connection.send(leases)

"""Heartbeats between core nodes: renew the majority lease and detect nodes with an old core set (docs/control.md 2)."""

from ploverward.control_plane.cluster import core_membership
from ploverward.control_plane.cluster import majority_lease
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import register_names
from ploverward.transport import interfaces
from ploverward.transport import messages


class HeartbeatExchange:
    """Sends heartbeats to the other core nodes, and replies to theirs.

    Args:
        sessions: Connections to core nodes.
        membership: The core set as this node knows it.
        lease: Records the replies.
        consensus: Tells whether this node votes, and reads the core set again if this node's version is old.
    """

    def __init__(
        self,
        *,
        sessions: peer_sessions.PeerSessions,
        membership: core_membership.CoreMembership,
        lease: majority_lease.MajorityLease,
        consensus: consensus_node.ConsensusNode,
    ) -> None:
        self._sessions = sessions
        self._membership = membership
        self._lease = lease
        self._consensus = consensus

    def send(self) -> None:
        """Sends the heartbeat of this interval to all core nodes."""
        version = self._membership.agreed().version
        self._sessions.broadcast_to_cores(self._lease.next_heartbeat(version=version))

    def handle_heartbeat(self, connection: interfaces.Connection, message: messages.Heartbeat) -> None:
        """Replies if this node votes; a learner must not count towards the majority of the sender."""
        if self._consensus.is_voter:
            configuration_version = self._membership.accepted_version(register_names.CONFIGURATION)
            connection.send(
                messages.HeartbeatReply(
                    number=message.number,
                    core_set_version=self._membership.accepted_version(register_names.CORE_SET),
                    configuration_version=configuration_version,
                )
            )
        self._read_newer_core_set(message.core_set_version)

    def handle_reply(self, connection: interfaces.Connection, message: messages.HeartbeatReply) -> None:
        """Records the reply of a core node."""
        member = self._sessions.core_address_of(connection)
        if member:
            self._lease.handle_reply(member=member, reply=message)
        self._read_newer_core_set(message.core_set_version)

    def _read_newer_core_set(self, version: int) -> None:
        """Reads the core set from the register if `version`, from another node, is newer than the one known here."""
        is_behind = version > self._membership.chosen_version(register_names.CORE_SET)
        if is_behind and self._consensus.acceptor.votes:
            self._consensus.repair(register_names.CORE_SET)

"""Delivers consensus messages of other core nodes to this node's registers (docs/register.md)."""

from collections.abc import Callable

from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.consensus import consensus_node
from ploverward.transport import interfaces
from ploverward.transport import messages

MESSAGE_TYPES = (
    messages.Prepare,
    messages.Promise,
    messages.Accept,
    messages.Accepted,
    messages.Chosen,
    messages.QuorumRead,
    messages.QuorumReadReply,
    messages.CatchUpRequest,
    messages.CatchUpReply,
)


class ConsensusChannel:
    """Receives consensus messages, and drops those that do not come from a core node.

    Args:
        sessions: Identifies the core node on a connection.
        consensus: This node's registers.
    """

    def __init__(self, *, sessions: peer_sessions.PeerSessions, consensus: consensus_node.ConsensusNode) -> None:
        self._sessions = sessions
        self._consensus = consensus

    def handlers(self) -> dict[type, Callable]:
        """Returns the handlers of consensus messages by message type."""
        return dict.fromkeys(MESSAGE_TYPES, self._handle)

    def _handle(self, connection: interfaces.Connection, message: tuple) -> None:
        member = self._sessions.core_address_of(connection)
        if member:
            self._consensus.handle(member, connection, message)

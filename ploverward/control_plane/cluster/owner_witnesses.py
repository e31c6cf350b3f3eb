"""Confirms the loss of the coordinator with the other core nodes, its witnesses (docs/control.md 7).

Two nodes may have no path to each other while a third one reaches both. Each of the two would consider the other dead,
acquire its role and remove it from the core set, in alternation. Therefore a node that has lost its connection to the
coordinator sends the others a query whether they hear it, and acquires the role only when a majority of the core set,
including this node, does not.

A node that sends no reply within a peer timeout counts as one that does not hear the coordinator: it is lost as well,
or runs a version of the program without this query.
"""

from collections.abc import Callable
from typing import Protocol

from ploverward.control_plane.consensus import ballots
from ploverward.transport import interfaces
from ploverward.transport import messages


class CoreSessions(Protocol):
    """The part of `PeerSessions` that is used here."""

    def broadcast_to_cores(self, message: tuple) -> None:
        """Sends a message to all connected core nodes."""

    def core_address_of(self, connection: interfaces.Connection) -> str:
        """Returns the address of the core node on a connection; empty if it is none."""

    def is_core_live(self, address: str) -> bool:
        """Returns whether this core node is connected and has sent something."""


class OwnerWitnesses:
    """Queries the other core nodes about one role owner at a time, and collects their replies.

    Args:
        own: Address of this node.
        now: The clock, in seconds.
        sessions: Connections to other core nodes.
        reply_ttl_s: How long a reply counts, in seconds.
        reply_timeout_s: Time after which a witness without a reply counts as not hearing the owner, in seconds.
    """

    def __init__(
        self, *, own: str, now: Callable[[], float], sessions: CoreSessions, reply_ttl_s: float, reply_timeout_s: float
    ) -> None:
        self._own = own
        self._now = now
        self._sessions = sessions
        self._reply_ttl_s = reply_ttl_s
        self._reply_timeout_s = reply_timeout_s
        self._owner = ""
        self._queried_since = 0.0
        self._replies: dict[str, tuple[float, bool]] = {}  # by witness: (time of the reply, whether it hears the owner)

    def handlers(self) -> dict[type, Callable]:
        """Returns the handlers of witness messages by message type."""
        return {messages.WitnessRequest: self._handle_request, messages.WitnessReply: self._handle_reply}

    def query_peers(self, owner: str) -> None:
        """Sends the connected core nodes a query whether they hear this owner; called while it is disconnected here."""
        if owner != self._owner:
            self._owner = owner
            self._queried_since = self._now()
            self._replies = {}
        self._sessions.broadcast_to_cores(messages.WitnessRequest(address=owner))

    def clear_owner(self) -> None:
        """Ends the query, when the owner is connected again or the role has another owner."""
        self._owner = ""

    def is_unreachable_from_majority(self, *, owner: str, members: tuple[str, ...]) -> bool:
        """Returns whether a majority of the members, including this node, does not hear the owner."""
        if owner != self._owner:
            return False
        others = [member for member in members if member != owner]
        not_hearing = {member for member in others if member == self._own or self._does_not_hear(member)}
        return ballots.has_majority(of=members, among=not_hearing)

    def _does_not_hear(self, witness: str) -> bool:
        now = self._now()
        replied_at, is_live = self._replies.get(witness, (float("-inf"), False))
        if now - replied_at <= self._reply_ttl_s:
            return not is_live
        return now - self._queried_since >= self._reply_timeout_s

    def _handle_request(self, connection: interfaces.Connection, message: messages.WitnessRequest) -> None:
        if self._sessions.core_address_of(connection):
            is_live = self._sessions.is_core_live(message.address)
            connection.send(messages.WitnessReply(address=message.address, is_live=is_live))

    def _handle_reply(self, connection: interfaces.Connection, message: messages.WitnessReply) -> None:
        witness = self._sessions.core_address_of(connection)
        if witness and message.address == self._owner:
            self._replies[witness] = (self._now(), message.is_live)

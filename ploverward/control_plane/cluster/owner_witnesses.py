"""What other core nodes say of a coordinator that this node has lost (docs/control.md 7).

Two nodes may have no path to each other while a third one reaches both. Each of them would take the other for dead,
take its role and drop it from the core set, by turns. So a node that has lost the coordinator asks the others whether
they hear it, and takes the role only when a majority of the set, this node included, does not.

A node that gives no reply for a peer time-out is counted as one that does not hear it: it is lost as well, or runs a
version of the program that knows no such question.
"""

from collections.abc import Callable
from typing import Protocol

from ploverward.control_plane.consensus import ballots
from ploverward.transport import interfaces
from ploverward.transport import messages


class CoreSessions(Protocol):
    """What is needed of the sessions with other core nodes."""

    def broadcast_to_cores(self, message: tuple) -> None:
        """Sends to all connected core nodes."""

    def core_address_of(self, connection: interfaces.Connection) -> str:
        """The address of the core node on a connection; empty where it is none."""

    def is_core_live(self, address: str) -> bool:
        """Whether this core node is connected and has sent something."""


class OwnerWitnesses:
    """Asks for one owner at a time, and collects what is replied.

    Args:
        own: Address of this node.
        now: The clock, in seconds.
        sessions: The other core nodes.
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
        self._asked_since = 0.0
        self._replies: dict[str, tuple[float, bool]] = {}  # witness: (when, whether it hears the owner)

    def handlers(self) -> dict[type, Callable]:
        """Returns the handlers of messages, by type."""
        return {messages.WitnessRequest: self._handle_request, messages.WitnessReply: self._handle_reply}

    def query_peers(self, owner: str) -> None:
        """Asks the connected core nodes whether they hear this owner; to be called while it is lost here."""
        if owner != self._owner:
            self._owner = owner
            self._asked_since = self._now()
            self._replies = {}
        self._sessions.broadcast_to_cores(messages.WitnessRequest(address=owner))

    def clear_owner(self) -> None:
        """The owner is not lost any more, or is another one."""
        self._owner = ""

    def is_unreachable_from_majority(self, *, owner: str, members: tuple[str, ...]) -> bool:
        """Whether a majority of the members, this node included, does not hear the owner."""
        if owner != self._owner:
            return False
        others = [member for member in members if member != owner]
        lost = {member for member in others if member == self._own or self._has_lost(member)}
        return ballots.has_majority(of=members, among=lost)

    def _has_lost(self, witness: str) -> bool:
        now = self._now()
        replied_at, is_heard = self._replies.get(witness, (float("-inf"), False))
        if now - replied_at <= self._reply_ttl_s:
            return not is_heard
        return now - self._asked_since >= self._reply_timeout_s

    def _handle_request(self, connection: interfaces.Connection, message: messages.WitnessRequest) -> None:
        if self._sessions.core_address_of(connection):
            is_heard = self._sessions.is_core_live(message.address)
            connection.send(messages.WitnessReply(address=message.address, is_heard=is_heard))

    def _handle_reply(self, connection: interfaces.Connection, message: messages.WitnessReply) -> None:
        witness = self._sessions.core_address_of(connection)
        if witness and message.address == self._owner:
            self._replies[witness] = (self._now(), message.is_heard)

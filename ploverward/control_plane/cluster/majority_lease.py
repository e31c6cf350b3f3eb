"""Majority lease: a lease on contact with a majority of the core set, renewed by heartbeats (docs/control.md 2).

A node sends numbered heartbeats that carry the version of the core set which it knows. A voter replies with the newest
version that it has accepted. A reply counts from the moment when its heartbeat was *sent*, so neither a slow connection
nor a frozen process can extend the lease, and it counts only while the replying voter knows nothing newer.

Invariant: a change of the set is accepted by a majority of the older set before it is chosen. Every majority of replies
to an evicted member therefore contains one to a heartbeat that was sent before that acceptance, so the evicted member's
lease ends at most `lease_s` after the change was chosen.
"""

import dataclasses
from collections.abc import Callable

from ploverward.control_plane.consensus import ballots
from ploverward.transport import messages

MAX_PENDING_HEARTBEATS = 64  # newest heartbeats, each sent to all peers, whose replies are still counted


@dataclasses.dataclass(frozen=True, slots=True)
class _Confirmation:
    """A member's reply to the newest heartbeat that it replied to.

    Attributes:
        sent_at: When the heartbeat was sent, in seconds on this node's clock.
        core_set_version: The newest version of the core set that the member had accepted.
        configuration_version: The newest configuration that the member had accepted.
    """

    sent_at: float
    core_set_version: int
    configuration_version: int


class MajorityLease:
    """Lease that this node holds while a majority of the core set replies to its heartbeats.

    Args:
        own: Address of this node.
        now: The clock, in seconds.
        lease_s: How long a confirmed heartbeat counts, in seconds from when it was sent.

    Attributes:
        newest_core_set_version: The newest version of the core set in any reply.
    """

    def __init__(self, *, own: str, now: Callable[[], float], lease_s: float) -> None:
        self._own = own
        self._now = now
        self._lease_s = lease_s
        self._number = 0
        self._sent_at: dict[int, float] = {}  # by heartbeat number
        self._confirmations: dict[str, _Confirmation] = {}  # by member
        self._fresh_as_of = float("-inf")
        self.newest_core_set_version = 0

    def next_heartbeat(self, *, version: int) -> messages.Heartbeat:
        """Creates the heartbeat of this interval, the same for all peers.

        Args:
            version: Version of the core set that this node knows as chosen.
        """
        self._number += 1
        self._sent_at[self._number] = self._now()
        self._sent_at.pop(self._number - MAX_PENDING_HEARTBEATS, None)
        return messages.Heartbeat(number=self._number, core_set_version=version)

    def handle_reply(self, *, member: str, reply: messages.HeartbeatReply) -> None:
        """Records a reply with the time when its heartbeat was sent; replies to unknown numbers are ignored."""
        sent_at = self._sent_at.get(reply.number)
        if sent_at is None:
            return
        self.newest_core_set_version = max(self.newest_core_set_version, reply.core_set_version)
        latest = self._confirmations.get(member)
        if latest is None or sent_at > latest.sent_at:
            self._confirmations[member] = _Confirmation(
                sent_at=sent_at,
                core_set_version=reply.core_set_version,
                configuration_version=reply.configuration_version,
            )

    def has_reply_within(self, *, member: str, span_s: float) -> bool:
        """Returns whether this member replied to a heartbeat of the last `span_s` seconds; true for this node."""
        latest = self._confirmations.get(member)
        return member == self._own or (latest is not None and self._now() - latest.sent_at <= span_s)

    def has_reply_since(self, *, member: str, since: float) -> bool:
        """Returns whether this member replied to a heartbeat sent at `since` or later; true for this node."""
        latest = self._confirmations.get(member)
        return member == self._own or (latest is not None and latest.sent_at >= since)

    def lease_until(self, *, members: tuple[str, ...], version: int, is_supporting: bool = True) -> float:
        """Returns when the lease under this version of the set ends, on this node's clock; 0.0 without a lease.

        Args:
            members: The core set of this version.
            version: Version of the core set; replies of voters that accepted a newer one don't count.
            is_supporting: Whether this node itself votes and has accepted nothing newer.
        """
        if not members:
            return 0.0
        sent_times = [reply.sent_at for reply in self._supporting(members, version)]
        if is_supporting and self._own in members:
            sent_times.append(self._now())
        needed = ballots.majority(members)
        if len(sent_times) < needed:
            return 0.0
        return sorted(sent_times, reverse=True)[needed - 1] + self._lease_s

    def has_majority(self, *, members: tuple[str, ...], version: int, is_supporting: bool = True) -> bool:
        """Returns whether a majority of these members confirmed this version within the lease."""
        return self._now() < self.lease_until(members=members, version=version, is_supporting=is_supporting)

    def fresh_as_of(
        self,
        *,
        members: tuple[str, ...],
        version: int,
        known_version: int,
        accepted_version: int,
        is_supporting: bool = True,
    ) -> float:
        """Returns the latest time, on this node's clock, when nothing newer than `known_version` was acknowledged.

        A configuration is accepted by a majority before it is acknowledged, so any majority of replies to heartbeats
        that were sent later contains one with its version or a newer one.

        Args:
            members: The core set of this version.
            version: Version of the core set; replies of voters that accepted a newer one don't count.
            known_version: The newest configuration that this node knows as chosen.
            accepted_version: The newest configuration that this node accepted itself.
            is_supporting: Whether this node itself votes and has accepted no newer core set.
        """
        confirmations = [(self._now(), accepted_version)] if is_supporting and self._own in members else []
        confirmations += [(reply.sent_at, reply.configuration_version) for reply in self._supporting(members, version)]
        needed = ballots.majority(members) if members else 1
        newest = sorted(confirmations, reverse=True)[:needed]
        if len(newest) == needed and all(accepted <= known_version for _sent_at, accepted in newest):
            self._fresh_as_of = max(self._fresh_as_of, newest[-1][0])
        return self._fresh_as_of

    def _supporting(self, members: tuple[str, ...], version: int) -> list[_Confirmation]:
        """Returns the confirmations by other members that have accepted no newer core set."""
        replies = (self._confirmations.get(member) for member in members if member != self._own)
        return [reply for reply in replies if reply is not None and reply.core_set_version <= version]

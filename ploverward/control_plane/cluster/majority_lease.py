"""Contact with a majority of the core set: a lease from answered heartbeats (docs/control.md 2).

A node sends numbered heartbeats that name the version of the core set which it knows. A voter replies with the newest
version that it has accepted. A reply counts from the moment when its heartbeat was *sent*, so neither a slow connection
nor a frozen process can stretch the lease, and it counts only while the replying voter knows nothing newer.

Invariant: a change of the set is accepted by a majority of the older set before it is chosen. Every majority of replies
to an evicted member therefore contains one to a heartbeat that was sent before that acceptance, so the evicted member's
lease ends at most `lease_s` after the change was chosen.
"""

import dataclasses
from collections.abc import Callable

from ploverward.control_plane.consensus import ballots
from ploverward.transport import messages

MAX_PENDING_HEARTBEATS = 64  # heartbeats, over all peers, whose replies are still counted


@dataclasses.dataclass(frozen=True, slots=True)
class _Confirmation:
    """The newest heartbeat that one member replied to.

    Attributes:
        sent_at: When the heartbeat was sent, in seconds on this node's clock.
        core_set_version: The newest version of the core set that the member had accepted.
        configuration_version: The newest configuration that the member had accepted.
    """

    sent_at: float
    core_set_version: int
    configuration_version: int


class MajorityLease:
    """The time until which a majority of the core set confirms contact with this node.

    Args:
        own: Address of this node.
        now: The clock, in seconds.
        lease_s: How long a confirmed heartbeat counts, from when it was sent.

    Attributes:
        newest_version: The newest version of the core set that any voter named.
    """

    def __init__(self, *, own: str, now: Callable[[], float], lease_s: float) -> None:
        self._own = own
        self._now = now
        self._lease_s = lease_s
        self._number = 0
        self._sent_at: dict[int, float] = {}  # by heartbeat number
        self._confirmations: dict[str, _Confirmation] = {}  # by member
        self._fresh_as_of = float("-inf")
        self.newest_version = 0

    def next_heartbeat(self, *, version: int) -> messages.Heartbeat:
        """Creates the heartbeat of this interval, the same for all peers.

        Args:
            version: The core set that this node knows as chosen.
        """
        self._number += 1
        self._sent_at[self._number] = self._now()
        self._sent_at.pop(self._number - MAX_PENDING_HEARTBEATS, None)
        return messages.Heartbeat(number=self._number, core_set_version=version)

    def handle_reply(self, *, member: str, reply: messages.HeartbeatReply) -> None:
        """Counts a reply from the time when its heartbeat was sent. Replies to unknown numbers are ignored."""
        sent_at = self._sent_at.get(reply.number)
        if sent_at is None:
            return
        self.newest_version = max(self.newest_version, reply.core_set_version)
        latest = self._confirmations.get(member)
        if latest is None or sent_at > latest.sent_at:
            self._confirmations[member] = _Confirmation(
                sent_at=sent_at,
                core_set_version=reply.core_set_version,
                configuration_version=reply.configuration_version,
            )

    def has_reply_within(self, *, member: str, span_s: float) -> bool:
        """Whether this voter replied to a heartbeat sent within the last `span_s` seconds."""
        latest = self._confirmations.get(member)
        return member == self._own or (latest is not None and self._now() - latest.sent_at <= span_s)

    def has_reply_since(self, *, member: str, when: float) -> bool:
        """Whether this voter replied to a heartbeat that was sent at this time or later."""
        latest = self._confirmations.get(member)
        return member == self._own or (latest is not None and latest.sent_at >= when)

    def lease_until(self, *, members: tuple[str, ...], version: int, is_supporting: bool = True) -> float:
        """Returns the end of the lease under this version of the set, on this node's clock; 0.0 where there is none.

        Args:
            members: The core set of this version.
            version: Replies of voters that accepted a newer one don't count.
            is_supporting: Whether this node itself votes and has accepted nothing newer.
        """
        if not members:
            return 0.0
        supported = [reply.sent_at for reply in self._supporting(members, version)]
        if is_supporting and self._own in members:
            supported.append(self._now())
        needed = ballots.majority(members)
        if len(supported) < needed:
            return 0.0
        return sorted(supported, reverse=True)[needed - 1] + self._lease_s

    def has_majority(self, *, members: tuple[str, ...], version: int, is_supporting: bool = True) -> bool:
        """Whether a majority of these members confirmed this version within the lease."""
        return self._now() < self.lease_until(members=members, version=version, is_supporting=is_supporting)

    def fresh_as_of(
        self, *, members: tuple[str, ...], version: int, known: int, accepted: int, is_supporting: bool = True
    ) -> float:
        """Returns the latest moment, on this node's clock, when no configuration newer than `known` was acknowledged.

        A configuration is accepted by a majority before it is acknowledged, so a majority of replies to heartbeats that
        were sent later names it.

        Args:
            members: The core set of this version.
            version: Replies of voters that accepted a newer core set don't count.
            known: The newest configuration that this node knows as chosen.
            accepted: The newest configuration that this node accepted itself.
            is_supporting: As for `lease_until`.
        """
        rows = [(self._now(), accepted)] if is_supporting and self._own in members else []
        rows += [(reply.sent_at, reply.configuration_version) for reply in self._supporting(members, version)]
        needed = ballots.majority(members) if members else 1
        newest = sorted(rows, reverse=True)[:needed]
        if len(newest) == needed and all(confirmed <= known for _sent_at, confirmed in newest):
            self._fresh_as_of = max(self._fresh_as_of, newest[-1][0])
        return self._fresh_as_of

    def _supporting(self, members: tuple[str, ...], version: int) -> list[_Confirmation]:
        """Confirmations by other members that know no newer core set."""
        replies = (self._confirmations.get(member) for member in members if member != self._own)
        return [reply for reply in replies if reply is not None and reply.core_set_version <= version]

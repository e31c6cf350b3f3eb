"""Since when each core node is disconnected, or connected without replying.

Owns two tables of times, which are brought up to date once each heartbeat interval. The times are of the first
interval in which the failure was seen, so they are late by up to one interval and never early.
"""

from collections.abc import Callable

from ploverward.control_plane.cluster import majority_lease


class CoreLiveness:
    """Times since which core nodes fail.

    Args:
        own: Address of this node, which never counts as lost.
        now: The clock, in seconds.
        lease: Which members replied to heartbeats.
        is_live: Returns whether a core node is connected and has sent something.
        peer_timeout_s: A member that replied to no heartbeat for so long counts as failed.

    Attributes:
        disconnected_since: When each disconnected core node was first seen as disconnected, by address.
    """

    def __init__(
        self,
        *,
        own: str,
        now: Callable[[], float],
        lease: majority_lease.MajorityLease,
        is_live: Callable[[str], bool],
        peer_timeout_s: float,
    ) -> None:
        self._own = own
        self._now = now
        self._lease = lease
        self._is_live = is_live
        self._peer_timeout_s = peer_timeout_s
        self.disconnected_since: dict[str, float] = {}
        self._silent_since: dict[str, float] = {}

    def update(self, members: tuple[str, ...]) -> None:
        """Updates the times of each member."""
        now = self._now()
        for host in members:
            _note(self.disconnected_since, host, now, is_well=self._is_live(host))
            is_replying = self._lease.has_reply_within(member=host, span_s=self._peer_timeout_s)
            _note(self._silent_since, host, now, is_well=is_replying)

    def is_disconnected(self, host: str) -> bool:
        """Whether this core node was disconnected at the last update."""
        return host in self.disconnected_since

    def lost_for(self, *, members: tuple[str, ...], span_s: float) -> tuple[str, ...]:
        """Returns the members that fail for longer than `span_s` seconds, longest first.

        A member that is connected and replies to no heartbeat counts too, `peer_timeout_s` later: its disk refuses
        writes, or it is a learner.
        """
        now = self._now()
        lost = {}
        for host in members:
            silent_since = self._silent_since.get(host, now) + self._peer_timeout_s
            since = min(self.disconnected_since.get(host, now), silent_since)
            if host != self._own and now - since > span_s:
                lost[host] = since
        return tuple(sorted(lost, key=lost.__getitem__))


def _note(table: dict[str, float], host: str, now: float, *, is_well: bool) -> None:
    if is_well:
        table.pop(host, None)
    else:
        table.setdefault(host, now)

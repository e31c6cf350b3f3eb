"""Tracks since when each core node has been disconnected, or connected without replying to heartbeats.

Owns two tables of start times, which are updated once each heartbeat interval. A start time is that of the first
interval in which the failure was seen, so it is late by up to one interval and never early.
"""

from collections.abc import Callable

from ploverward.control_plane.cluster import majority_lease


class CoreLiveness:
    """Table of the core nodes that currently fail, with the time when each failure was first seen.

    Args:
        own: Address of this node, which never counts as failed.
        now: The clock, in seconds.
        lease: Records which members replied to heartbeats.
        is_live: Returns whether a core node is connected and has sent something.
        peer_timeout_s: Time after which a member that replied to no heartbeat counts as unresponsive, in seconds.

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
        self._unresponsive_since: dict[str, float] = {}

    def update(self, members: tuple[str, ...]) -> None:
        """Updates the start times of all members; called once each heartbeat interval."""
        now = self._now()
        for host in members:
            _update_failure(self.disconnected_since, host, now, is_healthy=self._is_live(host))
            is_replying = self._lease.has_reply_within(member=host, span_s=self._peer_timeout_s)
            _update_failure(self._unresponsive_since, host, now, is_healthy=is_replying)

    def is_disconnected(self, host: str) -> bool:
        """Returns whether this core node was disconnected at the last update."""
        return host in self.disconnected_since

    def failed_members(self, *, members: tuple[str, ...], span_s: float) -> tuple[str, ...]:
        """Returns the members that have failed for longer than `span_s` seconds, longest first.

        A member that is connected but replies to no heartbeat counts as well, `peer_timeout_s` later: its disk refuses
        writes, or it is a learner.
        """
        now = self._now()
        failed = {}
        for host in members:
            unresponsive_since = self._unresponsive_since.get(host, now) + self._peer_timeout_s
            since = min(self.disconnected_since.get(host, now), unresponsive_since)
            if host != self._own and now - since > span_s:
                failed[host] = since
        return tuple(sorted(failed, key=failed.__getitem__))


def _update_failure(failing_since: dict[str, float], host: str, now: float, *, is_healthy: bool) -> None:
    """Removes a healthy node from a table of start times; adds a failing one unless it is there already."""
    if is_healthy:
        failing_since.pop(host, None)
    else:
        failing_since.setdefault(host, now)

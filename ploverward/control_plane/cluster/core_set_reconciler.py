"""Reconciles the core set with the core machines that are available (docs/control.md 1, docs/core-set.md).

The cluster coordinator builds a `CoreSetView` each heartbeat interval, `voting_set.next_set` computes the next set from
that view alone, and a `CoreSetChanger` moves the registers.
"""

from collections.abc import Callable

from ploverward.control_plane.cluster import core_liveness
from ploverward.control_plane.cluster import core_membership
from ploverward.control_plane.cluster import majority_lease
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.cluster import voting_set
from ploverward.control_plane.consensus import register_names

REPLACEMENT_TIMEOUTS = 0.5  # peer timeouts until a failed member may be replaced, and a new machine may be added
REMOVAL_TIMEOUTS = 2.0  # peer timeouts until a failed member of a set that is larger than needed is removed


class CoreSetReconciler:
    """Observes the core machines, computes the next core set, and starts the move to it.

    Args:
        now: The clock, in seconds.
        sessions: Connections to other core nodes.
        membership: The core set as this node knows it.
        lease: Records which core nodes reply to heartbeats.
        liveness: Records since when members have failed.
        changer: Moves the registers.
        wanted_voters: 2 t + 1, where t machines may be lost at once.
        peer_timeout_s: Time after which a connection on which nothing arrives is closed, in seconds.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        sessions: peer_sessions.PeerSessions,
        membership: core_membership.CoreMembership,
        lease: majority_lease.MajorityLease,
        liveness: core_liveness.CoreLiveness,
        changer: voting_set.CoreSetChanger,
        wanted_voters: int,
        peer_timeout_s: float,
    ) -> None:
        self._now = now
        self._sessions = sessions
        self._membership = membership
        self._lease = lease
        self._liveness = liveness
        self._changer = changer
        self._wanted_voters = wanted_voters
        self._peer_timeout_s = peer_timeout_s

    def view(self) -> voting_set.CoreSetView:
        """Returns the state of the core machines as this node observes it."""
        members = self._membership.members()
        learners = self._learners(members)
        newest_at = max((opened_at for opened_at, _address in learners), default=self._now())
        failed = self._liveness.failed_members(members=members, span_s=self._peer_timeout_s * REPLACEMENT_TIMEOUTS)

        def has_replied(host: str) -> bool:
            return not self._liveness.is_disconnected(host) and self._lease.has_reply_since(
                member=host, since=newest_at
            )

        return voting_set.CoreSetView(
            members=tuple(members),
            learners=tuple(address for _opened_at, address in learners),
            unresponsive=tuple(host for host in members if host not in failed and not has_replied(host)),
            failed=failed,
            removable=self._liveness.failed_members(members=members, span_s=self._peer_timeout_s * REMOVAL_TIMEOUTS),
            draining=tuple(sorted(peer.address for peer in self._sessions.cores() if peer.is_draining)),
        )

    def _learners(self, members: tuple[str, ...]) -> list[tuple[float, str]]:
        """Returns (time of connection, address) of each machine that may join the set, longest connected first.

        Only voters reply to heartbeats, so the disk of a machine that replies has every register.
        """
        now = self._now()
        return sorted(
            (peer.connection.opened_at, peer.address)
            for peer in self._sessions.cores()
            if peer.address not in members
            and not peer.is_draining
            and now - peer.connection.opened_at > self._peer_timeout_s * REPLACEMENT_TIMEOUTS
            and self._lease.has_reply_within(member=peer.address, span_s=self._peer_timeout_s)
        )

    def reconcile(self) -> None:
        """Starts the move to the next set, or completes a change that another coordinator left incomplete."""
        view = self.view()
        if not view.members:
            return
        target = voting_set.next_set(view=view, wanted=self._wanted_voters)
        is_agreed = self._membership.chosen_version(register_names.CORE_SET) > 0
        if not is_agreed or target != tuple(sorted(view.members)) or self._changer.needs_move(target=target):
            self._changer.move(target=target)

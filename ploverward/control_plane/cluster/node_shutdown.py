"""Graceful shutdown of a core node: it stops serving, releases its roles, and votes to the end (docs/control.md 1).

SIGTERM starts the shutdown. The process ends once the other core nodes can reach agreement without this one, and at the
latest after `GRACE_SHARE` of graceS, whatever is in progress.
"""

from collections.abc import Callable

from ploverward.common import reloadable_settings
from ploverward.control_plane import core_timing
from ploverward.control_plane import node_status
from ploverward.control_plane.cluster import coordinator as coordinators
from ploverward.control_plane.cluster import core_membership
from ploverward.control_plane.cluster import core_set_reconciler
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import register_names
from ploverward.transport import interfaces
from ploverward.transport import messages

GRACE_SHARE = 0.85  # fraction of graceS; leaves a margin before the platform's own limit
FIRST_CHECK_SHARE = 1 / 6  # fraction of receiptMs; time for calls in progress before the first check
CHECK_SHARE = 1 / 20  # fraction of the peer timeout; interval between checks


class NodeShutdown:
    """Ends this node's process once the other core nodes can continue without it.

    Args:
        own: Address of this node.
        loop: The event loop.
        timing: Durations of this node.
        settings: The settings in force; graceS is read when the shutdown starts.
        status: Status of this node, which is set to draining here.
        sessions: Connections to other core nodes.
        membership: The core set as this node knows it.
        consensus: Supplies the core set that each register is under.
        coordinator: Shows whether this node still owns the coordinator role.
        core_set: Supplies this node's view of the core machines.
        wanted_voters: 2 t + 1, where t machines may be lost at once.
        stop_serving: Closes the interfaces for operators and clients.
        reconcile_roles: Releases the coordinator role at once if this node owns it.
        has_handed_over: Returns whether the tallies of this node are on enough other disks.
        end: Ends the process.
    """

    def __init__(
        self,
        *,
        own: str,
        loop: interfaces.Loop,
        timing: core_timing.CoreTiming,
        settings: reloadable_settings.ReloadableSettings,
        status: node_status.NodeStatus,
        sessions: peer_sessions.PeerSessions,
        membership: core_membership.CoreMembership,
        consensus: consensus_node.ConsensusNode,
        coordinator: coordinators.ClusterCoordinator,
        core_set: core_set_reconciler.CoreSetReconciler,
        wanted_voters: int,
        stop_serving: Callable[[], None],
        reconcile_roles: Callable[[], None],
        has_handed_over: Callable[[], bool],
        end: Callable[[], None],
    ) -> None:
        self._own = own
        self._loop = loop
        self._timing = timing
        self._settings = settings
        self._status = status
        self._sessions = sessions
        self._membership = membership
        self._consensus = consensus
        self._coordinator = coordinator
        self._core_set = core_set
        self._wanted_voters = wanted_voters
        self._stop_serving = stop_serving
        self._reconcile_roles = reconcile_roles
        self._has_handed_over = has_handed_over
        self._end = end

    def start(self) -> None:
        """Starts draining; a second call does nothing."""
        if self._status.is_draining:
            return
        self._status.is_draining = True
        self._stop_serving()
        self._sessions.broadcast_to_cores(messages.NodeState(is_ready=False, is_draining=True))
        self._reconcile_roles()
        deadline = self._loop.now() + self._settings.current.bound(name="graceS") * GRACE_SHARE
        self._loop.after(
            delay=self._timing.receipt_s * FIRST_CHECK_SHARE, callback=lambda: self._end_when_free(deadline)
        )

    def _end_when_free(self, deadline: float) -> None:
        if self.can_end() or self._loop.now() >= deadline:
            self._end()
            return
        self._loop.after(
            delay=self._timing.peer_timeout_s * CHECK_SHARE, callback=lambda: self._end_when_free(deadline)
        )

    def can_end(self) -> bool:
        """Returns whether the other core nodes can continue without this one.

        They need its tallies first. That is enough if no register's core set contains this node. Otherwise this node
        must not own the coordinator role under a majority lease, no learner may be waiting for a place, the set must
        contain this node and be no larger than needed, and the live members that stay must be a majority of it.
        """
        if not self._has_handed_over():
            return False
        if all(self._own not in self._consensus.proposer.members(name) for name in register_names.REGISTERS):
            return True
        if self._coordinator.is_owner and self._membership.has_majority_lease():
            return False
        members = self._membership.members()
        view = self._core_set.view()
        if view.learners or len(members) > self._wanted_voters or self._own not in members:
            return False  # the coordinator removes this node from the set first
        remaining = [
            host
            for host in members
            if host != self._own and host not in view.draining and self._sessions.is_core_live(host)
        ]
        return len(remaining) >= ballots.majority(members)

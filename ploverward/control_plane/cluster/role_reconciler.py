"""Acquires or releases the coordinator role, and runs the coordinator's tasks (docs/control.md 1, 2).

The order of the steps matters: lost nodes are detected before the role is decided on, and the tasks of a coordinator
(roles of proxies, roll-outs, core set) run only once this node is known to own the role and to have the majority lease.
"""

from collections.abc import Callable

from ploverward.control_plane import node_status
from ploverward.control_plane.cluster import coordinator as coordinators
from ploverward.control_plane.cluster import core_liveness
from ploverward.control_plane.cluster import core_membership
from ploverward.control_plane.cluster import core_set_reconciler
from ploverward.control_plane.cluster import owner_witnesses
from ploverward.control_plane.cluster import partition_placement
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.cluster import store_directory
from ploverward.control_plane.cluster import store_retirement
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.rollouts import manager
from ploverward.control_plane.usage import usage_reporter

STORE_SETTLING_INTERVALS = 6  # heartbeat intervals without a change of the connected stores: two peer timeouts
FAILOVERS_PER_CONTACT = 8  # contact_s divided by this is the time until a disconnected batch primary is replaced
REMOVAL_CONTACTS = 10  # contact_s times this is the time after which an emptied store that is away counts as removed
REPLACEMENTS_PER_CONTACT = 1  # contact_s divided by this is the time until another store gets its copy


class RoleReconciler:
    """Runs at each heartbeat interval: decides whether this node coordinates, and if so does the coordinator's work.

    Args:
        status: Status of this node. A draining node acquires no role and releases the one that it owns.
        sessions: The connected nodes.
        membership: The core set, and whether this node has the majority lease.
        liveness: Times since which members are lost; updated here.
        consensus: The consensus node; only a node that votes may acquire the role.
        coordinator: The coordinator role.
        witnesses: Whether other core nodes still receive messages from an owner of the role that this node has lost.
        rollout_manager: Advances roll-outs while this node is the coordinator.
        core_set: Changes the core set while this node is the coordinator.
        stores: The stores of the batch tier.
        usage: Reports usage to the platform; None if the platform takes no reports.
        now: Returns the time in seconds.
        contact_s: Setting `contactMs`, in seconds.
        heartbeat_interval_s: Interval between periodic calls of `reconcile`; events cause further calls.
        copies: Number of stores that have a copy of each partition of the batch tier.

    Attributes:
        acting_since: Time since which this node has acted as coordinator without a break; None if it does not act.
    """

    def __init__(
        self,
        *,
        status: node_status.NodeStatus,
        sessions: peer_sessions.PeerSessions,
        membership: core_membership.CoreMembership,
        liveness: core_liveness.CoreLiveness,
        consensus: consensus_node.ConsensusNode,
        coordinator: coordinators.ClusterCoordinator,
        witnesses: owner_witnesses.OwnerWitnesses,
        rollout_manager: manager.RolloutManager,
        core_set: core_set_reconciler.CoreSetReconciler,
        stores: store_directory.StoreDirectory,
        usage: usage_reporter.UsageReporter | None,
        now: Callable[[], float],
        contact_s: float,
        heartbeat_interval_s: float,
        copies: int,
    ) -> None:
        self._status = status
        self._sessions = sessions
        self._membership = membership
        self._liveness = liveness
        self._consensus = consensus
        self._coordinator = coordinator
        self._witnesses = witnesses
        self._rollout_manager = rollout_manager
        self._core_set = core_set
        self._stores = stores
        self._usage = usage
        self._now = now
        self._placement_timeouts = partition_placement.PlacementTimeouts(
            failover_s=contact_s / FAILOVERS_PER_CONTACT, replacement_s=contact_s / REPLACEMENTS_PER_CONTACT
        )
        self._removed_after_s = contact_s * REMOVAL_CONTACTS
        self._copies = copies
        self.acting_since: float | None = None
        self._store_addresses: list[str] = []
        self._store_change_at = 0.0  # when the set of connected stores changed last
        self._store_settling_s = STORE_SETTLING_INTERVALS * heartbeat_interval_s

    def reconcile(self) -> None:
        """Acquires, keeps or releases the coordinator role, and runs the coordinator's tasks if this node owns it."""
        members = self._membership.members()
        self._liveness.update(members)
        owner = self._coordinator.address
        if owner in members and self._liveness.is_disconnected(owner):
            self._witnesses.query_peers(owner)
        else:
            self._witnesses.clear_owner()
        is_acting = self._coordinator.reconcile(
            members=members,
            live=[host for host in members if self._sessions.is_core_live(host)],
            disconnected_since=self._liveness.disconnected_since,
            has_majority=self._membership.has_majority_lease(),
            may_acquire=self._consensus.acceptor.votes and not self._status.is_draining,
            is_unreachable_from_majority=self._witnesses.is_unreachable_from_majority(owner=owner, members=members),
        )
        if not is_acting:
            self._rollout_manager.deactivate()
            self.acting_since = None
            return
        if self.acting_since is None:
            self.acting_since = self._store_change_at = self._now()
        if self._status.is_draining:
            self._hand_over()
            return
        self._coordinator.assign_owners(
            proxies=[
                singleton_roles.ProxyIdentity(
                    address=peer.address, incarnation=peer.incarnation, zone=peer.zone, region=peer.region
                )
                for peer in self._sessions.proxies()
            ]
        )
        self._place_partitions()
        if self._usage is not None:
            self._usage.tick()
        self._rollout_manager.reconcile()
        self._core_set.reconcile()

    def _place_partitions(self) -> None:
        """Assigns partitions to stores.

        The first arrangements are made only once the same stores have been connected for `_store_settling_s`, since
        stores connect one after the other.
        """
        peers = self._sessions.stores()
        if not peers and not self._stores.known:
            return
        now = self._now()
        addresses = sorted(peer.address for peer in peers)
        if addresses != self._store_addresses:
            self._store_addresses, self._store_change_at = addresses, now
        acting_s = now - (self.acting_since if self.acting_since is not None else now)
        view = self._stores.view(
            copies=self._copies,
            may_place=now - self._store_change_at >= self._store_settling_s,
            timeouts=self._placement_timeouts,
            never_connected_for_s=acting_s - self._store_settling_s,
        )
        known = self._stores.identities()
        self._coordinator.place_partitions(
            view, admits=lambda roles, name, row: store_retirement.admits(roles, name, row, known=known)
        )
        self._coordinator.complete_retirements(
            known=known,
            copies=self._copies,
            is_removed=lambda node: (
                self._stores.absent_for_s(node, never_connected_for_s=acting_s) >= self._removed_after_s
            ),
        )

    def _hand_over(self) -> None:
        """Transfers the coordinator role to the first other live member that is not draining."""
        members = self._membership.members()
        for peer in sorted(self._sessions.cores(), key=lambda peer: peer.address):
            if not peer.is_draining and peer.address in members and self._sessions.is_core_live(peer.address):
                self._coordinator.hand_over(successor=peer.address, incarnation=peer.incarnation)
                return

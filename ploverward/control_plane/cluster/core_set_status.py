"""Status of the core set for operators: voters, learners, and how many losses it tolerates (docs/core-set.md).

The keys are those of the published endpoint `/ploverward/core-set`.
"""

from collections.abc import Callable

from ploverward.control_plane.cluster import core_membership
from ploverward.control_plane.cluster import core_set_reconciler
from ploverward.control_plane.cluster import majority_lease
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.cluster import voting_set
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import register_names


class CoreSetStatus:
    """Reports the core set as this node sees it.

    Args:
        own: Address of this node.
        node_name: Returns the name of this node.
        sessions: Connections to other core nodes.
        membership: The core set as this node knows it.
        lease: Records which members reply to heartbeats; only voters reply.
        consensus: This node's registers.
        reconciler: Supplies this node's view of the core machines.
        changer: Shows whether a move is in progress.
        coordinator_address: Returns the address of the cluster coordinator; empty where there is none.
        wanted_voters: 2 t + 1, where t machines may be lost at once.
        reply_span_s: A member counts as voting if it replied to a heartbeat sent within this many seconds.
    """

    def __init__(
        self,
        *,
        own: str,
        node_name: Callable[[], str],
        sessions: peer_sessions.PeerSessions,
        membership: core_membership.CoreMembership,
        lease: majority_lease.MajorityLease,
        consensus: consensus_node.ConsensusNode,
        reconciler: core_set_reconciler.CoreSetReconciler,
        changer: voting_set.CoreSetChanger,
        coordinator_address: Callable[[], str],
        wanted_voters: int,
        reply_span_s: float,
    ) -> None:
        self._own = own
        self._node_name = node_name
        self._sessions = sessions
        self._membership = membership
        self._lease = lease
        self._consensus = consensus
        self._reconciler = reconciler
        self._changer = changer
        self._coordinator_address = coordinator_address
        self._wanted_voters = wanted_voters
        self._reply_span_s = reply_span_s

    def report(self) -> dict:
        """Returns the body of the response to `/ploverward/core-set`."""
        view = self._reconciler.view()
        agreed = self._membership.agreed()
        known = set(self._membership.members()) | self._sessions.core_addresses() | {self._own}
        live = sorted(host for host in known if self._sessions.is_core_live(host))
        voting = [host for host in live if self._is_voting(host)]
        return {
            "node": self._node_name(),
            "address": self._own,
            "votes": self._consensus.is_voter,
            "members": list(agreed.members),
            "version": agreed.version,
            "has_majority_contact": self._membership.has_majority_lease(),
            "wanted_voters": self._wanted_voters,
            "losses_borne": voting_set.tolerated_losses(members=agreed.members, voting=voting),
            "in_touch": live,
            "learners": list(view.learners),
            "leaving": list(view.draining),
            "is_moving": self._changer.is_moving,
            "watch": self._coordinator_address(),
            "registers": self._registers(),
        }

    def _is_voting(self, host: str) -> bool:
        """Returns whether this core node counts towards a majority: it is no learner, and its disk accepts writes."""
        if host == self._own:
            return self._consensus.is_voter
        return self._lease.has_reply_within(member=host, span_s=self._reply_span_s)

    def _registers(self) -> dict[str, dict]:
        on_disk = dict(self._consensus.minimum_versions())
        return {
            name: {
                "known": self._membership.chosen_version(name),
                "on_disk": on_disk.get(name, 0),
                "members": list(self._consensus.proposer.members(name)),
            }
            for name in register_names.REGISTERS
        }

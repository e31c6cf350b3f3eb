"""The cluster coordinator: the core node that polls the endpoint list, assigns roles and changes the core set.

The coordinator is a singleton role (`ploverward.control_plane.cluster.singleton_role_table`). Its owner acts only while
it has the majority lease (docs/control.md 1, 2). When the owner is lost, the first live member acquires the role.
"""

import logging
from collections.abc import Callable
from collections.abc import Mapping

from ploverward.common import batch_partitions
from ploverward.control_plane.cluster import partition_placement
from ploverward.control_plane.cluster import singleton_role_table
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.cluster import store_retirement
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.discovery import endpoint_list_poller
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import publisher as publishers

_log = logging.getLogger(__name__)

UNCOORDINATED_EPOCH = 0  # epoch of an endpoint list that a core node read itself before any coordinator published one


class ClusterCoordinator:
    """Acquires the coordinator role when its owner is lost, and polls the endpoint list while this node owns the role.

    Args:
        own: Address of this node.
        incarnation: Identifies this start of this process.
        now: The clock, in seconds.
        role_table: Records the owner of each role.
        publisher: Holds the newest endpoint list, if this node has one.
        list_poller: Polls the platform's endpoint list.
        takeover_after_s: How long an owner must be disconnected before its role is acquired, in seconds.
    """

    def __init__(
        self,
        *,
        own: str,
        incarnation: str,
        now: Callable[[], float],
        role_table: singleton_role_table.SingletonRoleTable,
        publisher: publishers.Publisher,
        list_poller: endpoint_list_poller.EndpointListPoller,
        takeover_after_s: float,
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._now = now
        self._role_table = role_table
        self._publisher = publisher
        self._list_poller = list_poller
        self._takeover_after_s = takeover_after_s

    @property
    def is_owner(self) -> bool:
        """Whether this incarnation of this node owns the role, according to its own copy of the role table."""
        _epoch, address, incarnation = self._role_table.owner(singleton_roles.COORDINATOR)
        return (address, incarnation) == (self._own, self._incarnation)

    @property
    def epoch(self) -> int:
        """The newest epoch of the role that this node knows."""
        return self._role_table.owner(singleton_roles.COORDINATOR).epoch

    @property
    def address(self) -> str:
        """The owner's address; empty if there is no owner."""
        return self._role_table.owner(singleton_roles.COORDINATOR).address

    def reconcile(
        self,
        *,
        members: tuple[str, ...],
        live: list[str],
        disconnected_since: dict[str, float],
        has_majority: bool,
        may_acquire: bool,
        is_unreachable_from_majority: bool,
    ) -> bool:
        """Keeps, acquires or suspends the role; called once each heartbeat interval.

        Args:
            members: The core set.
            live: The connected members, including this node, in the order of `members`.
            disconnected_since: When each disconnected member was first seen as disconnected, by address.
            has_majority: Whether this node has the majority lease.
            may_acquire: Whether this node votes and is not draining.
            is_unreachable_from_majority: Whether a majority of the members does not hear the owner.

        Returns:
            Whether this node owns the role and may act on it.
        """
        if self.is_owner:
            if not has_majority or self._own not in members:
                self._list_poller.stop()
                return False
            self._list_poller.start()
            return True
        if self._publisher.get(endpoint_list.TOPIC) is not None:
            self._list_poller.stop()
        if may_acquire and self._own in members:
            can_acquire = self._can_acquire(
                members=members,
                live=live,
                disconnected_since=disconnected_since,
                is_unreachable_from_majority=is_unreachable_from_majority,
            )
            if can_acquire:
                self._acquire(address=self._own, incarnation=self._incarnation)
        return False

    def _can_acquire(
        self,
        *,
        members: tuple[str, ...],
        live: list[str],
        disconnected_since: dict[str, float],
        is_unreachable_from_majority: bool,
    ) -> bool:
        """Returns whether the owner is lost and this node is the first member that may acquire the role."""
        owner = self.address
        if self._role_table.is_acquiring or len(live) < ballots.majority(members):
            return False
        if owner == self._own:
            return True  # an earlier incarnation of this node owns it
        if live[0] != self._own:
            return False
        if owner not in members:
            return True
        is_disconnected = (
            owner in disconnected_since and self._now() - disconnected_since[owner] >= self._takeover_after_s
        )
        return is_disconnected and is_unreachable_from_majority

    def hand_over(self, *, successor: str, incarnation: str) -> None:
        """Transfers the role to another member; used in a graceful shutdown."""
        if self.is_owner and not self._role_table.is_acquiring:
            self._acquire(address=successor, incarnation=incarnation)

    def _acquire(self, *, address: str, incarnation: str) -> None:
        owner = singleton_roles.RoleOwner(epoch=self.epoch, address=address, incarnation=incarnation)
        self._role_table.acquire(rows={singleton_roles.COORDINATOR: owner})

    def assign_owners(self, *, proxies: list[singleton_roles.ProxyIdentity]) -> None:
        """Assigns each role of a region or zone whose owner is lost to a new owner.

        Args:
            proxies: The proxies that may serve.
        """
        if self._role_table.is_acquiring:
            return
        rows = singleton_roles.role_changes(proxies=proxies, find_role=self._role_table.owner)
        if rows:
            self._role_table.acquire(rows=rows)

    def place_partitions(self, view: partition_placement.PlacementView, *, admits: singleton_role_table.Admits) -> None:
        """Updates the placement of the batch tier's partitions on stores.

        Args:
            view: The input of the decision.
            admits: Whether the register may take an arrangement, as in `SingletonRoleTable.acquire`.
        """
        if self._role_table.is_acquiring:
            return
        rows = partition_placement.arrangement_changes(view)
        if rows:
            _log_arrangements(rows)
            self._role_table.acquire(rows=rows, admits=admits)

    def complete_retirements(
        self, *, known: store_retirement.KnownStores, copies: int, is_removed: Callable[[str], bool]
    ) -> None:
        """Ends the retirements of removed stores; arguments as in `store_retirement.completed_retirements`."""
        if self._role_table.is_acquiring:
            return
        rows = store_retirement.completed_retirements(
            self._role_table.table, known=known, copies=copies, is_removed=is_removed
        )
        if rows:
            self._role_table.acquire(rows=rows)

    def accepts_epoch(self, *, epoch: int) -> bool:
        """Returns whether topics of this epoch may be forwarded; those of a coordinator known as replaced may not."""
        return epoch >= self.epoch or epoch == UNCOORDINATED_EPOCH


def _log_arrangements(rows: Mapping[str, singleton_roles.RoleOwner]) -> None:
    """Logs the new owners of partitions, each store with the disk that makes it a member."""
    for name, row in rows.items():
        owners = batch_partitions.unpack_owners(row)
        _log.debug(
            "partition_arranged",
            extra={
                "partition": name,
                "epoch": row.epoch + 1,
                "members": [f"{member.address} {member.disk}" for member in owners.members],
                "learners": [*owners.learners],
            },
        )

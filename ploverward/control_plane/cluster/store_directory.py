"""Directory of the stores: their connections and disks, and the reports of the primaries (docs/batch.md 2)."""

from __future__ import annotations

import typing
from collections.abc import Callable
from collections.abc import Mapping

from ploverward.common import batch_partitions
from ploverward.control_plane.cluster import partition_placement
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.cluster import store_retirement
from ploverward.transport import batch_messages
from ploverward.transport import interfaces

MAX_REPORT_AGE_S = 1.0  # an older report is ignored: the primary would have repeated it if it still held


class KnownStore(typing.NamedTuple):
    """A store that is or was connected.

    Attributes:
        zone: Zone of the store.
        identity: Its name, disk and process, as it sent them.
        seen_at: Time at which it was last known to be connected.
    """

    zone: str
    identity: batch_messages.StoreIdentity
    seen_at: float


class _Report(typing.NamedTuple):
    address: str
    at: float
    message: batch_messages.CopyReport


class StoreDirectory:
    """The stores that have connected to this core node, and the reports of the primaries among them.

    Args:
        now: Returns the time in seconds.
        sessions: The connected nodes.
        roles: Returns the register of singleton roles.
        on_change: Called when a store has connected or a primary has sent a report.

    Attributes:
        known: Stores that have ever been connected, by address.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        sessions: peer_sessions.PeerSessions,
        roles: Callable[[], Mapping[str, typing.Sequence]],
        on_change: Callable[[], object],
    ) -> None:
        self._now = now
        self._sessions = sessions
        self._roles = roles
        self._on_change = on_change
        self._identities: dict[interfaces.Connection, batch_messages.StoreIdentity] = {}
        self._reports: dict[int, _Report] = {}
        self.known: dict[str, KnownStore] = {}

    def handlers(self) -> dict[type, Callable]:
        """Returns the handlers of messages, by type; a handler takes (connection, message)."""
        return {
            batch_messages.StoreIdentity: self.handle_identity,
            batch_messages.CopyReport: self.handle_report,
        }

    def handle_identity(self, connection: interfaces.Connection, message: batch_messages.StoreIdentity) -> None:
        """Records the identity of a store: its name, disk and process."""
        self._identities[connection] = message
        self._update()
        self._on_change()

    def handle_report(self, connection: interfaces.Connection, message: batch_messages.CopyReport) -> None:
        """Records a primary's report of the learners that have caught up and the stores that are lost."""
        address = next((peer.address for peer in self._sessions.stores() if peer.connection is connection), "")
        self._reports[message.partition] = _Report(address, self._now(), message)
        self._on_change()

    def handle_ended(self, connection: interfaces.Connection) -> None:
        """Records that a connection has ended; the store on it counts as disconnected from now on."""
        identity = self._identities.pop(connection, None)
        for address, store in self.known.items():
            if store.identity == identity:
                self.known[address] = store._replace(seen_at=self._now())

    def _update(self) -> set[str]:
        """Updates `known`, and returns the addresses of the connected stores."""
        connected = set()
        for peer in self._sessions.stores():
            identity = self._identities.get(peer.connection)
            if identity is not None:
                connected.add(peer.address)
                self.known[peer.address] = KnownStore(peer.zone, identity, self._now())
        return connected

    def address_of(self, node: str) -> str | None:
        """Returns the address at which the store with this node name was connected last; None if it is not known."""
        self._update()
        found = [(store.seen_at, address) for address, store in self.known.items() if store.identity.node == node]
        return max(found)[1] if found else None

    def identities(self) -> dict[str, batch_messages.StoreIdentity]:
        """Returns the identities of the known stores, by address."""
        return {address: store.identity for address, store in self.known.items()}

    def connected_zones(self) -> dict[str, str]:
        """Returns the zones of the connected stores, by address."""
        return {address: self.known[address].zone for address in self._update()}

    def absent_for_s(self, node: str, *, never_connected_for_s: float) -> float:
        """Returns the time in seconds since a store was last connected at any address.

        Args:
            node: Name of the store.
            never_connected_for_s: The result for a store that was never connected.
        """
        address = self.address_of(node)
        return never_connected_for_s if address is None else self._now() - self.known[address].seen_at

    def arrangements(self) -> dict[int, batch_partitions.PartitionOwners]:
        """Returns the arrangement of each partition that has one."""
        roles = self._roles()
        found = {
            number: batch_partitions.owners_of(partition=number, roles=roles)
            for number in range(batch_partitions.PARTITIONS)
        }
        return {number: owners for number, owners in found.items() if owners.members}

    def states(self) -> dict[str, partition_placement.StoreState]:
        """Returns the state of each known store, by address."""
        connected = self._update()
        retiring = store_retirement.retiring_addresses(self._roles(), known=self.identities())
        return {
            address: partition_placement.StoreState(
                address=address,
                zone=store.zone,
                disk=store.identity.disk,
                process=store.identity.process,
                is_connected=address in connected,
                disconnected_for_s=self._now() - store.seen_at,
                is_retiring=address in retiring,
            )
            for address, store in self.known.items()
        }

    def view(
        self,
        *,
        copies: int,
        may_place: bool,
        timeouts: partition_placement.PlacementTimeouts,
        never_connected_for_s: float,
    ) -> partition_placement.PlacementView:
        """Returns the input of a placement decision.

        Args:
            copies: Number of members that a partition is to have.
            may_place: Whether all stores have had time to connect.
            timeouts: Timeouts of disconnected stores.
            never_connected_for_s: Time in seconds for which a store that was never connected counts as disconnected.
        """
        arrangements = self.arrangements()
        return partition_placement.PlacementView(
            stores=self.states(),
            arrangements=arrangements,
            reports=self._fresh_reports(arrangements),
            copies=copies,
            may_place=may_place,
            timeouts=timeouts,
            never_connected_for_s=never_connected_for_s,
        )

    def _fresh_reports(
        self, arrangements: Mapping[int, batch_partitions.PartitionOwners]
    ) -> dict[int, batch_messages.CopyReport]:
        return {
            number: report.message
            for number, report in self._reports.items()
            if number in arrangements
            and (report.address, report.message.epoch) == (arrangements[number].primary, arrangements[number].epoch)
            and self._now() - report.at <= MAX_REPORT_AGE_S
        }

"""The stores that a core node knows: who is connected with which disk, and what primaries report (docs/batch.md 2)."""

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

REPORT_AGE_S = 1.0  # an older report is not acted on: the primary would have repeated it


class KnownStore(typing.NamedTuple):
    """A store that is, or was, connected."""

    zone: str
    identity: batch_messages.StoreIdentity
    seen_at: float


class _Report(typing.NamedTuple):
    address: str
    at: float
    message: batch_messages.CopyReport


class StoreDirectory:
    """The stores of one core node.

    Args:
        now: The clock, in seconds.
        sessions: Which nodes are connected.
        roles: The register of singleton roles.
        on_change: Called when a store connected, or a primary reported something.

    Attributes:
        known: By address, those that were ever connected.
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
        """Returns the handler of each type of message: (connection, message)."""
        return {
            batch_messages.StoreIdentity: self.handle_identity,
            batch_messages.CopyReport: self.handle_report,
        }

    def handle_identity(self, connection: interfaces.Connection, message: batch_messages.StoreIdentity) -> None:
        """A store says which disk it has."""
        self._identities[connection] = message
        self._update()
        self._on_change()

    def handle_report(self, connection: interfaces.Connection, message: batch_messages.CopyReport) -> None:
        """A primary says what is to change."""
        address = next((peer.address for peer in self._sessions.stores() if peer.connection is connection), "")
        self._reports[message.partition] = _Report(address, self._now(), message)
        self._on_change()

    def handle_ended(self, connection: interfaces.Connection) -> None:
        """A connection ended."""
        identity = self._identities.pop(connection, None)
        for address, store in self.known.items():
            if store.identity == identity:
                self.known[address] = store._replace(seen_at=self._now())

    def _update(self) -> set[str]:
        """Brings `known` up to date; returns the addresses of the connected stores."""
        connected = set()
        for peer in self._sessions.stores():
            identity = self._identities.get(peer.connection)
            if identity is not None:
                connected.add(peer.address)
                self.known[peer.address] = KnownStore(peer.zone, identity, self._now())
        return connected

    def address_of(self, node: str) -> str | None:
        """Returns the address of the store with this name, None where none is known."""
        return next((address for address, store in self.known.items() if store.identity.node == node), None)

    def arrangements(self) -> dict[int, batch_partitions.PartitionOwners]:
        """Returns the arrangement of each partition that has one."""
        roles = self._roles()
        found = {
            number: batch_partitions.owners_of(partition=number, roles=roles)
            for number in range(batch_partitions.PARTITIONS)
        }
        return {number: owners for number, owners in found.items() if owners.members}

    def states(self) -> dict[str, partition_placement.StoreState]:
        """Returns what is known of each store, by address."""
        connected = self._update()
        retiring = set(store_retirement.retiring_stores(self._roles()).values())
        return {
            address: partition_placement.StoreState(
                address=address,
                zone=store.zone,
                disk=store.identity.disk,
                process=store.identity.process,
                is_connected=address in connected,
                disconnected_for_s=self._now() - store.seen_at,
                is_retiring=store_retirement.RetiringStore(address, store.identity.disk) in retiring,
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
        """Returns all that placement decides on.

        Args:
            copies: How many members a partition is to have.
            may_place: Whether all stores have had the time to connect.
            timeouts: Durations.
            never_connected_for_s: For how long a store is lost that was never connected.
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
            and self._now() - report.at <= REPORT_AGE_S
        }

"""Manages the partitions that this store is primary of: arrangements, copies, leases, reports (docs/batch.md 2, 3)."""

from __future__ import annotations

import itertools
import typing
from collections.abc import Callable
from collections.abc import Iterable

from ploverward.common import batch_partitions
from ploverward.store import partition as partitions
from ploverward.store import partition_member
from ploverward.store import replication
from ploverward.store import store_disk
from ploverward.transport import batch_messages
from ploverward.transport import interfaces

MAX_LEASE_REQUESTS = 16  # unanswered requests remembered per store; a grant for an older one is ignored


class Links(typing.Protocol):
    """Connections to other stores: `store_links.StoreLinks`, or its counterpart in the simulation."""

    def update(self, addresses: set[str]) -> None:
        """Connects to these stores and closes the connections to all others."""

    def send(self, address: str, message: tuple) -> None:
        """Sends a message to a store; without a connection the message is dropped."""

    def keep_alive(self) -> None:
        """Sends heartbeats. Called at each heartbeat interval."""

    def stop(self) -> None:
        """Closes all connections."""


class PrimaryPartitions:
    """The partitions that this store is primary of.

    Args:
        loop: The event loop.
        own: Address of this store.
        process: Identifier of this incarnation of the store's process.
        disk: The store's disk.
        members: Returns this store's copy of the partition with the given number.
        timing: Durations.
        make_partition: Creates a partition that has no log yet.
        make_links: Creates the connections to other stores; called with on_up, on_message and on_end.
        send_report: Sends a report to the coordinator.

    Attributes:
        owned: Partitions by number.
    """

    def __init__(
        self,
        *,
        loop: interfaces.Loop,
        own: str,
        process: str,
        disk: store_disk.StoreDisk,
        members: Callable[[int], partition_member.PartitionMember],
        timing: replication.Timing,
        make_partition: Callable[[], partitions.Partition],
        make_links: Callable[..., Links],
        send_report: Callable[[batch_messages.CopyReport], object],
    ) -> None:
        self._loop = loop
        self._own = own
        self._process = process
        self._disk = disk
        self._members = members
        self._timing = timing
        self._make_partition = make_partition
        self._send_report = send_report
        self._links = make_links(on_up=self._handle_up, on_message=self._handle_message, on_end=self._handle_end)
        self._lease_requests: dict[tuple[str, int], float] = {}  # send time by address of the store and request number
        self._request_numbers = itertools.count(1)
        self.owned: dict[int, partitions.Partition] = {}

    # Arrangements.
    def install(self, number: int, owners: batch_partitions.PartitionOwners) -> None:
        """Applies an arrangement, under which this process becomes, remains or ceases to be the primary."""
        self._members(number).note_epoch(owners.epoch)
        owned = self.owned.get(number)
        is_primary = (owners.primary, owners.process) == (self._own, self._process)
        if is_primary:
            self._update_links(owners)
        if is_primary and owned is not None:
            owned.replication.install(owners)
        elif is_primary:
            self._become_primary(number, owners)
        elif owned is not None:
            del self.owned[number]
            owned.end()

    def _become_primary(self, number: int, owners: batch_partitions.PartitionOwners) -> None:
        partition = self._make_partition()
        self.owned[number] = partition
        partition.begin(
            replication.Replication(
                member=self._members(number),
                disk=self._disk,
                owners=owners,
                timing=self._timing,
                now=self._loop.now,
                send=self._links.send,
                on_committed=partition.handle_committed,
            )
        )

    def _update_links(self, owners: batch_partitions.PartitionOwners) -> None:
        """Connects to the stores of a new arrangement; connections no longer needed are closed at the next tick."""
        self._links.update(self._addresses() | {*owners.backups, *owners.learners})

    def _addresses(self) -> set[str]:
        return {address for owned in self.owned.values() for address in owned.replication.addresses()}

    # Connections.
    def _replicated_to(self, address: str) -> Iterable[partitions.Partition]:
        return [owned for owned in self.owned.values() if address in owned.replication.addresses()]

    def _handle_up(self, address: str) -> None:
        for owned in self._replicated_to(address):
            owned.replication.request_log_state(address)
        self._request_leases(address)

    def _handle_end(self, address: str) -> None:
        for owned in self._replicated_to(address):
            owned.replication.handle_disconnect(address)

    def _handle_message(self, address: str, message: tuple) -> None:
        if isinstance(message, batch_messages.PrimaryLeasesGranted):
            self._handle_leases(address, message)
        elif isinstance(message, batch_messages.LogState | batch_messages.EntriesDurable):
            owned = self.owned.get(message.partition)
            if owned is None:
                return
            if isinstance(message, batch_messages.LogState):
                owned.replication.handle_state(address, message)
            else:
                owned.replication.handle_durable(address, message)

    def handle_synced(self, number: int) -> None:
        """Commits entries after this store has synced more of a log."""
        owned = self.owned.get(number)
        if owned is not None:
            owned.replication.advance_commit()

    # Leases and reports.
    def tick(self) -> None:
        """Renews leases and reports caught-up or lost copies. Called every `Timing.renewal_interval_s`."""
        self._links.update(self._addresses())
        for address in sorted(self._addresses()):
            self._request_leases(address)
        for owned in self.owned.values():
            owned.tick()
            report = owned.replication.report()
            if report is not None:
                self._send_report(report)

    def _request_leases(self, address: str) -> None:
        rows = tuple(
            batch_messages.PartitionEpoch(owned.replication.number, owned.replication.owners.epoch)
            for owned in self._replicated_to(address)
        )
        number = next(self._request_numbers)
        self._lease_requests[address, number] = self._loop.now()
        while len(self._lease_requests) > MAX_LEASE_REQUESTS * max(1, len(self._addresses())):
            del self._lease_requests[next(iter(self._lease_requests))]
        self._links.send(address, batch_messages.RenewPrimaryLeases(number, rows))

    def _handle_leases(self, address: str, message: batch_messages.PrimaryLeasesGranted) -> None:
        requested_at = self._lease_requests.pop((address, message.number), None)
        if requested_at is None:
            return
        for number, epoch in message.partitions:
            owned = self.owned.get(number)
            if owned is not None:
                owned.replication.handle_lease(address, epoch=epoch, requested_at=requested_at)
                owned.replication.retry_log_state_request(address)

    def keep_alive(self) -> None:
        """Sends heartbeats. Called at each heartbeat interval."""
        self._links.keep_alive()

    def stop(self) -> None:
        """Closes all connections."""
        self._links.stop()

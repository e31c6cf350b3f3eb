"""The store node: wires the components of a store and drives their timers (docs/batch.md).

A store is primary of some partitions and keeps copies of others, as assigned in the register of singleton roles.
Everything runs in one thread, on one event loop, except for writes of the log, which run on a pool thread.
"""

from __future__ import annotations

import collections
import logging
import signal
import time
import typing
import uuid
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from ploverward.common import batch_partitions
from ploverward.common import reloadable_settings
from ploverward.common import settings as settings_files
from ploverward.control_plane import node_runtime
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import subscriber as subscribers
from ploverward.data_plane.control_client import core_connections
from ploverward.store import copy_service
from ploverward.store import job_service
from ploverward.store import partition as partitions
from ploverward.store import partition_log
from ploverward.store import partition_member
from ploverward.store import primary_partitions
from ploverward.store import replication
from ploverward.store import store_disk
from ploverward.store import store_links
from ploverward.transport import batch_messages
from ploverward.transport import event_loop
from ploverward.transport import messages
from ploverward.transport import peer_connection

_log = logging.getLogger(__name__)

PEER_TIMEOUTS_PER_CONTACT = 5
HEARTBEATS_PER_PEER_TIMEOUT = 3
FETCHES_PER_CONTACT = 12
ROLE = "store"
DEFAULT_SETTLE_MS = 1000.0
# Lease duration as a share of `settleMs`: a former primary stops serving in less than `settleMs` after its successor
# was named.
LEASE_SHARE_OF_SETTLE = 0.6
DEFAULT_STATUS_S = 120.0
BYTES_PER_MB = 1024 * 1024
LOG_MEMORY_SHARE = 0.5  # share of the memory limit that the logs may use


class StoreNode:
    """A process that stores batch jobs.

    Attributes:
        settings: The current settings.
        incarnation: Identifier of this start of the process; each start has another one.
        loop: The event loop.
        disk: The log file of this store.
        copies: This store's copies of partitions.
        primary: The partitions that this store is primary of.
    """

    def __init__(
        self,
        *,
        settings: settings_files.Settings,
        loop: event_loop.Loop | None = None,
        send_report: Callable[[batch_messages.CopyReport], object] | None = None,
    ) -> None:
        """Loads the logs from disk; connections are opened by `start`.

        Args:
            settings: The settings at startup.
            loop: The event loop; a new one by default.
            send_report: Receives reports for the coordinator; by default they are sent to it.
        """
        self._reloadable = reloadable_settings.ReloadableSettings(initial=settings)
        self.incarnation = uuid.uuid4().hex[:12]
        self.loop = loop or event_loop.Loop(on_error=lambda fault: _log.error("step_failed", exc_info=fault))
        contact_s = settings.bound_s(name="contactMs")
        self._peer_timeout_s = contact_s / PEER_TIMEOUTS_PER_CONTACT
        self._epochs: dict[int, int] = {}
        self._coordinator = ""
        self._accepted: set[peer_connection.PeerConnection] = set()
        self._timing = replication.Timing(
            lease_s=settings.bound_s(name="settleMs", default=DEFAULT_SETTLE_MS) * LEASE_SHARE_OF_SETTLE
        )
        self._make_partitions(send_report or self._send_report)
        self._make_control_client(contact_s)
        self._handlers: dict[type, Callable] = {
            **self._jobs.handlers(),
            batch_messages.RenewPrimaryLeases: self.copies.handle_leases,
            batch_messages.RequestLogState: self.copies.handle_state_request,
            batch_messages.AppendEntries: self.copies.handle_entries,
        }

    def _make_partitions(self, send_report: Callable[[batch_messages.CopyReport], object]) -> None:
        """Creates the disk, the copies, the primary's partitions and the job service."""
        settings = self.settings
        logs: store_disk.Logs = collections.defaultdict(partition_log.PartitionLog)
        self.disk = store_disk.StoreDisk(
            loop=self.loop,
            disk=node_runtime.NodeRuntime().disk(folder=settings.data_dir),
            logs=logs,
            limit_bytes=min(settings.disk_mb or settings.memory_mb, settings.memory_mb * LOG_MEMORY_SHARE)
            * BYTES_PER_MB,
            on_durable=self._handle_synced,
        )
        self.copies = copy_service.CopyService(
            make_member=lambda number: partition_member.PartitionMember(
                number=number, log=logs[number], disk=self.disk, now=self.loop.now, lease_s=self._timing.lease_s
            )
        )
        status_s = settings.bound(name="statusS", default=DEFAULT_STATUS_S)
        self.primary = primary_partitions.PrimaryPartitions(
            loop=self.loop,
            own=settings.ip,
            process=self.incarnation,
            disk=self.disk,
            members=self.copies.member,
            timing=self._timing,
            make_partition=lambda: partitions.Partition(now=self.loop.now, wall_time=time.time, status_s=status_s),
            make_links=self._make_links,
            send_report=send_report,
        )
        self._jobs = job_service.JobService(
            owned=self.primary.owned,
            has_capacity=lambda: not self.disk.is_full,
            handshake=messages.Handshake(
                role=ROLE,
                address=settings.ip,
                zone=settings.zone,
                region=settings.region,
                incarnation=self.incarnation,
                public_address="",  # clients do not call stores
            ),
        )

    def _make_links(self, **callbacks: typing.Any) -> store_links.StoreLinks:  # noqa: ANN401  # callbacks of `StoreLinks`
        return store_links.StoreLinks(
            loop=self.loop, port=self.settings.proxy_port, peer_timeout_s=self._peer_timeout_s, **callbacks
        )

    def _make_control_client(self, contact_s: float) -> None:
        """Creates the connections to core nodes and the subscriber to the topics that they distribute."""
        self._connections = core_connections.CoreConnections(
            loop=self.loop,
            settings=lambda: self.settings,
            incarnation=self.incarnation,
            peer_timeout_s=self._peer_timeout_s,
            node_state=lambda: messages.NodeState(is_ready=True, is_draining=False),
            on_message=self._handle_core_message,
            on_end=lambda _host, connection: self._subscriber.remove_connection(connection),
            role=ROLE,
            on_up=lambda connection: connection.send(self.identity()),
        )
        self._subscriber = subscribers.Subscriber(
            now=self.loop.now,
            fetch_timeout_s=contact_s / FETCHES_PER_CONTACT,
            on_snapshot=self._install,
            is_near=self._connections.is_near,
            ignored_topics=[
                endpoint_list.TOPIC,
                *(
                    name
                    for name in register_names.REGISTERS
                    if name not in (register_names.SINGLETON_ROLES, register_names.CORE_SET)
                ),
            ],
        )
        self._core_handlers: dict[type, Callable] = {
            messages.Handshake: self._connections.handle_handshake,
            messages.Announcement: lambda _host, link, message: self._subscriber.handle_announcement(link, message),
            messages.Snapshot: lambda _host, link, message: self._subscriber.handle_snapshot(link, message),
        }

    @property
    def settings(self) -> settings_files.Settings:
        """The current settings."""
        return self._reloadable.current

    def identity(self) -> batch_messages.StoreIdentity:
        """Returns the identity of this store, its disk and its process, which is sent to core nodes."""
        return batch_messages.StoreIdentity(self.settings.node, self.disk.identity, self.incarnation)

    def run(self) -> int:
        """Serves until SIGTERM and returns the exit status of the process."""
        self.start()
        signal.signal(signal.SIGTERM, lambda *_: self.loop.call_soon_threadsafe(callback=self.loop.stop))
        signal.signal(signal.SIGHUP, lambda *_: self.loop.call_soon_threadsafe(callback=self._reload_settings))
        self.loop.run()
        return 0

    def start(self) -> None:
        """Starts listening; core nodes are connected to once the identity of the disk is synced."""
        self._listener = peer_connection.PeerListener(
            loop=self.loop,
            address=(self.settings.ip, self.settings.proxy_port),
            on_connection=self._accepted.add,
            on_message=self._handle_message,
            on_end=self._handle_end,
            peer_timeout_s=self._peer_timeout_s,
        )
        self.disk.start(on_ready=self._connections.connect)
        interval_s = self._peer_timeout_s / HEARTBEATS_PER_PEER_TIMEOUT
        self.loop.every(interval_s=interval_s, callback=self._on_heartbeat)
        self.loop.every(interval_s=self._timing.renewal_interval_s, callback=self.primary.tick)

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._listener.stop()
        for connection in list(self._accepted):
            connection.close(reason="stopped")
        self.primary.stop()
        self._connections.stop()

    def _reload_settings(self) -> None:
        self._reloadable.reload()
        self._connections.connect()

    def _on_heartbeat(self) -> None:
        self._connections.keep_alive()
        self._subscriber.tick()
        self.primary.keep_alive()
        # Proxies call the stores in turn. With many stores, a proxy would receive nothing from one of them for longer
        # than the peer timeout.
        for connection in list(self._accepted):
            connection.keep_alive()

    # Singleton roles.
    def _handle_core_message(self, host: str, connection: peer_connection.PeerConnection, message: tuple) -> None:
        handler = self._core_handlers.get(type(message))
        if handler is not None:
            handler(host, connection, message)

    def _install(self, snapshot: messages.Snapshot) -> None:
        members, payload = ballots.unpack(snapshot.data)
        if snapshot.topic == register_names.CORE_SET:
            self._connections.install_members(members)
        elif snapshot.topic == register_names.SINGLETON_ROLES:
            self.install_roles(payload or {})

    def install_roles(self, roles: Mapping[str, Sequence]) -> None:
        """Installs the coordinator and the partition arrangements from the register of singleton roles."""
        _epoch, self._coordinator, _incarnation = roles.get(singleton_roles.COORDINATOR, (0, "", ""))
        for number in range(batch_partitions.PARTITIONS):
            owners = batch_partitions.owners_of(partition=number, roles=roles)
            if owners.epoch > self._epochs.get(number, 0):
                self._epochs[number] = owners.epoch
                self.primary.install(number, owners)

    def _send_report(self, report: batch_messages.CopyReport) -> None:
        """Sends a report to the coordinator. Without a connection it is dropped; the next tick makes a new one."""
        connection = self._connections.connection_to(self._coordinator)
        if connection is not None:
            connection.send(report)

    # Connections from other stores and proxies.
    def _handle_synced(self, number: int) -> None:
        self.primary.handle_synced(number)
        self.copies.handle_synced(number)

    def _handle_message(self, connection: peer_connection.PeerConnection, message: tuple) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(connection, message)

    def _handle_end(self, connection: peer_connection.PeerConnection, _reason: str) -> None:
        self._accepted.discard(connection)
        self.copies.handle_end(connection)
        self._jobs.handle_end(connection)

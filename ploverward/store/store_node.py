"""The store program: its parts, their wiring and its heartbeat (docs/batch.md).

A store is primary of some partitions and backup of others, as the register of singleton roles says. Everything runs in
one thread, on one event loop; the log is written on a pool thread.
"""

from __future__ import annotations

import collections
import logging
import signal
import time
import uuid
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from ploverward.common import batch_partitions
from ploverward.common import errors
from ploverward.common import settings as settings_files
from ploverward.control_plane import node_runtime
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import subscriber as subscribers
from ploverward.data_plane.control_client import core_connections
from ploverward.store import partition as partitions
from ploverward.store import replication
from ploverward.store import store_disk
from ploverward.transport import batch_messages
from ploverward.transport import event_loop
from ploverward.transport import messages
from ploverward.transport import peer_connection
from ploverward.transport.batch_messages import Outcome

_log = logging.getLogger(__name__)

PEER_TIMEOUTS_PER_CONTACT = 5
HEARTBEATS_PER_PEER_TIMEOUT = 3
FETCHES_PER_CONTACT = 12
ROLE = "store"


class StoreNode:
    """One process that keeps jobs.

    Attributes:
        settings: In force.
        incarnation: Differs for each start of the process.
    """

    def __init__(self, *, settings: settings_files.Settings, loop: event_loop.Loop | None = None) -> None:
        """Reads the disk; nothing is connected yet. `loop`: the event loop, a new one by default."""
        self.settings = settings
        self.incarnation = uuid.uuid4().hex[:12]
        self.loop = loop or event_loop.Loop(on_fault=lambda fault: _log.error("step_failed", exc_info=fault))
        contact_s = settings.bound_s(name="contactMs")
        self._peer_timeout_s = contact_s / PEER_TIMEOUTS_PER_CONTACT
        self._logs: dict[int, partitions.PartitionLog] = collections.defaultdict(partitions.PartitionLog)
        self._owned: dict[int, partitions.Partition] = {}
        self._links: dict[str, replication.BackupLink] = {}
        # By partition of which this store is a backup: the connections on which a primary asked how far it is.
        self._backed: dict[int, set[peer_connection.PeerConnection]] = collections.defaultdict(set)
        self._epochs: dict[int, int] = {}
        self._accepted: set[peer_connection.PeerConnection] = set()
        disk = node_runtime.NodeRuntime().disk(folder=settings.data_dir)
        self._disk = store_disk.StoreDisk(loop=self.loop, disk=disk, on_durable=self._handle_durable)
        self._load()
        self._connections = core_connections.CoreConnections(
            loop=self.loop,
            settings=lambda: self.settings,
            incarnation=self.incarnation,
            peer_timeout_s=self._peer_timeout_s,
            node_state=lambda: messages.NodeState(is_ready=True, is_draining=False),
            on_message=self._handle_core_message,
            on_end=lambda _host, connection: self._subscriber.drop(connection),
            role=ROLE,
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
        self._handlers: dict[type, Callable] = {
            batch_messages.SubmitJob: self._handle_submit,
            batch_messages.PullItems: self._handle_pull,
            batch_messages.FinishItem: self._handle_finish,
            batch_messages.ReadJob: self._handle_read_job,
            batch_messages.ReadItem: self._handle_read_item,
            batch_messages.EndJob: self._handle_end_job,
            batch_messages.ReplicateEntries: self._handle_entries,
        }

    def run(self) -> int:
        """Serves until SIGTERM. Returns the status of the process."""
        self.start()
        signal.signal(signal.SIGTERM, lambda *_: self.loop.command(callback=self.loop.stop))
        signal.signal(signal.SIGHUP, lambda *_: self.loop.command(callback=self._reread_settings))
        self.loop.run()
        return 0

    def start(self) -> None:
        """Listens, and connects to the core nodes."""
        self._listener = peer_connection.PeerListener(
            loop=self.loop,
            address=(self.settings.ip, self.settings.proxy_port),
            on_link=self._accepted.add,
            on_message=self._handle_message,
            on_end=self._handle_end,
            peer_timeout_s=self._peer_timeout_s,
        )
        self._connections.connect()
        interval_s = self._peer_timeout_s / HEARTBEATS_PER_PEER_TIMEOUT
        self.loop.every(interval_s=interval_s, callback=self._on_heartbeat)

    def stop(self) -> None:
        """Ends all connections."""
        self._listener.stop()
        for connection in list(self._accepted):
            connection.close(reason="stopped")
        for link in self._links.values():
            link.stop()
        self._connections.stop()

    def _reread_settings(self) -> None:
        try:
            self.settings = settings_files.load()
        except errors.SettingsError as error:
            _log.error("settings_rejected", extra={"fault": str(error)})
            return
        self._connections.connect()

    def _load(self) -> None:
        for entry in self._disk.load():
            log = self._logs[entry.partition]
            if entry.position == len(log.entries) + 1:
                log.append(entry.data)
                log.durable = entry.position

    def _on_heartbeat(self) -> None:
        self._connections.broadcast(messages.KeepAlive(number=0))
        self._subscriber.tick()
        for link in self._links.values():
            link.keep_alive()

    # Roles.
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
        """The owners of singleton roles changed."""
        for number in range(batch_partitions.PARTITIONS):
            owners = batch_partitions.owners_of(partition=number, roles=roles)
            if owners.epoch != self._epochs.get(number, 0):
                self._epochs[number] = owners.epoch
                self._install_owners(number, owners)
        wanted = {host for partition in self._owned.values() for host in partition.owners.backups}
        for host in wanted - self._links.keys():
            self._links[host] = replication.BackupLink(
                loop=self.loop,
                address=(host, self.settings.proxy_port),
                peer_timeout_s=self._peer_timeout_s,
                partitions_of=self._partitions_of,
            )
        for host in self._links.keys() - wanted:
            self._links.pop(host).stop()

    def _install_owners(self, number: int, owners: batch_partitions.PartitionOwners) -> None:
        self._owned.pop(number, None)
        if owners.primary == self.settings.ip:
            self._owned[number] = partitions.Partition(
                number=number,
                owners=owners,
                log=self._logs[number],
                add=self._disk.add,
                now=self.loop.now,
                wall_time=time.time,
                on_appended=self._handle_appended,
            )
            self._owned[number].advance()

    def _partitions_of(self, host: str) -> list[partitions.Partition]:
        return [partition for partition in self._owned.values() if host in partition.owners.backups]

    # The log.
    def _handle_appended(self, partition: partitions.Partition) -> None:
        for host in partition.owners.backups:
            self._links[host].send_new(partition)

    def _handle_durable(self, entry: store_disk.StoredEntry) -> None:
        log = self._logs[entry.partition]
        log.durable = max(log.durable, entry.position)
        owned = self._owned.get(entry.partition)
        if owned is not None:
            owned.advance()
        for connection in self._backed.get(entry.partition, ()):
            self._acknowledge(connection, entry.partition)

    def _acknowledge(self, connection: peer_connection.PeerConnection, number: int) -> None:
        last = self._logs[number].durable
        connection.send(batch_messages.EntriesStored(number, self._epochs.get(number, 0), last))

    def _handle_entries(
        self, connection: peer_connection.PeerConnection, message: batch_messages.ReplicateEntries
    ) -> None:
        """A primary's entries, or its question how far this store is."""
        number = message.partition
        if message.epoch != self._epochs.get(number, 0):
            return  # one of the two does not know the newest arrangement yet; the primary asks again
        self._backed[number].add(connection)
        log = self._logs[number]
        if message.entries and message.first > len(log.entries) + 1:
            connection.close(reason="entries are missing before these")
            return
        for position, entry in enumerate(message.entries, message.first):
            if position == len(log.entries) + 1:
                log.append(entry.data)
                self._disk.add(store_disk.StoredEntry(number, position, entry.data))
        if not message.entries:
            self._acknowledge(connection, number)
            self._send_back(connection, message)

    def _send_back(self, connection: peer_connection.PeerConnection, message: batch_messages.ReplicateEntries) -> None:
        """Sends a primary what it lacks; it asks again after each part."""
        missing = self._logs[message.partition].after(message.first - 1)
        if missing:
            rows = tuple(map(batch_messages.LogEntry, replication.up_to(missing, replication.MAX_SENT_BYTES)))
            connection.send(batch_messages.ReplicateEntries(message.partition, message.epoch, message.first, rows))

    # Requests of proxies.
    def _handle_message(self, connection: peer_connection.PeerConnection, message: tuple) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(connection, message)

    def _handle_end(self, connection: peer_connection.PeerConnection, _reason: str) -> None:
        self._accepted.discard(connection)
        for connections in self._backed.values():
            connections.discard(connection)

    def _owned_for(self, tenant: str) -> partitions.Partition | None:
        """The tenant's partition, where this store is its primary and has all of it."""
        owned = self._owned.get(batch_partitions.partition_of(tenant))
        return owned if owned is not None and owned.is_serving else None

    @staticmethod
    def _replier(connection: peer_connection.PeerConnection, number: int) -> partitions.Reply:
        return lambda outcome: connection.send(batch_messages.JobReply(number, int(outcome)))

    def _handle_submit(self, connection: peer_connection.PeerConnection, message: batch_messages.SubmitJob) -> None:
        reply = self._replier(connection, message.number)
        owned = self._owned_for(message.tenant)
        if owned is None:
            reply(Outcome.NOT_OWNER)
        else:
            owned.submit(message, reply)

    def _handle_finish(self, connection: peer_connection.PeerConnection, message: batch_messages.FinishItem) -> None:
        reply = self._replier(connection, message.number)
        owned = self._owned_for(message.tenant)
        if owned is None:
            reply(Outcome.NOT_OWNER)
        else:
            owned.finish(message, reply)

    def _handle_end_job(self, connection: peer_connection.PeerConnection, message: batch_messages.EndJob) -> None:
        reply = self._replier(connection, message.number)
        owned = self._owned_for(message.tenant)
        if owned is None:
            reply(Outcome.NOT_OWNER)
        else:
            owned.end_job(message, reply)

    def _handle_pull(self, connection: peer_connection.PeerConnection, message: batch_messages.PullItems) -> None:
        """Leases the items that are due first, over all partitions of this store."""
        now = self.loop.now()
        jobs = [(job, owned) for owned in self._owned.values() if owned.is_serving for job in owned.table.open_jobs()]
        jobs.sort(key=lambda row: row[0].due_at)
        pulled: list[batch_messages.PulledItem] = []
        for job, owned in jobs:
            for item in owned.table.free_items(job, now=now):
                if len(pulled) == message.limit:
                    break
                pulled.append(owned.lease(job, item))
        connection.send(batch_messages.PulledItems(message.number, tuple(pulled)))

    def _handle_read_job(self, connection: peer_connection.PeerConnection, message: batch_messages.ReadJob) -> None:
        owned = self._owned_for(message.tenant)
        job = owned.table.find(tenant=message.tenant, job=message.job) if owned is not None else None
        if owned is None or job is None:
            outcome = owned.absence() if owned is not None else Outcome.NOT_OWNER
            connection.send(batch_messages.JobPage(message.number, int(outcome), 0, ()))
            return
        page = owned.table.page(job, after=message.after)
        connection.send(batch_messages.JobPage(message.number, int(Outcome.DONE), len(job.items), page))

    def _handle_read_item(self, connection: peer_connection.PeerConnection, message: batch_messages.ReadItem) -> None:
        owned = self._owned_for(message.tenant)
        job = owned.table.find(tenant=message.tenant, job=message.job) if owned is not None else None
        item = job.items.get(message.item) if job is not None else None
        if item is None:
            connection.send(
                batch_messages.ItemBody(
                    message.number, int(owned.absence() if owned is not None else Outcome.NOT_OWNER), b""
                )
            )
            return
        connection.send(batch_messages.ItemBody(message.number, int(Outcome.DONE), item.parcel.encode()))

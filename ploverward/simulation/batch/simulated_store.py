"""Machine with a store: the production classes, wired as in `ploverward.store.store_node`, in simulated time."""

from __future__ import annotations

import collections
import functools
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from ploverward.common import batch_partitions
from ploverward.simulation.batch import store_network
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_disk
from ploverward.store import copy_service
from ploverward.store import job_service
from ploverward.store import partition as partitions
from ploverward.store import partition_log
from ploverward.store import partition_member
from ploverward.store import primary_partitions
from ploverward.store import replication
from ploverward.store import store_disk
from ploverward.transport import batch_messages
from ploverward.transport import messages

TIMING = replication.Timing(lease_s=0.6)
STATUS_S = 4.0  # for how long a job stays readable after its due time


class SimulatedStore:
    """One machine, whose disk outlives its processes.

    Args:
        name: Address of the machine.
        zone: Zone of the machine.
        network: Connects it to other stores.
        find: Returns the machine with a given name.
        sync_s: Bounds of the duration of a disk sync.
        send_report: Sends a report to the coordinator; called with (name, report).
        on_failure: Called with the process and a traceback when a step raises.

    Attributes:
        process: Latest process of the machine; None before the first start.
        incarnation: Identifies the current process.
        disk: The current process's store disk.
        back_at: Time at which the machine last started, thawed or became reachable again.
        down_since: Time at which the machine last stopped, froze or was cut off.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        network: store_network.Network,
        find: Callable[[str], SimulatedStore],
        sync_s: tuple[float, float],
        send_report: Callable[[str, batch_messages.CopyReport], object],
        on_failure: Callable[[simulated_clock.Process, str], object],
    ) -> None:
        self.name = name
        self.zone = zone
        self._network = network
        self._clock = network.clock
        self._find = find
        self._send_report = send_report
        self._on_failure = on_failure
        self.files = simulated_disk.Disk(clock=network.clock, speed_s=sync_s)
        self.process: simulated_clock.Process | None = None
        self.incarnation = ""
        self.back_at = 0.0
        self.down_since = 0.0
        self._starts = 0
        self._epochs: dict[int, int] = {}

    @property
    def is_alive(self) -> bool:
        """Whether a process runs on the machine."""
        return self.process is not None and self.process.is_alive

    def start(self) -> None:
        """Starts a process on the current contents of the disk."""
        self._starts += 1
        self.incarnation = f"{self.name}-{self._starts}"
        self.process = simulated_clock.Process(clock=self._clock, name=self.name, on_failure=self._on_failure)
        self.back_at = self._clock.time
        self.process.guard(self._start_services)

    def _start_services(self) -> None:
        process = self.process
        assert process is not None
        loop = simulated_clock.Loop(process=process, on_stop=lambda: None, disk=self.files)
        logs: store_disk.Logs = collections.defaultdict(partition_log.PartitionLog)
        self._epochs = {}
        self.disk = store_disk.StoreDisk(
            loop=loop,
            disk=self.files,
            logs=logs,
            limit_bytes=0,
            on_durable=self._handle_synced,
            unique_id=lambda: f"disk-{self.incarnation}",
        )
        self.copies = copy_service.CopyService(
            make_member=lambda number: partition_member.PartitionMember(
                number=number, log=logs[number], disk=self.disk, now=loop.now, lease_s=TIMING.lease_s
            )
        )
        self.primary = primary_partitions.PrimaryPartitions(
            loop=loop,
            own=self.name,
            process=self.incarnation,
            disk=self.disk,
            members=self.copies.member,
            timing=TIMING,
            make_partition=lambda: partitions.Partition(
                now=loop.now, wall_time=lambda: self._clock.time, status_s=STATUS_S
            ),
            make_links=functools.partial(
                store_network.Links, network=self._network, own=self.name, process=process, find=self._find
            ),
            send_report=lambda report: self._send_report(self.name, report),
        )
        self.jobs = job_service.JobService(
            owned=self.primary.owned,
            has_capacity=lambda: True,
            handshake=messages.Handshake("store", self.name, self.zone, "", self.incarnation, ""),
        )
        self._handlers: dict[type, Callable] = {
            **self.jobs.handlers(),
            batch_messages.RenewPrimaryLeases: self.copies.handle_leases,
            batch_messages.RequestLogState: self.copies.handle_state_request,
            batch_messages.AppendEntries: self.copies.handle_entries,
        }
        self.disk.start(on_ready=lambda: None)
        loop.every(interval_s=TIMING.renewal_interval_s, callback=self.primary.tick)

    def _handle_synced(self, number: int) -> None:
        self.primary.handle_synced(number)
        self.copies.handle_synced(number)

    def accept(self, channel: object, message: tuple) -> None:
        """Handles a message from another store or from a proxy."""
        self._handlers[type(message)](channel, message)

    def handle_end(self, channel: object) -> None:
        """Handles the end of a connection that another machine opened."""
        self.copies.handle_end(channel)  # type: ignore[arg-type]
        self.jobs.handle_end(channel)  # type: ignore[arg-type]

    def install(self, rows: Mapping[str, Sequence]) -> None:
        """Installs rows of the register with a newer epoch than the known ones."""
        for number in range(batch_partitions.PARTITIONS):
            owners = batch_partitions.owners_of(partition=number, roles=rows)
            if owners.epoch > self._epochs.get(number, 0):
                self._epochs[number] = owners.epoch
                self.primary.install(number, owners)

    def stop(self, *, has_power: bool = True, keeps_disk: bool = True) -> None:
        """Ends the process.

        Args:
            has_power: False for a loss of power, True for a kill of the process.
            keeps_disk: False if the contents of the disk are lost as well.
        """
        if self.is_alive and self.process is not None:
            self.process.end()
            self.down_since = self._clock.time
        if not has_power or not keeps_disk:
            self.files.lose_power()
        else:
            self.files.kill()
        if not keeps_disk:
            self.files.empty()

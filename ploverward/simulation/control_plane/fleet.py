"""The machines of a run: starts, stops and replaces core machines and proxies (docs/simulate.md).

`Fleet` keeps track of which machine occupies which slot, and of which slots are lost. A slot counts as lost while a
fault affects it and for `catchUpS` seconds afterwards.
"""

from __future__ import annotations

from collections.abc import Sequence

from ploverward.common import settings as settings_files
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import platform_model
from ploverward.simulation.control_plane import proxies
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import share_checks
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_network
from ploverward.simulation.control_plane import simulated_runtime
from ploverward.simulation.control_plane import value_checks

START_SPREAD_S = 0.3  # the machines of a run start within this time
MAX_SEEDS = 3  # maximum number of core nodes that a settings file lists
STALE_SETTINGS_CHANCE = 0.3  # chance that a machine with an emptied disk starts with the settings of its first start
REWRITE_CHANCE = 0.5  # chance that the settings of a restarted machine list newly drawn seeds


class Slot:
    """A place for one core machine; when a machine is replaced, its successor takes the place.

    Attributes:
        machine: The machine that occupies the slot now.
        is_down: Whether its process was stopped and not started again.
        faults: Number of faults that affect the slot now.
        lost_until: Simulated time in seconds until which the slot counts as lost after its last fault.
        settings: The settings with which the machine was last started.
        first_settings: The settings of the first start of the system; None after the machine was replaced.
    """

    def __init__(self, *, machine: machines.Machine, settings: settings_files.Settings) -> None:
        self.machine = machine
        self.settings = settings
        self.first_settings: settings_files.Settings | None = settings
        self.is_down = False
        self.faults = 0
        self.lost_until = 0.0


class Fleet:
    """All machines of a run.

    Attributes:
        slots: The slots of the core machines.
        tolerated: Number of core machines that may be lost at once.
        proxy_hosts: Addresses of the proxies.
    """

    def __init__(
        self,
        *,
        network: simulated_network.Network,
        platform: platform_model.Platform,
        recorder: recorders.Recorder,
        values: value_checks.ValueChecks,
        shares: share_checks.ShareChecks,
        tolerated: int,
        disk_speed_s: tuple[float, float],
        proxy_hosts: Sequence[str],
    ) -> None:
        """Creates an empty fleet, to which `build` adds the machines.

        Args:
            network: The network between the machines.
            platform: The platform whose list of replicas core nodes read.
            recorder: Collects the history and the findings of the run.
            values: Checks the values that core nodes publish and proxies install.
            shares: Checks the shares that proxies may use.
            tolerated: Number of core machines that may be lost at once.
            disk_speed_s: Shortest and longest duration of a sync, in seconds.
            proxy_hosts: Addresses of the proxies.
        """
        self.slots: list[Slot] = []
        self.tolerated = tolerated
        self.proxy_hosts = list(proxy_hosts)
        self._clock: simulated_clock.Clock = network.clock
        self._chance = network.clock.chance
        self._network = network
        self._platform = platform
        self._recorder = recorder
        self._values = values
        self._shares = shares
        self._disk_speed_s = disk_speed_s
        self._catch_up_s = machines.BOUNDS["catchUpS"]
        self._grace_s = machines.BOUNDS["graceS"]
        self._machine_count = 0

    def core_hosts(self) -> list[str]:
        """Returns the addresses of the core machines, in the order of their slots."""
        return [slot.machine.host for slot in self.slots]

    def build(self, *, size: int) -> None:
        """Adds `size` core machines and all proxies, and schedules their starts."""
        core_machines = [self._new_machine() for _number in range(size)]
        seeds = tuple(machine.host for machine in core_machines[:MAX_SEEDS])
        for machine in core_machines:
            machine.is_powered = True
            slot = Slot(machine=machine, settings=self._settings(machine, seeds=seeds, is_first=True))
            slot.lost_until = START_SPREAD_S + self._catch_up_s
            slot.is_down = True
            self.slots.append(slot)
            self._schedule_start(slot)
        for host in self.proxy_hosts:
            region = self._chance.choice(machines.REGIONS)
            self._network.machines[host] = machines.Machine(clock=self._clock, host=host, region=region)
            self._schedule_proxy_start(host, seeds)

    def _schedule_start(self, slot: Slot) -> None:
        self._clock.later(delay=self._chance.uniform(0, START_SPREAD_S), callback=lambda: self._start(slot))

    def _schedule_proxy_start(self, host: str, seeds: Sequence[str]) -> None:
        delay = self._chance.uniform(0, START_SPREAD_S)
        self._clock.later(delay=delay, callback=lambda: self.start_proxy(host, seeds=seeds))

    def _new_machine(self) -> machines.Machine:
        self._machine_count += 1
        region = machines.REGIONS[self._machine_count % len(machines.REGIONS)]
        machine = machines.Machine(
            clock=self._clock, host=f"10.0.0.{self._machine_count}", region=region, speed_s=self._disk_speed_s
        )
        self._network.machines[machine.host] = machine
        return machine

    def _draw_seeds(self) -> tuple[str, ...]:
        hosts = self.core_hosts()
        return tuple(self._chance.sample(hosts, min(MAX_SEEDS, len(hosts))))

    def _settings(
        self, machine: machines.Machine, *, seeds: Sequence[str], is_first: bool = False, is_core: bool = True
    ) -> settings_files.Settings:
        return machines.settings(
            host=machine.host,
            region=machine.region,
            seeds=seeds,
            is_first=is_first,
            tolerated=self.tolerated,
            is_core=is_core,
        )

    # Core machines.
    def _start(self, slot: Slot) -> None:
        slot.is_down = False
        machine = slot.machine
        self._recorder.record("starts", host=machine.host, seeds=[host for host, _port in slot.settings.seeds])
        simulated_runtime.start_core(
            network=self._network,
            machine=machine,
            platform=self._platform,
            node_settings=slot.settings,
            on_failure=self._recorder.add_failed_step,
            on_stop=self._handle_exit,
            watcher=self._values.watch,
        )

    def _handle_exit(self, machine: machines.Machine, process: machines.Program) -> None:
        """Handles a core node that stops its own loop. Only a node whose machine is being removed may do so."""
        if machine.process is process and process.is_alive:
            self._recorder.record("ended", host=machine.host)
            machines.stop(machine=machine)
            if not machine.is_removed:
                self._recorder.add_finding("ended", f"{machine.host} ended by itself")

    def stop(self, slot: Slot, *, is_power_lost: bool) -> None:
        """Stops the process of a slot's machine, or the whole machine, until `restart`."""
        self._recorder.record("stopped", host=slot.machine.host, is_power_lost=is_power_lost)
        slot.is_down = True
        machines.stop(machine=slot.machine, is_power_lost=is_power_lost)
        slot.machine.is_powered = not is_power_lost

    def restart(self, slot: Slot, *, is_emptied: bool) -> None:
        """Starts a slot's machine again, unless the machine was replaced or is being removed.

        Args:
            slot: The slot.
            is_emptied: Whether the disk lost its content. The settings are then written again too, or they are those
                of the first start, which models an operator who restores an old file.
        """
        if not slot.is_down or slot.machine.is_removed:
            return
        if is_emptied and slot.first_settings is not None and self._chance.random() < STALE_SETTINGS_CHANCE:
            slot.settings = slot.first_settings
            self._start(slot)
            return
        is_rewritten = is_emptied or self._chance.random() < REWRITE_CHANCE
        seeds = self._draw_seeds() if is_rewritten else tuple(host for host, _port in slot.settings.seeds)
        slot.settings = self._settings(slot.machine, seeds=seeds)
        self._start(slot)

    def start_successor(self, slot: Slot) -> None:
        """Puts a new machine into a slot and starts it."""
        seeds = tuple(host for host in self._draw_seeds() if host != slot.machine.host)
        slot.machine = self._new_machine()
        slot.first_settings = None
        slot.settings = self._settings(slot.machine, seeds=seeds or self._draw_seeds())
        self._start(slot)

    def remove(self, machine: machines.Machine, *, is_in_order: bool) -> None:
        """Removes a machine permanently.

        If `is_in_order`, its node first gets SIGTERM, and SIGKILL after `graceS` seconds.
        """
        machine.is_removed = True
        machine.disk.record_loss()
        self._recorder.record("removed", host=machine.host, is_in_order=is_in_order)

        def switch_off() -> None:
            machines.stop(machine=machine, is_power_lost=True)
            machine.is_powered = False

        if not is_in_order or machine.core is None or not machine.running_process.is_alive:
            switch_off()
            return
        terminate = machine.core.runtime.on_terminate
        assert terminate is not None
        self._clock.later(
            delay=0.0, callback=terminate, process=machine.process, kind=simulated_clock.EventKind.COMMAND
        )
        self._clock.later(delay=self._grace_s, callback=switch_off)

    # Proxies.
    def start_proxy(self, host: str, *, seeds: Sequence[str] = ()) -> None:
        """Starts a proxy unless it runs already. Draws the seeds of its settings unless `seeds` are given."""
        machine = self._network.machines[host]
        if machine.process is not None and machine.process.is_alive:
            return
        self._recorder.record("proxy starts", host=host)
        node_settings = self._settings(machine, seeds=seeds or self._draw_seeds(), is_core=False)
        proxies.start_proxy(
            network=self._network,
            machine=machine,
            node_settings=node_settings,
            on_failure=self._recorder.add_failed_step,
            values=self._values,
            shares=self._shares,
        )

    def stop_proxy(self, host: str, *, is_power_lost: bool) -> None:
        """Stops a proxy until `start_proxy`."""
        machines.stop(machine=self._network.machines[host], is_power_lost=is_power_lost)

    # Lost slots.
    def is_lost(self, slot: Slot) -> bool:
        """Returns whether a slot counts as lost now."""
        return slot.faults > 0 or slot.lost_until > self._clock.time

    def lost_slots(self) -> list[Slot]:
        """Returns the slots that count as lost now."""
        return [slot for slot in self.slots if self.is_lost(slot)]

    def begin_fault(self, slot: Slot) -> None:
        """Notes that a fault of a slot begins."""
        slot.faults += 1

    def end_fault(self, slot: Slot) -> None:
        """Notes that a fault of a slot ends; the slot counts as lost for `catchUpS` seconds more."""
        slot.faults -= 1
        slot.lost_until = max(slot.lost_until, self._clock.time + self._catch_up_s)

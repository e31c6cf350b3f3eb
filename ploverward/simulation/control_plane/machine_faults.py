"""Faults of core machines: stops, freezes, replacements and faulty disks (docs/simulate.md).

Each public function but `pick_emptied` begins one fault and schedules its end. The history of a seed depends on the
order of the random draws: a fault's own numbers are drawn before it stops anything, except the downtime in `stop_all`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ploverward.simulation.control_plane.fault_scene import FaultContext

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import fleet
    from ploverward.simulation.control_plane import machines

FREEZE_S = (0.3, 12.0)  # duration for which a process is frozen
DOWN_S = (0.3, 8.0)  # duration for which a machine is down
DISK_S = (1.0, 8.0)  # duration for which a disk is faulty
REPLACEMENT_PAUSE_S = (0.2, 6.0)  # from the loss of a machine to the start of its successor
PLANNED_PAUSE_S = (-2.0, 2.0)  # the same for a planned replacement; negative: the successor starts first
RESTART_S = (0.3, 3.0)  # duration for which all machines are down at once
DISK_FAULT_KINDS = ("slow", "stall", "refuse", "refuse_late", "full")


def kill(context: FaultContext) -> None:
    """Kills processes and restarts them; what the operating system holds in memory is kept."""
    stop_slots(context, "kill", context.pick_slots(), is_power_lost=False)


def lose_power(context: FaultContext) -> None:
    """Cuts the power of machines and restarts them."""
    stop_slots(context, "power", context.pick_slots(), is_power_lost=True)


def empty_disk(context: FaultContext) -> None:
    """Stops machines and restarts them with an empty disk."""
    is_power_lost = context.chance.random() < 0.5
    stop_slots(context, "empty", context.pick_slots(), is_power_lost=is_power_lost, is_emptied=True)


def stop_slots(
    context: FaultContext, name: str, slots: Sequence[fleet.Slot], *, is_power_lost: bool, is_emptied: bool = False
) -> None:
    """Stops the machines of some slots and restarts them after a while.

    Args:
        context: The run.
        name: The fault's name in the history.
        slots: The slots; may be empty.
        is_power_lost: Whether the machines lose power; otherwise only their processes are killed.
        is_emptied: Whether the disks lose their content.
    """
    if not slots:
        return
    duration_s = context.draw_duration_s(DOWN_S)
    context.begin(name, slots)
    for slot in slots:
        context.simulation.fleet.stop(slot, is_power_lost=is_power_lost)
        if is_emptied:
            slot.machine.disk.empty()

    def end() -> None:
        for slot in slots:
            context.simulation.fleet.restart(slot, is_emptied=is_emptied)
        context.end(name, slots)

    context.call_later(duration_s, end)


def freeze(context: FaultContext) -> None:
    """Freezes processes while their clocks go on."""
    slots = context.pick_slots()
    if not slots:
        return
    duration_s = context.draw_duration_s(FREEZE_S)
    context.begin("freeze", slots)
    processes = [slot.machine.running_process for slot in slots]
    for process in processes:
        process.is_frozen = True

    def end() -> None:
        for process in processes:
            if process.is_alive:
                process.thaw()
        context.end("freeze", slots)

    context.call_later(duration_s, end)


def disturb_disk(context: FaultContext) -> None:
    """Makes disks slow, stalled or full, or makes them refuse writes."""
    slots = context.pick_slots()
    if not slots:
        return
    duration_s = context.draw_duration_s(DISK_S)
    kind = context.chance.choice(DISK_FAULT_KINDS)
    context.begin(f"disk {kind}", slots)
    disks = [slot.machine.disk for slot in slots]
    for disk in disks:
        disk.fault = kind
        disk.stalled_until = context.clock.time + duration_s if kind == "stall" else 0.0

    def end() -> None:
        for disk in disks:
            disk.fault = ""
        context.end(f"disk {kind}", slots)

    context.call_later(duration_s, end)


def replace(context: FaultContext) -> None:
    """Replaces machines without notice; their successors start later."""
    _replace_slots(context, "replace", pause_s=context.draw_duration_s(REPLACEMENT_PAUSE_S), is_in_order=False)


def replace_at_once(context: FaultContext) -> None:
    """Replaces machines without notice; their successors start at the same moment."""
    _replace_slots(context, "replace at once", pause_s=0.0, is_in_order=False)


def replace_in_order(context: FaultContext) -> None:
    """Replaces machines as planned: they get SIGTERM, and their successors start before or after it."""
    _replace_slots(context, "replace in order", pause_s=context.chance.uniform(*PLANNED_PAUSE_S), is_in_order=True)


def _replace_slots(context: FaultContext, name: str, *, pause_s: float, is_in_order: bool) -> None:
    """Replaces the machines of some slots by successors at new addresses.

    Args:
        context: The run.
        name: The fault's name in the history.
        pause_s: From the removal to the successor's start; negative: the successor starts first.
        is_in_order: Whether the removed machine's process gets SIGTERM first.
    """
    slots = context.pick_slots()
    if not slots:
        return
    context.begin(name, slots)
    for slot in slots:
        _replace_slot(context, slot, pause_s=pause_s, is_in_order=is_in_order)
    context.call_later(abs(pause_s), lambda: context.end(name, slots))


def _replace_slot(context: FaultContext, slot: fleet.Slot, *, pause_s: float, is_in_order: bool) -> None:
    simulation = context.simulation
    replaced: machines.Machine = slot.machine
    if pause_s < 0:
        simulation.fleet.start_successor(slot)
        context.call_later(-pause_s, lambda: simulation.fleet.remove(replaced, is_in_order=is_in_order))
        return
    simulation.fleet.remove(replaced, is_in_order=is_in_order)
    if pause_s:
        context.call_later(pause_s, lambda: simulation.fleet.start_successor(slot))
    else:
        simulation.fleet.start_successor(slot)


def kill_all(context: FaultContext) -> None:
    """Kills all processes at a critical moment (`SimulationRun.call_at_moment`); the disks are kept."""
    context.simulation.call_at_moment(lambda: stop_all(context, "all_killed"))


def lose_all_power(context: FaultContext) -> None:
    """Cuts the power of all machines at a critical moment (`SimulationRun.call_at_moment`); the disks are kept."""
    context.simulation.call_at_moment(lambda: stop_all(context, "all_power"))


def lose_disks_at_moment(context: FaultContext) -> None:
    """Empties as many disks as may be lost at a critical moment (`SimulationRun.call_at_moment`).

    The other machines go on running.
    """

    def begin() -> None:
        emptied = pick_emptied(context)
        stop_slots(context, "disks lost", emptied, is_power_lost=True, is_emptied=True)

    context.simulation.call_at_moment(begin)


def lose_disks_and_all_power(context: FaultContext) -> None:
    """Empties as many disks as may be lost at a critical moment (`SimulationRun.call_at_moment`).

    All other machines lose power, including those of the proxies.
    """
    context.simulation.call_at_moment(
        lambda: stop_all(context, "all_power", emptied=pick_emptied(context), has_proxies=True),
    )


def pick_emptied(context: FaultContext) -> list[fleet.Slot]:
    """Draws the healthy slots whose disks are to be emptied: as many as may be lost now."""
    free = context.allowed_losses()
    healthy = context.healthy_slots()
    return context.chance.sample(healthy, min(free, len(healthy))) if free > 0 else []


def stop_all(
    context: FaultContext, kind: str, *, emptied: Sequence[fleet.Slot] = (), has_proxies: bool = False
) -> None:
    """Stops all running core machines and restarts them after a while.

    Args:
        context: The run.
        kind: "all_power" or "all_killed"; also the name in the history.
        emptied: The slots whose disks lose their content.
        has_proxies: Whether the proxies' machines stop at the same moment.
    """
    simulation = context.simulation
    slots = [slot for slot in simulation.fleet.slots if not slot.is_down]
    context.begin(kind, slots)
    for slot in slots:
        simulation.fleet.stop(slot, is_power_lost=kind == "all_power")
        if slot in emptied:
            slot.machine.disk.empty()
    proxy_hosts = list(simulation.fleet.proxy_hosts) if has_proxies else []
    for host in proxy_hosts:
        simulation.recorder.record("proxy killed", host=host)
        simulation.fleet.stop_proxy(host, is_power_lost=kind == "all_power")

    def end() -> None:
        for slot in slots:
            simulation.fleet.restart(slot, is_emptied=slot in emptied)
        for host in proxy_hosts:
            simulation.fleet.start_proxy(host)
        context.end(kind, slots)

    context.call_later(context.chance.uniform(*RESTART_S), end)

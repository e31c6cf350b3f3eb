"""Faults of core machines: they stop, freeze, are replaced, or have a faulty disk (docs/simulate.md).

Each function begins one fault and schedules its end. Numbers are drawn before anything is stopped, in an order that a
seed's history depends on.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ploverward.simulation.control_plane.fault_scene import FaultScene

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import fleet
    from ploverward.simulation.control_plane import machines

FREEZE_S = (0.3, 12.0)  # how long a process is frozen
DOWN_S = (0.3, 8.0)  # how long a machine is down
DISK_S = (1.0, 8.0)  # how long a disk is faulty
REPLACEMENT_PAUSE_S = (0.2, 6.0)  # from a machine's loss to the start of its successor
PLANNED_PAUSE_S = (-2.0, 2.0)  # the same for a planned one; negative: the successor starts first
RESTART_S = (0.3, 3.0)  # how long all machines are down at once
DISK_FAULT_KINDS = ("slow", "stall", "refuse", "refuse_late", "full")


def kill(scene: FaultScene) -> None:
    """Processes are killed and start again; what the system holds in memory stays."""
    stop_slots(scene, "kill", scene.pick_slots(), is_power_lost=False)


def lose_power(scene: FaultScene) -> None:
    """Machines lose power and start again."""
    stop_slots(scene, "power", scene.pick_slots(), is_power_lost=True)


def empty_disk(scene: FaultScene) -> None:
    """Machines stop and start again with an empty disk."""
    is_power_lost = scene.chance.random() < 0.5
    stop_slots(scene, "empty", scene.pick_slots(), is_power_lost=is_power_lost, is_emptied=True)


def stop_slots(
    scene: FaultScene, name: str, slots: Sequence[fleet.Slot], *, is_power_lost: bool, is_emptied: bool = False
) -> None:
    """Stops the machines of some slots, and starts them again after a while.

    Args:
        scene: The run.
        name: The fault's name in the history.
        slots: The slots; may be empty.
        is_power_lost: Whether the machines lose power, or only their processes are killed.
        is_emptied: Whether the disks lose their content.
    """
    if not slots:
        return
    duration_s = scene.draw_duration_s(DOWN_S)
    scene.begin(name, slots)
    for slot in slots:
        scene.simulation.fleet.stop(slot, is_power_lost=is_power_lost)
        if is_emptied:
            slot.machine.disk.empty()

    def end() -> None:
        for slot in slots:
            scene.simulation.fleet.restart(slot, is_emptied=is_emptied)
        scene.end(name, slots)

    scene.after(duration_s, end)


def freeze(scene: FaultScene) -> None:
    """Processes stand still while their clocks go on."""
    slots = scene.pick_slots()
    if not slots:
        return
    duration_s = scene.draw_duration_s(FREEZE_S)
    scene.begin("freeze", slots)
    processes = [slot.machine.running_process for slot in slots]
    for process in processes:
        process.is_frozen = True

    def end() -> None:
        for process in processes:
            if process.is_alive:
                process.thaw()
        scene.end("freeze", slots)

    scene.after(duration_s, end)


def disturb_disk(scene: FaultScene) -> None:
    """Disks are slow, stall, refuse or are full."""
    slots = scene.pick_slots()
    if not slots:
        return
    duration_s = scene.draw_duration_s(DISK_S)
    kind = scene.chance.choice(DISK_FAULT_KINDS)
    scene.begin(f"disk {kind}", slots)
    disks = [slot.machine.disk for slot in slots]
    for disk in disks:
        disk.fault = kind
        disk.stalled_until = scene.clock.time + duration_s if kind == "stall" else 0.0

    def end() -> None:
        for disk in disks:
            disk.fault = ""
        scene.end(f"disk {kind}", slots)

    scene.after(duration_s, end)


def replace(scene: FaultScene) -> None:
    """Unplanned: machines are gone, their successors start later."""
    _replace_slots(scene, "replace", pause_s=scene.draw_duration_s(REPLACEMENT_PAUSE_S), is_in_order=False)


def replace_at_once(scene: FaultScene) -> None:
    """Unplanned: machines are gone, their successors start at the same moment."""
    _replace_slots(scene, "replace at once", pause_s=0.0, is_in_order=False)


def replace_in_order(scene: FaultScene) -> None:
    """Planned: SIGTERM, and the successor starts before or after it."""
    _replace_slots(scene, "replace in order", pause_s=scene.chance.uniform(*PLANNED_PAUSE_S), is_in_order=True)


def _replace_slots(scene: FaultScene, name: str, *, pause_s: float, is_in_order: bool) -> None:
    """A slot stays; its machine becomes another one, at a new address.

    Args:
        scene: The run.
        name: The fault's name in the history.
        pause_s: From the removal to the successor's start; negative: the successor starts first.
        is_in_order: Whether the removed machine's process gets SIGTERM first.
    """
    slots = scene.pick_slots()
    if not slots:
        return
    scene.begin(name, slots)
    for slot in slots:
        _replace_slot(scene, slot, pause_s=pause_s, is_in_order=is_in_order)
    scene.after(abs(pause_s), lambda: scene.end(name, slots))


def _replace_slot(scene: FaultScene, slot: fleet.Slot, *, pause_s: float, is_in_order: bool) -> None:
    simulation = scene.simulation
    replaced: machines.Machine = slot.machine
    if pause_s < 0:
        simulation.fleet.start_successor(slot)
        scene.after(-pause_s, lambda: simulation.fleet.remove(replaced, is_in_order=is_in_order))
        return
    simulation.fleet.remove(replaced, is_in_order=is_in_order)
    if pause_s:
        scene.after(pause_s, lambda: simulation.fleet.start_successor(slot))
    else:
        simulation.fleet.start_successor(slot)


def kill_all(scene: FaultScene) -> None:
    """All processes are killed at a moment that matters; the disks stay."""
    scene.simulation.call_at_moment(lambda: stop_all(scene, "all_killed"))


def lose_all_power(scene: FaultScene) -> None:
    """All machines lose power at a moment that matters; the disks stay."""
    scene.simulation.call_at_moment(lambda: stop_all(scene, "all_power"))


def lose_disks_at_moment(scene: FaultScene) -> None:
    """As many disks as may be lost go at a moment that matters; the other machines run on."""

    def begin() -> None:
        emptied = pick_emptied(scene)
        stop_slots(scene, "disks lost", emptied, is_power_lost=True, is_emptied=True)

    scene.simulation.call_at_moment(begin)


def lose_disks_and_all_power(scene: FaultScene) -> None:
    """As many disks as may be lost go at a moment that matters; all other machines lose power, proxies too."""
    scene.simulation.call_at_moment(
        lambda: stop_all(scene, "all_power", emptied=pick_emptied(scene), has_proxies=True),
    )


def pick_emptied(scene: FaultScene) -> list[fleet.Slot]:
    """Draws as many healthy slots as may lose their disks now."""
    free = scene.free_losses()
    healthy = scene.healthy_slots()
    return scene.chance.sample(healthy, min(free, len(healthy))) if free > 0 else []


def stop_all(scene: FaultScene, kind: str, *, emptied: Sequence[fleet.Slot] = (), has_proxies: bool = False) -> None:
    """Stops all core machines that run, and starts them again after a while.

    Args:
        scene: The run.
        kind: "all_power" or "all_killed"; also the name in the history.
        emptied: The slots whose disks lose their content.
        has_proxies: Whether the machines of proxies stop at the same moment.
    """
    simulation = scene.simulation
    slots = [slot for slot in simulation.fleet.slots if not slot.is_down]
    scene.begin(kind, slots)
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
        scene.end(kind, slots)

    scene.after(scene.chance.uniform(*RESTART_S), end)

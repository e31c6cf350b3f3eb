"""Faults outside the core set, of proxies, operators and the platform: no core machine is lost (docs/simulate.md)."""

from __future__ import annotations

from collections.abc import Callable

from ploverward.simulation.control_plane import link_faults
from ploverward.simulation.control_plane import machine_faults
from ploverward.simulation.control_plane.fault_scene import FaultScene


def kill_proxy(scene: FaultScene) -> None:
    """One proxy is killed or loses power, and starts again."""
    simulation = scene.simulation
    host = scene.chance.choice(simulation.fleet.proxy_hosts)
    simulation.recorder.record("proxy killed", host=host)
    simulation.fleet.stop_proxy(host, is_power_lost=scene.chance.random() < 0.5)
    scene.after(scene.draw_duration_s(machine_faults.DOWN_S), lambda: simulation.fleet.start_proxy(host))


def freeze_proxy(scene: FaultScene) -> None:
    """One proxy stands still while its clock goes on."""
    simulation = scene.simulation
    host = scene.chance.choice(simulation.fleet.proxy_hosts)
    process = simulation.network.machines[host].process
    if process is None or not process.is_alive or process.is_frozen:
        return
    simulation.recorder.record("proxy frozen", host=host)
    process.is_frozen = True

    def end() -> None:
        if process.is_alive:
            process.thaw()

    _disturb_proxy(scene, host, scene.draw_duration_s(machine_faults.FREEZE_S), end)


def partition_proxy(scene: FaultScene) -> None:
    """One proxy is cut off from some core machines."""
    simulation = scene.simulation
    host = scene.chance.choice(simulation.fleet.proxy_hosts)
    others = [other for other in simulation.fleet.core_hosts() if scene.chance.random() < 0.7]
    pairs = [(host, other) for other in others] + [(other, host) for other in others]
    simulation.recorder.record("proxy cut", host=host, others=",".join(others))
    simulation.network.partition(pairs=pairs, is_reset=scene.chance.random() < link_faults.RESET_CHANCE)
    duration_s = scene.draw_duration_s(link_faults.PARTITION_S)
    _disturb_proxy(scene, host, duration_s, lambda: simulation.network.join(pairs=pairs))


def _disturb_proxy(scene: FaultScene, host: str, duration_s: float, end: Callable[[], object]) -> None:
    """Notes a fault of one proxy: checks leave it out until `contactMs` after its end."""
    fault_until = scene.simulation.fault_log.proxy_fault_until
    fault_until[host] = max(fault_until.get(host, 0.0), scene.clock.time + duration_s)
    scene.after(duration_s, end)


def lose_answers(scene: FaultScene) -> None:
    """Some answers to operators are lost on their way."""
    sender = scene.simulation.operators.sender
    sender.loses_answers = True

    def end() -> None:
        sender.loses_answers = False

    scene.after(scene.draw_duration_s(link_faults.PARTITION_S), end)


def change_platform(scene: FaultScene) -> None:
    """The platform's list of replicas changes; at times the platform is down for a while too."""
    platform = scene.simulation.platform
    platform.change()
    if scene.chance.random() >= 0.5:
        return
    platform.is_up = False

    def end() -> None:
        platform.is_up = True

    scene.after(scene.draw_duration_s(link_faults.PARTITION_S), end)


def probe_isolated(scene: FaultScene) -> None:
    """An order is sent to a node that is cut off now."""
    hosts = sorted(scene.simulation.fault_log.isolated_since)
    if hosts:
        scene.simulation.probes.probe(scene.chance.choice(hosts))

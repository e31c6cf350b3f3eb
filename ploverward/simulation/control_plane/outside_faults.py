"""Faults of proxies, operators and the platform, which lose no core machine (docs/simulate.md)."""

from __future__ import annotations

from collections.abc import Callable

from ploverward.simulation.control_plane import link_faults
from ploverward.simulation.control_plane import machine_faults
from ploverward.simulation.control_plane.fault_scene import FaultContext


def kill_proxy(context: FaultContext) -> None:
    """Kills one proxy or cuts its power, and restarts it."""
    simulation = context.simulation
    host = context.chance.choice(simulation.fleet.proxy_hosts)
    simulation.recorder.record("proxy killed", host=host)
    simulation.fleet.stop_proxy(host, is_power_lost=context.chance.random() < 0.5)
    context.call_later(context.draw_duration_s(machine_faults.DOWN_S), lambda: simulation.fleet.start_proxy(host))


def freeze_proxy(context: FaultContext) -> None:
    """Freezes one proxy while its clock goes on."""
    simulation = context.simulation
    host = context.chance.choice(simulation.fleet.proxy_hosts)
    process = simulation.network.machines[host].process
    if process is None or not process.is_alive or process.is_frozen:
        return
    simulation.recorder.record("proxy frozen", host=host)
    process.is_frozen = True

    def end() -> None:
        if process.is_alive:
            process.thaw()

    _disturb_proxy(context, host, context.draw_duration_s(machine_faults.FREEZE_S), end)


def partition_proxy(context: FaultContext) -> None:
    """Partitions one proxy from some core machines."""
    simulation = context.simulation
    host = context.chance.choice(simulation.fleet.proxy_hosts)
    others = [other for other in simulation.fleet.core_hosts() if context.chance.random() < 0.7]
    pairs = [(host, other) for other in others] + [(other, host) for other in others]
    simulation.recorder.record("proxy cut", host=host, others=",".join(others))
    simulation.network.partition(pairs=pairs, is_reset=context.chance.random() < link_faults.RESET_CHANCE)
    duration_s = context.draw_duration_s(link_faults.PARTITION_S)
    _disturb_proxy(context, host, duration_s, lambda: simulation.network.join(pairs=pairs))


def _disturb_proxy(context: FaultContext, host: str, duration_s: float, end: Callable[[], object]) -> None:
    """Records a fault of one proxy and schedules its end; checks skip the proxy until `contactMs` after that."""
    fault_until = context.simulation.fault_log.proxy_fault_until
    fault_until[host] = max(fault_until.get(host, 0.0), context.clock.time + duration_s)
    context.call_later(duration_s, end)


def lose_answers(context: FaultContext) -> None:
    """Loses some of the responses to operators for a while."""
    sender = context.simulation.operators.sender
    sender.loses_answers = True

    def end() -> None:
        sender.loses_answers = False

    context.call_later(context.draw_duration_s(link_faults.PARTITION_S), end)


def change_platform(context: FaultContext) -> None:
    """Changes the platform's list of replicas; sometimes the platform also goes down for a while."""
    platform = context.simulation.platform
    platform.change()
    if context.chance.random() >= 0.5:
        return
    platform.is_up = False

    def end() -> None:
        platform.is_up = True

    context.call_later(context.draw_duration_s(link_faults.PARTITION_S), end)


def probe_isolated(context: FaultContext) -> None:
    """Sends an order to a node that is isolated now, if there is one."""
    hosts = sorted(context.simulation.fault_log.isolated_since)
    if hosts:
        context.simulation.probes.probe(context.chance.choice(hosts))

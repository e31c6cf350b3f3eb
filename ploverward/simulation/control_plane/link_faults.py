"""Faults of the links of core machines: partitions, resets and delays (docs/simulate.md).

Each public function begins one fault and schedules its end.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from ploverward.simulation.control_plane import agreement
from ploverward.simulation.control_plane.fault_scene import FaultContext

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import fleet
    from ploverward.simulation.control_plane import simulated_network

PARTITION_S = (1.0, 14.0)  # duration of faults in which links are cut or slow or responses are lost
ADDED_DELAY_S = (0.05, 0.6)  # on each link of a slow machine, in each direction
APART_S = (4.0, 45.0)  # duration of a partition of regions or of two machines
APART_EDGE_S = 1.0  # interval at which a long partition is recorded again, so that it does not count as calm
ISOLATION_CHECK_S = 0.1  # interval at which it is checked whether isolated machines reach a majority
RESET_CHANCE = 0.3  # probability that a partition also resets the connections


def partition(context: FaultContext) -> None:
    """Isolates machines in both directions."""
    _isolate(context, "cut", is_out=True, is_in=True)


def partition_one_way(context: FaultContext) -> None:
    """Isolates machines in one direction."""
    is_out = context.chance.random() < 0.5
    _isolate(context, "cut one way", is_out=is_out, is_in=not is_out)


def split_core(context: FaultContext) -> None:
    """Partitions the core machines into two halves, even beyond the tolerated losses; all others reach both halves."""
    running = [slot for slot in context.simulation.fleet.slots if not slot.is_down]
    slots = context.chance.sample(running, len(running) // 2)
    own = [slot.machine.host for slot in slots]
    others = [slot.machine.host for slot in running if slot not in slots]
    pairs = [pair for one in own for other in others for pair in ((one, other), (other, one))]
    duration_s = context.draw_duration_s(PARTITION_S)
    _cut(context, "split", slots, pairs=pairs, duration_s=duration_s)
    _keep_disturbed_without_majority(context, halves=(own, others), until=context.clock.time + duration_s)


def _keep_disturbed_without_majority(
    context: FaultContext, *, halves: tuple[Sequence[str], Sequence[str]], until: float
) -> None:
    """Records an edge every second while neither half has a majority of every core set that a register has.

    No deadline applies during that time, and an edge keeps the span from counting as calm. In the middle of a move
    there are two such sets, and members of the older one may be gone for good. A machine that was started after the
    split reaches both halves. A machine whose disk was emptied before the split votes only once it has caught up, for
    which it may need members of the other half.
    """
    if context.clock.time >= until:
        return
    running = [slot for slot in context.simulation.fleet.slots if not slot.is_down]
    reaching_both = {slot.machine.host for slot in running} - {host for half in halves for host in half}
    sets = {members for sets_of_value in agreement.sets_of_values(running) for members in sets_of_value}
    voters = agreement.voters_among(running)
    has_majority = any(
        all(agreement.can_agree(members=members, reached={*half, *reaching_both}, voters=voters) for members in sets)
        for half in halves
    )
    if not has_majority:
        context.simulation.fault_log.record_edge("no half has a majority", ())
    context.call_later(APART_EDGE_S, lambda: _keep_disturbed_without_majority(context, halves=halves, until=until))


def partition_regions(context: FaultContext) -> None:
    """Partitions all regions from each other, even beyond the tolerated losses; at times each pair in one direction."""
    running = [slot for slot in context.simulation.fleet.slots if not slot.is_down]
    pairs = [
        (one.machine.host, other.machine.host)
        for one in running
        for other in running
        if one.machine.region != other.machine.region
    ]
    if context.chance.random() < 0.3:
        pairs = [(one, other) for one, other in pairs if one < other]
    duration_s = context.draw_duration_s(APART_S)
    # A successor that starts meanwhile is not partitioned, so no machine is certain to be without a majority.
    _cut(context, "regions apart", running, pairs=pairs, duration_s=duration_s, isolated=())
    _keep_disturbed(context, until=context.clock.time + duration_s)


def _keep_disturbed(context: FaultContext, *, until: float) -> None:
    """Records an edge every second, so that the span does not count as calm.

    It may be that no side has a majority, and then no deadline applies.
    """
    if context.clock.time < until:
        context.simulation.fault_log.record_edge("regions are apart", ())
        context.call_later(APART_EDGE_S, lambda: _keep_disturbed(context, until=until))


def partition_pair(context: FaultContext) -> None:
    """Cuts the link between two machines, while the others reach both."""
    slots = context.pick_slots()[:1]
    others = [slot for slot in context.simulation.fleet.slots if slot not in slots and not slot.is_down]
    if not slots or not others:
        return
    one, other = slots[0].machine.host, context.chance.choice(others).machine.host
    duration_s = context.draw_duration_s(APART_S)
    _cut(context, "bridge", slots, pairs=[(one, other), (other, one)], duration_s=duration_s, isolated=())


def _isolate(context: FaultContext, name: str, *, is_out: bool, is_in: bool) -> None:
    slots = context.pick_slots()
    if not slots:
        return
    duration_s = context.draw_duration_s(PARTITION_S)
    pairs = _draw_pairs(context, slots, duration_s=duration_s, is_out=is_out, is_in=is_in)
    _cut(context, name, slots, pairs=pairs, duration_s=duration_s)


def _cut(
    context: FaultContext,
    name: str,
    slots: Sequence[fleet.Slot],
    *,
    pairs: list[simulated_network.HostPair],
    duration_s: float,
    isolated: Sequence[fleet.Slot] | None = None,
) -> None:
    """Cuts the links of pairs of hosts for a while.

    Args:
        context: The run.
        name: Name of the fault in the history.
        slots: Slots that count as lost meanwhile.
        pairs: Pairs of hosts; the first no longer reaches the second.
        duration_s: Duration of the fault.
        isolated: Slots that meanwhile do not reach most of the core; None: all of `slots`.
    """
    simulation = context.simulation
    cut_off = slots if isolated is None else isolated
    context.begin(name, slots)
    simulation.network.partition(pairs=pairs, is_reset=context.chance.random() < RESET_CHANCE)
    for slot in cut_off:
        simulation.fault_log.isolated_since[slot.machine.host] = context.clock.time
        _follow_isolation(context, slot.machine.host)

    def end() -> None:
        for slot in cut_off:
            simulation.fault_log.isolated_since.pop(slot.machine.host, None)
        simulation.network.join(pairs=pairs)
        context.end(name, slots)

    context.call_later(duration_s, end)


def _follow_isolation(context: FaultContext, host: str) -> None:
    """Restarts the isolation of a machine for as long as it reaches a majority all the same.

    Machines that are cut off together may have the whole core set, or get a majority when another one comes back.
    """
    simulation = context.simulation
    if host not in simulation.fault_log.isolated_since:
        return
    if agreement.may_reach_majority(fleet=simulation.fleet, network=simulation.network, host=host):
        simulation.fault_log.isolated_since[host] = context.clock.time
    context.call_later(ISOLATION_CHECK_S, lambda: _follow_isolation(context, host))


def _draw_pairs(
    context: FaultContext, slots: Sequence[fleet.Slot], *, duration_s: float, is_out: bool, is_in: bool
) -> list[simulated_network.HostPair]:
    """Draws the pairs of hosts whose links are cut; some proxies may be on the isolated side."""
    simulation = context.simulation
    own = [slot.machine.host for slot in slots]
    isolated_proxies = [host for host in simulation.fleet.proxy_hosts if context.chance.random() < 0.4]
    inside = set(own) | set(isolated_proxies)
    others = [host for host in (*simulation.fleet.core_hosts(), *simulation.fleet.proxy_hosts) if host not in inside]
    if context.chance.random() < 0.5:
        inside = set(own)  # the proxies reach both sides
        others = [host for host in simulation.fleet.core_hosts() if host not in own]
    for host in inside - set(own):
        simulation.fault_log.proxy_fault_until[host] = context.clock.time + duration_s
    pairs = [(one, other) for one in sorted(inside) for other in others]
    return (pairs if is_out else []) + ([(other, one) for one, other in pairs] if is_in else [])


def reset(context: FaultContext) -> None:
    """Resets the connections of one machine; it does not count as lost."""
    simulation = context.simulation
    host = context.chance.choice(simulation.fleet.core_hosts())
    others = [other for other in (*simulation.fleet.core_hosts(), *simulation.fleet.proxy_hosts) if other != host]
    simulation.fault_log.record_edge(f"reset of {host}", ())
    simulation.network.reset(pairs=[(host, other) for other in others])


def slow_down(context: FaultContext) -> None:
    """Adds delay to the links of some machines."""
    slots = context.pick_slots()
    if not slots:
        return
    duration_s = context.draw_duration_s(PARTITION_S)
    context.begin("slow", slots)
    added_delays_s = context.simulation.network.added_delays_s
    hosts = [slot.machine.host for slot in slots]
    for host in hosts:
        added_delays_s[host] = context.chance.uniform(*ADDED_DELAY_S)

    def end() -> None:
        for host in hosts:
            added_delays_s.pop(host, None)
        context.end("slow", slots)

    context.call_later(duration_s, end)

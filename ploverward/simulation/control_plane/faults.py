"""Fault injection: the kinds of faults and their schedule in a run (docs/simulate.md).

The kinds are implemented in machine_faults.py, link_faults.py and outside_faults.py; fault_scene.py limits how many
machines are lost at once. The names of the kinds are those of `simulate --troubles`. Their order determines which kinds
a seed draws.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ploverward.simulation.control_plane import link_faults
from ploverward.simulation.control_plane import machine_faults
from ploverward.simulation.control_plane import outside_faults
from ploverward.simulation.control_plane.fault_scene import FaultContext

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import scenario

CLOSING_S = 3.0  # maximum duration of the closing fault
CLOSING = (
    "all_killed",
    "all_power",
    "disks_lost",
    "disks_lost_others_power",
    "disks_lost_all_power",  # the other core machines and the proxies lose power
    "",
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FaultKind:
    """One kind of fault.

    Attributes:
        weight: Relative frequency with which it is drawn.
        begin: Begins a fault of this kind and schedules its end.
    """

    weight: float
    begin: Callable[[FaultContext], None]


KINDS = {
    "kill": FaultKind(weight=3, begin=machine_faults.kill),
    "power": FaultKind(weight=3, begin=machine_faults.lose_power),
    "empty": FaultKind(weight=2, begin=machine_faults.empty_disk),
    "freeze": FaultKind(weight=3, begin=machine_faults.freeze),
    "cut": FaultKind(weight=4, begin=link_faults.partition),
    "split": FaultKind(weight=0.5, begin=link_faults.split_core),
    "cut_one_way": FaultKind(weight=2, begin=link_faults.partition_one_way),
    "reset": FaultKind(weight=2, begin=link_faults.reset),
    "slow": FaultKind(weight=1, begin=link_faults.slow_down),
    "disk": FaultKind(weight=3, begin=machine_faults.disturb_disk),
    "replace": FaultKind(weight=3, begin=machine_faults.replace),
    "replace_at_once": FaultKind(weight=3, begin=machine_faults.replace_at_once),
    "replace_in_order": FaultKind(weight=2, begin=machine_faults.replace_in_order),
    "proxy_kill": FaultKind(weight=1, begin=outside_faults.kill_proxy),
    "proxy_freeze": FaultKind(weight=1, begin=outside_faults.freeze_proxy),
    "proxy_cut": FaultKind(weight=1, begin=outside_faults.partition_proxy),
    "lose_answers": FaultKind(weight=1, begin=outside_faults.lose_answers),
    "platform": FaultKind(weight=1, begin=outside_faults.change_platform),
    "probe": FaultKind(weight=2, begin=outside_faults.probe_isolated),
    "all_killed": FaultKind(weight=0.3, begin=machine_faults.kill_all),
    "all_power": FaultKind(weight=0.3, begin=machine_faults.lose_all_power),
    "disks_lost": FaultKind(weight=0.3, begin=machine_faults.lose_disks_at_moment),
    "disks_lost_all_power": FaultKind(weight=0.3, begin=machine_faults.lose_disks_and_all_power),
}


# Long partitions, for runs with tallies. They are kept apart from `KINDS`, as the number of entries there determines
# which kinds a seed draws.
APART_KINDS = {
    "apart": FaultKind(weight=3, begin=link_faults.partition_regions),
    "bridge": FaultKind(weight=3, begin=link_faults.partition_pair),
}
ALL_KINDS = KINDS | APART_KINDS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrawnFault:
    """One fault of a run.

    Attributes:
        number: Index in the order of drawing, from 0.
        kind: A key of `ALL_KINDS`.
        at: Start of the fault, in seconds of simulated time.
    """

    number: int
    kind: str
    at: float


class FaultInjector:
    """Draws faults by their weights and begins them in one run.

    Attributes:
        is_over: Whether no further fault begins.
        drawn: All faults drawn so far, including skipped ones.
    """

    def __init__(
        self,
        *,
        simulation: scenario.SimulationRun,
        kinds: Sequence[str],
        gap_s: float,
        skipped: Collection[int] = frozenset(),
    ) -> None:
        """Initializes the fault injection of a run.

        Args:
            simulation: The run.
            kinds: Names of `ALL_KINDS` to draw from.
            gap_s: Approximate time from the start of one fault to the next.
            skipped: Numbers of faults that are drawn but not begun, so that the other draws stay the same
                (`shrinking.py`).
        """
        self.is_over = False
        self.drawn: list[DrawnFault] = []
        self._skipped = skipped
        self._scene = FaultContext(simulation=simulation)
        self._kinds = [name for name in kinds if name in ALL_KINDS]
        self._weights = [ALL_KINDS[name].weight for name in self._kinds]
        self._gap_s = gap_s

    def start(self, *, begin: float, until: float) -> None:
        """Begins faults between two points of simulated time, in seconds."""
        self._scene.until = until
        if self._kinds:
            self._scene.clock.schedule(when=begin, callback=self._begin_next)

    def _begin_next(self) -> None:
        context = self._scene
        if self.is_over or context.clock.time >= context.until:
            return
        name = context.chance.choices(self._kinds, self._weights)[0]
        fault = DrawnFault(number=len(self.drawn), kind=name, at=context.clock.time)
        self.drawn.append(fault)
        if fault.number not in self._skipped:
            ALL_KINDS[name].begin(context)
        context.call_later(context.chance.uniform(0.1, 2.0) * self._gap_s, self._begin_next)

    def close(self, kind: str) -> None:
        """Begins the closing fault, one of `CLOSING`; at most the tolerated number of slots lose their disks."""
        context = self._scene
        context.until = context.clock.time + CLOSING_S
        if kind in ("all_killed", "all_power"):
            machine_faults.stop_all(context, kind)
            return
        emptied = machine_faults.pick_emptied(context)
        if kind == "disks_lost_others_power":
            machine_faults.stop_all(context, "all_power", emptied=emptied)
        elif kind == "disks_lost_all_power":
            machine_faults.stop_all(context, "all_power", emptied=emptied, has_proxies=True)
        elif emptied:
            machine_faults.stop_slots(context, "disks lost", emptied, is_power_lost=True, is_emptied=True)

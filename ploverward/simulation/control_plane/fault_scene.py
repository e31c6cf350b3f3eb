"""Context shared by all kinds of faults: the run, durations, and which slots may be lost (docs/simulate.md).

It maintains the invariant that at most the tolerated number of core machines is lost at once. The exceptions are faults
of all machines at once, which empty at most the tolerated number of disks, and partitions into halves or regions, which
stop no machine.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ploverward.simulation.control_plane import simulated_clock

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import fleet
    from ploverward.simulation.control_plane import scenario

MIN_DURATION_S = 0.05


class FaultContext:
    """Gives faults access to the run and bounds their duration and the number of lost slots.

    Attributes:
        simulation: The run.
        until: End of the period for faults, in seconds of simulated time; drawn durations are cut off there.
    """

    def __init__(self, *, simulation: scenario.SimulationRun) -> None:
        self.simulation = simulation
        self.until = 0.0

    @property
    def clock(self) -> simulated_clock.Clock:
        """The clock of the run."""
        return self.simulation.clock

    @property
    def chance(self) -> random.Random:
        """The only random generator of the run."""
        return self.simulation.clock.chance

    def call_later(self, delay_s: float, callback: Callable[[], object]) -> None:
        """Schedules a callback after a delay in simulated time."""
        self.clock.later(delay=delay_s, callback=callback)

    def draw_duration_s(self, bounds_s: tuple[float, float]) -> float:
        """Draws a duration from a log-uniform distribution between two bounds.

        It is cut off at `until`, but is at least `MIN_DURATION_S`.
        """
        low, high = bounds_s
        duration_s = low * (high / low) ** self.chance.random()
        return max(MIN_DURATION_S, min(duration_s, self.until - self.clock.time))

    def healthy_slots(self) -> list[fleet.Slot]:
        """Returns the slots that are not lost now."""
        return [slot for slot in self.simulation.fleet.slots if not self.simulation.fleet.is_lost(slot)]

    def allowed_losses(self) -> int:
        """Returns how many more slots may be lost now."""
        return self.simulation.fleet.tolerated - len(self.simulation.fleet.lost_slots())

    def pick_slots(self) -> list[fleet.Slot]:
        """Draws one or more healthy slots that may be lost besides those lost now; none if no loss is allowed."""
        free = self.allowed_losses()
        healthy = self.healthy_slots()
        if free <= 0 or not healthy:
            return []
        count = min(len(healthy), self.chance.randint(1, free))
        return self.chance.sample(healthy, count)

    def begin(self, name: str, slots: Sequence[fleet.Slot]) -> None:
        """Counts a fault for each slot, which is lost meanwhile, and records that the fault begins."""
        for slot in slots:
            self.simulation.fleet.begin_fault(slot)
        self.simulation.fault_log.record_edge(f"{name} begins", [slot.machine.host for slot in slots])

    def end(self, name: str, slots: Sequence[fleet.Slot]) -> None:
        """Ends a fault of each slot and records that it ends; the slots still count as lost for `catchUpS` seconds."""
        for slot in slots:
            self.simulation.fleet.end_fault(slot)
        self.simulation.fault_log.record_edge(f"{name} ends", [slot.machine.host for slot in slots])

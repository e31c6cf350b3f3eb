"""How old orders and stages are, on this node's clock (docs/rollouts.md 3).

`RolloutAges` owns the estimates. The time of day is not used: the row names the order's age at its last step, and
proxies report the age that they know, so that neither a new coordinator nor a restart of all core nodes changes the
term (`test_coordinator_learns_the_age_from_proxies_after_a_full_restart`).
"""

import typing
from collections.abc import Callable

from ploverward.control_plane.rollouts import state


class _StepSeen(typing.NamedTuple):
    step: int
    at: float


class RolloutAges:
    """Ages of the orders of all services. An order counts as being as old as the oldest report of its age."""

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._ordered_at: dict[tuple[str, int], float] = {}  # by service and order
        self._steps: dict[str, _StepSeen] = {}  # by service

    def record_row(self, *, service: str, rollout: state.Rollout) -> None:
        """Learns the ages from a service's row."""
        self.record_reported_age(service=service, number=rollout.number, age_s=rollout.age_s)
        known_step = self._steps[service].step if service in self._steps else 0
        if known_step != rollout.step:
            self._steps[service] = _StepSeen(step=rollout.step, at=self._now())

    def record_reported_age(self, *, service: str, number: int, age_s: float) -> None:
        """Another node knows the order to be at least this old."""
        ordered_at = self._now() - age_s
        self._ordered_at[service, number] = min(ordered_at, self._ordered_at.get((service, number), ordered_at))

    def age_s(self, *, service: str, number: int) -> float:
        """Seconds since the order; 0 for one that is unknown here."""
        now = self._now()
        return now - self._ordered_at.get((service, number), now)

    def stage_age_s(self, *, service: str) -> float:
        """Seconds since this node learned of the service's last step; 0 where it knows of none."""
        return self._now() - self._steps[service].at if service in self._steps else 0.0

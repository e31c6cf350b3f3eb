"""Ages of orders and stages, on this node's clock (docs/rollouts.md 3).

`RolloutAges` owns the estimates. The time of day is not used: the row contains the order's age at its last step, and
proxies report the age that they know. So neither a new coordinator nor a restart of all core nodes changes the end of
the term (`test_coordinator_learns_the_age_from_proxies_after_a_full_restart`).
"""

import typing
from collections.abc import Callable

from ploverward.control_plane.rollouts import state


class _SeenStep(typing.NamedTuple):
    """The newest known step of a row, and when this node learned of it."""

    step: int
    at: float


class RolloutAges:
    """Ages of the orders of all services. Of several reported ages of an order, the greatest one counts."""

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._ordered_at: dict[tuple[str, int], float] = {}  # by service and order number
        self._steps: dict[str, _SeenStep] = {}  # by service

    def record_row(self, *, service: str, rollout: state.Rollout) -> None:
        """Updates the ages of the order and of the stage from a service's row."""
        self.record_reported_age(service=service, number=rollout.number, age_s=rollout.age_s)
        known_step = self._steps[service].step if service in self._steps else 0
        if known_step != rollout.step:
            self._steps[service] = _SeenStep(step=rollout.step, at=self._now())

    def record_reported_age(self, *, service: str, number: int, age_s: float) -> None:
        """Records that another node knows the order to be at least this old."""
        ordered_at = self._now() - age_s
        self._ordered_at[service, number] = min(ordered_at, self._ordered_at.get((service, number), ordered_at))

    def age_s(self, *, service: str, number: int) -> float:
        """Returns the seconds since the order; 0 if this node does not know it."""
        now = self._now()
        return now - self._ordered_at.get((service, number), now)

    def stage_age_s(self, *, service: str) -> float:
        """Returns the seconds since this node learned of the service's last step; 0 if it knows none."""
        return self._now() - self._steps[service].at if service in self._steps else 0.0

"""The exposure budget: how much of a service's requests leases let go to a new version (docs/rollouts.md 4).

Pure functions. Their invariant: from the order to its term, the requests at the new version stay within `share` of all
requests and `slack` more, summed over all proxies and whatever traffic follows
(`test_canary_share_stays_within_the_bound_even_if_no_request_follows`).
"""

import dataclasses
import math

from ploverward.control_plane.rollouts import planner
from ploverward.control_plane.rollouts import state

CANARY_SHARE = 0.8  # of the bound's share, that the canary uses
CANARY_SLACK = 0.5  # of the bound's slack, that it uses as well
STOP_SLACK = 0.7  # of the bound's slack: no canary beyond this much more than the bound's share
MAX_CANARY_SHARE = 0.5  # of all requests
LOAD_TEST_START = (
    0.42  # of the term: from then until the promotion one replica of the canary gets an extraordinary load
)
LOAD_TEST_SHARE = 0.35  # of all requests, as far as the slack allows it
LOAD_TEST_SLACK = 0.6  # of the bound's slack, that the canary has used at the end of that
UNPROVED_SLACK = 0.9  # of the bound's slack, that a promoted version uses before it is proved good
LEASE_DELAY_S = 0.9  # from a request to the next lease that accounts for it
RATE_KNOWN_S = 1.5  # the age of an order before the rate of its requests is known


@dataclasses.dataclass(frozen=True)
class ExposureBound:
    """The bound on requests to a bad version.

    Attributes:
        share: Of all requests, 0 to 1.
        slack: Requests beyond that.
    """

    share: float
    slack: float


@dataclasses.dataclass(frozen=True)
class Traffic:
    """Requests to a service since the order, and how many of them reached the new version."""

    sent: int
    sent_new: int
    age_s: float  # of the order

    @property
    def per_s(self) -> float:
        """Requests a second since the order."""
        return self.sent / max(self.age_s, RATE_KNOWN_S)


def is_load_test(*, rollout: state.Rollout, age_s: float) -> bool:
    """Whether the canary shows now what the new version does under load."""
    return rollout.stage == state.Stage.CANARY and age_s >= LOAD_TEST_START * rollout.over_s


def load_test_share(*, bound: ExposureBound, traffic: Traffic) -> float:
    """The share of the requests that the canary gets under load: what the bound allows until the next lease."""
    spare = bound.share * traffic.sent + LOAD_TEST_SLACK * bound.slack - traffic.sent_new
    return max(0.0, min(LOAD_TEST_SHARE, spare / max(1.0, traffic.per_s * LEASE_DELAY_S)))


def unproved_share(*, bound: ExposureBound, traffic: Traffic) -> float:
    """The most that a promoted version gets that the answers have not proved good yet: it may still be a bad one.

    Counts arrive late, so what is left is granted more than once. A rate in proportion to what is left, as it was a
    delay ago, does not overshoot if it would take at least e times the delay to use that up.
    """
    spare = bound.share * traffic.sent + UNPROVED_SLACK * bound.slack - traffic.sent_new
    return max(0.0, min(1.0, spare / max(1.0, traffic.per_s * LEASE_DELAY_S * math.e)))


def canary_share(*, bound: ExposureBound, traffic: Traffic, over_s: float) -> float:
    """The share of the requests that the canary gets.

    Below the bound's share, and so much more as the slack allows by the end of the canary, however few requests follow.
    """
    share = CANARY_SHARE * bound.share
    if traffic.sent_new >= bound.share * traffic.sent + STOP_SLACK * bound.slack:
        return 0.0
    if traffic.age_s >= RATE_KNOWN_S and traffic.sent > 0:
        sent_at_end = traffic.sent / traffic.age_s * planner.LATEST_PROMOTION * over_s
        share += CANARY_SLACK * bound.slack / max(sent_at_end, bound.slack)
    return min(MAX_CANARY_SHARE, share)


def lease_share(*, rollout: state.Rollout, canary: float, stage_age_s: float, unproved: float = 1.0) -> float:
    """The share of the requests that a lease permits at the new version, by the stage.

    Args:
        rollout: The service's row.
        canary: The share of the canary.
        stage_age_s: Seconds in this stage.
        unproved: The most that a promoted version may get now; 1 once the answers have proved it good.
    """
    if rollout.stage == state.Stage.CANARY:
        return canary
    if rollout.stage == state.Stage.PROMOTING:
        risen = stage_age_s / max(0.001, planner.RAMP * rollout.over_s)
        return min(1.0, unproved, canary + (1.0 - canary) * risen)
    return 1.0 if rollout.stage == state.Stage.DRAINING else 0.0

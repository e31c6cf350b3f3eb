"""Exposure budget: the share of a service's requests that leases permit at a new version (docs/rollouts.md 4).

Pure functions. Invariant: from the order until the answers have proved the new version good, or its promotion ends
within the term, the requests at it, summed over all proxies, do not exceed `share` of all requests plus `slack`,
whatever traffic follows
(`test_canary_share_stays_within_the_bound_even_if_no_request_follows`).
"""

import dataclasses
import math

from ploverward.control_plane.rollouts import planner
from ploverward.control_plane.rollouts import state

CANARY_SHARE = 0.8  # fraction of the bound's share that the canary uses
CANARY_SLACK = 0.5  # fraction of the bound's slack that the canary uses in addition
STOP_SLACK = 0.7  # fraction of the bound's slack; the canary stops once it exceeds the bound's share by this
MAX_CANARY_SHARE = 0.5  # fraction of all requests
LOAD_TEST_START = 0.42  # fraction of the term; from then until promotion, one canary replica gets extraordinary load
LOAD_TEST_SHARE = 0.35  # fraction of all requests, as far as the slack allows it
LOAD_TEST_SLACK = 0.6  # fraction of the bound's slack that the canary has used by the end of the load test
UNPROVED_SLACK = 0.9  # fraction of the bound's slack that a promoted version may use before it is proved good
LEASE_DELAY_S = 0.9  # time from a request to the next lease that accounts for it
RATE_KNOWN_S = 1.5  # age of an order from which on the rate of its requests is known


@dataclasses.dataclass(frozen=True)
class ExposureBound:
    """The bound on requests to a bad version.

    Attributes:
        share: The permitted share of all requests, 0 to 1.
        slack: Number of requests permitted in addition.
    """

    share: float
    slack: float


@dataclasses.dataclass(frozen=True)
class Traffic:
    """Requests to a service since the order.

    Attributes:
        sent: Requests to all versions.
        sent_new: Those of `sent` that went to the new version.
        age_s: Age of the order in seconds.
    """

    sent: int
    sent_new: int
    age_s: float

    @property
    def per_s(self) -> float:
        """Requests per second since the order."""
        return self.sent / max(self.age_s, RATE_KNOWN_S)


def is_load_test(*, rollout: state.Rollout, age_s: float) -> bool:
    """Returns whether the canary is in its load test, which shows how the new version performs under load."""
    return rollout.stage == state.Stage.CANARY and age_s >= LOAD_TEST_START * rollout.over_s


def load_test_share(*, bound: ExposureBound, traffic: Traffic) -> float:
    """Returns the share of the requests for the load test: as much as the bound allows until the next lease."""
    spare = bound.share * traffic.sent + LOAD_TEST_SLACK * bound.slack - traffic.sent_new
    return max(0.0, min(LOAD_TEST_SHARE, spare / max(1.0, traffic.per_s * LEASE_DELAY_S)))


def unproved_share(*, bound: ExposureBound, traffic: Traffic) -> float:
    """Returns the greatest share for a promoted version that is not proved good yet, since it may still be bad.

    Counts arrive late, so the same remainder of the budget is granted more than once. A rate in proportion to the
    remainder as it was one delay ago does not overshoot if using up the remainder at that rate takes at least e times
    the delay.
    """
    spare = bound.share * traffic.sent + UNPROVED_SLACK * bound.slack - traffic.sent_new
    return max(0.0, min(1.0, spare / max(1.0, traffic.per_s * LEASE_DELAY_S * math.e)))


def canary_share(*, bound: ExposureBound, traffic: Traffic, over_s: float) -> float:
    """Returns the share of the requests for the canary.

    It is a part of the bound's share, plus as much as the slack allows if spread over the requests until the end of the
    canary stage. It is 0 once the canary has used up its part of the bound, so that the bound holds however few
    requests follow.
    """
    share = CANARY_SHARE * bound.share
    if traffic.sent_new >= bound.share * traffic.sent + STOP_SLACK * bound.slack:
        return 0.0
    if traffic.age_s >= RATE_KNOWN_S and traffic.sent > 0:
        sent_at_end = traffic.sent / traffic.age_s * planner.LATEST_PROMOTION * over_s
        share += CANARY_SLACK * bound.slack / max(sent_at_end, bound.slack)
    return min(MAX_CANARY_SHARE, share)


def lease_share(*, rollout: state.Rollout, canary: float, stage_age_s: float, unproved: float = 1.0) -> float:
    """Returns the share of the requests that a lease permits at the new version, by the stage.

    Args:
        rollout: The service's row.
        canary: The share for the canary.
        stage_age_s: Seconds in the current stage.
        unproved: The greatest share for a promoted version; 1 once the answers have proved it good.
    """
    if rollout.stage == state.Stage.CANARY:
        return canary
    if rollout.stage == state.Stage.PROMOTING:
        ramp = stage_age_s / max(0.001, planner.RAMP * rollout.over_s)
        return min(1.0, unproved, canary + (1.0 - canary) * ramp)
    return 1.0 if rollout.stage == state.Stage.DRAINING else 0.0

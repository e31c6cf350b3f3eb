"""What a roll-out does next: pure decisions on what its holder sees (docs/rollouts.md 3, 6)."""

import dataclasses
import hashlib
import math

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import state
from ploverward.transport import row_codec

PROMOTE_PART = 0.55  # of the term: a version may turn bad late
JUDGED_S = 4.5  # the least time from the first answer of the new version to its promotion
LATEST_PROMOTE_PART = 0.65  # of the term
RAMP_PART = 0.08  # of the term: how long the share takes to rise to all
DELIVER_SILENT_PART = 0.85  # of the term: nodes that say nothing are not waited for any longer
DELIVER_PART = 0.94  # of the term: the last moment
ENOUGH_ANSWERS = 8  # of the new version, of each kind of request that the former one serves
ANSWERED_PART = 0.5  # of the answers that are due, below which they are missing
CAPACITY_PART = 0.8  # of the former version's places in a region, that warm replicas of the new one must have
HEARD_PART = 0.8  # of the nodes in touch, whose counts a holder has before it lets a version in
SHARE_PART = 0.8  # of exposureShare, that the canary takes
SLACK_PART = 0.5  # of exposureSlack, that it takes besides
SLACK_STOP_PART = 0.7  # of exposureSlack: no canary past this much more than its share
LOAD_TIMES = 0.5  # a canary replica carries so many times what one of the former version does: it keeps no prompts yet
STRESS_PART = (
    0.42  # of the term: from then until its promotion, one replica of the canary gets a load beyond the ordinary
)
STRESS_SHARE = 0.35  # of the requests, as far as exposureSlack bears it
STRESS_SLACK_PART = 0.6  # of exposureSlack, that the canary has taken at the end of that
STRESS_LEASE_S = 0.9  # from a request to the next lease that knows of it
RATE_KNOWN_S = 1.5  # an order is so old before the rate of its requests is reckoned


@dataclasses.dataclass(frozen=True)
class Exposure:
    """The bounds that hold for a bad version."""

    share: float
    slack: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """What the holder of the watch duty sees of one roll-out. Times are in seconds since the order."""

    rollout: state.Rollout
    age_s: float
    stage_age_s: float  # in this stage
    first_answer_s: float | None  # when the new version first answered
    answers: dict  # route: answers of the new version
    expected: dict  # route: those that its part of the requests would have by the former version's answers
    is_bad: bool
    is_suspicious: bool
    finding: str
    has_capacity: bool
    has_heard: bool  # this holder knows what most nodes counted; one that has just taken over does not
    is_drained: bool  # no node in touch runs anything at the former version
    is_drained_silent: bool  # the same, without nodes that have said nothing


@dataclasses.dataclass(frozen=True)
class Move:
    """The next stage and why."""

    stage: state.Stage
    reason: str


def next_move(view: View) -> Move | None:
    """The step to take now, or None."""
    rollout = view.rollout
    if not rollout.is_in_progress:
        return None
    if view.is_bad:
        return Move(stage=state.Stage.RETURNED, reason=view.finding)
    if rollout.stage == state.Stage.CANARY:
        return _after_canary(view)
    if rollout.stage == state.Stage.PROMOTING:
        return _after_promoting(view)
    return _after_draining(view)


def _missing(view: View) -> str:
    """The route of which the new version owes most of its answers, or ""."""
    for route, expected in sorted(view.expected.items()):
        if expected >= ENOUGH_ANSWERS and view.answers.get(route, 0) < ANSWERED_PART * expected:
            return route
    return ""


def _is_judged(view: View) -> bool:
    """Whether each kind of request that comes often enough was answered often enough."""
    return all(
        view.answers.get(route, 0) >= ENOUGH_ANSWERS
        for route, expected in view.expected.items()
        if expected >= ENOUGH_ANSWERS
    )


def _after_canary(view: View) -> Move | None:
    term_s = view.rollout.over_s
    latest_s = LATEST_PROMOTE_PART * term_s
    seen_s = view.first_answer_s if view.first_answer_s is not None else math.inf
    earliest_s = min(latest_s, max(PROMOTE_PART * term_s, seen_s + JUDGED_S))
    if view.age_s >= DELIVER_PART * term_s:
        return Move(stage=state.Stage.RETURNED, reason="the term is over before the new version could be let in")
    if view.age_s < earliest_s or not view.has_capacity or not view.has_heard:
        return None
    missing = _missing(view)
    if missing and view.age_s >= latest_s:
        return Move(stage=state.Stage.RETURNED, reason=f"answers are missing on {missing}")
    if missing:
        return None
    if view.is_suspicious:
        if view.age_s >= latest_s:
            return Move(stage=state.Stage.RETURNED, reason=f"not cleared in time: {view.finding}")
        return None
    if _is_judged(view):
        return Move(stage=state.Stage.PROMOTING, reason="no kind of request is worse off")
    if view.age_s >= latest_s:
        return Move(stage=state.Stage.PROMOTING, reason="nothing worse was seen, on few answers")
    return None


def _after_promoting(view: View) -> Move | None:
    if view.age_s >= DELIVER_PART * view.rollout.over_s and not view.has_capacity:
        return Move(stage=state.Stage.RETURNED, reason="too few replicas of the new version at the end of the term")
    if view.stage_age_s < RAMP_PART * view.rollout.over_s or not view.has_capacity or view.is_suspicious:
        return None
    return Move(stage=state.Stage.DRAINING, reason="all traffic is at the new version")


def _after_draining(view: View) -> Move | None:
    done = Move(stage=state.Stage.DELIVERED, reason="nothing runs at the former version")
    if view.is_drained:
        return done
    if view.age_s >= DELIVER_SILENT_PART * view.rollout.over_s and view.is_drained_silent:
        return done
    if view.age_s >= DELIVER_PART * view.rollout.over_s:
        return Move(stage=state.Stage.DELIVERED, reason="the term is over")
    return None


def is_stressed(*, rollout: state.Rollout, age_s: float) -> bool:
    """Whether the canary shows now what the new version does under load."""
    return rollout.stage == state.Stage.CANARY and age_s >= STRESS_PART * rollout.over_s


def stress_share(*, exposure: Exposure, sent: int, sent_new: int, age_s: float) -> float:
    """The part of a service's requests that the canary gets under load: what the bound bears until the next lease."""
    spare = exposure.share * sent + STRESS_SLACK_PART * exposure.slack - sent_new
    rate = sent / max(age_s, RATE_KNOWN_S)
    return max(0.0, min(STRESS_SHARE, spare / max(1.0, rate * STRESS_LEASE_S)))


def canary_share(*, exposure: Exposure, sent: int, sent_new: int, age_s: float, over_s: float) -> float:
    """The part of a service's requests that the canary gets.

    Below exposureShare, and so much more as exposureSlack allows by the end of the canary, however few requests follow it.
    """
    share = SHARE_PART * exposure.share
    if sent_new >= exposure.share * sent + SLACK_STOP_PART * exposure.slack:
        return 0.0
    if age_s >= RATE_KNOWN_S and sent > 0:
        sent_at_end = sent / age_s * LATEST_PROMOTE_PART * over_s
        share += SLACK_PART * exposure.slack / max(sent_at_end, exposure.slack)
    return min(0.5, share)


def share_of(*, rollout: state.Rollout, canary: float, stage_age_s: float) -> float:
    """The part of the requests that a lease lets go to the new version."""
    if rollout.stage == state.Stage.CANARY:
        return canary
    if rollout.stage == state.Stage.PROMOTING:
        part = stage_age_s / max(0.001, RAMP_PART * rollout.over_s)
        return min(1.0, canary + (1.0 - canary) * part)
    return 1.0 if rollout.stage == state.Stage.DRAINING else 0.0


def canary_replicas(*, rows: list, region_of, share: float, bad_groups, is_stressed: bool = False) -> tuple:
    """Ids of the few replicas that the canary goes to, so that each carries the load of one in full service.

    They are spread over regions by size, and are of different groups as far as there are; a group that has shown faults
    makes room for others, which confirm it or not. Under load it is one replica, so that it shows what a full one does.
    """
    wanted = 1 if is_stressed else max(1, round(share * len(rows) / LOAD_TIMES))
    by_region = {}
    for row in sorted(rows, key=lambda row: hashlib.blake2b(row["id"].encode(), digest_size=8).digest()):
        by_region.setdefault(region_of(row["zone"]), []).append(row["id"])
    chosen, groups = [], set(bad_groups)
    for region in _seats(sizes={name: len(ids) for name, ids in by_region.items()}, wanted=wanted):
        ids = [name for name in by_region[region] if name not in chosen]
        fresh = [name for name in ids if rollout_evidence.group_of(row_codec.key_of(name)) not in groups]
        if fresh or ids:
            chosen.append((fresh or ids)[0])
            groups.add(rollout_evidence.group_of(row_codec.key_of(chosen[-1])))
    return tuple(chosen)


def _seats(*, sizes: dict, wanted: int) -> list:
    """Regions by the order in which they get one of `wanted` seats: each to the region that is worst represented."""
    seats = []
    assigned = dict.fromkeys(sizes, 0)
    while len(seats) < min(wanted, sum(sizes.values())):
        open_regions = [name for name in sizes if assigned[name] < sizes[name]]
        region = max(open_regions, key=lambda name: (sizes[name] / (assigned[name] + 0.5), name))
        assigned[region] += 1
        seats.append(region)
    return seats


def has_capacity(*, rows: list, rollout: state.Rollout, region_of, evacuated_zones) -> bool:
    """Whether warm replicas of the new version can carry each region's traffic. `rows`: the service's listed replicas."""
    former, new = {}, {}
    for row in rows:
        if row["is_clearing"] or row["zone"] in evacuated_zones:
            continue
        region = region_of(row["zone"])
        if row.get("edition") == rollout.target:
            if row["cold_ms"] <= 0:
                new[region] = new.get(region, 0) + row["berths"]
        elif rollout.is_admitted(row.get("edition", "")):
            former[region] = former.get(region, 0) + row["berths"]
    if not new:
        return False
    return all(new.get(region, 0) >= CAPACITY_PART * batch_slots for region, batch_slots in former.items())

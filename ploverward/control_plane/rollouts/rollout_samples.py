"""Sample rows, reports and lists that the tests of roll-outs share."""

from typing import Any

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import state

ORDER = orders.Order(service="pool", target="v2", over_s=16.0)


def apply_order(
    payload: state.Payload, order: orders.Order, *, is_late: bool = False
) -> tuple[state.Payload, orders.OrderOutcome | None]:
    """Applies an order, and returns the register's new value and the outcome."""
    return orders.edit_for(order=order, is_late=lambda: is_late)(payload)


def register_admitting(*names: str, service: str = "pool") -> state.Payload:
    """Returns a register's value in which these versions are admitted."""
    rollout = state.Rollout(admitted=names, step=1)
    return state.with_rollout(None, service=service, rollout=rollout)


def apply_step(
    payload: state.Payload, stage: state.Stage, *, age_s: float = 1.0, service: str = "pool"
) -> state.Payload:
    """Applies a step to this stage, and returns the register's new value."""
    seen = state.rollouts_of(payload)[service]
    evidence = state.Evidence(stage=str(stage), age_s=age_s, reason="")
    return orders.edit_to_stage(service=service, seen=seen, evidence=evidence)(payload)[0]


def row_of(payload: state.Payload, service: str = "pool") -> state.Rollout:
    """Returns the row of a service."""
    return state.rollouts_of(payload)[service]


def tally(
    *, ended: int, failed: int = 0, first: int = 8, slow: int = 0, slow_first: int = 17
) -> rollout_evidence.Tally:
    """Returns a tally of answers whose first chunks are in the bucket `first`, or `slow_first` if they are slow."""
    sample = rollout_evidence.Tally(ended=ended, failed=failed)
    sample.first_chunk_times[first] += ended - failed - slow
    sample.first_chunk_times[slow_first] += slow
    return sample


def key(*, route: str = "r", is_new: bool = True, group: int = 0) -> rollout_evidence.TallyKey:
    """Returns the key of a tally."""
    return rollout_evidence.TallyKey(route=route, is_new=is_new, group=group)


def report(
    *,
    tallies: dict[rollout_evidence.TallyKey, rollout_evidence.Tally] | None = None,
    step: int = 2,
    in_flight_old: int = 0,
    sent: int = 10,
    sent_new: int = 1,
    number: int = 1,
) -> rollout_evidence.Report:
    """Returns the report of a proxy."""
    return rollout_evidence.Report(
        service="pool",
        number=number,
        step=step,
        age_s=1.0,
        sent=sent,
        sent_new=sent_new,
        in_flight_old=in_flight_old,
        tallies=tallies or {},
    )


def listed_rows(
    *,
    count: int = 30,
    edition: str = "v2",
    zones: tuple[str, ...] = ("a1", "a2", "b1"),
    cold: int = 0,
    first: int = 0,
) -> list[dict[str, Any]]:
    """Returns rows of the platform's list; those with numbers below `cold` are warming up."""
    return [
        {
            "id": f"{edition}-{number}",
            "service": "pool",
            "zone": zones[number % len(zones)],
            "edition": edition,
            "berths": 16,
            "is_clearing": False,
            "cold_ms": 500.0 if number < cold else 0.0,
        }
        for number in range(first, first + count)
    ]

"""Checks of a completed run: orders, reads, acknowledgement deadlines and the final state (docs/simulate.md).

Each function examines the `Evidence` of a run and reports violations to its recorder.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from ploverward.control_plane.consensus import register_names
from ploverward.simulation.control_plane import order_model
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import value_checks

MAX_MOVE_FRACTION = 0.5  # fraction of `receipt_s` for which registers may have different core sets in a calm span
ACK_SLACK_S = 0.05  # allowance for the network delay of an acknowledgement
SHOWN_ATTEMPTS = 4  # last attempts that a finding lists for an order that waited too long


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """Recorded results of a run, the input of the checks.

    Attributes:
        recorder: Receives the findings.
        values: The values that were chosen.
        orders: The operators' orders.
        probes: Orders that were sent to isolated nodes.
        reads: The operators' reads that were answered.
    """

    recorder: recorders.Recorder
    values: value_checks.ValueChecks
    orders: Sequence[order_model.Order]
    probes: Sequence[order_model.Order]
    reads: Sequence[order_model.Read]


class TimeSpan(NamedTuple):
    """A span of simulated time, in seconds."""

    begin: float
    end: float


class FinalRead(NamedTuple):
    """A read at one node after all faults have ended; its value is None if the node did not answer."""

    host: str
    what: order_model.ReadKind
    value: Any


def check_orders(evidence: Evidence) -> None:
    """Checks that configuration orders are a compare-and-set on their base.

    Each base has at most one acknowledged order, an acknowledged order is chosen, and a refused or invalid order never
    takes effect.
    """
    chosen_by_name = {chosen.order_name: chosen for chosen in evidence.values.configurations}
    confirmed: dict[int, str] = {}  # base -> name of the order acknowledged on it
    for order in (*evidence.orders, *evidence.probes):
        chosen = chosen_by_name.get(order.name)
        if not order.is_configuration:
            continue
        if order.is_repeat:
            _check_repeated(evidence, order)
        elif not order.is_valid:
            _check_invalid(evidence, order, chosen)
        elif order.outcome == order_model.Outcome.ACKNOWLEDGED:
            _check_acknowledged(evidence, order, chosen, confirmed)
        elif order.outcome == order_model.Outcome.REFUSED:
            _check_refused(evidence, order, chosen)


def _check_repeated(evidence: Evidence, order: order_model.Order) -> None:
    for attempt in order.attempts:
        if 400 <= attempt.status < 500:
            evidence.recorder.add_finding(
                "resent orders",
                f"{order.name} was taken, sent again to {attempt.host} at {attempt.sent_at:.3f}: {attempt.status}",
            )


def _check_invalid(
    evidence: Evidence, order: order_model.Order, chosen: value_checks.ChosenConfiguration | None
) -> None:
    if any(attempt.status == 200 for attempt in order.attempts):
        evidence.recorder.add_finding("invalid orders", f"{order.name} is invalid and was acknowledged")
    if chosen is not None:
        evidence.recorder.add_finding("invalid orders", f"{order.name} is invalid and was in force")


def _check_acknowledged(
    evidence: Evidence,
    order: order_model.Order,
    chosen: value_checks.ChosenConfiguration | None,
    confirmed: dict[int, str],
) -> None:
    if chosen is None:
        evidence.recorder.add_finding("acknowledged", f"{order.name} was acknowledged and never chosen")
    if order.base in confirmed:
        evidence.recorder.add_finding(
            "one base", f"{order.name} and {confirmed[order.base]} were confirmed on {order.base}"
        )
    confirmed[order.base] = order.name


def _check_refused(
    evidence: Evidence, order: order_model.Order, chosen: value_checks.ChosenConfiguration | None
) -> None:
    last = order.attempts[-1]
    if chosen is not None:
        evidence.recorder.add_finding(
            "refused orders",
            f"{order.name} was refused by {last.host} at {last.answered_at:.3f} ({last.status}, "
            f"{last.body[:80]!r}) and was taken as edition {chosen.edition} at {chosen.seen_at:.3f}",
        )
    elif order.is_uncontested and not _has_newer(evidence, order):
        evidence.recorder.add_finding(
            "refused orders", f"{order.name} on {order.base} was refused with {last.status} on the newest version"
        )


def _has_newer(evidence: Evidence, order: order_model.Order) -> bool:
    """Returns whether an edition above this order's base was ever chosen."""
    return any(chosen.edition > order.base for chosen in evidence.values.configurations)


def check_chain(evidence: Evidence) -> None:
    """Checks that each chosen configuration builds on the one before it."""
    by_name = {order.name: order for order in (*evidence.orders, *evidence.probes) if not order.is_repeat}
    rows = sorted(evidence.values.configurations, key=lambda chosen: chosen.version)
    for before, after in zip(rows, rows[1:], strict=False):
        if after.edition <= before.edition:
            evidence.recorder.add_finding("configurations", f"edition {after.edition} follows {before.edition}")
        order = by_name.get(after.order_name)
        if order is not None and order.base < before.edition:
            evidence.recorder.add_finding(
                "configurations", f"{order.name} on {order.base} follows edition {before.edition}"
            )


def check_reads(evidence: Evidence) -> None:
    """Checks that no read returns an older edition than was acknowledged or read before it began."""
    known = [
        (order.ended_at, order.edition)
        for order in evidence.orders
        if order.is_configuration
        and order.outcome == order_model.Outcome.ACKNOWLEDGED
        and order.is_valid
        and order.ended_at is not None
    ]
    reads = [read for read in evidence.reads if read.what == order_model.ReadKind.CONFIGURATION]
    known += [(read.ended_at, read.value) for read in reads]
    known.sort()
    for read in reads:
        newest = max((edition for at, edition in known if at < read.begun_at), default=0)
        if read.value < newest:
            evidence.recorder.add_finding(
                "reads", f"{read.host} told edition {read.value} at {read.ended_at:.3f}, {newest} was known before"
            )


def check_evacuation_reads(evidence: Evidence) -> None:
    """Checks that a read reflects a zone's last evacuation or restore order if that ended before the read began."""
    by_zone: dict[str, list[order_model.Order]] = {}
    for order in evidence.orders:
        if order.zone:
            by_zone.setdefault(order.zone, []).append(order)
    for read in evidence.reads:
        if read.what != order_model.ReadKind.EVACUATION:
            continue
        for zone, orders in by_zone.items():
            last = _last_clear_order(orders, read)
            if last is None or (zone in read.value) == (last.kind == order_model.OrderKind.EVACUATE):
                continue
            evidence.recorder.add_finding(
                "evacuations",
                f"{read.host} told {sorted(read.value)} at {read.ended_at:.3f}; {last.name} ({last.kind} "
                f"{zone}) was acknowledged at {last.ended_at:.3f}",
            )
            return


def _last_clear_order(orders: Sequence[order_model.Order], read: order_model.Read) -> order_model.Order | None:
    """Returns a zone's last order if its effect on a read is certain, else None.

    It is certain if the order was acknowledged before the read began and no other order began before the read ended.
    """
    ended = [order for order in orders if order.ended_at is not None and order.ended_at < read.begun_at]
    begun = [order for order in orders if order.begun_at <= read.ended_at]
    if not ended or ended[-1] is not begun[-1] or ended[-1].outcome != order_model.Outcome.ACKNOWLEDGED:
        return None
    return ended[-1]


def check_acknowledgements(evidence: Evidence, *, calm: Sequence[TimeSpan], receipt_s: float, until: float) -> None:
    """Checks that no order waits longer than `receipt_s` within one calm span.

    Invalid, repeated, refused and competing orders are left out.

    Args:
        evidence: The results of the run.
        calm: Spans without a fault of the core.
        receipt_s: Time within which an order must be acknowledged.
        until: End of the run.
    """
    for order in evidence.orders:
        is_refused = order.outcome == order_model.Outcome.REFUSED
        if not order.is_valid or not order.is_uncontested or order.is_repeat or is_refused:
            continue
        ended_at = order.ended_at if order.ended_at is not None else until
        if order.lost_at is not None:
            ended_at = order.lost_at  # the node did acknowledge, but the simulated network lost the response
        for span in calm:
            waited = min(ended_at, span.end) - max(order.begun_at, span.begin)
            if waited > receipt_s + ACK_SLACK_S:
                answers = [(attempt.host, attempt.status) for attempt in order.attempts[-SHOWN_ATTEMPTS:]]
                evidence.recorder.add_finding(
                    "acknowledged in time",
                    f"{order.name} ({order.kind}), begun at {order.begun_at:.3f}, waited {waited:.3f} s of a calm "
                    f"stretch from {span.begin:.3f} to {span.end:.3f}; last answers {answers}",
                )
                break


def check_moves(evidence: Evidence, *, calm: Sequence[TimeSpan], receipt_s: float, until: float) -> None:
    """Checks that within a calm span all registers reach the same core set in bounded time (docs/set-moves.md 9).

    Args:
        evidence: The results of the run.
        calm: Spans without a fault of the core.
        receipt_s: Time within which an order must be acknowledged; the bound is a fraction of it.
        until: End of the run.
    """
    for begin, end in _move_spans(evidence.values.set_changes, until=until):
        for span in calm:
            waited = min(end, span.end) - max(begin, span.begin)
            if waited > receipt_s * MAX_MOVE_FRACTION:
                evidence.recorder.add_finding(
                    "moves in time",
                    f"the registers stood under different sets from {begin:.3f} to {end:.3f}, {waited:.3f} s of it "
                    f"in a calm stretch from {span.begin:.3f} to {span.end:.3f}",
                )


def _move_spans(changes: Sequence[value_checks.SetChange], *, until: float) -> list[TimeSpan]:
    """Returns the spans in which registers that have a value had different core sets."""
    sets: dict[str, tuple[str, ...]] = {}
    begun_at: float | None = None
    found = []
    for change in changes:
        sets[change.register] = change.members
        is_moving = len(set(sets.values())) > 1
        if is_moving and begun_at is None:
            begun_at = change.at
        elif not is_moving and begun_at is not None:
            found.append(TimeSpan(begun_at, change.at))
            begun_at = None
    if begun_at is not None:
        found.append(TimeSpan(begun_at, until))
    return found


def check_final_reads(evidence: Evidence, last_reads: Sequence[FinalRead]) -> None:
    """Checks that after all faults have ended each node answers, and with the newest configuration."""
    newest = max((chosen.edition for chosen in evidence.values.configurations), default=0)
    for host, what, value in last_reads:
        if value is None:
            evidence.recorder.add_finding("the end", f"{host} does not tell its {what}")
        elif what == order_model.ReadKind.CONFIGURATION and value != newest:
            evidence.recorder.add_finding("the end", f"{host} tells edition {value}, {newest} was chosen")


def check_core_set(
    *, recorder: recorders.Recorder, values: value_checks.ValueChecks, live: Sequence[str], wanted: int
) -> None:
    """Checks the core set of each register some time after all faults have ended.

    It must contain every live core machine, and at least `wanted` (2t + 1) live machines where there are so many.
    """
    for name in register_names.REGISTERS:
        version = values.newest.get(name)
        if version is None:
            if name == register_names.CORE_SET:
                recorder.add_finding("core set", "no set was agreed")
            continue
        members = values.values[name, version].members
        missing = sorted(set(live) - set(members))
        if missing:
            recorder.add_finding("core set", f"{name} stands under {members}; live and outside: {missing}")
        elif len(set(members) & set(live)) < min(wanted, len(live)):
            recorder.add_finding("core set", f"{name} stands under {members}; live are {live}")

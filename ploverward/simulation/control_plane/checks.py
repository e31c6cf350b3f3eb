"""Checks of a complete run: orders, reads, acknowledgements in time, and the state at the end (docs/simulate.md).

Each function looks at the `Evidence` of a run and reports what it finds to its recorder.
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

MAX_MOVE_FRACTION = 0.5  # of `receipt_s`: how long the registers of a calm core may stand under different sets
ACK_SLACK_S = 0.05  # what an acknowledgement may be late, for its way
SHOWN_ATTEMPTS = 4  # of an order that waited too long


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """What a run left behind.

    Attributes:
        recorder: Gets the findings.
        values: What was chosen.
        orders: The operators' orders.
        probes: Orders that were sent to nodes that were cut off.
        reads: The operators' answered reads.
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
    """A read at one node after all was healed; a value of None: not answered."""

    host: str
    what: order_model.ReadKind
    value: Any


def check_orders(evidence: Evidence) -> None:
    """Configurations: compare-and-set on the base, each at most once; refused and invalid ones never in force."""
    chosen_by_name = {chosen.order_name: chosen for chosen in evidence.values.configurations}
    confirmed: dict[int, str] = {}  # base: the order that was acknowledged on it
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
            evidence.recorder.find(
                "resent orders",
                f"{order.name} was taken, sent again to {attempt.host} at {attempt.sent_at:.3f}: {attempt.status}",
            )


def _check_invalid(
    evidence: Evidence, order: order_model.Order, chosen: value_checks.ChosenConfiguration | None
) -> None:
    if any(attempt.status == 200 for attempt in order.attempts):
        evidence.recorder.find("invalid orders", f"{order.name} is invalid and was acknowledged")
    if chosen is not None:
        evidence.recorder.find("invalid orders", f"{order.name} is invalid and was in force")


def _check_acknowledged(
    evidence: Evidence,
    order: order_model.Order,
    chosen: value_checks.ChosenConfiguration | None,
    confirmed: dict[int, str],
) -> None:
    if chosen is None:
        evidence.recorder.find("acknowledged", f"{order.name} was acknowledged and never chosen")
    if order.base in confirmed:
        evidence.recorder.find("one base", f"{order.name} and {confirmed[order.base]} were confirmed on {order.base}")
    confirmed[order.base] = order.name


def _check_refused(
    evidence: Evidence, order: order_model.Order, chosen: value_checks.ChosenConfiguration | None
) -> None:
    last = order.attempts[-1]
    if chosen is not None:
        evidence.recorder.find(
            "refused orders",
            f"{order.name} was refused by {last.host} at {last.answered_at:.3f} ({last.status}, "
            f"{last.body[:80]!r}) and was taken as edition {chosen.edition} at {chosen.seen_at:.3f}",
        )
    elif order.is_uncontested and not _has_newer(evidence, order):
        evidence.recorder.find(
            "refused orders", f"{order.name} on {order.base} was refused with {last.status} on the newest version"
        )


def _has_newer(evidence: Evidence, order: order_model.Order) -> bool:
    """Whether a version above this order's base was ever in force."""
    return any(chosen.edition > order.base for chosen in evidence.values.configurations)


def check_chain(evidence: Evidence) -> None:
    """Each version in force builds on the one before it."""
    by_name = {order.name: order for order in (*evidence.orders, *evidence.probes) if not order.is_repeat}
    rows = sorted(evidence.values.configurations, key=lambda chosen: chosen.version)
    for before, after in zip(rows, rows[1:], strict=False):
        if after.edition <= before.edition:
            evidence.recorder.find("configurations", f"edition {after.edition} follows {before.edition}")
        order = by_name.get(after.order_name)
        if order is not None and order.base < before.edition:
            evidence.recorder.find("configurations", f"{order.name} on {order.base} follows edition {before.edition}")


def check_reads(evidence: Evidence) -> None:
    """No read returns less than what was acknowledged or read before it began."""
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
            evidence.recorder.find(
                "reads", f"{read.host} told edition {read.value} at {read.ended_at:.3f}, {newest} was known before"
            )


def check_evacuation_reads(evidence: Evidence) -> None:
    """A read that begins after an evacuation's last order ended shows its effect."""
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
            evidence.recorder.find(
                "evacuations",
                f"{read.host} told {sorted(read.value)} at {read.ended_at:.3f}; {last.name} ({last.kind} "
                f"{zone}) was acknowledged at {last.ended_at:.3f}",
            )
            return


def _last_clear_order(orders: Sequence[order_model.Order], read: order_model.Read) -> order_model.Order | None:
    """Returns the zone's last order where it was acknowledged before a read, and no other began by the read's end."""
    ended = [order for order in orders if order.ended_at is not None and order.ended_at < read.begun_at]
    begun = [order for order in orders if order.begun_at <= read.ended_at]
    if not ended or ended[-1] is not begun[-1] or ended[-1].outcome != order_model.Outcome.ACKNOWLEDGED:
        return None
    return ended[-1]


def check_acknowledgements(evidence: Evidence, *, calm: Sequence[TimeSpan], receipt_s: float, until: float) -> None:
    """A proper order waits no longer than `receipt_s` in one calm stretch; `until` is the end of the run."""
    for order in evidence.orders:
        is_refused = order.outcome == order_model.Outcome.REFUSED
        if not order.is_valid or not order.is_uncontested or order.is_repeat or is_refused:
            continue
        ended_at = order.ended_at if order.ended_at is not None else until
        if order.lost_at is not None:
            ended_at = order.lost_at  # the acknowledgement was given, and lost on its way
        for stretch in calm:
            waited = min(ended_at, stretch.end) - max(order.begun_at, stretch.begin)
            if waited > receipt_s + ACK_SLACK_S:
                answers = [(attempt.host, attempt.status) for attempt in order.attempts[-SHOWN_ATTEMPTS:]]
                evidence.recorder.find(
                    "acknowledged in time",
                    f"{order.name} ({order.kind}), begun at {order.begun_at:.3f}, waited {waited:.3f} s of a calm "
                    f"stretch from {stretch.begin:.3f} to {stretch.end:.3f}; last answers {answers}",
                )
                break


def check_moves(evidence: Evidence, *, calm: Sequence[TimeSpan], receipt_s: float, until: float) -> None:
    """In one calm stretch all registers follow the core set within a bound (docs/set-moves.md 9).

    Args:
        evidence: Of the run.
        calm: Stretches without a fault of the core.
        receipt_s: Within which an order is to be acknowledged; the bound is a share of it.
        until: The end of the run.
    """
    for begin, end in _moves(evidence.values.set_changes, until=until):
        for stretch in calm:
            waited = min(end, stretch.end) - max(begin, stretch.begin)
            if waited > receipt_s * MAX_MOVE_FRACTION:
                evidence.recorder.find(
                    "moves in time",
                    f"the registers stood under different sets from {begin:.3f} to {end:.3f}, {waited:.3f} s of it "
                    f"in a calm stretch from {stretch.begin:.3f} to {stretch.end:.3f}",
                )


def _moves(changes: Sequence[value_checks.SetChange], *, until: float) -> list[TimeSpan]:
    """The stretches in which the registers that have a value stood under different sets."""
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
    """Each node answers after all was healed, with the newest configuration."""
    newest = max((chosen.edition for chosen in evidence.values.configurations), default=0)
    for host, what, value in last_reads:
        if value is None:
            evidence.recorder.find("the end", f"{host} does not tell its {what}")
        elif what == order_model.ReadKind.CONFIGURATION and value != newest:
            evidence.recorder.find("the end", f"{host} tells edition {value}, {newest} was chosen")


def check_core_set(
    *, recorder: recorders.Recorder, values: value_checks.ValueChecks, live: Sequence[str], wanted: int
) -> None:
    """Once all is healed for a while, the set holds every live core machine, and `wanted` (2t + 1) at least."""
    for name in register_names.REGISTERS:
        version = values.newest.get(name)
        if version is None:
            if name == register_names.CORE_SET:
                recorder.find("core set", "no set was agreed")
            continue
        members = values.values[name, version].members
        missing = sorted(set(live) - set(members))
        if missing:
            recorder.find("core set", f"{name} stands under {members}; live and outside: {missing}")
        elif len(set(members) & set(live)) < min(wanted, len(live)):
            recorder.find("core set", f"{name} stands under {members}; live are {live}")

"""Checks of a whole day: orders, reads, what was lost, and the core set at the end (docs/simulate.md)."""

import json

from ploverward.control_plane.consensus import register_names
from ploverward.simulation.control_plane import operators

CHANGES = (operators.PUT, operators.PATCH)
ACK_SLACK_S = 0.05


def check_orders(*, recorder, orders) -> None:
    """Configurations: compare-and-set on the base, each at most once; refused and invalid ones never in force."""
    by_order_name = {chosen.order_name: chosen for chosen in recorder.configurations}
    bases = {}
    for order in orders:
        if order.kind not in CHANGES:
            continue
        chosen = by_order_name.get(order.name)
        statuses = {attempt.status for attempt in order.attempts}
        if order.is_repeat:
            refusals = [attempt for attempt in order.attempts if 400 <= attempt.status < 500]
            for attempt in refusals:
                recorder.find(
                    "resent orders",
                    f"{order.name} was taken, sent again to {attempt.host} at {attempt.sent_at:.3f}: {attempt.status}",
                )
            continue
        if not order.is_valid:
            if 200 in statuses:
                recorder.find("invalid orders", f"{order.name} is invalid and was acknowledged")
            if chosen is not None:
                recorder.find("invalid orders", f"{order.name} is invalid and was in force")
            continue
        if order.outcome == operators.ACKNOWLEDGED:
            if chosen is None:
                recorder.find("acknowledged", f"{order.name} was acknowledged and never chosen")
            if order.base in bases:
                recorder.find("one base", f"{order.name} and {bases[order.base]} were confirmed on {order.base}")
            bases[order.base] = order.name
        if order.outcome == operators.REFUSED:
            last = order.attempts[-1]
            if chosen is not None:
                recorder.find(
                    "refused orders",
                    f"{order.name} was refused by {last.host} at {last.answered_at:.3f} ({last.status}, "
                    f"{last.body[:80]!r}) and was taken as edition {chosen.edition} at {chosen.seen_at:.3f}",
                )
            elif order.is_alone and not _was_passed(recorder, order, last.answered_at):
                recorder.find(
                    "refused orders",
                    f"{order.name} on {order.base} was refused with {last.status} on the newest version",
                )


def _was_passed(recorder, order, at: float) -> bool:
    """Whether another version than this order's base was in force when it was refused."""
    return any(chosen.edition > order.base for chosen in recorder.configurations)


def check_chain(*, recorder, orders) -> None:
    """Each version in force stands on the one before it."""
    by_name = {order.name: order for order in orders if not order.is_repeat}
    rows = sorted(recorder.configurations, key=lambda chosen: chosen.version)
    for before, after in zip(rows, rows[1:], strict=False):
        if after.edition <= before.edition:
            recorder.find("configurations", f"edition {after.edition} follows {before.edition}")
        order = by_name.get(after.order_name)
        if order is not None and order.base < before.edition:
            recorder.find("configurations", f"{order.name} on {order.base} follows edition {before.edition}")


def check_reads(*, recorder, orders, reads) -> None:
    """No read tells less than what was acknowledged or read before it began."""
    known = [
        (order.ended_at, order.edition)
        for order in orders
        if order.kind in CHANGES and order.outcome == operators.ACKNOWLEDGED and order.is_valid
    ]
    rows = [read for read in reads if read.what == "configuration"]
    known += [(read.ended_at, read.value) for read in rows]
    known.sort()
    for read in rows:
        newest = max((edition for at, edition in known if at < read.begun_at), default=0)
        if read.value < newest:
            recorder.find(
                "reads", f"{read.host} told edition {read.value} at {read.ended_at:.3f}, {newest} was known before"
            )
    _check_evacuation_reads(recorder, orders, reads)


def _check_evacuation_reads(recorder, orders, reads) -> None:
    by_zone = {}
    for order in orders:
        if order.zone:
            by_zone.setdefault(order.zone, []).append(order)
    for read in reads:
        if read.what != "evacuation":
            continue
        for zone, rows in by_zone.items():
            ended = [order for order in rows if order.ended_at is not None and order.ended_at < read.begun_at]
            begun = [order for order in rows if order.begun_at <= read.ended_at]
            if not ended or ended[-1] is not begun[-1] or ended[-1].outcome != operators.ACKNOWLEDGED:
                continue
            wanted = ended[-1].kind == operators.EVACUATE
            if (zone in read.value) != wanted:
                recorder.find(
                    "evacuations",
                    f"{read.host} told {sorted(read.value)} at {read.ended_at:.3f}; {ended[-1].name} ({ended[-1].kind} "
                    f"{zone}) was acknowledged at {ended[-1].ended_at:.3f}",
                )
                return


def check_acknowledgements(*, recorder, orders, calm, receipt_s: float, until: float) -> None:
    """A proper order waits no longer than `receipt_s` in one calm stretch: `calm` holds (from, to)."""
    for order in orders:
        if not order.is_valid or not order.is_alone or order.is_repeat or order.outcome == operators.REFUSED:
            continue
        ended_at = order.ended_at if order.ended_at is not None else until
        if order.lost_at is not None:
            ended_at = order.lost_at  # the acknowledgement was given, and lost on its way
        for begun, over in calm:
            waited = min(ended_at, over) - max(order.begun_at, begun)
            if waited > receipt_s + ACK_SLACK_S:
                recorder.find(
                    "acknowledged in time",
                    f"{order.name} ({order.kind}), begun at {order.begun_at:.3f}, waited {waited:.3f} s of a calm "
                    f"stretch from {begun:.3f} to {over:.3f}; last answers "
                    f"{[(attempt.host, attempt.status) for attempt in order.attempts[-4:]]}",
                )
                break


def check_end(*, recorder, orders, last_reads) -> None:
    """`last_reads`: (host, what, value) of each live node after all was healed."""
    newest = max((chosen.edition for chosen in recorder.configurations), default=0)
    for host, what, value in last_reads:
        if value is None:
            recorder.find("the end", f"{host} does not tell its {what}")
        elif what == "configuration" and value != newest:
            recorder.find("the end", f"{host} tells edition {value}, {newest} was chosen")


def check_core_set(*, recorder, live: list, wanted: int) -> None:
    """Once all is healed for a while, the set holds every live core machine, and 2t + 1 at least."""
    for name in register_names.REGISTERS:
        version = recorder.newest.get(name)
        if version is None:
            if name == register_names.CORE_SET:
                recorder.find("core set", "no set was agreed")
            continue
        members = recorder.values[name, version][0]
        missing = sorted(set(live) - set(members))
        if missing:
            recorder.find("core set", f"{name} stands under {members}; live and outside: {missing}")
        elif len(set(members) & set(live)) < min(wanted, len(live)):
            recorder.find("core set", f"{name} stands under {members}; live are {live}")


def check_isolated(*, recorder, probes) -> None:
    """An order at a node that is cut off: no refusal, and a clear end within about a second."""
    for probe in probes:
        if 400 <= probe.status < 500:
            recorder.find("cut off", f"{probe.host} answered {probe.status} at {probe.answered_at:.3f}: {probe.body!r}")


def dump(value) -> str:
    return json.dumps(value, default=str)

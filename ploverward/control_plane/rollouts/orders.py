"""Roll-out orders, and the edits that orders and steps apply to the register (docs/rollouts.md 2).

An edit maps the register's value to a new one and a result. Consensus may apply it several times, to different values,
before one is chosen. So edits are pure, and each changes nothing if the row has changed since the edit was decided.
"""

import dataclasses
import enum
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from ploverward.common import errors
from ploverward.control_plane.configuration import parser
from ploverward.control_plane.rollouts import state


class OrderOutcome(enum.StrEnum):
    """The result of an order."""

    ACCEPTED = "taken"
    KNOWN = "known"  # the register has the same order already


Edit = Callable[[state.Payload], tuple[state.Payload, OrderOutcome | None]]


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to move the traffic of `service` to replicas of version `target` within `over_s` seconds."""

    service: str
    target: str
    over_s: float


def read(*, data: bytes) -> Order:
    """Parses the order in the body of an operator's call.

    Raises:
        InvalidConfigurationError: The body is not a valid order; the error names the field.
    """
    from ploverward.control_plane.configuration import schema  # deferred: loading pydantic would delay a node's start
    from ploverward.control_plane.rollouts import order_body

    checked = schema.validate(order_body.OrderBody, parser.read_json(data=data))
    return Order(service=checked.destination, target=checked.target_edition, over_s=checked.over_s)


def edit_for(*, order: Order, is_late: Callable[[], bool]) -> Edit:
    """Returns the edit that starts an order. A repeated order changes nothing, so the caller may send it twice.

    Args:
        order: The order.
        is_late: Returns whether the caller has been answered already; then the order must not start any more.

    Raises:
        RolloutInProgressError: Raised by the edit if another order for the service is in progress.
        QuorumUnavailableError: Raised by the edit if `is_late()`.
    """

    def edit(payload: state.Payload) -> tuple[state.Payload, OrderOutcome]:
        current = state.rollouts_of(payload).get(order.service, state.Rollout())
        if _is_repeated(current, order):
            return payload, OrderOutcome.KNOWN
        if current.is_in_progress:
            raise errors.RolloutInProgressError(target=current.target, peer=order.service)
        if is_late():
            raise errors.QuorumUnavailableError("no majority in time", step="roll-out", peer=order.service)
        started = _started(current, order)
        return state.with_rollout(payload, service=order.service, rollout=started), OrderOutcome.ACCEPTED

    return edit


def _is_repeated(current: state.Rollout, order: Order) -> bool:
    if current.stage == state.Stage.IDLE or current.is_settled:
        return False
    return (current.target, current.over_s) == (order.target, order.over_s)


def _started(current: state.Rollout, order: Order) -> state.Rollout:
    is_serving = current.admitted == (order.target,)
    return dataclasses.replace(
        current,
        target=order.target,
        over_s=order.over_s,
        stage=state.Stage.DELIVERED if is_serving else state.Stage.CANARY,
        number=current.number + 1,
        step=current.step + 1,
        age_s=0.0,
        reason="this version serves already" if is_serving else "",
        record=(),
        is_settled=False,
        admitted=tuple(name for name in current.admitted if name != order.target or is_serving),
        refused=tuple(name for name in current.refused if name != order.target),
    )


def edit_to_stage(*, service: str, seen: state.Rollout, evidence: state.Evidence) -> Edit:
    """Returns the edit for a step to the stage that `evidence` names.

    It changes nothing if the row is no longer the `seen` one, so that a second coordinator, or a late attempt of an
    earlier consensus round, has no effect (`test_edit_to_stage_has_no_effect_on_a_changed_row`).
    """
    stage = state.Stage(evidence.stage)

    def edit(payload: state.Payload) -> tuple[state.Payload, None]:
        current = state.rollouts_of(payload).get(service, state.Rollout())
        if current.step != seen.step or stage not in state.NEXT_STAGES.get(current.stage, ()):
            return payload, None
        record = (*current.record, dataclasses.asdict(evidence))
        moved = dataclasses.replace(
            current, stage=stage, step=current.step + 1, age_s=evidence.age_s, reason=evidence.reason, record=record
        )
        if stage == state.Stage.DELIVERED:
            moved = dataclasses.replace(moved, admitted=(current.target,), refused=())
        elif stage == state.Stage.RETURNED:
            moved = dataclasses.replace(moved, refused=(*current.refused, current.target))
        return state.with_rollout(payload, service=service, rollout=moved), None

    return edit


def edit_to_store_age(*, service: str, seen: state.Rollout, age_s: float) -> Edit:
    """Returns the edit that stores the current age of an order. It is not a step and changes nothing else.

    If all machines lose power at once, no node remembers the age. Without the stored one, the term would end later by
    the time that had passed since the last step.
    """

    def edit(payload: state.Payload) -> tuple[state.Payload, None]:
        current = state.rollouts_of(payload).get(service, state.Rollout())
        if current.step != seen.step or not current.is_in_progress or age_s <= current.age_s:
            return payload, None
        aged = dataclasses.replace(current, age_s=age_s)
        return state.with_rollout(payload, service=service, rollout=aged), None

    return edit


def edit_to_settle(*, service: str, seen: state.Rollout) -> Edit:
    """Returns the edit that marks an ended order as settled; after it the same order again counts as a new one."""

    def edit(payload: state.Payload) -> tuple[state.Payload, None]:
        current = state.rollouts_of(payload).get(service, state.Rollout())
        if current.step != seen.step or current.stage not in state.FINAL_STAGES:
            return payload, None
        settled = dataclasses.replace(current, step=current.step + 1, is_settled=True)
        return state.with_rollout(payload, service=service, rollout=settled), None

    return edit


def edit_to_admit(*, seen: Mapping[str, state.Rollout], versions: Mapping[str, Iterable[str]]) -> Edit:
    """Returns the edit that admits versions, replacing those that the `seen` rows admit.

    Args:
        seen: The rows that the decision was based on, by service; a row that has changed since is left as it is.
        versions: The versions to admit, by service.
    """

    def edit(payload: state.Payload) -> tuple[state.Payload, None]:
        rollouts = state.rollouts_of(payload)
        changed = payload
        for service, names in versions.items():
            current = rollouts.get(service, state.Rollout())
            if current.is_in_progress or current.step != seen.get(service, state.Rollout()).step:
                continue
            admitted = dataclasses.replace(current, admitted=tuple(sorted(names)), step=current.step + 1)
            changed = state.with_rollout(changed, service=service, rollout=admitted)
        return changed, None

    return edit

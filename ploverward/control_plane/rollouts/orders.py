"""Orders of roll-outs and the edits of the register that orders and steps make (docs/rollouts.md 2)."""

import dataclasses

import pydantic

from ploverward.common import errors
from ploverward.control_plane.configuration import parser
from ploverward.control_plane.configuration import schema
from ploverward.control_plane.rollouts import state

MAX_NAME_LENGTH = 200  # characters
MAX_DURATION_S = 30 * 86400.0
TAKEN = "taken"
KNOWN = "known"


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow", strict=True)

    destination: str = pydantic.Field(min_length=1, max_length=MAX_NAME_LENGTH)
    targetEdition: str = pydantic.Field(min_length=1, max_length=MAX_NAME_LENGTH)
    overS: float = pydantic.Field(gt=0, le=MAX_DURATION_S)


@dataclasses.dataclass(frozen=True)
class Order:
    """Move the traffic of `service` to replicas of version `target` within `over_s` seconds."""

    service: str
    target: str
    over_s: float


def read(*, data: bytes) -> Order:
    """The order in a call's body. Raises InvalidConfiguration, with the place of the fault."""
    checked = schema.validated(_Body, parser.read_json(data=data))
    return Order(service=checked.destination, target=checked.targetEdition, over_s=checked.overS)


def edit_for(*, order: Order, is_late):
    """The edit for an order. Raises RolloutUnderWay where another order for the service is not done.

    The same order again changes nothing, so a round may make several attempts and the caller may send it twice.
    """

    def edit(payload):
        current = state.rollouts_of(payload).get(order.service, state.Rollout())
        if _is_same(current, order):
            return payload, KNOWN
        if current.is_in_progress:
            raise errors.RolloutInProgressError(target=current.target, peer=order.service)
        if is_late():
            raise errors.QuorumUnavailableError("no majority in time", step="roll-out", peer=order.service)
        return state.with_rollout(payload, service=order.service, rollout=_begun(current, order)), TAKEN

    return edit


def _is_same(current: state.Rollout, order: Order) -> bool:
    if current.stage == state.Stage.IDLE or current.is_settled:
        return False
    return (current.target, current.over_s) == (order.target, order.over_s)


def _begun(current: state.Rollout, order: Order) -> state.Rollout:
    is_there = current.admitted == (order.target,)
    return dataclasses.replace(
        current,
        target=order.target,
        over_s=order.over_s,
        stage=state.Stage.DELIVERED if is_there else state.Stage.CANARY,
        number=current.number + 1,
        step=current.step + 1,
        age_s=0.0,
        reason="this version serves already" if is_there else "",
        record=(),
        is_settled=False,
        admitted=tuple(name for name in current.admitted if name != order.target or is_there),
        refused=tuple(name for name in current.refused if name != order.target),
    )


def edit_to_stage(*, service: str, seen: state.Rollout, known: state.Evidence):
    """The edit for a step, to the stage that `known` names. It changes nothing where the row changed since the holder
    saw it."""
    stage = state.Stage(known.stage)

    def edit(payload):
        current = state.rollouts_of(payload).get(service, state.Rollout())
        if current.step != seen.step or stage not in state.NEXT_STAGES.get(current.stage, ()):
            return payload, None
        record = (*current.record, dataclasses.asdict(known))
        moved = dataclasses.replace(
            current, stage=stage, step=current.step + 1, age_s=known.age_s, reason=known.reason, record=record
        )
        if stage == state.Stage.DELIVERED:
            moved = dataclasses.replace(moved, admitted=(current.target,), refused=())
        elif stage == state.Stage.RETURNED:
            moved = dataclasses.replace(moved, refused=(*current.refused, current.target))
        return state.with_rollout(payload, service=service, rollout=moved), None

    return edit


def edit_to_finish(*, service: str, seen: state.Rollout):
    """The edit that lets the same order be given again."""

    def edit(payload):
        current = state.rollouts_of(payload).get(service, state.Rollout())
        if current.step != seen.step or current.stage not in state.ENDED:
            return payload, None
        settled = dataclasses.replace(current, step=current.step + 1, is_settled=True)
        return state.with_rollout(payload, service=service, rollout=settled), None

    return edit


def edit_to_admit(*, seen: dict, editions: dict):
    """The edit that admits versions of services: `editions`, service: versions, instead of what `seen` has."""

    def edit(payload):
        rollouts = state.rollouts_of(payload)
        changed = payload
        for service, names in editions.items():
            current = rollouts.get(service, state.Rollout())
            if current.is_in_progress or current.step != seen.get(service, state.Rollout()).step:
                continue
            admitted = dataclasses.replace(current, admitted=tuple(sorted(names)), step=current.step + 1)
            changed = state.with_rollout(changed, service=service, rollout=admitted)
        return changed, None

    return edit

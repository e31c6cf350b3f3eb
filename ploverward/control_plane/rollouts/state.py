"""Replicated state of roll-outs: the admitted versions and the newest order of each service (docs/rollouts.md 2).

The register's value is {"services": {name: row}}; a row is a `Rollout` as a dictionary, with the names of its fields as
keys, which data stored by earlier versions of this software has as well. Nodes of all roles read it. Invariant: `step`
only increases, and a stage is followed only by one of its `NEXT_STAGES`.
"""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

Payload = Mapping[str, Any] | None  # the register's value; None before the first change

MAX_ROUTES = 24  # routes in the evidence of a step; those with the most answers are kept


class Stage(enum.StrEnum):
    """The stages of a roll-out. The values are those of the protocol and of stored data."""

    IDLE = "idle"  # no order yet; the row only lists the admitted versions
    CANARY = "canary"
    PROMOTING = "promoting"
    DRAINING = "draining"
    DELIVERED = "delivered"
    RETURNED = "returned"


IN_PROGRESS_STAGES = (Stage.CANARY, Stage.PROMOTING, Stage.DRAINING)
FINAL_STAGES = (Stage.DELIVERED, Stage.RETURNED)
NEXT_STAGES = {
    Stage.CANARY: (Stage.PROMOTING, Stage.RETURNED),
    Stage.PROMOTING: (Stage.DRAINING, Stage.RETURNED),
    Stage.DRAINING: (Stage.DELIVERED, Stage.RETURNED),
}
IN_SERVICE = "in_service"  # the `condition` of a roll-out in progress, in the operator API


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evidence:
    """The evidence for a step at the time it was taken; stored with the row.

    Attributes:
        stage: The stage that the step leads to.
        age_s: Seconds since the order.
        reason: The reason for the step, for operators.
        sent: Requests sent to the service since the order.
        sent_new: Those of `sent` that went to the new version.
        routes: By route, five counts: answers and failed answers of the former version; answers, failed answers and
            broken answers of the new version.
    """

    stage: str
    age_s: float
    reason: str
    sent: int = 0
    sent_new: int = 0
    routes: dict[str, list[int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rollout:
    """The row of one service.

    Attributes:
        admitted: Versions that get requests without a lease. If empty, all versions except `refused` ones and, until
            it is delivered, `target`.
        refused: Versions that were rolled back.
        target: The new version of the newest order.
        over_s: The term of that order, in seconds: the time within which the traffic is to be moved.
        stage: The current stage of that order.
        number: Number of the order; each order of the service increases it by one.
        step: Version of the row; each change increases it by one, except for storing a newer `age_s`.
        age_s: Age of the order in seconds, at its last step or when it was stored later.
        reason: The reason for the last step.
        record: The `Evidence` of each step of this order, as dictionaries.
        is_settled: Whether the order ended so long ago that the same order again counts as a new one.
    """

    admitted: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()
    target: str = ""
    over_s: float = 0.0
    stage: Stage = Stage.IDLE
    number: int = 0
    step: int = 0
    age_s: float = 0.0
    reason: str = ""
    record: tuple[dict[str, Any], ...] = ()
    is_settled: bool = False

    @property
    def is_in_progress(self) -> bool:
        """Whether there is an order that is neither delivered nor rolled back yet."""
        return self.stage in IN_PROGRESS_STAGES

    @property
    def condition(self) -> str:
        """The stage as the operator API names it: all stages in progress are `in_service`."""
        return str(self.stage) if self.stage in FINAL_STAGES else IN_SERVICE

    def is_admitted(self, version: str) -> bool:
        """Returns whether every proxy may send requests to this version without a lease."""
        if self.admitted:
            return version in self.admitted
        return version not in self.refused and not (version == self.target and self.stage != Stage.DELIVERED)


def rollouts_of(payload: Payload) -> dict[str, Rollout]:
    """Returns the rows of the register's value, by service."""
    rows = (payload or {}).get("services", {})
    return {name: _rollout(row) for name, row in rows.items()}


def _rollout(row: Mapping[str, Any]) -> Rollout:
    known = {field.name for field in dataclasses.fields(Rollout)}  # a newer version may have stored more fields
    fields: dict[str, Any] = {
        name: tuple(value) if isinstance(value, list) else value for name, value in row.items() if name in known
    }
    return Rollout(**{**fields, "stage": Stage(fields["stage"])})


def with_rollout(payload: Payload, *, service: str, rollout: Rollout) -> dict[str, Any]:
    """Returns the register's value with the row of a service replaced by `rollout`."""
    row = dataclasses.asdict(rollout)
    row["stage"] = str(rollout.stage)
    return {"services": {**(payload or {}).get("services", {}), service: row}}

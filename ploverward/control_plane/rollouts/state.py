"""The replicated state of roll-outs: for each service the admitted versions and the newest order (docs/rollouts.md 2).

The register's value is {"services": {name: row}}; a row is a `Rollout` as a dictionary, with the names of its fields as
keys: stored data of earlier versions has them. Nodes of all roles read it. Its invariant: `step` only rises, and a
stage is followed by one of `NEXT_STAGES` alone.
"""

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

Payload = Mapping[str, Any] | None  # the register's value; None before the first change

MAX_ROUTES = 24  # in the evidence of a step: those with the most answers


class Stage(enum.StrEnum):
    """The stages of a roll-out. The values are those of the protocol and of stored data."""

    IDLE = "idle"  # no order yet: the row only names the admitted versions
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
IN_SERVICE = "in_service"  # the protocol's word for a roll-out in progress


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evidence:
    """What was known when a step was taken; it is stored with the row.

    Attributes:
        stage: The stage that the step leads to.
        age_s: Seconds since the order.
        reason: Why, for operators.
        sent: Requests to the service since the order.
        sent_new: Of these, those to the new version.
        routes: By route: answers of the former version, failed ones, answers of the new one, failed ones, broken ones.
    """

    stage: str
    age_s: float
    reason: str
    sent: int = 0
    sent_new: int = 0
    routes: dict[str, list[int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rollout:
    """One service's row.

    Attributes:
        admitted: Versions that get requests without a lease. Empty: all but the target and those in `refused`.
        refused: Versions that were returned.
        target: The new version of the newest order.
        over_s: The term of that order, in seconds.
        stage: The order's present stage.
        number: Counts the service's orders.
        step: Counts the changes of the row of any kind.
        age_s: Seconds from the order to this step, or to a later moment without one.
        reason: Why the last step was taken.
        record: Of this order: the `Evidence` of each step, as dictionaries.
        is_settled: Whether it ended so long ago that the same order again is a new one.
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
        """Whether an order is neither delivered nor returned yet."""
        return self.stage in IN_PROGRESS_STAGES

    @property
    def condition(self) -> str:
        """The protocol's word for the stage."""
        return str(self.stage) if self.stage in FINAL_STAGES else IN_SERVICE

    def is_admitted(self, version: str) -> bool:
        """Whether this version gets requests from every proxy, without a lease."""
        if self.admitted:
            return version in self.admitted
        return version not in self.refused and not (version == self.target and self.stage != Stage.DELIVERED)


def rollouts_of(payload: Payload) -> dict[str, Rollout]:
    """The rows of the register's value, by service."""
    rows = (payload or {}).get("services", {})
    return {name: _rollout(row) for name, row in rows.items()}


def _rollout(row: Mapping[str, Any]) -> Rollout:
    known = {field.name for field in dataclasses.fields(Rollout)}  # a newer version may have stored more
    fields: dict[str, Any] = {
        name: tuple(value) if isinstance(value, list) else value for name, value in row.items() if name in known
    }
    return Rollout(**{**fields, "stage": Stage(fields["stage"])})


def with_rollout(payload: Payload, *, service: str, rollout: Rollout) -> dict[str, Any]:
    """The register's value with this row replacing the service's former one."""
    row = dataclasses.asdict(rollout)
    row["stage"] = str(rollout.stage)
    return {"services": {**(payload or {}).get("services", {}), service: row}}

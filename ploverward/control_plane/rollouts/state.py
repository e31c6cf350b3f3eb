"""The replicated state of roll-outs: for each service the admitted versions and the newest order (docs/rollouts.md 2).

The register holds {"services": {name: row}}; a row is a `Rollout` as a dictionary. Nodes of all roles read it.
"""

import dataclasses
import enum


class Stage(enum.StrEnum):
    """Where a roll-out stands. It only goes on in this order, or to RETURNED."""

    IDLE = "idle"  # no order yet: the row only names the admitted versions
    CANARY = "canary"
    PROMOTING = "promoting"
    DRAINING = "draining"
    DELIVERED = "delivered"
    RETURNED = "returned"


IN_PROGRESS_STAGES = (Stage.CANARY, Stage.PROMOTING, Stage.DRAINING)
ENDED = (Stage.DELIVERED, Stage.RETURNED)
IN_SERVICE = "in_service"  # the protocol's word for a roll-out that is under way
NEXT_STAGES = {
    Stage.CANARY: (Stage.PROMOTING, Stage.RETURNED),
    Stage.PROMOTING: (Stage.DRAINING, Stage.RETURNED),
    Stage.DRAINING: (Stage.DELIVERED, Stage.RETURNED),
}


MAX_ROUTES = 24  # of a step's evidence: those with the most answers


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evidence:
    """What was known when a step was taken. `routes`: name: answers and failures of the former and the new version."""

    stage: str
    age_s: float
    reason: str
    sent: int = 0
    sent_new: int = 0
    routes: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rollout:
    """One service's row.

    `admitted`: versions that may get requests without a lease; empty: all but those in `refused` and the target.
    `number` counts the service's orders, `step` its changes of any kind. `age_s`: seconds from the order to this step.
    """

    admitted: tuple = ()
    refused: tuple = ()
    target: str = ""
    over_s: float = 0.0
    stage: Stage = Stage.IDLE
    number: int = 0
    step: int = 0
    age_s: float = 0.0
    reason: str = ""
    record: tuple = ()  # of this order: what was known at each step, as `Evidence` dictionaries
    is_settled: bool = False  # it ended so long ago that the same order is a new one

    @property
    def is_in_progress(self) -> bool:
        return self.stage in IN_PROGRESS_STAGES

    @property
    def condition(self) -> str:
        """The protocol's word for the stage."""
        return str(self.stage) if self.stage in ENDED else IN_SERVICE

    def is_admitted(self, edition: str) -> bool:
        """Whether this version may get requests from every proxy, whatever it holds a lease for."""
        if self.admitted:
            return edition in self.admitted
        return edition not in self.refused and not (edition == self.target and self.stage != Stage.DELIVERED)


def rollouts_of(payload) -> dict:
    """Service: its `Rollout`."""
    rows = (payload or {}).get("services", {})
    return {name: _rollout(row) for name, row in rows.items()}


def _rollout(row: dict) -> Rollout:
    known = {field.name for field in dataclasses.fields(Rollout)}
    about = {name: tuple(value) if isinstance(value, list) else value for name, value in row.items() if name in known}
    return Rollout(**{**about, "stage": Stage(about["stage"])})


def with_rollout(payload, *, service: str, rollout: Rollout) -> dict:
    """The register's value with this row in place of the service's former one."""
    row = dataclasses.asdict(rollout)
    row["stage"] = str(rollout.stage)
    return {"services": {**(payload or {}).get("services", {}), service: row}}

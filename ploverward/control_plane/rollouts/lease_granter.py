"""Calculation of the leases that proxies get for a new version (docs/rollouts.md 3, 4)."""

from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import canary_replicas
from ploverward.control_plane.rollouts import canary_trial
from ploverward.control_plane.rollouts import exposure
from ploverward.control_plane.rollouts import leases
from ploverward.control_plane.rollouts import replica_inventory
from ploverward.control_plane.rollouts import rollout_ages
from ploverward.control_plane.rollouts import state
from ploverward.transport import row_codec


class LeaseGranter:
    """Grants leases by the stage, the exposure budget and the evidence of the canary. It owns no state."""

    def __init__(
        self,
        *,
        bound: exposure.ExposureBound,
        inventory: replica_inventory.ReplicaInventory,
        ages: rollout_ages.RolloutAges,
    ) -> None:
        self._bound = bound
        self._inventory = inventory
        self._ages = ages

    def grant(self, *, service: str, rollout: state.Rollout, trial: canary_trial.CanaryTrial) -> leases.CanaryLease:
        """Returns the lease for a service that every proxy gets. Its share is 0 once the trial has found a fault."""
        age_s = self._ages.age_s(service=service, number=rollout.number)
        traffic = exposure.Traffic(sent=trial.evidence.sent, sent_new=trial.evidence.sent_new, age_s=age_s)
        is_load_test = exposure.is_load_test(rollout=rollout, age_s=age_s)
        if is_load_test:
            canary = exposure.load_test_share(bound=self._bound, traffic=traffic)
        else:
            canary = exposure.canary_share(bound=self._bound, traffic=traffic, over_s=rollout.over_s)
        stage_age_s = self._ages.stage_age_s(service=service)
        unproved = 1.0 if trial.is_cleared else exposure.unproved_share(bound=self._bound, traffic=traffic)
        share = exposure.lease_share(rollout=rollout, canary=canary, stage_age_s=stage_age_s, unproved=unproved)
        replicas: tuple[str, ...] = ()
        if rollout.stage == state.Stage.CANARY:
            replicas = self._choose_replicas(service, rollout, trial, canary=canary, is_load_test=is_load_test)
        if trial.is_bad or (rollout.stage == state.Stage.CANARY and not replicas):
            share = 0.0
        return leases.CanaryLease(
            service=service, number=rollout.number, step=rollout.step, share=round(share, 4), replicas=replicas
        )

    def _choose_replicas(
        self,
        service: str,
        rollout: state.Rollout,
        trial: canary_trial.CanaryTrial,
        *,
        canary: float,
        is_load_test: bool,
    ) -> tuple[str, ...]:
        chosen = canary_replicas.choose(
            replicas=[one for one in self._inventory.replicas(service) if one.version == rollout.target],
            share=max(canary, exposure.CANARY_SHARE * self._bound.share),
            bad_groups=trial.bad_groups(),
            is_load_test=is_load_test,
        )
        if is_load_test and chosen:
            trial.start_load_test(group=rollout_evidence.group_of(row_codec.replica_key(chosen[0])))
        return chosen

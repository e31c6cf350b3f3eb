"""Roll-outs at the coordinator: collecting evidence, granting leases, advancing the stages (docs/rollouts.md 3).

`RolloutManager` runs on each core node and acts on the one that has the coordinator's role. The role's epoch fences
it: it acts only in contact with a majority, each step is a change of the register that takes effect only if the row is
still the one that the step was decided on, and the leases that it grants expire by themselves. So two coordinators at a
time, or a coordinator that is partitioned, do no harm (`ploverward.simulation.rollout_simulation`). It owns the trials
of the orders in progress; the stages are in the register.
"""

import dataclasses
import logging
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from ploverward.common import rollout_evidence
from ploverward.common import settings as node_settings
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.rollouts import canary_trial
from ploverward.control_plane.rollouts import evidence_summary
from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import exposure
from ploverward.control_plane.rollouts import lease_granter
from ploverward.control_plane.rollouts import leases
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import planner
from ploverward.control_plane.rollouts import replica_inventory
from ploverward.control_plane.rollouts import rollout_ages
from ploverward.control_plane.rollouts import state
from ploverward.control_plane.rollouts import version_admitter
from ploverward.transport import messages

_log = logging.getLogger(__name__)

LEASE_SHARE = 0.5  # duration of a lease as a share of rollbackMs
AGE_STORE_SHARE = 0.15  # fraction of the term by which an order's age may be short if all machines lose power at once
SETTLE_RECEIPT_PERIODS = 4  # an order may be repeated for receiptMs; after so many periods the same one counts as new
MAX_REPORTS_PER_S = 150  # evidence that a coordinator accepts; with more proxies, each reports less often
DEFAULT_ROLLBACK_S = 5.0
ACTING_DIVISOR = 5  # a coordinator acts for contactMs / this after a heartbeat, so that one that stalled does not act


class RolloutManager:
    """Roll-outs of all services.

    Args:
        settings: Settings of this node, of which exposureShare, exposureSlack and rollbackMs are read.
        now: Clock of this process, in seconds.
        change: Changes a register: `change(name=, edit=, done=)`, which calls `done(error, version, payload, result)`.
        listed: Returns the rows of the platform's list.
        zones: Returns the region of each zone.
        evacuated_zones: Returns the zones to which no requests are sent.
        proxies: Returns the origins of the proxies in contact.
        contact_s: The setting contactMs in seconds: the time within which the loss of a node is noticed.
        receipt_s: The setting receiptMs in seconds: the time within which an order is acknowledged.

    Attributes:
        rollouts: The rows of the register, by service.
        lease_s: Duration of a lease, from the time at which the proxy sent its evidence.
    """

    def __init__(
        self,
        *,
        settings: node_settings.Settings,
        now: Callable[[], float],
        change: Callable[..., None],
        listed: Callable[[], Iterable[Mapping[str, Any]]],
        zones: Callable[[], Mapping[str, str]],
        evacuated_zones: Callable[[], Collection[str]],
        proxies: Callable[[], Iterable[evidence_table.Origin]],
        contact_s: float,
        receipt_s: float,
    ) -> None:
        self.rollouts: dict[str, state.Rollout] = {}
        rollback_s = settings.bound_s(name="rollbackMs") or DEFAULT_ROLLBACK_S
        self.lease_s = rollback_s * LEASE_SHARE
        self._now = now
        self._change = change
        self._proxies = proxies
        self._contact_s = contact_s
        self._acting_s = contact_s / ACTING_DIVISOR
        self._settled_after_s = receipt_s * SETTLE_RECEIPT_PERIODS
        self._ages = rollout_ages.RolloutAges(now=now)
        self._inventory = replica_inventory.ReplicaInventory(
            listed=listed, zones=zones, evacuated_zones=evacuated_zones
        )
        self._admitter = version_admitter.VersionAdmitter(now=now, grace_s=contact_s)
        bound = exposure.ExposureBound(
            share=settings.bound(name="exposureShare", default=0.1),
            slack=settings.bound(name="exposureSlack", default=0.0),
        )
        self._granter = lease_granter.LeaseGranter(bound=bound, inventory=self._inventory, ages=self._ages)
        self._trials: dict[str, canary_trial.CanaryTrial] = {}  # by service
        self._changing: set[str] = set()  # services whose row is being changed
        self._acting_since = 0.0
        self._acting_until = 0.0

    def install(self, payload: state.Payload) -> None:
        """Installs the register's newest value."""
        self.rollouts = state.rollouts_of(payload)
        for service, rollout in self.rollouts.items():
            self._ages.record_row(service=service, rollout=rollout)
            if not rollout.is_in_progress:
                self._trials.pop(service, None)

    def handle_evidence(
        self, *, origin: evidence_table.Origin, message: messages.RolloutEvidence, proxy_count: int
    ) -> messages.RolloutLeases | None:
        """Merges a proxy's reports.

        Args:
            origin: The proxy.
            message: The message with its reports.
            proxy_count: Number of proxies that report to this node.

        Returns:
            The message with the leases to answer with; None if this node may not grant leases.

        Raises:
            FrameError: The reports in the message are malformed.
        """
        for report in rollout_evidence.unpack(message.reports):
            rollout = self.rollouts.get(report.service)
            if rollout is None or rollout.number != report.number or not rollout.is_in_progress:
                continue
            self._ages.record_reported_age(service=report.service, number=report.number, age_s=report.age_s)
            self._trial(report.service).evidence.record(origin=origin, report=report)
        if self._now() >= self._acting_until:
            return None
        granted = [
            self._granter.grant(service=service, rollout=rollout, trial=self._trial(service))
            for service, rollout in self.rollouts.items()
            if rollout.is_in_progress
        ]
        return messages.RolloutLeases(
            number=message.number,
            duration_s=self.lease_s,
            report_interval=max(1, -(-proxy_count // MAX_REPORTS_PER_S)),
            leases=leases.pack(granted),
        )

    def _trial(self, service: str) -> canary_trial.CanaryTrial:
        number = self.rollouts[service].number
        trial = self._trials.get(service)
        if trial is None or trial.number != number:
            trial = canary_trial.CanaryTrial(number=number, now=self._now())
            self._trials[service] = trial
        return trial

    def deactivate(self) -> None:
        """Stops acting: this node does not have the coordinator's role, or may not act on it."""
        self._acting_until = 0.0

    def reconcile(self) -> None:
        """Executes the steps that are due. Called at each heartbeat of a coordinator in contact with a majority."""
        now = self._now()
        if now >= self._acting_until:
            self._acting_since = now
        self._acting_until = now + self._acting_s
        for service, rollout in self.rollouts.items():
            if service in self._changing:
                continue
            if rollout.is_in_progress:
                self._advance(service, rollout)
            elif self._should_settle(service, rollout):
                self._change_row(service, orders.edit_to_settle(service=service, seen=rollout))
        self._admit_listed()

    def _should_settle(self, service: str, rollout: state.Rollout) -> bool:
        if rollout.stage not in state.FINAL_STAGES or rollout.is_settled:
            return False
        return self._ages.stage_age_s(service=service) > self._settled_after_s

    def _advance(self, service: str, rollout: state.Rollout) -> None:
        trial = self._trial(service)
        age_s = self._ages.age_s(service=service, number=rollout.number)
        totals = trial.evidence.totals()
        replicas = self._inventory.replicas(service)
        trial.evaluate(
            now=self._now(),
            age_s=age_s,
            replica_count=sum(replica.version == rollout.target for replica in replicas),
            is_canary=rollout.stage == state.Stage.CANARY,
            totals=totals,
        )
        has_capacity = replica_inventory.has_capacity(replicas=replicas, rollout=rollout)
        view = self._view(service, rollout, trial, age_s=age_s, totals=totals, has_capacity=has_capacity)
        transition = planner.next_transition(view)
        if transition is None:
            if age_s - rollout.age_s >= AGE_STORE_SHARE * rollout.over_s:
                edit = orders.edit_to_store_age(service=service, seen=rollout, age_s=round(age_s, 3))
                self._change_row(service, edit)
            return
        evidence = state.Evidence(
            stage=str(transition.stage),
            age_s=round(age_s, 3),
            reason=transition.reason,
            sent=trial.evidence.sent,
            sent_new=trial.evidence.sent_new,
            routes=evidence_summary.counts_by_route(totals),
        )
        _log.info(
            "rollout_changed",
            extra={"service": service, "target": rollout.target, "known": dataclasses.asdict(evidence)},
        )
        _log.debug("rollout_tallied", extra={"tallies": evidence_summary.log_fields(totals)})
        self._change_row(service, orders.edit_to_stage(service=service, seen=rollout, evidence=evidence))

    def _view(
        self,
        service: str,
        rollout: state.Rollout,
        trial: canary_trial.CanaryTrial,
        *,
        age_s: float,
        totals: evidence_table.Tallies,
        has_capacity: bool,
    ) -> planner.RolloutView:
        evidence = trial.evidence
        finding = trial.finding()
        origins = set(self._proxies())
        reporting = origins & evidence.reports.keys()
        collecting_s = self._now() - max(trial.begun_at, self._acting_since)
        stage_age_s = self._ages.stage_age_s(service=service)
        # Proxies find a new coordinator one after the other. Those that have not reported to it yet may still run
        # attempts at the former version, so it waits until all proxies have had time to find it.
        is_known_to_all = collecting_s >= min(stage_age_s, self._contact_s)
        answers = evidence_summary.answer_counts(totals, sent=evidence.sent, sent_new=evidence.sent_new)
        return planner.RolloutView(
            rollout=rollout,
            age_s=age_s,
            stage_age_s=stage_age_s,
            first_answer_s=trial.first_answer_s,
            answers=answers,
            verdict=trial.verdict,
            is_cleared=trial.is_cleared,
            finding=f"{finding.fault} on {finding.route}: {finding.score:.1f}" if finding.fault else "",
            doubted_answers=answers.new.get(finding.route, 0),
            has_capacity=has_capacity,
            has_reports=(
                collecting_s >= self._acting_s and len(reporting) >= planner.MIN_REPORTING_SHARE * max(1, len(origins))
            ),
            is_drained=is_known_to_all and evidence.is_drained(origins=origins, step=rollout.step),
            is_drained_without_silent=evidence.is_drained(origins=reporting, step=rollout.step),
        )

    def _change_row(self, service: str, edit: orders.Edit) -> None:
        self._change_rows({service}, edit)

    def _admit_listed(self) -> None:
        versions = self._admitter.versions_to_admit(
            listed=self._inventory.versions(), rollouts=self.rollouts, changing=self._changing
        )
        if versions and not self._changing:
            edit = orders.edit_to_admit(seen=dict(self.rollouts), versions=versions)
            self._change_rows(versions.keys(), edit)

    def _change_rows(self, services: Collection[str], edit: orders.Edit) -> None:
        """Changes rows. No other step of these services starts until the change has ended, even if it fails."""
        self._changing.update(services)

        def done(_error: Exception | None, _version: int, _payload: state.Payload, _result: object) -> None:
            self._changing.difference_update(services)

        self._change(name=register_names.ROLLOUTS, edit=edit, done=done)

"""Days of the model of roll-outs, and faults planted in its parts that its checks must find."""

import pytest

from ploverward.control_plane.rollouts import canary_trial
from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import judge
from ploverward.control_plane.rollouts import manager
from ploverward.control_plane.rollouts import planner
from ploverward.control_plane.rollouts import state
from ploverward.data_plane.rollouts import version_routing
from ploverward.simulation import rollout_simulation

DAYS = 40
MAX_SEEDS = 60


@pytest.mark.parametrize("first", range(0, DAYS, 8))
def test_days_break_no_check(first):
    for seed in range(first, first + 8):
        report = rollout_simulation.run_simulation(seed)
        assert not report.findings, (report.seed, report.kind, report.fault_kinds, report.findings[:3])


def test_a_promotion_on_chance_answers_stays_inside_the_bound():
    """Half of its answers were bad; so many of others failed that this was not seen (incidents/chance-promotion.md)."""
    report = rollout_simulation.run_simulation(470067)
    assert not report.findings and report.stage == state.Stage.RETURNED


@pytest.mark.parametrize("kind", rollout_simulation.BAD_KINDS)
def test_a_bad_version_is_returned_inside_its_term(kind):
    for seed in range(3):
        report = rollout_simulation.run_simulation(seed, kind=kind, fault_kinds=("none",))
        assert report.stage == state.Stage.RETURNED, (seed, report)


def test_a_good_version_is_delivered_inside_its_term():
    for seed in range(6):
        report = rollout_simulation.run_simulation(seed, kind="good", fault_kinds=("none",))
        assert report.stage == state.Stage.DELIVERED and report.ended_s < 18.0, (seed, report)


@pytest.mark.parametrize("seed", range(8))
def test_a_loss_of_power_of_all_machines_does_not_move_the_term(seed):
    """No proxy is left that knows the order's age; those of these seeds that broke 'term' before ages were stored."""
    report = rollout_simulation.run_simulation(seed, kind="good", fault_kinds=("all_power",))
    assert not report.findings and report.stage in state.FINAL_STAGES


def leases_without_end(monkeypatch):
    real = version_routing.VersionRouter.handle_leases
    monkeypatch.setattr(
        version_routing.VersionRouter,
        "handle_leases",
        lambda self, message: real(self, message._replace(duration_s=message.duration_s * 9)),
    )


def a_stage_that_is_reverted(monkeypatch):
    """A holder that begins anew after the promotion, and a register that takes any step."""
    real = planner.next_move

    def next_move(view):
        if view.rollout.stage == state.Stage.PROMOTING:
            return planner.Move(stage=state.Stage.CANARY, reason="once more")
        return real(view)

    monkeypatch.setattr(planner, "next_move", next_move)
    monkeypatch.setattr(state, "NEXT_STAGES", dict.fromkeys(state.IN_PROGRESS_STAGES, tuple(state.Stage)))


def a_coordinator_that_never_stops(monkeypatch):
    monkeypatch.setattr(manager.RolloutManager, "deactivate", lambda self: setattr(self, "_acting_until", 1e9))


def delivered_with_work_running(monkeypatch):
    monkeypatch.setattr(evidence_table.EvidenceTable, "is_drained", lambda self, *, origins, step: True)


def the_list_before_the_order(monkeypatch):
    monkeypatch.setattr(state.Rollout, "is_admitted", lambda self, edition: True)


def a_judge_that_looks_only_at_the_beginning(monkeypatch):
    real = judge.CanaryJudge.record

    def record(self, *, now, counted, has_times=True):
        self.began = getattr(self, "began", now)
        if now - self.began < 2.0:
            real(self, now=now, counted=counted, has_times=has_times)

    monkeypatch.setattr(judge.CanaryJudge, "record", record)


def doubt_that_never_ends(monkeypatch):
    """Of a promoted version: nothing that it answers clears or condemns it."""
    real = canary_trial.CanaryTrial.evaluate

    def evaluate(self, *, is_canary, **about):
        real(self, is_canary=is_canary, **about)
        self.is_promoted = not is_canary

    def verdict(self):
        return judge.Verdict.DOUBTFUL if getattr(self, "is_promoted", False) else judge.Verdict.CLEAR

    monkeypatch.setattr(canary_trial.CanaryTrial, "evaluate", evaluate)
    monkeypatch.setattr(canary_trial.CanaryTrial, "verdict", property(verdict))


def a_promoted_version_in_doubt_that_waits_for_ever(monkeypatch):
    doubt_that_never_ends(monkeypatch)
    real = planner.next_move

    def next_move(view):
        is_waiting = view.rollout.stage == state.Stage.PROMOTING and view.verdict is judge.Verdict.DOUBTFUL
        return None if is_waiting else real(view)

    monkeypatch.setattr(planner, "next_move", next_move)


@pytest.mark.parametrize("seed", range(6))
def test_doubt_that_never_ends_does_not_outlast_the_term(monkeypatch, seed):
    doubt_that_never_ends(monkeypatch)
    report = rollout_simulation.run_simulation(seed, kind="good", fault_kinds=("none",))
    assert not report.findings
    assert report.stage in state.FINAL_STAGES and report.ended_s < 18.0


@pytest.mark.parametrize(
    "plant, kind, fault_kinds, check",
    [
        (leases_without_end, "errors", ("kill_all", "cut_proxies"), "lease"),
        (a_stage_that_is_reverted, "good", ("none",), "stage"),
        (a_coordinator_that_never_stops, "good", ("cut_holder",), "holder"),
        (delivered_with_work_running, "good", ("none",), "delivered"),
        (the_list_before_the_order, "errors", ("none",), "admitted"),
        (a_judge_that_looks_only_at_the_beginning, "late", ("none",), "exposure"),
        (a_promoted_version_in_doubt_that_waits_for_ever, "good", ("none",), "term"),
    ],
)
def test_planted_faults_are_found(monkeypatch, plant, kind, fault_kinds, check):
    plant(monkeypatch)
    for seed in range(MAX_SEEDS):
        findings = rollout_simulation.run_simulation(seed, kind=kind, fault_kinds=fault_kinds).findings
        if any(finding.check == check for finding in findings):
            return
    pytest.fail(f"{check} was not found in {MAX_SEEDS} days")

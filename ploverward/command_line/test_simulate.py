"""Tests of `ploverward simulate`: fixed hash seed, flags, histories, reduction to needed faults, missed mutants."""

import sys

import pytest

from ploverward.command_line import exit_codes
from ploverward.command_line import simulate
from ploverward.command_line import simulate_rollouts
from ploverward.common import errors
from ploverward.simulation import rollout_checks
from ploverward.simulation import state_digest


def test_simulate_restarts_itself_with_a_fixed_hash_seed(monkeypatch):
    started = []
    monkeypatch.setattr(simulate.os, "execve", lambda *about: started.append(about))
    monkeypatch.setattr(sys, "orig_argv", ["python3", "-m", "ploverward", "simulate", "--seeds", "1"])
    monkeypatch.setenv("PYTHONHASHSEED", "random")
    simulate.ensure_fixed_hash_seed()
    ((program, words, environment),) = started
    assert program == sys.executable and words == [sys.executable, "-m", "ploverward", "simulate", "--seeds", "1"]
    assert environment["PYTHONHASHSEED"] == simulate.HASH_SEED


def test_simulate_does_not_restart_when_the_hash_seed_is_fixed(monkeypatch):
    monkeypatch.setattr(simulate.os, "execve", lambda *_about: 1 / 0)
    monkeypatch.setenv("PYTHONHASHSEED", simulate.HASH_SEED)
    simulate.ensure_fixed_hash_seed()


def test_rollouts_world_rejects_unsupported_flags():
    simulate_rollouts.reject_unsupported_flags(["world", "seeds", "first", "jobs", "history"])
    with pytest.raises(errors.InvalidArgumentError, match="has no --machines, --tallies"):
        simulate_rollouts.reject_unsupported_flags(["tallies", "world", "machines"])


def test_a_rollout_run_prints_its_history(monkeypatch):
    monkeypatch.setattr(simulate_rollouts, "_disable_logs", lambda: None)
    lines = []
    assert simulate_rollouts.print_history(seed=440358, out=lines.append) == exit_codes.ExitCode.SUCCESS
    assert any("canary: ordered" in line for line in lines)
    assert any("returned: " in line and "sent" in line for line in lines)
    assert any("== some_fail" in line for line in lines)
    assert lines[-1].startswith("slow, some_fail, slow_all: returned after ")


def test_failing_rollout_run_is_reduced_to_the_faults_it_needs(monkeypatch):
    def play(seed, *, skipped=frozenset()):
        report = rollout_checks.Report(seed=seed, kind="good", fault_kinds=("kill_all", "slow_all"))
        if "kill_all" not in skipped:
            report.findings.append(rollout_checks.Finding(check="term", when=20.0, text="still canary"))
        return report

    monkeypatch.setattr(simulate_rollouts.rollout_simulation, "run_simulation", play)
    assert simulate_rollouts._needed_faults(play(7)) == ("kill_all",)


def test_undetected_rollout_mutant_is_reported(monkeypatch):
    class InThisProcess:
        def __init__(self, **_about):
            pass

        def __enter__(self):
            return self

        def __exit__(self, *_about):
            pass

        map = staticmethod(map)

    monkeypatch.setattr(simulate_rollouts.concurrent.futures, "ProcessPoolExecutor", InThisProcess)
    monkeypatch.setattr(
        simulate_rollouts.rollout_mutants, "search", lambda name: 4 if name == "leases without end" else None
    )
    lines = []
    assert simulate_rollouts.run_mutants(jobs=1, out=lines.append) == exit_codes.ExitCode.FAILURE
    assert lines[0] == "leases without end: found with seed 4: lease"
    assert "NOT FOUND" in lines[1] and lines[-1].startswith("1 of ")


def test_control_plane_state_digest_covers_existing_modules():
    assert len(state_digest.digest(simulate.SIMULATED_PATHS)) == 2 * state_digest.DIGEST_BYTES

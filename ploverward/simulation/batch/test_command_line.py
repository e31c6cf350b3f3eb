"""Tests of the command line that plays runs of the stores."""

import pytest

from ploverward.simulation.batch import batch_run
from ploverward.simulation.batch import command_line
from ploverward.simulation.batch import store_mutants


def test_command_prints_run_count_and_state_digest_when_no_check_fails(capsys):
    assert command_line.main(["--first", "3", "--seeds", "2", "--jobs", "1"]) == 0
    assert "2 runs of the stores on state " in capsys.readouterr().out


def test_history_option_prints_faults_and_arrangements(capsys):
    assert command_line.main(["--history", "3"]) == 0
    printed = capsys.readouterr().out
    assert "== " in printed and "arrangement (" in printed and printed.endswith(" faults, 0 findings\n")


def test_shortened_plan_still_fails_with_fewer_faults(monkeypatch):
    def plan_of(mutant, seed):
        return batch_run.Plan(seed=seed, kinds=mutant.kinds, fault_s=mutant.fault_s, sync_s=mutant.sync_s)

    mutant = next(row for row in store_mutants.MUTANTS if row.name == "answers before all copies have what it has")
    seed, _finding = store_mutants.find(mutant)
    plan = plan_of(mutant, seed)
    monkeypatch.setattr(command_line.batch_run, "Plan", lambda seed: plan)
    with store_mutants.apply_mutant(mutant):
        original = batch_run.BatchRun(plan)
        assert original.play()
        shorter = command_line.minimized_plan(seed)
        assert batch_run.BatchRun(shorter).play()
    assert 0 < len(shorter.skipped_faults) < original.faults.drawn


@pytest.mark.parametrize("found, code", [((7, "LOST j1"), 0), (None, 1)])
def test_planted_option_exits_with_1_when_a_mutant_is_not_found(found, code, monkeypatch, capsys):
    monkeypatch.setattr(store_mutants, "find", lambda _mutant: found)
    assert command_line.main(["--planted"]) == code
    assert ("NOT FOUND" in capsys.readouterr().out) == bool(code)

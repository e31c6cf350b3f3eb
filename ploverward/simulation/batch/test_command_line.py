"""The command that plays runs of the stores."""

import pytest

from ploverward.simulation.batch import batch_run
from ploverward.simulation.batch import command_line
from ploverward.simulation.batch import store_mutants


def test_runs_that_break_no_check_are_counted_with_their_state(capsys):
    assert command_line.main(["--first", "3", "--seeds", "2", "--jobs", "1"]) == 0
    assert "2 runs of the stores on state " in capsys.readouterr().out


def test_the_history_of_a_run_has_its_faults_and_arrangements(capsys):
    assert command_line.main(["--history", "3"]) == 0
    printed = capsys.readouterr().out
    assert "== " in printed and "arrangement (" in printed and printed.endswith(" faults, 0 findings\n")


def test_a_broken_run_is_shortened_to_the_faults_that_it_needs(monkeypatch):
    def plan_of(mutant, seed):
        return batch_run.Plan(seed=seed, kinds=mutant.kinds, fault_s=mutant.fault_s, sync_s=mutant.sync_s)

    mutant = next(one for one in store_mutants.MUTANTS if one.name == "takes an emptied disk for a member")
    seed, _finding = store_mutants.find(mutant)
    plan = plan_of(mutant, seed)
    monkeypatch.setattr(command_line.batch_run, "Plan", lambda seed: plan)
    with store_mutants.planted(mutant):
        drawn = batch_run.BatchRun(plan)
        assert drawn.play()
        shorter = command_line.shortened(seed)
        assert batch_run.BatchRun(shorter).play()
    assert 0 < len(shorter.skipped_faults) < drawn.faults.drawn


@pytest.mark.parametrize("found, code", [((7, "LOST j1"), 0), (None, 1)])
def test_mutants_that_are_not_found_fail_the_command(found, code, monkeypatch, capsys):
    monkeypatch.setattr(store_mutants, "find", lambda _mutant: found)
    assert command_line.main(["--planted"]) == code
    assert ("NOT FOUND" in capsys.readouterr().out) == bool(code)

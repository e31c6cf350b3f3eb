"""Runs of the stores in simulated time: no run fails a check, and every seeded bug makes one fail."""

import pytest

from ploverward.simulation.batch import batch_run
from ploverward.simulation.batch import store_mutants


@pytest.mark.parametrize("seed", range(16))
def test_run_with_random_faults_violates_no_check(seed):
    run = batch_run.BatchRun(batch_run.Plan(seed=seed))
    assert run.play() == []
    assert sum(job.is_acknowledged for job in run.model.jobs.values()) >= 5  # guards against a run that tests nothing


@pytest.mark.parametrize("mutant", store_mutants.MUTANTS, ids=lambda mutant: mutant.name)
def test_checks_find_the_bug_of_each_mutant(mutant):
    assert store_mutants.find(mutant) is not None

"""Runs of the simulation with a few fixed seeds, and mutants that its checks must find (docs/simulate.md).

Each run is executed in its own process with a fixed hash seed, so that sets of strings have the same order and a seed
always produces the same history.
"""

import pytest

from ploverward.simulation.control_plane import faults
from ploverward.testing.seeded_process import run

FIRST_SEED = 0
SEEDS = 10
QUICK_MUTANTS = (
    "a lost race is taken",
    "a restarted node leads",
    "acknowledged by one",
    "an order blamed for a cut",
    "few marks of orders",
    "grants without contact",
    "news go back",
    "told before durable",
    "the set stops at four",
    "an add acknowledged before the sync",
    "an add acknowledged on too few disks",
    "an add counted by node",
    "an add kept after a 503",
    "adds not passed on",
    "a log used again",
    "ids forgotten too soon",
    "ids forgotten while a member is away",
)
SEARCH = """
import sys
from ploverward.simulation.control_plane import mutants
found = mutants.search(sys.argv[1])
print(found)
sys.exit(0 if found is not None else 1)
"""


def test_first_seeds_have_no_findings():
    ended = run("-m", "ploverward", "simulate", f"--first={FIRST_SEED}", f"--seeds={SEEDS}", "--jobs=2")
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert f"{SEEDS} days" in ended.stdout


def test_first_seeds_with_tallies_have_no_findings():
    ended = run("-m", "ploverward", "simulate", "--tallies", f"--first={FIRST_SEED}", f"--seeds={SEEDS}", "--jobs=2")
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert f"{SEEDS} days" in ended.stdout


@pytest.mark.parametrize("name", QUICK_MUTANTS)
def test_checks_find_mutant(name):
    ended = run("-c", SEARCH, name)
    assert ended.returncode == 0, ended.stdout + ended.stderr


@pytest.mark.parametrize("seed", [560085, 560101])
def test_node_that_reaches_a_majority_within_a_cut_is_not_taken_for_cut_off(seed):
    """Guards against a check that goes by the cut alone: a smaller side may have a majority of the core set."""
    ended = run("-m", "ploverward", "simulate", f"--history={seed}")
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert "probe answered" in ended.stdout


def test_same_seed_prints_same_history():
    first, second = (run("-m", "ploverward", "simulate", "--history=3", "--machines=3") for _time in range(2))
    assert first.stdout == second.stdout
    assert "configuration chosen" in first.stdout


def test_an_unknown_fault_kind_is_reported_in_one_line():
    ended = run("-m", "ploverward", "simulate", "--troubles=rain")
    assert ended.returncode == 2
    assert "'rain' is no trouble" in ended.stderr and ended.stderr.count("\n") == 1


def test_closing_faults_of_all_machines_are_fault_kinds_too():
    assert {"all_killed", "all_power"} <= faults.KINDS.keys() & set(faults.CLOSING)
    assert all(kind.weight > 0 for kind in faults.KINDS.values())

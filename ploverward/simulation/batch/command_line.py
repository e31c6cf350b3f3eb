"""Command line: plays runs of the stores, prints one, minimizes failing ones, or checks that mutants are found.

python3 -m ploverward.simulation.batch --first 60000 --seeds 1000 --jobs 4
python3 -m ploverward.simulation.batch --history 60007
python3 -m ploverward.simulation.batch --planted
"""

import argparse
import collections.abc
import concurrent.futures
import dataclasses

from ploverward.simulation import needless_faults
from ploverward.simulation import state_digest
from ploverward.simulation.batch import batch_run
from ploverward.simulation.batch import store_mutants
from ploverward.simulation.control_plane import scenario

DIGESTED_PATHS = (
    "common",
    "control_plane/cluster/partition_placement.py",
    "simulation/batch",
    "simulation/control_plane/simulated_clock.py",
    "simulation/control_plane/simulated_disk.py",
    "store",
    "transport",
)
# Limits on the failing seeds whose faults are minimized, and on those that are reported.
MAX_MINIMIZED_SEEDS = 3
MAX_REPORTED_SEEDS = 20
CHUNK_RUNS = 8


def play(seed: int) -> tuple[int, list[str]]:
    """Plays one run and returns its seed and the descriptions of failed checks."""
    scenario.discard_node_logs()
    return seed, batch_run.BatchRun(batch_run.Plan(seed=seed)).play()


def minimized_plan(seed: int) -> batch_run.Plan:
    """Returns the plan of a seed with the faults left out, one after the other, that its failure does not depend on."""
    scenario.discard_node_logs()
    plan = batch_run.Plan(seed=seed)
    run = batch_run.BatchRun(plan)
    run.play()
    needless = needless_faults.find(
        reversed(range(run.faults.drawn)),
        still_breaks=lambda skipped: bool(batch_run.BatchRun(dataclasses.replace(plan, skipped_faults=skipped)).play()),
    )
    return dataclasses.replace(plan, skipped_faults=needless)


def print_run(plan: batch_run.Plan) -> int:
    """Plays one plan and prints its history; returns 1 if a check failed."""
    scenario.discard_node_logs()
    run = batch_run.BatchRun(plan)
    findings = run.play()
    for when, text in run.history:
        print(f"{when:9.3f} {text}")
    print(f"{run.faults.drawn - len(plan.skipped_faults)} faults, {len(findings)} findings")
    return int(bool(findings))


def run_mutants() -> int:
    """Plays each mutant until a check finds it; returns 1 if one is not found."""
    missed = 0
    for mutant in store_mutants.MUTANTS:
        found = store_mutants.find(mutant)
        missed += found is None
        print(f"{mutant.name}: {'NOT FOUND' if found is None else f'found with seed {found[0]}: {found[1]}'}")
    return int(bool(missed))


def run(*, first: int, seeds: int, jobs: int) -> int:
    """Plays a range of seeds; returns 1 if a check failed."""
    broken = []
    with concurrent.futures.ProcessPoolExecutor(max_workers=max(1, jobs)) as pool:
        for seed, findings in pool.map(play, range(first, first + seeds), chunksize=CHUNK_RUNS):
            if findings:
                broken.append(seed)
                if len(broken) <= MAX_REPORTED_SEEDS:
                    print(f"seed {seed}: {findings[0]}")
    for seed in broken[:MAX_MINIMIZED_SEEDS]:
        print(f"seed {seed}, without the faults that it does not need:")
        print_run(minimized_plan(seed))
    print(f"{seeds} runs of the stores on state {state_digest.digest(DIGESTED_PATHS)}, {len(broken)} broke a check")
    return int(bool(broken))


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Runs the command line.

    Args:
        arguments: Command-line arguments; None for those of the process.

    Returns:
        The exit code: 1 if a check failed or a mutant was not found.
    """
    parser = argparse.ArgumentParser(
        prog="python3 -m ploverward.simulation.batch", description="Plays runs of the stores in simulated time."
    )
    parser.add_argument("--first", type=int, default=0, help="seed of the first run")
    parser.add_argument("--seeds", type=int, default=100, help="number of runs")
    parser.add_argument("--jobs", type=int, default=1, help="number of parallel processes")
    parser.add_argument("--history", type=int, metavar="SEED", help="print the history of one run")
    parser.add_argument("--planted", action="store_true", help="check that each mutant is found")
    options = parser.parse_args(arguments)
    if options.planted:
        return run_mutants()
    if options.history is not None:
        return print_run(batch_run.Plan(seed=options.history))
    return run(first=options.first, seeds=options.seeds, jobs=options.jobs)

"""One seeded run of the simulation: machines, faults, operators, proxies and the final checks (docs/simulate.md).

`SimulationRun` draws the parameters of a run and connects its components. `run` executes it: faults begin for some
time, in some runs a closing fault follows at a critical moment, then all faults end and the checks examine the result.
The history of a seed depends on which random numbers are drawn and in which order.
"""

from __future__ import annotations

import contextlib
import dataclasses
import logging
import math
import time
from collections.abc import Callable
from collections.abc import Iterator
from unittest import mock

from ploverward.control_plane.tallies import tally_folder
from ploverward.control_plane.tallies import tally_service
from ploverward.simulation.control_plane import agreement
from ploverward.simulation.control_plane import checks
from ploverward.simulation.control_plane import fault_log
from ploverward.simulation.control_plane import faults
from ploverward.simulation.control_plane import fleet as fleets
from ploverward.simulation.control_plane import isolation_probes
from ploverward.simulation.control_plane import machines as model_machines
from ploverward.simulation.control_plane import operators as model_operators
from ploverward.simulation.control_plane import order_model
from ploverward.simulation.control_plane import order_sender
from ploverward.simulation.control_plane import platform_model
from ploverward.simulation.control_plane import proxy_checks
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import share_checks
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_disk
from ploverward.simulation.control_plane import simulated_network
from ploverward.simulation.control_plane import tally_callers
from ploverward.simulation.control_plane import tally_checks
from ploverward.simulation.control_plane import value_checks

CORE_SIZES, CORE_SIZE_WEIGHTS = (3, 5, 6, 7), (4, 4, 1, 1)  # numbers of core machines and their weights
DISK_SPEED_WEIGHTS = (2, 1, 1)  # for the first entries of `SPEEDS_S`; the slowest disk is never drawn
FAULT_SPAN_S = (15.0, 30.0)  # length of the period in which faults begin
FAULT_GAPS_S = (0.5, 1.5, 4.0)  # mean times between two faults, of which each run draws one
FAULTS_FROM_S = 5.0
CLOSING_STEP_S = 0.25  # interval at which the run checks whether the closing fault has begun
AFTER_CLOSING_S = 4.0
LAST_READS_S = 4.0
MAX_LAST_READ_ATTEMPTS = 8
# Maximum age of an add that an application repeats where ids are forgotten after `FOLD_AFTER_S`. The attempts of the
# add may take 6 s more, and a freeze 12 s.
FOLDED_REPEAT_AGE_S = 4.0
FOLD_AFTER_S = 24.0
FOLD_CHECKPOINT_S = 1.0
TALLY_MOMENT_CHANCE = 0.5  # chance that a fault at a critical moment waits for an acknowledged add to a tally
MOMENTS = (model_operators.Moment.ACKNOWLEDGED, model_operators.Moment.SENT, model_operators.Moment.READ)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """The parameters of a run.

    Attributes:
        seed: Seed of the run's random generator.
        machines: Number of core machines; 0 draws it.
        tolerated: Number of core machines that may be lost at once; 0 draws it.
        troubles: Kinds of faults to draw from, keys of `faults.ALL_KINDS`.
        closing: Closing faults to draw from; empty for none.
        span_s: Length of the period in which faults begin, in seconds; 0 draws it.
        disk: Index into `simulated_disk.SPEEDS_S`; -1 draws it.
        gap_s: Mean time between two faults, in seconds; 0 draws it.
        moments: The critical moments that a fault may wait for.
        skipped_faults: Numbers of the faults that are drawn but not begun.
        keeps_history: Whether the report contains a history.
        has_tallies: Whether applications use tallies.
        folds_tallies: Whether core nodes forget ids of adds early, and applications repeat only younger adds.
    """

    seed: int
    machines: int = 0
    tolerated: int = 0
    troubles: tuple[str, ...] = tuple(faults.KINDS)
    closing: tuple[str, ...] = faults.CLOSING
    span_s: float = 0.0
    disk: int = -1
    gap_s: float = 0.0
    moments: tuple[model_operators.Moment, ...] = MOMENTS
    skipped_faults: frozenset[int] = frozenset()
    keeps_history: bool = False
    has_tallies: bool = False
    folds_tallies: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """The result of a run.

    Attributes:
        plan: The parameters of the run.
        findings: Violated checks, ordered by time.
        history: Recorded events; empty unless the plan keeps a history.
        machines: Number of core machines.
        tolerated: Number of core machines that may be lost at once.
        orders: Number of orders that the operators sent.
        chosen: Number of configuration versions that were chosen.
        troubles: How many times a fault of the core began or ended, or a partition added an edge
            (`FaultLog.edges`).
        faults: The drawn faults, including skipped ones and excluding the closing fault.
        steps: Number of executed events.
        peak_shares: The highest sum of shares of each kind.
        took_s: Processor time, in seconds.
    """

    plan: Plan
    findings: list[recorders.Finding]
    history: list[recorders.HistoryLine]
    machines: int
    tolerated: int
    orders: int
    chosen: int
    troubles: int
    faults: list[faults.DrawnFault]
    steps: int
    peak_shares: dict[share_checks.ShareKind, float]
    took_s: float


class SimulationRun:
    """A run and its components.

    Attributes:
        plan: The parameters of the run.
        clock: The simulated clock, with the event queue and the random generator.
        size: Number of core machines.
        network: The network between the machines.
        platform: The platform whose list of replicas core nodes read.
        recorder: Collects the history and the findings.
        values: Checks the values that core nodes publish and proxies install.
        shares: Checks the shares that proxies may use.
        fault_log: Records when faults begin and end.
        fleet: The core machines and the proxies.
        operators: Simulated operators, which send orders and reads.
        probes: Sends orders to nodes that are cut off.
        faults: Draws faults and begins them.
        tallies: Applications that use tallies.
    """

    def __init__(self, *, plan: Plan) -> None:
        """Draws the parameters and creates the components; starts no machine."""
        bounds = model_machines.BOUNDS
        self._contact_s = bounds["contactMs"] / 1000
        self._receipt_s = bounds["receiptMs"] / 1000
        self._catch_up_s = bounds["catchUpS"]
        self._has_closing_begun = False
        self.plan = plan
        self.clock = simulated_clock.Clock(seed=plan.seed)
        chance = self.clock.chance
        self.size = plan.machines or chance.choices(CORE_SIZES, CORE_SIZE_WEIGHTS)[0]
        tolerated = plan.tolerated or (1 if self.size < 5 else chance.choice((1, 2, 2)))
        self._span_s = plan.span_s or chance.uniform(*FAULT_SPAN_S)
        speeds = range(len(DISK_SPEED_WEIGHTS))
        disk_speed = plan.disk if plan.disk >= 0 else chance.choices(speeds, DISK_SPEED_WEIGHTS)[0]
        proxy_count = chance.randint(2, 4)
        self.network = simulated_network.Network(clock=self.clock)
        self.platform = platform_model.Platform()
        self.recorder = recorders.Recorder(clock=self.clock, keeps_history=plan.keeps_history)
        self.values = value_checks.ValueChecks(clock=self.clock, recorder=self.recorder)
        self.shares = share_checks.ShareChecks(
            clock=self.clock, recorder=self.recorder, slack_window_s=bounds["retryWindowS"]
        )
        self.fault_log = fault_log.FaultLog(
            clock=self.clock,
            recorder=self.recorder,
            contact_s=self._contact_s,
            started_at=fleets.START_SPREAD_S,
        )
        self.fleet = fleets.Fleet(
            network=self.network,
            platform=self.platform,
            recorder=self.recorder,
            values=self.values,
            shares=self.shares,
            tolerated=tolerated,
            disk_speed_s=simulated_disk.SPEEDS_S[disk_speed],
            proxy_hosts=[f"10.0.9.{number}" for number in range(1, proxy_count + 1)],
        )
        self.operators = model_operators.Operators(
            sender=order_sender.OrderSender(network=self.network, recorder=self.recorder, hosts=self.fleet.core_hosts),
            recorder=self.recorder,
            gap_s=chance.choice((0.1, 0.4, 1.5)),
            receipt_s=self._receipt_s,
        )
        self.operators.on_acknowledged = proxy_checks.ProxyChecks(
            network=self.network,
            recorder=self.recorder,
            fleet=self.fleet,
            faults=self.fault_log,
            contact_s=self._contact_s,
        ).check_later
        self.probes = isolation_probes.IsolationProbes(
            network=self.network,
            recorder=self.recorder,
            operators=self.operators,
            faults=self.fault_log,
            may_reach_majority=lambda host: agreement.may_reach_majority(
                fleet=self.fleet, network=self.network, host=host
            ),
        )
        self.tallies = tally_callers.TallyCallers(
            seed=plan.seed,
            network=self.network,
            fleet=self.fleet,
            faults=self.fault_log,
            recorder=self.recorder,
            max_repeat_age_s=FOLDED_REPEAT_AGE_S if plan.folds_tallies else math.inf,
        )
        drawn_gap_s = chance.choice(FAULT_GAPS_S)
        self.faults = faults.FaultInjector(
            simulation=self, kinds=plan.troubles, gap_s=plan.gap_s or drawn_gap_s, skipped=plan.skipped_faults
        )

    def build(self) -> None:
        """Adds the machines and schedules their starts."""
        self.fleet.build(size=self.size)

    def run(self) -> Report:
        """Executes the run and returns its report."""
        begun = time.process_time()
        self.build()
        self.operators.start()
        if self.plan.has_tallies:
            self.tallies.start()
        faults_until = FAULTS_FROM_S + self._span_s
        self.faults.start(begin=FAULTS_FROM_S, until=faults_until)
        self.clock.run(until=faults_until)
        self.faults.is_over = True
        self.operators.cancel_moments()
        self._play_closing_fault()
        self.operators.cancel_moments()
        self._stop_callers()
        self.clock.run(until=self.clock.time + 2 * self._contact_s + self._catch_up_s)
        checks.check_core_set(
            recorder=self.recorder,
            values=self.values,
            live=sorted(self.fleet.core_hosts()),
            wanted=2 * self.fleet.tolerated + 1,
        )
        self._check(self._read_back())
        return self._report(time.process_time() - begun)

    def _play_closing_fault(self) -> None:
        """Draws a closing fault, if the plan allows any, and begins it at a critical moment."""
        kind = self.clock.chance.choice(self.plan.closing) if self.plan.closing else ""
        if not kind:
            return

        def close() -> None:
            self._has_closing_begun = True
            self.faults.close(kind)

        self.call_at_moment(close)
        limit = self.clock.time + self._receipt_s + self._contact_s
        while not self._has_closing_begun and self.clock.time < limit:
            self.clock.run(until=self.clock.time + CLOSING_STEP_S)
        self._stop_callers()
        self.clock.run(until=self.clock.time + AFTER_CLOSING_S)

    def _stop_callers(self) -> None:
        self.operators.is_stopped = True
        self.tallies.is_stopped = True

    def call_at_moment(self, callback: Callable[[], object]) -> None:
        """Calls `callback` at the next critical moment, which is drawn.

        This is right after the next acknowledgement or read, or soon after the next order is sent. If applications use
        tallies, it may also be right after the next acknowledged add.
        """
        if self.plan.has_tallies and self.clock.chance.random() < TALLY_MOMENT_CHANCE:
            self.tallies.call_at_next_add(callback)
            return
        chance = self.clock.chance
        moment = chance.choice(self.plan.moments)
        delay = (
            chance.uniform(0.0, 0.25) if moment is model_operators.Moment.SENT else chance.choice((0.0, 0.0, 0.01, 0.3))
        )
        self.operators.call_at_next(moment, lambda: self.clock.later(delay=delay, callback=callback))

    def _read_back(self) -> list[checks.FinalRead]:
        """Reads the configuration and the evacuations at each core node; the value of an unanswered read is None."""
        reads = {(host, what): None for host in self.fleet.core_hosts() for what in order_model.ReadKind}
        answered: list[checks.FinalRead] = []
        for host, what in reads:
            self._read_last(host, what, answered)
        if self.plan.has_tallies:
            self.tallies.read_back()
        self.clock.run(until=self.clock.time + LAST_READS_S)
        missing = reads.keys() - {(read.host, read.what) for read in answered}
        return [*answered, *(checks.FinalRead(*read, None) for read in reads if read in missing)]

    def _read_last(self, host: str, what: order_model.ReadKind, answered: list[checks.FinalRead]) -> None:
        self.operators.read(
            what=what,
            then=lambda value: answered.append(checks.FinalRead(host, what, value)),
            max_attempts=MAX_LAST_READ_ATTEMPTS,
            host=host,
        )

    def _check(self, last_reads: list[checks.FinalRead]) -> None:
        evidence = checks.Evidence(
            recorder=self.recorder,
            values=self.values,
            orders=self.operators.orders,
            probes=self.probes.orders,
            reads=self.operators.reads,
        )
        now = self.clock.time
        checks.check_orders(evidence)
        checks.check_chain(evidence)
        checks.check_reads(evidence)
        checks.check_evacuation_reads(evidence)
        calm = self.fault_log.calm_spans(until=now)
        checks.check_acknowledgements(evidence, calm=calm, receipt_s=self._receipt_s, until=now)
        checks.check_moves(evidence, calm=calm, receipt_s=self._receipt_s, until=now)
        checks.check_final_reads(evidence, last_reads)
        if self.plan.has_tallies:
            tally_checks.TallyChecks(recorder=self.recorder, network=self.network, callers=self.tallies).check(
                until=now - LAST_READS_S - tally_callers.MERGE_S
            )

    def _report(self, took_s: float) -> Report:
        return Report(
            plan=self.plan,
            findings=sorted(self.recorder.findings, key=lambda finding: finding.when),
            history=self.recorder.history,
            machines=self.size,
            tolerated=self.fleet.tolerated,
            orders=len(self.operators.orders),
            chosen=len(self.values.configurations),
            troubles=len(self.fault_log.edges) - 1,
            faults=self.faults.drawn,
            steps=self.clock.steps,
            peak_shares=dict(self.shares.peaks),
            took_s=took_s,
        )


def discard_node_logs() -> None:
    """Discards the log records of the nodes, because a report has its own history."""
    log = logging.getLogger("ploverward")
    log.handlers[:] = [logging.NullHandler()]
    log.propagate = False


def run_simulation(plan: Plan) -> Report:
    """Executes a plan and returns its report. From then on this process discards the log records of the nodes."""
    discard_node_logs()
    with _early_folding() if plan.folds_tallies else contextlib.nullcontext():
        return SimulationRun(plan=plan).run()


@contextlib.contextmanager
def _early_folding() -> Iterator[None]:
    """Makes core nodes fold tallies during a run: after a few seconds, and however few ids they keep."""
    with (
        mock.patch.object(tally_folder, "RETRY_HORIZON_S", FOLD_AFTER_S),
        mock.patch.object(tally_folder, "CHECKPOINT_INTERVAL_S", FOLD_CHECKPOINT_S),
        mock.patch.object(tally_service, "FOLD_THRESHOLD_SHARE", 0.0),
    ):
        yield

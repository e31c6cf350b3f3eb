"""One run of the simulation: machines, faults, operators and proxies by one seed, and the checks (docs/simulate.md).

`SimulationRun` draws a run's parameters and wires its parts; `run` plays it: faults for a while, at times a closing
fault at a moment that matters, then all is healed and the checks look at what is left. What is drawn, and in which
order, decides the history that a seed names.
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

SIZES, SIZE_WEIGHTS = (3, 5, 6, 7), (4, 4, 1, 1)  # core machines
DISK_SPEED_WEIGHTS = (2, 1, 1)  # of the first speeds; the slowest is never drawn
SPAN_S = (15.0, 30.0)  # for how long faults begin
FAULT_GAPS_S = (0.5, 1.5, 4.0)  # mean times between two faults; a run has one of them
FAULTS_FROM_S = 5.0
CLOSING_STEP_S = 0.25  # between two checks whether the closing fault began
AFTER_CLOSING_S = 4.0
LAST_READS_S = 4.0
MAX_LAST_READ_ATTEMPTS = 8
FOLDED_REPEAT_AGE_S = 4.0  # of an add that an application sends again; its tries take 6 s more, a freeze 12 s
FOLD_AFTER_S = 24.0
FOLD_CHECKPOINT_S = 1.0
TALLY_MOMENT_CHANCE = 0.5  # that a fault "at a moment that matters" waits for an acknowledged add to a tally
MOMENTS = (model_operators.Moment.ACKNOWLEDGED, model_operators.Moment.SENT, model_operators.Moment.READ)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What is played.

    Attributes:
        seed: Decides all that is drawn.
        machines: Core machines; 0: drawn.
        tolerated: How many of them may be lost at once; 0: drawn.
        troubles: Kinds of faults, of `faults.KINDS`.
        closing: Closing faults to draw from; empty: none.
        span_s: For how long faults begin, in seconds; 0: drawn.
        disk: Index of the disks' speed; -1: drawn.
        gap_s: Mean time between two faults, in seconds; 0: drawn.
        moments: Those that faults "at a moment that matters" wait for.
        skipped_faults: Numbers of faults that are drawn and not begun.
        keeps_history: Whether the report has a history.
        has_tallies: Whether applications use tallies.
        folds_tallies: Whether core nodes forget ids early, and applications repeat no add that is older.
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
    """What came of one run.

    Attributes:
        plan: What was played.
        findings: By time; empty: no check broke.
        history: What happened; empty where the plan keeps none.
        machines: Core machines.
        tolerated: How many of them might be lost at once.
        orders: How many the operators sent.
        chosen: Versions of the configuration.
        troubles: Moments at which a fault of the core began or ended.
        faults: What was drawn, skipped faults included; the closing one is none of them.
        steps: Events.
        peak_shares: The highest sums of shares.
        took_s: Processor time.
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
    """One run, and its parts.

    Attributes:
        plan: What is played.
        clock: The simulated time.
        size: Core machines.
        network: That joins the machines.
        platform: That core nodes read.
        recorder: History and findings.
        values: Checks of what is published and installed.
        shares: Checks of what proxies may use.
        fault_log: When faults began and ended.
        fleet: The machines.
        operators: The operators.
        probes: Orders to nodes that are cut off.
        faults: Begins faults.
        tallies: Applications that use tallies.
    """

    def __init__(self, *, plan: Plan) -> None:
        """Draws the parameters and makes the parts; no machine is started yet."""
        bounds = model_machines.BOUNDS
        self._contact_s = bounds["contactMs"] / 1000
        self._receipt_s = bounds["receiptMs"] / 1000
        self._catch_up_s = bounds["catchUpS"]
        self._is_closed = False
        self.plan = plan
        self.clock = simulated_clock.Clock(seed=plan.seed)
        chance = self.clock.chance
        self.size = plan.machines or chance.choices(SIZES, SIZE_WEIGHTS)[0]
        tolerated = plan.tolerated or (1 if self.size < 5 else chance.choice((1, 2, 2)))
        self._span_s = plan.span_s or chance.uniform(*SPAN_S)
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
            network=self.network, recorder=self.recorder, operators=self.operators, faults=self.fault_log
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
        """Plays the run."""
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
        self._close()
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

    def _close(self) -> None:
        """Plays the closing fault, if one is drawn, at a moment that matters."""
        kind = self.clock.chance.choice(self.plan.closing) if self.plan.closing else ""
        if not kind:
            return

        def close() -> None:
            self._is_closed = True
            self.faults.close(kind)

        self.at_moment(close)
        limit = self.clock.time + self._receipt_s + self._contact_s
        while not self._is_closed and self.clock.time < limit:
            self.clock.run(until=self.clock.time + CLOSING_STEP_S)
        self._stop_callers()
        self.clock.run(until=self.clock.time + AFTER_CLOSING_S)

    def _stop_callers(self) -> None:
        self.operators.is_stopped = True
        self.tallies.is_stopped = True

    def at_moment(self, callback: Callable[[], object]) -> None:
        """Has a callback called right after the next acknowledgement or read, or soon after the next order is sent.

        Where applications use tallies, the moment may also be the next acknowledged add.
        """
        if self.plan.has_tallies and self.clock.chance.random() < TALLY_MOMENT_CHANCE:
            self.tallies.at_next_add(callback)
            return
        chance = self.clock.chance
        moment = chance.choice(self.plan.moments)
        delay = (
            chance.uniform(0.0, 0.25) if moment is model_operators.Moment.SENT else chance.choice((0.0, 0.0, 0.01, 0.3))
        )
        self.operators.call_at_next(moment, lambda: self.clock.later(delay=delay, callback=callback))

    def _read_back(self) -> list[checks.FinalRead]:
        """Reads the configuration and the evacuations at each core node."""
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


def silence_log() -> None:
    """Drops what nodes log: a report has its own history."""
    log = logging.getLogger("ploverward")
    log.handlers[:] = [logging.NullHandler()]
    log.propagate = False


def run_simulation(plan: Plan) -> Report:
    """Plays one plan; the process's log of the product is dropped from then on."""
    silence_log()
    with _early_folding() if plan.folds_tallies else contextlib.nullcontext():
        return SimulationRun(plan=plan).run()


@contextlib.contextmanager
def _early_folding() -> Iterator[None]:
    """Has core nodes fold tallies within a run: after seconds, and however few ids they keep."""
    with (
        mock.patch.object(tally_folder, "RETRY_HORIZON_S", FOLD_AFTER_S),
        mock.patch.object(tally_folder, "CHECKPOINT_INTERVAL_S", FOLD_CHECKPOINT_S),
        mock.patch.object(tally_service, "FOLD_THRESHOLD_SHARE", 0.0),
    ):
        yield

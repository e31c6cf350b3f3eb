"""One day of the model world: machines, troubles, operators and proxies by one seed, and the checks (docs/simulate.md)."""

import dataclasses
import json
import logging
import time

from ploverward.simulation.control_plane import checks
from ploverward.simulation.control_plane import faults
from ploverward.simulation.control_plane import machines as model_machines
from ploverward.simulation.control_plane import operators
from ploverward.simulation.control_plane import platform_model
from ploverward.simulation.control_plane import proxies
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_disk
from ploverward.simulation.control_plane import simulated_network
from ploverward.simulation.control_plane import simulated_runtime

SIZES = (3, 5, 6, 7)
START_SPREAD_S = 0.3
FAULTS_FROM_S = 5.0
ISOLATED_FOR_S = 2.0  # from then on a node must know that it is cut off
CLEAR_END_S = 1.05
STOPPED_S = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What is played. Size, tolerated losses and span are drawn by the seed where they are 0."""

    seed: int
    machines: int = 0
    tolerated: int = 0
    troubles: tuple = tuple(faults.KINDS)
    closing: tuple = faults.CLOSING
    span_s: float = 0.0
    disk: int = -1  # index of the disks' speed; -1: drawn, but never the last one
    keeps_history: bool = False


@dataclasses.dataclass
class Report:
    """What came of one day."""

    plan: Plan
    findings: list
    history: list
    machines: int = 0
    tolerated: int = 0
    orders: int = 0
    chosen: int = 0
    troubles: int = 0
    steps: int = 0
    most: dict = dataclasses.field(default_factory=dict)
    took_s: float = 0.0


class Slot:
    """A place for one core machine; a machine that is replaced leaves it to its successor."""

    def __init__(self, *, number: int, machine):
        self.number = number
        self.machine = machine
        self.is_down = False
        self.lost = 0  # troubles that hold it now
        self.lost_until = 0.0
        self.settings = None


class SimulationRun:
    def __init__(self, *, plan: Plan):
        self.plan = plan
        self.clock = simulated_clock.Clock(seed=plan.seed)
        chance = self.clock.chance
        self.bounds = model_machines.BOUNDS
        self.contact_s = self.bounds["contactMs"] / 1000
        self.receipt_s = self.bounds["receiptMs"] / 1000
        self.catch_up_s = self.bounds["catchUpS"]
        self.size = plan.machines or chance.choices(SIZES, (4, 4, 1, 1))[0]
        self.tolerated = plan.tolerated or (1 if self.size < 5 else chance.choice((1, 2, 2)))
        self.span_s = plan.span_s or chance.uniform(15.0, 30.0)
        self.network = simulated_network.Network(clock=self.clock)
        self.recorder = recorders.Recorder(
            clock=self.clock, window_s=self.bounds["retryWindowS"], keeps_history=plan.keeps_history
        )
        self.platform = platform_model.Platform()
        speed = plan.disk if plan.disk >= 0 else chance.choices((0, 1, 2), (2, 1, 1))[0]
        self._speed_s = simulated_disk.SPEEDS_S[speed]
        self.slots = []
        self.fault_edges = [START_SPREAD_S]  # moments at which a trouble of the core begins or ends
        self.isolated_since = {}
        self.proxy_fault_until = {}  # proxy: when its last trouble ends
        self.probes = []
        self._number = 0
        self._extra_hosts = []  # machines on their way out, that still run
        self._proxies = [f"10.0.9.{index}" for index in range(1, chance.randint(2, 4) + 1)]
        self._is_closed = False
        self.operators = operators.Operators(
            network=self.network,
            recorder=self.recorder,
            hosts=self.core_hosts,
            gap_s=chance.choice((0.1, 0.4, 1.5)),
            receipt_s=self.receipt_s,
        )
        self.operators.on_taken = self._check_applied
        self.troubles = faults.FaultInjector(simulation=self, kinds=plan.troubles, gap_s=chance.choice((0.5, 1.5, 4.0)))

    # The machines.
    def core_hosts(self) -> list:
        return [slot.machine.host for slot in self.slots]

    def proxy_hosts(self) -> list:
        return list(self._proxies)

    def _new_machine(self):
        self._number += 1
        region = model_machines.REGIONS[self._number % len(model_machines.REGIONS)]
        machine = model_machines.Machine(
            clock=self.clock, host=f"10.0.0.{self._number}", region=region, speed_s=self._speed_s
        )
        self.network.machines[machine.host] = machine
        return machine

    def _seeds(self) -> tuple:
        hosts = self.core_hosts()
        return tuple(self.clock.chance.sample(hosts, min(3, len(hosts))))

    def _settings(self, machine, *, seeds: tuple, is_first: bool, is_core: bool = True):
        return model_machines.settings(
            host=machine.host,
            region=machine.region,
            seeds=seeds,
            is_first=is_first,
            tolerated=self.tolerated,
            is_core=is_core,
        )

    def build(self) -> None:
        chance = self.clock.chance
        for number in range(self.size):
            self.slots.append(Slot(number=number, machine=self._new_machine()))
        seeds = tuple(slot.machine.host for slot in self.slots[:3])
        for slot in self.slots:
            slot.machine.is_powered = True
            slot.settings = self._settings(slot.machine, seeds=seeds, is_first=True)
            slot.lost_until = START_SPREAD_S + self.catch_up_s
            slot.is_down = True
            self.clock.later(delay=chance.uniform(0, START_SPREAD_S), callback=lambda slot=slot: self._start(slot))
        for host in self._proxies:
            region = chance.choice(model_machines.REGIONS)
            self.network.machines[host] = model_machines.Machine(clock=self.clock, host=host, region=region)
            begin = chance.uniform(0, START_SPREAD_S)
            self.clock.later(delay=begin, callback=lambda host=host: self.start_proxy(host, seeds=seeds))

    def _start(self, slot) -> None:
        slot.is_down = False
        machine = slot.machine
        self.recorder.record("starts", host=machine.host, seeds=[host for host, _port in slot.settings.seeds])
        simulated_runtime.start_core(
            network=self.network,
            machine=machine,
            platform=self.platform,
            node_settings=slot.settings,
            on_failure=self.recorder.failed_step,
            on_stop=self._ended,
            watcher=self.recorder.watch,
        )

    def _ended(self, machine, process) -> None:
        """A program ended by itself."""
        if machine.process is process and process.is_alive:
            self.recorder.record("ended", host=machine.host)
            model_machines.stop(machine=machine)
            if not machine.is_removed:
                self.recorder.find("ended", f"{machine.host} ended by itself")

    def stop(self, slot, *, is_power_lost: bool) -> None:
        self.recorder.record("stopped", host=slot.machine.host, is_power_lost=is_power_lost)
        slot.is_down = True
        model_machines.stop(machine=slot.machine, is_power_lost=is_power_lost)
        slot.machine.is_powered = not is_power_lost

    def restart(self, slot, *, is_emptied: bool) -> None:
        if not slot.is_down or slot.machine.is_removed:
            return  # another machine has taken its place meanwhile, or will
        is_rewritten = is_emptied or self.clock.chance.random() < 0.5
        seeds = self._seeds() if is_rewritten else tuple(host for host, _port in slot.settings.seeds)
        slot.settings = self._settings(slot.machine, seeds=seeds, is_first=False)
        self._start(slot)

    def start_successor(self, slot) -> None:
        seeds = tuple(host for host in self._seeds() if host != slot.machine.host)
        slot.machine = self._new_machine()
        slot.settings = self._settings(slot.machine, seeds=seeds or self._seeds(), is_first=False)
        self._start(slot)

    def remove(self, machine, *, is_in_order: bool) -> None:
        """The machine goes for good; in order, its program gets SIGTERM first and SIGKILL after graceS."""
        machine.is_removed = True
        self.recorder.record("removed", host=machine.host, is_in_order=is_in_order)

        def gone():
            model_machines.stop(machine=machine, is_power_lost=True)
            machine.is_powered = False

        if not is_in_order or machine.core is None or not machine.process.is_alive:
            gone()
            return
        terminate = machine.core.runtime.on_terminate
        self.clock.later(delay=0.0, callback=terminate, process=machine.process, kind=simulated_clock.EventKind.COMMAND)
        self.clock.later(delay=self.bounds["graceS"], callback=gone)

    def start_proxy(self, host: str, *, seeds=None) -> None:
        machine = self.network.machines[host]
        if machine.process is not None and machine.process.is_alive:
            return
        self.recorder.record("proxy starts", host=host)
        node_settings = self._settings(machine, seeds=seeds or self._seeds(), is_first=False, is_core=False)
        proxies.start_proxy(
            network=self.network,
            machine=machine,
            node_settings=node_settings,
            on_failure=self.recorder.failed_step,
            recorder=self.recorder,
        )

    def stop_proxy(self, host: str, *, is_power_lost: bool) -> None:
        model_machines.stop(machine=self.network.machines[host], is_power_lost=is_power_lost)

    # What is lost.
    def is_lost(self, slot) -> bool:
        return slot.lost > 0 or slot.lost_until > self.clock.time

    def lost_slots(self) -> list:
        return [slot for slot in self.slots if self.is_lost(slot)]

    def lose(self, slot) -> None:
        slot.lost += 1

    def recover(self, slot) -> None:
        slot.lost -= 1
        slot.lost_until = max(slot.lost_until, self.clock.time + self.catch_up_s)

    def record_fault_edge(self, text: str, slots) -> None:
        self.fault_edges.append(self.clock.time)
        self.recorder.record(f"== {text}", hosts=",".join(slot.machine.host for slot in slots))

    def calm(self, until: float) -> list:
        """(from, to) of the stretches in which no trouble of the core began or ended for contactMs."""
        rows = []
        for record_fault_edge, following in zip(self.fault_edges, [*self.fault_edges[1:], until], strict=True):
            if following - record_fault_edge > self.contact_s:
                rows.append((record_fault_edge + self.contact_s, following))
        return rows

    def probe(self, host: str) -> None:
        """A proper order at one node that is cut off, and no other."""
        since = self.isolated_since.get(host)
        if since is None:
            return
        order = self.operators._make(edition=self.operators._new_edition())
        attempt = operators.Attempt(host=host, sent_at=self.clock.time)

        def done(answer):
            attempt.answered_at = self.clock.time
            if answer is not None:
                attempt.status, attempt.body = answer[0], answer[2]
            self.recorder.record("probe answered", host=host, status=attempt.status)
            order.attempts.append(attempt)
            self._check_probe(order, attempt, since)

        order.name = f"probe{len(self.probes)}"
        order.is_alone = False
        body = json.dumps(operators.configuration(edition=order.edition, order_name=order.name)).encode()
        order.request = ("PUT", operators.PATH, order.request[2], body)
        self.probes.append((order, attempt))
        method, target, headers, body = order.request
        self.operators._caller.call(
            host=host,
            port=model_machines.CONTROL_PORT,
            method=method,
            target=target,
            headers=headers,
            body=body,
            limit_s=CLEAR_END_S,
            done=done,
        )

    def _check_probe(self, order, attempt, since: float) -> None:
        is_still_isolated = self.isolated_since.get(attempt.host) == since
        if not is_still_isolated or attempt.sent_at - since < ISOLATED_FOR_S:
            return
        machine = self.network.machines[attempt.host]
        process = machine.process
        if not process.is_alive or process.is_frozen or attempt.sent_at - process.begun_at < ISOLATED_FOR_S:
            return
        if not attempt.status:
            self.recorder.find(
                "cut off", f"{attempt.host} left an order without an end for {CLEAR_END_S} s, cut off since {since:.3f}"
            )
        if 400 <= attempt.status < 500:
            self.recorder.find("cut off", f"{attempt.host} answered {attempt.status}: {attempt.body[:80]!r}")

    def _check_applied(self, order) -> None:
        """A proxy without trouble has an acknowledged configuration within applyMs, if the core stays calm."""
        fault_edges = len(self.fault_edges)
        waiting = [host for host in self._proxies if self._is_calm_proxy(host)]
        processes = {host: self.network.machines[host].process for host in waiting}

        def look():
            if len(self.fault_edges) != fault_edges or self.clock.time - self.fault_edges[-1] < self.contact_s:
                return
            for host, process in processes.items():
                program = self.network.machines[host].proxy
                if program.process is process and self._is_calm_proxy(host) and program.edition < order.edition:
                    self.recorder.find(
                        "applied in time", f"{host} has edition {program.edition}, {order.edition} was acknowledged"
                    )

        self.clock.later(delay=self.bounds["applyMs"] / 1000, callback=look)

    def _is_calm_proxy(self, host: str) -> bool:
        process = self.network.machines[host].process
        if process is None or not process.is_alive or self.clock.time - process.begun_at < self.contact_s:
            return False
        return self.clock.time - self.proxy_fault_until.get(host, -self.contact_s) >= self.contact_s

    # The day.
    def run(self) -> Report:
        begun = time.process_time()
        self.build()
        self.operators.start()
        faults_until = FAULTS_FROM_S + self.span_s
        self.troubles.start(begin=FAULTS_FROM_S, until=faults_until)
        self.clock.run(until=faults_until)
        self.troubles.is_over = True
        self.operators.moments.clear()
        self._close()
        self.operators.moments.clear()
        healed_at = self.clock.time
        self.operators.is_stopped = True
        settled = healed_at + 2 * self.contact_s + self.catch_up_s
        self.clock.run(until=settled)
        self._check_core_set()
        last_reads = self._read_back()
        self._check(last_reads)
        return self._report(time.process_time() - begun)

    def _close(self) -> None:
        """At times a closing fault, at a moment that matters."""
        kind = self.clock.chance.choice(self.plan.closing) if self.plan.closing else ""
        if not kind:
            return

        def close():
            self._is_closed = True
            self.troubles.close(kind)

        self.at_moment(close)
        limit = self.clock.time + self.receipt_s + self.contact_s
        while not self._is_closed and self.clock.time < limit:
            self.clock.run(until=self.clock.time + 0.25)
        self.operators.is_stopped = True
        self.clock.run(until=self.clock.time + 4.0)

    def at_moment(self, callback) -> None:
        """Acts right after the next acknowledgement or read, or soon after the next order was sent."""
        chance = self.clock.chance
        kind = chance.choice((operators.ACKNOWLEDGED, operators.SENT, operators.READ))
        delay = chance.uniform(0.0, 0.25) if kind == operators.SENT else chance.choice((0.0, 0.0, 0.01, 0.3))
        self.operators.moments[kind] = lambda: self.clock.later(delay=delay, callback=callback)

    def _read_back(self) -> list:
        rows = []
        left = []
        for slot in self.slots:
            for what in ("configuration", "evacuation"):
                host = slot.machine.host
                left.append((host, what))

                def on_read(value, host=host, what=what):
                    left.remove((host, what))
                    rows.append((host, what, value))

                self.operators.read(what=what, then=on_read, most=8, host=host)
        self.clock.run(until=self.clock.time + 4.0)
        return rows + [(host, what, None) for host, what in left]

    def _check_core_set(self) -> None:
        checks.check_core_set(recorder=self.recorder, live=sorted(self.core_hosts()), wanted=2 * self.tolerated + 1)

    def _check(self, last_reads: list) -> None:
        recorder, orders = self.recorder, self.operators.orders
        probes = [order for order, _attempt in self.probes]
        checks.check_orders(recorder=recorder, orders=[*orders, *probes])
        checks.check_chain(recorder=recorder, orders=[*orders, *probes])
        checks.check_reads(recorder=recorder, orders=orders, reads=self.operators.reads)
        checks.check_acknowledgements(
            recorder=recorder,
            orders=orders,
            calm=self.calm(self.clock.time),
            receipt_s=self.receipt_s,
            until=self.clock.time,
        )
        checks.check_end(recorder=recorder, orders=orders, last_reads=last_reads)

    def _report(self, took_s: float) -> Report:
        return Report(
            plan=self.plan,
            findings=sorted(self.recorder.findings, key=lambda finding: finding.when),
            history=self.recorder.history,
            machines=self.size,
            tolerated=self.tolerated,
            orders=len(self.operators.orders),
            chosen=len(self.recorder.configurations),
            troubles=len(self.fault_edges) - 1,
            steps=self.clock.steps,
            most=dict(self.recorder.most),
            took_s=took_s,
        )


def quiet() -> None:
    """What nodes write out when something goes wrong is none of the report's."""
    log = logging.getLogger("ploverward")
    log.handlers[:] = [logging.NullHandler()]
    log.propagate = False


def run_simulation(plan: Plan) -> Report:
    quiet()
    return SimulationRun(plan=plan).run()

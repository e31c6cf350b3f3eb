"""Seeded simulation of roll-outs: the real coordinator, judge and routers on a simulated network.

A simulation has one replicated register (linearizable, as `ploverward.simulation.control_plane` checks the real one),
three core nodes of which one has the coordinator's role, proxies with traffic, and replicas of two versions, of which
the new one is good or bad. Faults partition, freeze and stop nodes. `RolloutSimulation` owns the world and the faults,
`ploverward.simulation.rollout_checks` the checks; `run_simulation(seed)` simulates thirty seconds.
"""

import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import state
from ploverward.data_plane.requests import attempts
from ploverward.simulation import rollout_checks
from ploverward.simulation import rollout_nodes
from ploverward.simulation import simulated_world

HEARTBEAT_INTERVAL_S = 0.4
END_AT_S = 30.0
TAKE_OVER_S = 1.5  # from the loss of a coordinator until another node takes the role
WARM_UP_S = 2.0  # warm-up time of replicas of the new version
REGISTER_RETRY_S = 0.3  # interval at which a node out of contact requests the value of the register again
REPLICAS = 24  # per version
CORES = ("k1", "k2", "k3")
BAD_KINDS = ("errors", "slow", "one_class", "late")
FAULT_KINDS = (
    "none",
    "cut_proxies",
    "freeze_proxies",
    "kill_proxies",
    "kill_holder",
    "cut_holder",
    "kill_all",
    "faulty_replica",
    "former_fails",
    "slow_all",
    "some_fail",
    "all_power",
)
SOME_FAIL_RATE = 0.08  # share of failed answers of all versions: causes doubt but does not condemn a version


class RolloutSimulation:
    """A simulation with its nodes, register and faults.

    Args:
        seed: Seed of the random generators; the same seed gives the same result.
        kind: "good" or one of `BAD_KINDS`; drawn if empty.
        fault_kinds: Kinds of `FAULT_KINDS`; one or two are drawn if None.
        skipped: Kinds whose random values are drawn as usual but which are not injected.
    """

    def __init__(
        self,
        *,
        seed: int,
        kind: str = "",
        fault_kinds: Iterable[str] | None = None,
        skipped: frozenset[str] = frozenset(),
    ) -> None:
        self._skipped = skipped
        self.chance = random.Random(seed)
        self.world = simulated_world.World(seed=seed)
        self.kind = kind or self.chance.choice(("good", *BAD_KINDS))
        if fault_kinds is None:
            fault_kinds = self.chance.sample(FAULT_KINDS, self.chance.randint(1, 2))
        self.report = rollout_checks.Report(seed=seed, kind=self.kind, fault_kinds=tuple(fault_kinds))
        self.over_s = self.chance.uniform(12.0, 18.0)
        self.checks = rollout_checks.RolloutChecks(report=self.report, now=self.world.now, over_s=self.over_s)
        self.bad_after_s = self.chance.uniform(2.0, 3.5)  # delay after which a "late" bad version turns bad
        admitted = state.Rollout(admitted=(rollout_nodes.FORMER,), step=1)
        self.payload: state.Payload = state.with_rollout(None, service=rollout_nodes.SERVICE, rollout=admitted)
        self.replicas = [_replica(rollout_nodes.FORMER, number) for number in range(REPLICAS)]
        self.listed_ids = {replica.id for replica in self.replicas}
        self.new_from = 0.0  # start time of the replicas of the new version
        self.cores = {name: rollout_nodes.Core(simulation=self, name=name) for name in CORES}
        self.coordinator = "k1"
        self.former_coordinator: str | None = None  # a node that has not yet detected the loss of the role
        self.is_slow = self.former_fails = self.some_fail = False
        per_s = self.chance.choice((40.0, 120.0, 200.0))
        count = self.chance.choice((12, 30, 60))
        self.proxies = [
            rollout_nodes.Proxy(simulation=self, name=f"p{number}", per_s=per_s / count * self.chance.uniform(0.3, 1.7))
            for number in range(count)
        ]

    # The interface for the nodes.

    def listed(self) -> list[dict[str, Any]]:
        """Returns the rows of the platform's list of replicas."""
        now = self.world.now()
        return [
            replica.row(is_warming_up=replica.edition == rollout_nodes.NEW and now < self.new_from + WARM_UP_S)
            for replica in self.replicas
            if replica.id in self.listed_ids and not replica.is_gone
        ]

    def holds_coordinator_role(self, core: rollout_nodes.Core) -> bool:
        """Returns whether the node has the coordinator's role, or wrongly takes itself for the coordinator."""
        return core.name in (self.coordinator, self.former_coordinator)

    def apply_edit(self, edit: orders.Edit) -> None:
        """Runs one round of the register: the value is chosen now, and each node receives it later."""
        chosen, _result = edit(self.payload)
        if chosen is self.payload:
            return
        self.payload = chosen
        row = state.rollouts_of(chosen).get(rollout_nodes.SERVICE, state.Rollout())
        if self.checks.note_stage(row):
            self.checks.record(f"{row.stage}: {row.reason or 'ordered'}{_counts(row)}")
            if row.stage == state.Stage.DELIVERED:
                self._stop_former_replicas()
        for core in self.cores.values():
            self._notify_core(core, chosen)
        for proxy in self.proxies:
            self._notify_proxy(proxy, chosen)

    def _notify_core(self, core: rollout_nodes.Core, chosen: state.Payload) -> None:
        def notify() -> None:
            if core.is_partitioned:
                self.world.later(REGISTER_RETRY_S, notify)
            elif core.is_up and chosen is self.payload:
                core.rollout_manager.install(chosen)

        self.world.later(self.chance.uniform(0.0, 0.1), notify)

    def _notify_proxy(self, proxy: rollout_nodes.Proxy, chosen: state.Payload) -> None:
        incarnation = proxy.incarnation

        def notify() -> None:
            if proxy.incarnation != incarnation or chosen is not self.payload:
                return
            if proxy.is_in_contact:
                proxy.install(chosen)
            else:
                self.world.later(REGISTER_RETRY_S, notify)

        self.world.later(self.chance.uniform(0.02, 0.8), notify)

    def make_attempt(self, replica: rollout_nodes.Replica, route: str) -> rollout_nodes.SimulatedAttempt:
        """Returns an attempt that starts now, with the answer that it will receive."""
        now = self.world.now()
        is_bad = self._is_bad(replica, route, now)
        is_failed = self._is_failed(replica, is_bad=is_bad)
        first_s = 0.05 + self.chance.expovariate(1 / 0.03)
        decode_s = self.chance.expovariate(1 / 0.8)
        if self.is_slow:
            first_s, decode_s = first_s * 4, decode_s * 3
        if is_bad and self.kind == "slow":
            first_s, decode_s = first_s * 8, decode_s * 8
        if is_failed:
            first_s, decode_s = 0.02, 0.0
        return rollout_nodes.SimulatedAttempt(
            replica=replica,
            response_class=attempts.ResponseClass.FAILURE if is_failed else attempts.ResponseClass.SUCCESS,
            status=500 if is_failed else 200,
            is_bad=is_bad,
            sent_at=now,
            first_event_at=now + first_s,
            last_event_at=now + first_s + decode_s,
            event_count=1 if is_failed else 10,
        )

    def _is_failed(self, replica: rollout_nodes.Replica, *, is_bad: bool) -> bool:
        is_failed = is_bad and self.kind != "slow"
        if replica.is_faulty:
            is_failed = is_failed or self.chance.random() < 0.5
        if self.former_fails:
            is_failed = is_failed or self.chance.random() < 0.15
        if self.some_fail:
            is_failed = is_failed or self.chance.random() < SOME_FAIL_RATE
        return is_failed

    def _is_bad(self, replica: rollout_nodes.Replica, route: str, now: float) -> bool:
        """Draws whether an answer shows the defect of a bad version; half of the answers concerned do."""
        if self.kind == "good" or replica.edition != rollout_nodes.NEW or self.chance.random() >= 0.5:
            return False
        if self.kind == "one_class":
            return route == rollout_nodes.ROUTES[0]
        return self.kind != "late" or now >= self.new_from + self.bad_after_s

    def _stop_former_replicas(self) -> None:
        self.checks.note_delivered(self.proxies)
        for replica in self.replicas:
            replica.is_gone = replica.is_gone or replica.edition == rollout_nodes.FORMER

    # Faults.

    def _schedule_fault(self, name: str) -> None:
        chance = self.chance
        at_s = chance.uniform(rollout_checks.ORDER_AT_S - 1.0, rollout_checks.ORDER_AT_S + self.over_s)
        for_s = chance.uniform(1.0, 7.0)
        some = [proxy for proxy in self.proxies if chance.random() < 0.3]
        actions: dict[str, Callable[[], None]] = {
            "none": lambda: None,
            "cut_proxies": lambda: self._partition(some, for_s),
            "freeze_proxies": lambda: self._freeze(some, for_s),
            "kill_proxies": lambda: self._restart(some),
            "kill_holder": lambda: self._restart_core(self.cores[self.coordinator], 1.0),
            "cut_holder": lambda: self._partition_coordinator(for_s),
            "kill_all": self._restart_all_cores,
            "all_power": self._lose_all_power,
            "faulty_replica": lambda: self._make_faulty(for_s),
            "former_fails": lambda: self._set_for("former_fails", for_s),
            "slow_all": lambda: self._set_for("is_slow", for_s),
            "some_fail": lambda: self._set_for("some_fail", END_AT_S),
        }

        def begin() -> None:
            self.checks.record(f"== {name}, {for_s:.2f} s where it has a length")
            actions[name]()

        if name not in self._skipped:
            self.world.later(at_s, begin)

    def _set_for(self, name: str, for_s: float) -> None:
        setattr(self, name, True)
        self.world.later(for_s, lambda: setattr(self, name, False))

    def _make_faulty(self, for_s: float) -> None:
        new = [replica for replica in self.replicas if replica.edition == rollout_nodes.NEW] or self.replicas
        replica = self.chance.choice(new)
        replica.is_faulty = True
        self.world.later(for_s, lambda: setattr(replica, "is_faulty", False))

    def _partition(self, proxies: Iterable[rollout_nodes.Proxy], for_s: float) -> None:
        for proxy in proxies:
            proxy.is_partitioned = True
            self.world.later(for_s, lambda proxy=proxy: setattr(proxy, "is_partitioned", False))

    def _freeze(self, proxies: Iterable[rollout_nodes.Proxy], for_s: float) -> None:
        for proxy in proxies:
            proxy.frozen_until = self.world.now() + for_s

    def _restart(self, proxies: Iterable[rollout_nodes.Proxy]) -> None:
        for proxy in proxies:
            proxy.start()

    def _restart_core(self, core: rollout_nodes.Core, down_s: float) -> None:
        core.is_up = False
        core.rollout_manager.deactivate()

        def start() -> None:
            core.start()
            core.is_partitioned = False

        self.world.later(down_s, start)
        self.world.later(TAKE_OVER_S, self._take_over)

    def _restart_all_cores(self) -> None:
        for core in self.cores.values():
            self._restart_core(core, 0.8)

    def _lose_all_power(self) -> None:
        """Restarts all machines at once, so that no proxy keeps the counts or the age of the order."""
        self._restart_all_cores()
        self._restart(self.proxies)

    def _partition_coordinator(self, for_s: float) -> None:
        """Partitions the coordinator: it stays active until its contact expires, while another node takes the role."""
        core = self.cores[self.coordinator]
        core.is_partitioned = True
        self.former_coordinator = core.name
        self.world.later(for_s, lambda: setattr(core, "is_partitioned", False))
        self.world.later(min(for_s, TAKE_OVER_S), self._take_over)
        self.world.later(for_s + 0.5, lambda: setattr(self, "former_coordinator", None))

    def _take_over(self) -> None:
        others = [
            name
            for name, core in self.cores.items()
            if name != self.coordinator and core.is_up and not core.is_partitioned
        ]
        if others:
            self.coordinator = others[0]

    # Running the simulation.

    def _submit_order(self) -> None:
        order = orders.Order(service=rollout_nodes.SERVICE, target=rollout_nodes.NEW, over_s=self.over_s)
        self.apply_edit(orders.edit_for(order=order, is_late=lambda: False))

    def _start_new_replicas(self) -> None:
        self.new_from = self.world.now()
        new = [_replica(rollout_nodes.NEW, number) for number in range(REPLICAS)]
        self.replicas += new
        listed_after_s = self.chance.uniform(0.0, 1.0)
        self.world.later(listed_after_s, lambda: self.listed_ids.update(replica.id for replica in new))

    def _repeat(self, callback: Callable[[], None]) -> None:
        """Calls back at each heartbeat interval, starting at a random phase."""

        def tick() -> None:
            callback()
            self.world.later(HEARTBEAT_INTERVAL_S, tick)

        self.world.later(self.chance.uniform(0.0, HEARTBEAT_INTERVAL_S), tick)

    def _arrive(self, proxy: rollout_nodes.Proxy) -> None:
        """Sends one request at a proxy and schedules the next one."""
        proxy.request()
        self.world.later(self.chance.expovariate(proxy.per_s), lambda: self._arrive(proxy))

    def run_simulation(self) -> rollout_checks.Report:
        """Runs the simulation to its end and returns the report."""
        for core in self.cores.values():
            self._repeat(core.run_heartbeat)
        for proxy in self.proxies:
            self._repeat(proxy.send_report)
            self.world.later(self.chance.expovariate(proxy.per_s), lambda proxy=proxy: self._arrive(proxy))
        self.world.later(rollout_checks.ORDER_AT_S, self._submit_order)
        # The platform's list may contain the new version before the order is submitted.
        self.world.later(rollout_checks.ORDER_AT_S + self.chance.uniform(-1.0, 0.5), self._start_new_replicas)
        term_end_s = rollout_checks.ORDER_AT_S + self.over_s
        self.world.later(term_end_s + rollout_checks.MAX_OVERTIME_S, self.checks.check_term)
        for name in self.report.fault_kinds:
            self._schedule_fault(name)
        self.world.run(until=END_AT_S)
        self.checks.check_exposure()
        self.report.stage = str(state.rollouts_of(self.payload)[rollout_nodes.SERVICE].stage)
        return self.report


def _replica(version: str, number: int) -> rollout_nodes.Replica:
    zones = tuple(rollout_nodes.ZONES)
    return rollout_nodes.Replica(name=f"{version}-{number}", zone=zones[number % len(zones)], edition=version)


def _counts(row: state.Rollout) -> str:
    """Returns the request counts that the coordinator recorded with the newest transition, as text."""
    if not row.record:
        return ""
    newest = row.record[-1]
    return f" ({newest['sent']} sent, {newest['sent_new']} of them to the new version)"


def run_simulation(
    seed: int,
    *,
    kind: str = "",
    fault_kinds: Iterable[str] | None = None,
    skipped: frozenset[str] = frozenset(),
) -> rollout_checks.Report:
    """Runs one simulation and returns its report; the arguments are those of `RolloutSimulation`."""
    return RolloutSimulation(seed=seed, kind=kind, fault_kinds=fault_kinds, skipped=skipped).run_simulation()

"""A model of roll-outs: the real holder, judge and proxies' side on a simulated network, with versions good and bad.

One replicated register (linearizable, as `ploverward.simulation.control_plane` checks the real one), three core nodes of which one holds the
duty, proxies with traffic, replicas of two versions. Troubles cut, freeze and kill nodes. `play(seed)` is one day.
"""

import dataclasses
import random
import types

from ploverward.control_plane.rollouts import manager
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import planner
from ploverward.control_plane.rollouts import state
from ploverward.data_plane.requests import attempts
from ploverward.simulation import rollout_nodes
from ploverward.simulation import simulated_world

HEARTBEAT_INTERVAL_S = 0.4
ORDER_AT = 2.0
END_AT = 30.0
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
)
CORES = ("k1", "k2", "k3")
ALLOWED_STAGES = dict(state.NEXT_STAGES)  # as they should be, whatever is planted
BAD_ANSWERS = 50
TAKE_OVER_S = 1.5


@dataclasses.dataclass(frozen=True)
class Finding:
    """A check that a day broke."""

    check: str
    when: float
    text: str


@dataclasses.dataclass
class Report:
    """What came of one day."""

    seed: int
    kind: str  # "good", or how the version is bad
    fault_kinds: tuple
    stage: str = ""
    ended_s: float = 0.0  # the age of the order at its end
    sent: int = 0
    sent_new: int = 0
    findings: list = dataclasses.field(default_factory=list)


class RolloutSimulation:
    """One day, with all its nodes."""

    def __init__(self, *, seed: int, kind: str = "", fault_kinds: tuple | None = None):
        self.chance = random.Random(seed)
        self.world = simulated_world.World(seed=seed)
        self.kind = kind or self.chance.choice(("good", *BAD_KINDS))
        self.fault_kinds = (
            tuple(self.chance.sample(FAULT_KINDS, self.chance.randint(1, 2)))
            if fault_kinds is None
            else tuple(fault_kinds)
        )
        self.report = Report(seed=seed, kind=self.kind, fault_kinds=self.fault_kinds)
        self.over_s = self.chance.uniform(12.0, 18.0)
        self.late_s = self.chance.uniform(2.0, 3.5)
        admitted = state.Rollout(admitted=(rollout_nodes.FORMER,), step=1)
        self.payload = state.with_rollout(None, service=rollout_nodes.SERVICE, rollout=admitted)
        self.stages = []
        self.replicas = [self._replica(rollout_nodes.FORMER, number) for number in range(24)]
        self.seen_rows = {one.id for one in self.replicas}
        self.new_from = None
        self.unserved = 0
        self.sends = []  # (when, is new, is in touch)
        self.bad_answers = []
        self.cores = {name: rollout_nodes.Core(simulation=self, name=name) for name in CORES}
        self.coordinator = "k1"
        self.coordinator_lost_at = None
        self.is_slow = self.former_fails = False
        per_s = self.chance.choice((40.0, 120.0, 200.0))
        count = self.chance.choice((12, 30, 60))
        self.proxies = [
            rollout_nodes.Proxy(simulation=self, name=f"p{number}", per_s=per_s / count * self.chance.uniform(0.3, 1.7))
            for number in range(count)
        ]

    def _replica(self, edition: str, number: int) -> rollout_nodes.Replica:
        zones = tuple(rollout_nodes.ZONES)
        return rollout_nodes.Replica(name=f"{edition}-{number}", zone=zones[number % len(zones)], edition=edition)

    # The world.
    def listed(self) -> list:
        now = self.world.now()
        return [
            one.row(cold=one.edition == rollout_nodes.NEW and now < self.new_from + 2.0)
            for one in self.replicas
            if one.id in self.seen_rows and not one.is_gone
        ]

    def edit(self, edit) -> None:
        """One round of the register: the value is chosen now, and comes to each node later."""
        chosen, said = edit(self.payload)
        if chosen is self.payload:
            return
        self.payload = chosen
        row = state.rollouts_of(chosen).get(rollout_nodes.SERVICE, state.Rollout())
        self._note_stage(row)
        for core in self.cores.values():
            self._notify_core(core, chosen)
        for proxy in self.proxies:
            self._notify_proxy(proxy, chosen)

    def _notify_core(self, core: rollout_nodes.Core, chosen) -> None:
        def notify():
            if core.is_partitioned:
                self.world.later(0.3, notify)
            elif core.is_up and chosen is self.payload:
                core.rollout_manager.install(chosen)

        self.world.later(self.chance.uniform(0.0, 0.1), notify)

    def _notify_proxy(self, proxy: rollout_nodes.Proxy, chosen) -> None:
        incarnation = proxy.incarnation

        def notify():
            if proxy.incarnation != incarnation or chosen is not self.payload:
                return
            if proxy.is_in_touch:
                proxy.install(chosen)
            else:
                self.world.later(0.3, notify)

        self.world.later(self.chance.uniform(0.02, 0.8), notify)

    def holds_coordinator_role(self, core: rollout_nodes.Core) -> bool:
        return self.coordinator == core.name or core.name == getattr(self, "former_coordinator", None)

    def attempt(self, replica: rollout_nodes.Replica, route: str):
        now = self.world.now()
        is_bad = self._is_bad(replica, route, now)
        failed = is_bad and self.kind != "slow"
        if replica.is_faulty:
            failed = failed or self.chance.random() < 0.5
        if self.former_fails:
            failed = failed or self.chance.random() < 0.15
        first_s = 0.05 + self.chance.expovariate(1 / 0.03)
        rest_s = self.chance.expovariate(1 / 0.8)
        if self.is_slow:
            first_s, rest_s = first_s * 4, rest_s * 3
        if is_bad and self.kind == "slow":
            first_s, rest_s = first_s * 8, rest_s * 8
        if failed:
            first_s, rest_s = 0.02, 0.0
        pieces = 1 if failed else 10
        return types.SimpleNamespace(
            replica=replica,
            connection=types.SimpleNamespace(is_unsent=False),
            meaning=attempts.Meaning.FAILURE if failed else attempts.Meaning.SUCCESS,
            status=500 if failed else 200,
            is_complete=True,
            is_bad=is_bad,
            arrival=None,
            sent_at=now,
            first_at=now + first_s,
            last_at=now + first_s + rest_s,
            pieces=pieces,
        )

    def _is_bad(self, replica: rollout_nodes.Replica, route: str, now: float) -> bool:
        if self.kind == "good" or replica.edition != rollout_nodes.NEW or self.chance.random() >= 0.5:
            return False
        if self.kind == "one_class":
            return route == rollout_nodes.ROUTES[0]
        return self.kind != "late" or now >= self.new_from + self.late_s

    # Checks.
    def _find(self, check: str, text: str) -> None:
        self.report.findings.append(Finding(check=check, when=round(self.world.now(), 3), text=text))

    def _note_stage(self, row: state.Rollout) -> None:
        if not row.number or (self.stages and self.stages[-1] == row.stage):
            return
        known = self.stages[-1] if self.stages else None
        if known is not None and row.stage not in ALLOWED_STAGES.get(known, ()):
            self._find("stage", f"{row.stage} after {known}")
        self.stages.append(row.stage)
        if row.stage in state.FINAL_STAGES:
            self.report.ended_s = self.world.now() - ORDER_AT
        if row.stage == state.Stage.DELIVERED:
            self._deliver()

    def _deliver(self) -> None:
        """The former replicas stop at once."""
        is_forced = self.world.now() - ORDER_AT >= planner.DELIVERY_WITHOUT_SILENT * self.over_s
        running = sum(proxy.running[rollout_nodes.FORMER] for proxy in self.proxies if proxy.is_in_touch)
        if running and not is_forced and not self._had_losses():
            self._find("delivered", f"{running} attempts run at the former version")
        for replica in self.replicas:
            replica.is_gone = replica.is_gone or replica.edition == rollout_nodes.FORMER

    def _had_losses(self) -> bool:
        return bool({"cut_proxies", "freeze_proxies", "kill_proxies", "kill_all"} & set(self.fault_kinds))

    def note_send(self, proxy: rollout_nodes.Proxy, replica: rollout_nodes.Replica) -> None:
        now = self.world.now()
        is_new = replica.edition == rollout_nodes.NEW
        if is_new and not self.stages:
            self._find("admitted", "a request to a version that nobody let in")
        self._check_lease(proxy, is_new, now)
        is_in_touch = proxy.is_in_touch
        self.sends.append((now, is_new, is_in_touch))
        if is_new and is_in_touch and self.kind != "good" and len(self.bad_answers) >= BAD_ANSWERS:
            if now > self.bad_answers[BAD_ANSWERS - 1] + rollout_nodes.ROLLBACK_S:
                self._find("rollback", f"{now - self.bad_answers[BAD_ANSWERS - 1]:.2f} s after the bad answers")

    def _check_lease(self, proxy: rollout_nodes.Proxy, is_new: bool, now: float) -> None:
        """Before all are to go there, a request to the new version wants a lease that was asked for lately."""
        is_leased = self.stages and self.stages[-1] in (state.Stage.CANARY, state.Stage.PROMOTING, state.Stage.RETURNED)
        if is_new and is_leased and now - proxy.answered_at > rollout_nodes.ROLLBACK_S * manager.LEASE_SHARE + 0.01:
            if state.Stage.DRAINING not in self.stages:
                self._find("lease", f"{now - proxy.answered_at:.2f} s after its last lease was asked for")

    def note_answered(self, core: rollout_nodes.Core) -> None:
        """A core node hands out leases: it must be in contact, or have been so a moment ago."""
        if self.world.now() > core.contact_until + rollout_nodes.CONTACT_S / 5:
            self._find("holder", f"{core.name} hands out leases without contact")

    def note_answer(self, replica: rollout_nodes.Replica, attempt) -> None:
        if replica.edition == rollout_nodes.NEW and attempt.is_bad:
            self.bad_answers.append(self.world.now())

    def _check_exposure(self) -> None:
        term = ORDER_AT + self.over_s
        during = [row for row in self.sends if ORDER_AT <= row[0] <= term]
        self.report.sent = len(during)
        self.report.sent_new = sum(is_new for _when, is_new, is_in_touch in during if is_in_touch)
        allowed = rollout_nodes.EXPOSURE.share * len(during) + rollout_nodes.EXPOSURE.slack
        if self.kind != "good" and self.report.sent_new > allowed:
            self._find("exposure", f"{self.report.sent_new} of {len(during)}, {allowed:.0f} allowed")

    # Troubles.
    def _inject_fault(self, name: str) -> None:
        chance = self.chance
        when = chance.uniform(ORDER_AT - 1.0, ORDER_AT + self.over_s)
        for_s = chance.uniform(1.0, 7.0)
        some = [proxy for proxy in self.proxies if chance.random() < 0.3]
        acts = {
            "cut_proxies": lambda: self._partition(some, for_s),
            "freeze_proxies": lambda: self._freeze(some, for_s),
            "kill_proxies": lambda: [proxy.start() for proxy in some],
            "kill_holder": lambda: self._kill(self.cores[self.coordinator], 1.0),
            "cut_holder": lambda: self._partition_lease_holder(for_s),
            "kill_all": lambda: [self._kill(core, 0.8) for core in self.cores.values()],
            "faulty_replica": lambda: self._make_faulty(for_s),
            "former_fails": lambda: self._set("former_fails", for_s),
            "slow_all": lambda: self._set("is_slow", for_s),
            "none": lambda: None,
        }
        self.world.later(when, acts[name])

    def _set(self, name: str, for_s: float) -> None:
        setattr(self, name, True)
        self.world.later(for_s, lambda: setattr(self, name, False))

    def _make_faulty(self, for_s: float) -> None:
        fresh = [one for one in self.replicas if one.edition == rollout_nodes.NEW] or self.replicas
        replica = self.chance.choice(fresh)
        replica.is_faulty = True
        self.world.later(for_s, lambda: setattr(replica, "is_faulty", False))

    def _partition(self, proxies: list, for_s: float) -> None:
        for proxy in proxies:
            proxy.is_partitioned = True
            self.world.later(for_s, lambda proxy=proxy: setattr(proxy, "is_partitioned", False))

    def _freeze(self, proxies: list, for_s: float) -> None:
        for proxy in proxies:
            proxy.frozen_until = self.world.now() + for_s

    def _kill(self, core: rollout_nodes.Core, down_s: float) -> None:
        core.is_up = False
        core.rollout_manager.deactivate()

        def back():
            core.start()
            core.is_partitioned = False

        self.world.later(down_s, back)
        self.world.later(TAKE_OVER_S, self._take_over)

    def _partition_lease_holder(self, for_s: float) -> None:
        """It goes on until its contact runs out; another one takes the duty before it knows."""
        core = self.cores[self.coordinator]
        core.is_partitioned = True
        self.former_coordinator = core.name
        self.world.later(for_s, lambda: setattr(core, "is_partitioned", False))
        self.world.later(min(for_s, TAKE_OVER_S), self._take_over)
        self.world.later(for_s + 0.5, lambda: setattr(self, "former_coordinator", None))

    def _take_over(self) -> None:
        others = [
            name
            for name in CORES
            if name != self.coordinator and self.cores[name].is_up and not self.cores[name].is_partitioned
        ]
        if others:
            self.coordinator = others[0]

    # The day.
    def _order(self) -> None:
        order = orders.Order(service=rollout_nodes.SERVICE, target=rollout_nodes.NEW, over_s=self.over_s)
        self.edit(orders.edit_for(order=order, is_late=lambda: False))

    def _start_new(self) -> None:
        self.new_from = self.world.now()
        fresh = [self._replica(rollout_nodes.NEW, number) for number in range(24)]
        self.replicas += fresh
        self.world.later(self.chance.uniform(0.0, 1.0), lambda: self.seen_rows.update(one.id for one in fresh))

    def _repeat(self, interval_s: float, callback) -> None:
        def again():
            callback()
            self.world.later(interval_s, again)

        self.world.later(self.chance.uniform(0.0, interval_s), again)

    def _arrive(self, proxy: rollout_nodes.Proxy) -> None:
        proxy.request()
        self.world.later(self.chance.expovariate(proxy.per_s), lambda: self._arrive(proxy))

    def run_simulation(self) -> Report:
        for core in self.cores.values():
            self._repeat(HEARTBEAT_INTERVAL_S, core.send_heartbeats)
        for proxy in self.proxies:
            self._repeat(HEARTBEAT_INTERVAL_S, proxy.send_heartbeats)
            self.world.later(self.chance.expovariate(proxy.per_s), lambda proxy=proxy: self._arrive(proxy))
        self.world.later(ORDER_AT, self._order)
        self.world.later(
            ORDER_AT + self.chance.uniform(-1.0, 0.5), self._start_new
        )  # the list may be ahead of the order
        for name in self.fault_kinds:
            self._inject_fault(name)
        self.world.run(until=END_AT)
        self._check_exposure()
        row = state.rollouts_of(self.payload)[rollout_nodes.SERVICE]
        self.report.stage = str(row.stage)
        return self.report


def run_simulation(seed: int, *, kind: str = "", fault_kinds: tuple | None = None) -> Report:
    """One day of the model."""
    return RolloutSimulation(seed=seed, kind=kind, fault_kinds=fault_kinds).run_simulation()

"""A model of quotas: the real meters of core nodes and the real allowances of proxies on a simulated network.

Every admission is counted by itself, in sliding windows, over all proxies, in touch or not. `play(seed)` is one day.
"""

import collections
import dataclasses
import random

from ploverward.common import tenant_usage
from ploverward.control_plane.quotas import quota_meter
from ploverward.control_plane.quotas import token_bucket
from ploverward.data_plane.quotas import quota_allowance as quota_allowances
from ploverward.simulation import simulated_world

HEARTBEAT_INTERVAL_S = 0.4
LEASE_S = 0.9
TOLERANCE = token_bucket.QuotaTolerance(window_s=5.0, excess=0.1, slack=20.0)
START_AT = 12.0  # of traffic: by then the buckets are full
END_AT = 44.0
USUAL_PART = 1 / 1.6  # of a tenant's limit, that it asks for on ordinary days
CORES = 5
RESTART_S = 0.6  # from a kill of all processes to the first that takes requests
FAULT_KINDS = (
    "none",
    "hot",
    "cut_some",
    "cut_region",
    "freeze",
    "restart_some",
    "restart_cores",
    "restart_core",
    "restart_all",
    "lower",
)


@dataclasses.dataclass
class Report:
    """What came of one day. `over`: (tenant, requests in the worst window beyond the bound); `worst`: of its error used."""

    seed: int
    fault_kinds: tuple
    over: list = dataclasses.field(default_factory=list)
    worst: float = 0.0
    asked: int = 0
    refused: int = 0
    refused_below: int = 0  # although the tenant asked less than its limit


class Core:
    def __init__(self, *, simulation, name: str):
        self.simulation = simulation
        self.name = name
        self.start()

    def start(self) -> None:
        self.meter = quota_meter.QuotaMeter(
            now=self.simulation.world.now, tolerance=TOLERANCE, owned_share=lambda: 1.0 / CORES
        )
        self.meter.install(self.simulation.body)


class Proxy:
    def __init__(self, *, simulation, name: str):
        self.simulation = simulation
        self.name = name
        self.is_partitioned = False
        self.frozen_until = 0.0
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.quota_allowance = quota_allowances.QuotaAllowance(now=self.simulation.world.now, lease_s=LEASE_S)
        self.quota_allowance.install(self.simulation.body)

    def send_heartbeats(self) -> None:
        simulation = self.simulation
        if simulation.world.now() < self.frozen_until:
            return
        asked_at, quota_allowance, incarnation = simulation.world.now(), self.quota_allowance, str(self.incarnation)
        if not self.is_partitioned:
            for core in simulation.cores:
                data = quota_allowance.report(core=core.name)
                simulation.world.later(
                    simulation.chance.uniform(0.001, 0.08),
                    self._send_quota_status(core, quota_allowance, incarnation, data, asked_at),
                )
        quota_allowance.end_report()

    def _send_quota_status(self, core: Core, quota_allowance, incarnation: str, data: bytes, asked_at: float):
        def deliver():
            if self.is_partitioned or incarnation != str(self.incarnation):
                return
            core.meter.record(proxy=self.name, incarnation=incarnation, rows=tenant_usage.unpack_usage(data))
            credits = core.meter.credits(proxy=self.name)
            proxies = core.meter.proxy_count()
            self.simulation.world.later(self.simulation.chance.uniform(0.001, 0.08), lambda: answered(credits, proxies))

        def answered(credits, proxies):
            if not self.is_partitioned and quota_allowance is self.quota_allowance:
                quota_allowance.record(core=core.name, asked_at=asked_at, proxy_count=proxies, credits=credits)

        return deliver


class QuotaSimulation:
    def __init__(self, *, seed: int, fault_kinds: tuple | None = None, proxies: int = 0):
        self.chance = chance = random.Random(seed)
        self.world = simulated_world.World(seed=seed)
        self.fault_kinds = tuple(chance.sample(FAULT_KINDS, 2)) if fault_kinds is None else tuple(fault_kinds)
        self.report = Report(seed=seed, fault_kinds=self.fault_kinds)
        rates = [chance.uniform(20, 40), *(chance.uniform(0.5, 8.0) for _index in range(9))]
        self.limits = {f"t{number}": rate for number, rate in enumerate(rates)}
        self.body = {
            "senders": [{"name": name, "perS": rate, "burst": round(rate)} for name, rate in self.limits.items()]
        }
        self.times = 1.0  # of its usual, that the first tenant asks for
        self.admitted = collections.defaultdict(list)  # tenant: times
        self.asked = collections.defaultdict(list)
        self.lowered_at = None
        self.cores = [Core(simulation=self, name=f"k{number}") for number in range(CORES)]
        count = proxies or chance.choice((12, 60, 120))
        self.proxies = [Proxy(simulation=self, name=f"p{number}") for number in range(count)]
        # A tenant's clients sit on some proxies more than on others.
        self.weights = {name: [chance.expovariate(1.0) for _proxy in self.proxies] for name in self.limits}

    def _arrive(self, name: str) -> None:
        proxy = self.chance.choices(self.proxies, self.weights[name])[0]
        now = self.world.now()
        if now >= proxy.frozen_until:
            self.asked[name].append(now)
            self.report.asked += 1
            if proxy.quota_allowance.admit(tenant_usage.tenant_key(name)):
                self.admitted[name].append(now)
            else:
                self.report.refused += 1
                self.report.refused_below += self._is_below(name, now)
        times = self.times if name == "t0" else 1.0
        rate = self.limits[name] * USUAL_PART * times
        self.world.later(self.chance.expovariate(rate), lambda: self._arrive(name))

    def _is_below(self, name: str, now: float) -> bool:
        """Whether the tenant has asked for no more than its limit over the window that ends now."""
        recent = sum(1 for when in self.asked[name][-500:] if when > now - TOLERANCE.window_s)
        return recent <= self.limits[name] * TOLERANCE.window_s + round(self.limits[name])

    # Troubles.
    def _inject_fault(self, name: str) -> None:
        chance = self.chance
        some = [proxy for proxy in self.proxies if chance.random() < (1 / 3 if name == "cut_region" else 0.15)]
        for_s = chance.uniform(2.0, 8.0)
        acts = {
            "none": lambda: None,
            "hot": lambda: self._heat(chance.uniform(3.0, 8.0), for_s),
            "cut_some": lambda: self._partition(some, for_s),
            "cut_region": lambda: self._partition(some, for_s),
            "freeze": lambda: self._freeze(some, for_s),
            "restart_some": lambda: [proxy.start() for proxy in some],
            "restart_cores": lambda: [core.start() for core in self.cores[: CORES // 2]],
            "restart_core": lambda: [core.start() for core in self.cores],
            "restart_all": self._restart_all,
            "lower": self._lower,
        }
        self.world.later(chance.uniform(START_AT + 4.0, START_AT + 16.0), acts[name])

    def _restart_all(self) -> None:
        """All processes are killed, and come back together."""
        for node in (*self.cores, *self.proxies):
            node.start()
        self._freeze(self.proxies, RESTART_S)

    def _freeze(self, proxies: list, for_s: float) -> None:
        for proxy in proxies:
            proxy.frozen_until = self.world.now() + for_s

    def _heat(self, times: float, for_s: float) -> None:
        self.times = times
        self.world.later(for_s, lambda: setattr(self, "times", 1.0))

    def _partition(self, proxies: list, for_s: float) -> None:
        for proxy in proxies:
            proxy.is_partitioned = True
            self.world.later(for_s, lambda proxy=proxy: setattr(proxy, "is_partitioned", False))

    def _lower(self) -> None:
        self.body = {"senders": [{**row, "perS": row["perS"] * 0.3} for row in self.body["senders"]]}
        for node in self.cores:
            self.world.later(self.chance.uniform(0.0, 0.3), lambda node=node: node.meter.install(self.body))
        for proxy in self.proxies:
            self.world.later(
                self.chance.uniform(0.0, 0.8), lambda proxy=proxy: proxy.quota_allowance.install(self.body)
            )
        self.lowered_at = self.world.now() + 4.0  # applyMs

    # The check.
    def _worst_window(self, times: list, window_s: float) -> int:
        worst, first = 0, 0
        for index, when in enumerate(times):
            while times[first] <= when - window_s:
                first += 1
            worst = max(worst, index - first + 1)
        return worst

    def _check(self) -> None:
        for name, rate in self.limits.items():
            spans = [(self.admitted[name], rate)]
            if self.lowered_at is not None:
                after = [when for when in self.admitted[name] if when >= self.lowered_at]
                spans = [([when for when in self.admitted[name] if when < self.lowered_at], rate), (after, rate * 0.3)]
            for times, per_s in spans:
                limit = tenant_usage.Limit(per_s=per_s, burst=round(rate))
                base = per_s * TOLERANCE.window_s + limit.burst
                found = self._worst_window(times, TOLERANCE.window_s)
                self.report.worst = max(self.report.worst, (found - base) / TOLERANCE.allowed_overrun(limit))
                if found > base + TOLERANCE.allowed_overrun(limit):
                    self.report.over.append((name, round(found - base - TOLERANCE.allowed_overrun(limit), 1)))

    def run_simulation(self) -> Report:
        for proxy in self.proxies:
            self._repeat(proxy)
        for name, rate in self.limits.items():
            self.world.later(START_AT + self.chance.expovariate(rate), lambda name=name: self._arrive(name))
        for name in self.fault_kinds:
            self._inject_fault(name)
        self.world.run(until=END_AT)
        self._check()
        return self.report

    def _repeat(self, proxy: Proxy) -> None:
        def again():
            proxy.send_heartbeats()
            self.world.later(HEARTBEAT_INTERVAL_S, again)

        self.world.later(self.chance.uniform(0.0, HEARTBEAT_INTERVAL_S), again)


def run_simulation(seed: int, *, fault_kinds: tuple | None = None, proxies: int = 0) -> Report:
    """One day of the model."""
    return QuotaSimulation(seed=seed, fault_kinds=fault_kinds, proxies=proxies).run_simulation()

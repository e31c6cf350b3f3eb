"""Seeded simulation of quotas: the real meters of core nodes and allowances of proxies on a simulated network.

The check counts each single admission in sliding windows over all proxies, in contact or isolated (docs/quotas.md 1).
`QuotaSimulation` owns the nodes, the traffic of ten tenants and the faults; `run_simulation(seed)` simulates
44 seconds.
"""

import collections
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from ploverward.common import tenant_usage
from ploverward.control_plane.quotas import quota_meter
from ploverward.control_plane.quotas import token_bucket
from ploverward.data_plane.quotas import quota_allowance
from ploverward.simulation import simulated_world

HEARTBEAT_INTERVAL_S = 0.4
LEASE_S = 0.9
TOLERANCE = token_bucket.QuotaTolerance(window_s=5.0, excess=0.1, slack=20.0)
START_AT_S = 12.0  # start of the traffic; the buckets are full by then
END_AT_S = 44.0
FIRST_FAULT_S, LAST_FAULT_S = START_AT_S + 4.0, START_AT_S + 16.0
USUAL_LIMIT_SHARE = 1 / 1.6  # request rate of a tenant without faults, as a share of its limit
CORES = 5
RESTART_S = 0.6  # from the end of all processes until they accept requests again
APPLY_S = 4.0  # setting applyMs: time until a changed configuration must be in force
LOWERED_LIMIT_SHARE = 0.3  # lowered limit, as a share of the original one
RECENT_REQUESTS = 500  # newest requests of a tenant that are searched for those of one window
DELAY_S = (0.001, 0.08)  # shortest and longest delay of a message
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
    "disks_lost_all_power",
    "lower",
)
DISKS_LOST = 2  # core nodes that lose their disk in the fault "disks_lost_all_power"
WIPED_RESTART_S = 1.5  # time until a core node whose disk was lost is back


@dataclasses.dataclass(frozen=True)
class Overrun:
    """A tenant that exceeded its bound.

    Attributes:
        tenant: Name of the tenant.
        requests: Number of requests beyond the bound in its worst window.
    """

    tenant: str
    requests: float


@dataclasses.dataclass
class Report:
    """The result of one simulation.

    Attributes:
        seed: Seed of the random generators.
        fault_kinds: The injected faults.
        overruns: Tenants that exceeded their bound.
        max_overrun_share: Largest share of the allowed overrun that any tenant used.
        requested: Number of requests.
        refused: Number of refused requests.
        refused_below_limit: Number of refused requests of tenants whose demand was within their limit.
    """

    seed: int
    fault_kinds: tuple[str, ...]
    overruns: list[Overrun] = dataclasses.field(default_factory=list)
    max_overrun_share: float = 0.0
    requested: int = 0
    refused: int = 0
    refused_below_limit: int = 0


class Core:
    """A core node, reduced to its quota meter."""

    def __init__(self, *, simulation: "QuotaSimulation", name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.down_until = 0.0  # simulated time in seconds
        self.start()

    @property
    def is_down(self) -> bool:
        """Whether its machine is still down."""
        return self.simulation.world.now() < self.down_until

    def start(self) -> None:
        """Restarts the process, which loses its counts."""
        world = self.simulation.world
        self.meter = quota_meter.QuotaMeter(now=world.now, tolerance=TOLERANCE, owned_share=lambda: 1.0 / CORES)
        self.install()

    def install(self) -> None:
        """Installs the current configuration."""
        self.meter.install(self.simulation.configuration)


class Proxy:
    """A proxy, reduced to its quota allowance."""

    def __init__(self, *, simulation: "QuotaSimulation", name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.is_partitioned = False
        self.frozen_until = 0.0
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        """Restarts the process."""
        self.incarnation += 1
        self.allowance = quota_allowance.QuotaAllowance(now=self.simulation.world.now, lease_s=LEASE_S)
        self.install()

    def install(self) -> None:
        """Installs the current configuration."""
        self.allowance.install(self.simulation.configuration)

    def send_reports(self) -> None:
        """Sends reports to all core nodes, as at each heartbeat."""
        simulation, allowance = self.simulation, self.allowance
        now = simulation.world.now()
        if now < self.frozen_until:
            return
        if not self.is_partitioned:
            for core in simulation.cores:
                data = allowance.report(core=core.name)
                simulation.send(self._make_delivery(core, allowance, data=data, sent_at=now))
        allowance.end_report()

    def _make_delivery(
        self, core: Core, allowance: quota_allowance.QuotaAllowance, *, data: bytes, sent_at: float
    ) -> Callable[[], None]:
        """Returns the callback that delivers a report to a core node, which replies."""
        incarnation = str(self.incarnation)

        def deliver() -> None:
            if self.is_partitioned or incarnation != str(self.incarnation) or core.is_down:
                return
            core.meter.record(proxy=self.name, incarnation=incarnation, rows=tenant_usage.unpack_usage(data))
            credits = core.meter.credits(proxy=self.name)
            proxy_count = core.meter.proxy_count()
            self.simulation.send(lambda: handle_reply(credits, proxy_count))

        def handle_reply(credits: Sequence[tenant_usage.Credit], proxy_count: int) -> None:
            if not self.is_partitioned and allowance is self.allowance:
                allowance.record(core=core.name, sent_at=sent_at, proxy_count=proxy_count, credits=credits)

        return deliver


class QuotaSimulation:
    """A simulation with its nodes, traffic and faults.

    Args:
        seed: Seed of the random generators; the same seed gives the same result.
        fault_kinds: Kinds of `FAULT_KINDS`; two are drawn if None.
        proxies: Number of proxies; drawn if 0.
    """

    def __init__(self, *, seed: int, fault_kinds: Iterable[str] | None = None, proxies: int = 0) -> None:
        self.chance = chance = random.Random(seed)
        self.world = simulated_world.World(seed=seed)
        self.fault_kinds = tuple(chance.sample(FAULT_KINDS, 2)) if fault_kinds is None else tuple(fault_kinds)
        self.report = Report(seed=seed, fault_kinds=self.fault_kinds)
        rates = [chance.uniform(20, 40), *(chance.uniform(0.5, 8.0) for _index in range(9))]
        self.limits = {f"t{number}": rate for number, rate in enumerate(rates)}  # tenant: requests per second
        self.configuration: dict[str, list[dict[str, Any]]] = {
            "senders": [{"name": name, "perS": rate, "burst": round(rate)} for name, rate in self.limits.items()]
        }
        self.hot_factor = 1.0  # demand of the first tenant, as a multiple of its usual demand
        self.admitted: dict[str, list[float]] = collections.defaultdict(list)  # tenant: times of its admitted requests
        self.requested: dict[str, list[float]] = collections.defaultdict(list)
        self.lowered_at: float | None = None
        self.cores = [Core(simulation=self, name=f"k{number}") for number in range(CORES)]
        count = proxies or chance.choice((12, 60, 120))
        self.proxies = [Proxy(simulation=self, name=f"p{number}") for number in range(count)]
        # The clients of a tenant are spread unevenly over the proxies.
        self.weights = {name: [chance.expovariate(1.0) for _proxy in self.proxies] for name in self.limits}

    def send(self, deliver: Callable[[], None]) -> None:
        """Delivers a message after a random delay."""
        self.world.later(self.chance.uniform(*DELAY_S), deliver)

    def _arrive(self, name: str) -> None:
        """Sends one request of a tenant and schedules the next one."""
        proxy = self.chance.choices(self.proxies, self.weights[name])[0]
        now = self.world.now()
        if now >= proxy.frozen_until:
            self.requested[name].append(now)
            self.report.requested += 1
            if proxy.allowance.admit(tenant_usage.tenant_key(name)):
                self.admitted[name].append(now)
            else:
                self.report.refused += 1
                self.report.refused_below_limit += self._is_below_limit(name, now)
        factor = self.hot_factor if name == "t0" else 1.0
        rate = self.limits[name] * USUAL_LIMIT_SHARE * factor
        self.world.later(self.chance.expovariate(rate), lambda: self._arrive(name))

    def _is_below_limit(self, name: str, now: float) -> bool:
        """Returns whether the demand of the tenant in the window that ends now is within its limit."""
        recent = sum(1 for at in self.requested[name][-RECENT_REQUESTS:] if at > now - TOLERANCE.window_s)
        return recent <= self.limits[name] * TOLERANCE.window_s + round(self.limits[name])

    def _schedule_fault(self, name: str) -> None:
        chance = self.chance
        some = [proxy for proxy in self.proxies if chance.random() < (1 / 3 if name == "cut_region" else 0.15)]
        for_s = chance.uniform(2.0, 8.0)
        actions: dict[str, Callable[[], None]] = {
            "none": lambda: None,
            "hot": lambda: self._raise_demand(chance.uniform(3.0, 8.0), for_s),
            "cut_some": lambda: self._partition(some, for_s),
            "cut_region": lambda: self._partition(some, for_s),
            "freeze": lambda: self._freeze(some, for_s),
            "restart_some": lambda: self._restart(some),
            "restart_cores": lambda: self._restart(self.cores[: CORES // 2]),
            "restart_core": lambda: self._restart(self.cores),
            "restart_all": self._restart_all,
            "disks_lost_all_power": self._lose_disks_and_all_power,
            "lower": self._lower_limits,
        }
        self.world.later(chance.uniform(FIRST_FAULT_S, LAST_FAULT_S), actions[name])

    def _restart(self, nodes: Iterable[Core | Proxy]) -> None:
        for node in nodes:
            node.start()

    def _restart_all(self) -> None:
        """Restarts all processes at the same time."""
        self._restart((*self.cores, *self.proxies))
        self._freeze(self.proxies, RESTART_S)

    def _lose_disks_and_all_power(self) -> None:
        """Wipes the disks of as many core nodes as may fail, while all other machines lose power."""
        wiped = self.chance.sample(self.cores, DISKS_LOST)
        for core in wiped:
            core.down_until = self.world.now() + WIPED_RESTART_S
        self._restart_all()
        self.world.later(WIPED_RESTART_S, lambda: self._restart(wiped))

    def _freeze(self, proxies: Iterable[Proxy], for_s: float) -> None:
        for proxy in proxies:
            proxy.frozen_until = self.world.now() + for_s

    def _raise_demand(self, factor: float, for_s: float) -> None:
        self.hot_factor = factor
        self.world.later(for_s, self._reset_demand)

    def _reset_demand(self) -> None:
        self.hot_factor = 1.0

    def _partition(self, proxies: Iterable[Proxy], for_s: float) -> None:
        for proxy in proxies:
            proxy.is_partitioned = True
            self.world.later(for_s, lambda proxy=proxy: setattr(proxy, "is_partitioned", False))

    def _lower_limits(self) -> None:
        """Lowers all limits; core nodes receive the configuration earlier than proxies."""
        rows = self.configuration["senders"]
        self.configuration = {"senders": [{**row, "perS": row["perS"] * LOWERED_LIMIT_SHARE} for row in rows]}
        for core in self.cores:
            self.world.later(self.chance.uniform(0.0, 0.3), core.install)
        for proxy in self.proxies:
            self.world.later(self.chance.uniform(0.0, 0.8), proxy.install)
        self.lowered_at = self.world.now() + APPLY_S

    def _check_tenants(self) -> None:
        for name, rate in self.limits.items():
            admitted = self.admitted[name]
            if self.lowered_at is None:
                self._check_bound(name, admitted, per_s=rate)
            else:
                self._check_bound(name, [at for at in admitted if at < self.lowered_at], per_s=rate)
                after = [at for at in admitted if at >= self.lowered_at]
                self._check_bound(name, after, per_s=rate * LOWERED_LIMIT_SHARE)

    def _check_bound(self, name: str, times: Sequence[float], *, per_s: float) -> None:
        """Checks the window with the most admissions of one tenant under one limit."""
        limit = tenant_usage.Limit(per_s=per_s, burst=round(self.limits[name]))
        excess = _worst_window(times, TOLERANCE.window_s) - (per_s * TOLERANCE.window_s + limit.burst)
        allowed = TOLERANCE.allowed_overrun(limit)
        self.report.max_overrun_share = max(self.report.max_overrun_share, excess / allowed)
        if excess > allowed:
            self.report.overruns.append(Overrun(tenant=name, requests=round(excess - allowed, 1)))

    def run_simulation(self) -> Report:
        """Runs the simulation to its end, checks every window and returns the report."""
        for proxy in self.proxies:
            self._start_heartbeats(proxy)
        for name, rate in self.limits.items():
            self.world.later(START_AT_S + self.chance.expovariate(rate), lambda name=name: self._arrive(name))
        for name in self.fault_kinds:
            self._schedule_fault(name)
        self.world.run(until=END_AT_S)
        self._check_tenants()
        return self.report

    def _start_heartbeats(self, proxy: Proxy) -> None:
        def tick() -> None:
            proxy.send_reports()
            self.world.later(HEARTBEAT_INTERVAL_S, tick)

        self.world.later(self.chance.uniform(0.0, HEARTBEAT_INTERVAL_S), tick)


def _worst_window(times: Sequence[float], window_s: float) -> int:
    """Returns the largest number of these times within any window of this length."""
    worst, first = 0, 0
    for index, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        worst = max(worst, index - first + 1)
    return worst


def run_simulation(seed: int, *, fault_kinds: Iterable[str] | None = None, proxies: int = 0) -> Report:
    """Runs one simulation and returns its report; the arguments are those of `QuotaSimulation`."""
    return QuotaSimulation(seed=seed, fault_kinds=fault_kinds, proxies=proxies).run_simulation()

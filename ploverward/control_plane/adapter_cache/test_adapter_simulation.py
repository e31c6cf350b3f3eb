"""Simulates a system whose replicas load adapters slowly, with and without applying the suggested pins.

If the suggestions are applied, no request waits for an adapter to load, and each request is answered exactly once and
in time at every node and region. If they are not applied, the same checks find waits.

Real components: the replica table, the replica chooser, the counters, the stores of two core nodes, the suggestion.
Simulated: time, network, replicas, the platform's list, the operator who applies the suggestions.
"""

import collections
import random

import pytest

from ploverward.control_plane.adapter_cache import adapter_usage
from ploverward.control_plane.adapter_cache import pin_suggestion
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.adapter_cache import count_table
from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.quotas import shared_limits
from ploverward.simulation import loopback_proxy
from ploverward.simulation import simulated_world
from ploverward.transport import messages

ZONES = {"n1": "north", "n2": "north", "s1": "south", "s2": "south", "w1": "west"}
HOMES = {"hearing": ["north", "south"]}
# Four kinds of requests: adapter, urgency, latency target in seconds, whether it may be retried on another replica.
KINDS = {
    "minutes": ("drafts", 1, 0.8, False),
    "hearing": ("hearings", 0, 0.6, True),
    "review": ("moves", 1, 0.8, False),
    "coach": ("coach", 0, 0.6, True),
}

# All other requests: kind, adapters, urgency, latency target in seconds. Their waits are not checked.
REST = (
    "rest",
    [f"town{number}" for number in range(8)],
    9,
    5.0,
)


def latency_target_s(kind):
    return REST[3] if kind == "rest" else KINDS[kind][2]


ROUTES = {
    name: {"homes": HOMES.get(name, []), "urgency": priority, "target_ms": latency_target * 1000}
    for name, (_a, priority, latency_target, _r) in KINDS.items()
}
ROUTES["rest"] = {"homes": [], "urgency": REST[2], "target_ms": REST[3] * 1000}
SLOTS = 3  # number of adapters that a replica can have loaded
PINS = 2
LOAD_S = 1.2
PREFILL_S = 0.08
GENERATION_S = 0.4
WINDOW_S = 24.0
LIST_DELAY_S = 0.8
TRUST_S = 2.0


class SimulatedReplica:
    """A replica that loads adapters one at a time and evicts the least recently used one that is not pinned."""

    def __init__(self, *, system, name, zone, pins=()):
        self.system, self.name, self.zone = system, name, zone
        self.pins = list(pins)
        self.loaded = collections.OrderedDict()  # by adapter, the time at which its load ends
        self.busy_until = system.world.time
        self.is_up = True
        for adapter in self.pins:  # pins are loaded before the replica accepts requests
            self.load(adapter)
        self.ready_at = self.busy_until

    def load(self, adapter):
        if adapter not in self.loaded:
            self.busy_until = max(self.busy_until, self.system.world.time) + LOAD_S
            self.loaded[adapter] = self.busy_until
            if len(self.loaded) > SLOTS:
                evicted = next(one for one in self.loaded if one not in self.pins and one != adapter)
                del self.loaded[evicted]
        self.loaded.move_to_end(adapter)
        return self.loaded[adapter]

    def pin(self, adapters):
        self.pins = list(adapters)
        for adapter in adapters:
            self.load(adapter)  # before adapters that requests wait for


class Proxy:
    def __init__(self, *, system, name, zone):
        self.system, self.name, self.zone = system, name, zone
        self.incarnation = f"{name}-{system.chance.random():.6f}"
        now = system.world.now
        settings = loopback_proxy.settings(zones=ZONES, zone=zone, region=ZONES[zone])
        self.quota = shared_limits.SharedLimits(now=now, settings=settings)
        self.quota.handle_share_lease(
            "core",
            messages.ShareLease(
                slack_share=1.0, rate_share=1.0, duration_s=1e9, core_share=1.0, slot=0, slot_count=8, number=1
            ),
        )
        self.table = replica_table.ReplicaTable(loop=system, settings=settings, share=self.quota.rate_share)
        self.table.install_services(
            {
                "llm": {
                    "models": ("m",),
                    "cache_tokens": 0,
                    "max_conns": 1000,
                    "adapters": tuple(("m", name) for name in (*[kind[0] for kind in KINDS.values()], *REST[1])),
                }
            }
        )
        for other_zone, region in ZONES.items():
            self.table.latencies.by_zone[other_zone] = 0.002 if region == ZONES[zone] else 0.08
        self.counter = adapter_counts.AdapterCounter(now=now, window_s=WINDOW_S, trust_s=TRUST_S)
        self.chooser = replica_chooser.ReplicaChooser(
            table=self.table, settings=settings, regions={}, quota=self.quota, now=now
        )


class SimulatedSystem:
    """The simulated system. It also serves as the event loop of the replica tables, which only read its time."""

    def __init__(self, *, seed, applies_suggestions):
        self.world = simulated_world.World(seed=seed)
        self.chance = random.Random(seed)
        self.applies_suggestions = applies_suggestions
        self.simulated_replicas = {}
        self.started_replicas = 0
        self.answers = collections.Counter()
        self.runs = collections.Counter()
        self.requests = {}  # by request: (sent at, kind, region of the proxy)
        self.answered = []  # (request, sent at, first event at, wait for a load, kind, region)
        self.failed = set()
        self.lost_zones = set()
        self.kind_weights = {**dict.fromkeys(KINDS, 1.0), "rest": 0.45}
        self.unexpected_share = 0.0  # share of requests for adapters outside the regular traffic
        self.suggestion = None
        self.cores = [adapter_usage.AdapterUsageStore(now=self.world.now, window_s=WINDOW_S) for _ in range(2)]
        for zone in ZONES:
            for _ in range(3):
                self.start(zone)
        self.proxies = [Proxy(system=self, name=f"p-{zone}", zone=zone) for zone in ZONES]
        self.publish()
        self.every(0.5, self.publish)
        self.every(2.0, self.report)
        self.every(6.0, self.apply_suggestion)
        self.every(0.05, self.traffic)

    def now(self):
        return self.world.time

    def call_soon_threadsafe(self, *, callback):
        self.world.later(0.0, callback)

    def every(self, interval_s, callback):
        def tick():
            callback()
            self.world.later(interval_s, tick)

        self.world.later(interval_s, tick)

    def start(self, zone):
        self.started_replicas += 1
        pins = (
            self.suggestion["new"].get("llm", {}).get(zone, ()) if self.applies_suggestions and self.suggestion else ()
        )
        name = f"i{self.started_replicas}"
        self.simulated_replicas[name] = SimulatedReplica(
            system=self, name=name, zone=zone, pins=[adapter for _model, adapter in pins]
        )

    def stop(self, name):
        self.simulated_replicas.pop(name).is_up = False

    def rows(self):
        now = self.world.time
        return [
            {
                "id": simulated_replica.name,
                "service": "llm",
                "address": "127.0.0.1:9",
                "zone": simulated_replica.zone,
                "berths": 64,
                "is_clearing": False,
                "cold_ms": 0,
                "left_ms": None,
                "models": ["m"],
                "adapters": [["m", adapter] for adapter, at in simulated_replica.loaded.items() if at <= now],
            }
            for simulated_replica in self.simulated_replicas.values()
            if simulated_replica.ready_at <= now
        ]

    def publish(self):
        rows = self.rows()
        self.world.later(LIST_DELAY_S, lambda: [proxy.table.install_list(rows) for proxy in self.proxies])

    def report(self):
        for proxy in self.proxies:
            for window, number, data in proxy.counter.report():
                # Reports reach one of the core nodes, and sometimes both.
                for core in self.chance.sample(self.cores, self.chance.choice((1, 1, 2))):
                    core.record(
                        messages.AdapterCount(
                            node=proxy.name,
                            zone=proxy.zone,
                            region=ZONES[proxy.zone],
                            incarnation=proxy.incarnation,
                            window=window,
                            number=number,
                            counts=data,
                        )
                    )

    def apply_suggestion(self):
        windows = list(adapter_usage.merge(tables=[core.rows() for core in self.cores]).values())
        listed = [
            {
                "id": row["id"],
                "service": "llm",
                "zone": row["zone"],
                "region": ZONES[row["zone"]],
                "adapters": [tuple(pair) for pair in row["adapters"]],
            }
            for row in self.rows()
        ]
        self.suggestion = pin_suggestion.suggest(
            windows=windows, replicas=listed, routes=ROUTES, capacity={"llm": PINS}, previous=self.suggestion
        )
        if self.applies_suggestions:
            for name, row in self.suggestion["replicas"].items():
                if name in self.simulated_replicas:
                    self.simulated_replicas[name].pin([adapter for _model, adapter in row["pins"]])

    def traffic(self):
        for proxy in self.proxies:
            if proxy.zone in self.lost_zones:
                continue
            kind = self.chance.choices(list(self.kind_weights), list(self.kind_weights.values()))[0]
            request = len(self.requests)
            self.requests[request] = (self.world.time, kind, ZONES[proxy.zone])
            adapter = self.chance.choice(REST[1]) if kind == "rest" else KINDS[kind][0]
            if self.chance.random() < self.unexpected_share:
                adapter = f"stray{self.chance.randrange(6)}"
                proxy.table.adapters.setdefault("llm", {}).setdefault(adapter, {"m"})
            self.attempt(proxy, request, kind, adapter, set())

    def attempt(self, proxy, request, kind, adapter_text, avoid):
        model, adapter, is_known = proxy.table.resolve(service="llm", text=adapter_text)
        assert is_known
        homes = frozenset(HOMES.get(kind, ())) or None
        replica, _tokens, _is_any = proxy.chooser.choose(
            service="llm",
            permitted=homes,
            model=model,
            chain=(),
            prompt_tokens=0,
            avoid=avoid,
            latency_target_s=latency_target_s(kind),
            adapter_load_s=lambda one: proxy.counter.expected_load_s(replica=one, model=model, adapter=adapter),
        )
        if replica is None:
            self.answer(request, is_good=False)
            return
        assert homes is None or replica.region in homes
        arrival = proxy.counter.note_sent(
            replica=replica, service="llm", model=model, adapter=adapter, route=kind, target_s=latency_target_s(kind)
        )
        replica.running += 1
        one_way_s = proxy.table.latencies.by_zone[replica.zone] / 2
        simulated_replica = self.simulated_replicas.get(replica.id)

        def handle_loss():
            replica.running -= 1
            proxy.counter.note_not_run(arrival)
            if kind == "rest" or KINDS[kind][3]:
                self.attempt(proxy, request, kind, adapter_text, avoid | {replica.id})
            else:
                self.answer(request, is_good=False)

        def handle_arrival():
            if simulated_replica is None or not simulated_replica.is_up:
                self.world.later(one_way_s, handle_loss)
                return
            self.runs[(request, replica.id)] += 1
            loaded = simulated_replica.load(adapter)
            waited = max(0.0, loaded - self.world.time)

            def send_first_event():
                if not simulated_replica.is_up:
                    self.world.later(one_way_s, handle_loss)
                    return
                self.world.later(one_way_s, lambda: handle_first_event(waited))

            self.world.later(waited + PREFILL_S, send_first_event)

        def handle_first_event(waited):
            proxy.counter.note_run(arrival)
            at = self.world.time
            self.world.later(GENERATION_S, lambda: handle_end(at, waited))

        def handle_end(at, waited):
            replica.running -= 1
            self.answer(request, is_good=True, first_at=at, waited=waited)

        self.world.later(one_way_s, handle_arrival)

    def answer(self, request, *, is_good, first_at=0.0, waited=0.0):
        self.answers[request] += 1
        at, kind, region = self.requests[request]
        if is_good:
            self.answered.append((request, at, first_at, waited, kind, region))
        else:
            self.failed.add(request)


def check_requests(system, *, since, excluded=()):
    """Checks that each request is answered exactly once, and those sent after `since` in time and without a load.

    Returns the number of requests that were checked for waits, by kind and region. Requests sent in one of the spans
    of `excluded` are not checked for waits and failures.
    """
    end = system.world.time - 5.0
    runs = collections.defaultdict(list)
    for (request, _replica), count in system.runs.items():
        runs[request].append(count)
    for request, (at, kind, _region) in system.requests.items():
        if at < end:
            assert system.answers[request] == 1, request
        ran = runs[request]
        assert all(count == 1 for count in ran)
        if kind != "rest" and not KINDS[kind][3]:
            assert len(ran) <= 1
    checked = collections.Counter()
    for _request, at, first_at, waited, kind, region in system.answered:
        if kind == "rest" or at < since or any(start <= at <= stop for start, stop in excluded):
            continue
        assert waited == 0.0, (kind, region, at)
        assert first_at - at <= KINDS[kind][2]
        checked[(kind, region)] += 1
    for request in system.failed:
        at = system.requests[request][0]
        assert at < since or any(start <= at <= stop for start, stop in excluded), at
    return checked


def run_scenario(*, seed, applies_suggestions):
    """Runs a scenario of four minutes.

    The mix of traffic shifts, unexpected adapters are requested for a time, replicas restart one by one, and a region
    is lost and comes back. Returns the system and the spans to exclude from the checks.
    """
    system = SimulatedSystem(seed=seed, applies_suggestions=applies_suggestions)
    run = system.world.run
    run(until=60.0)
    system.kind_weights["review"] = 6.0
    run(until=90.0)
    system.unexpected_share = 0.05
    run(until=100.0)
    system.unexpected_share = 0.0
    # Rolling restarts: a new replica starts first; the old one then leaves the list and drains.
    for name in list(system.simulated_replicas)[:6]:
        zone = system.simulated_replicas[name].zone
        system.start(zone)
        run(until=system.world.time + 5.0)
        system.simulated_replicas[name].ready_at = 1e9  # removes it from the list
        run(until=system.world.time + 3.0)
        system.stop(name)
    lost = system.chance.choice(("north", "south"))
    at = system.world.time
    zones = [zone for zone, region in ZONES.items() if region == lost]
    for name in [name for name, replica in system.simulated_replicas.items() if replica.zone in zones]:
        system.stop(name)
    system.lost_zones = set(zones)
    run(until=at + 30.0)
    for zone in zones:
        for _ in range(3):
            system.start(zone)
    system.lost_zones = set()
    run(until=at + 60.0)
    # Requests to the lost replicas fail or are late until the list shows the loss: after LIST_DELAY_S and up to one
    # publishing interval.
    return system, [(at - 1.0, at + LIST_DELAY_S + 0.6)]


# Unexpected adapters evict those that are loaded but not pinned. Proxies notice that when the list shows it and when
# their own evidence expires (TRUST_S).
UNEXPECTED_ADAPTERS_SPAN = (90.0, 100.0 + TRUST_S + LIST_DELAY_S + 0.6)
STEADY_AFTER_S = 30.0  # by then five suggestions were applied and the first loads have ended


@pytest.mark.parametrize("seed", range(4))
def test_no_request_waits_for_adapter_load_when_suggestions_are_applied(seed):
    system, excluded = run_scenario(seed=seed, applies_suggestions=True)
    checked = check_requests(system, since=STEADY_AFTER_S, excluded=[*excluded, UNEXPECTED_ADAPTERS_SPAN])
    assert set(checked) == {(kind, region) for kind in KINDS for region in set(ZONES.values())}
    assert min(checked.values()) > 50


@pytest.mark.parametrize("seed", range(3))
def test_checker_finds_cold_waits_when_suggestions_are_ignored(seed):
    system, excluded = run_scenario(seed=seed, applies_suggestions=False)
    with pytest.raises(AssertionError):
        check_requests(system, since=STEADY_AFTER_S, excluded=[*excluded, UNEXPECTED_ADAPTERS_SPAN])
    assert system.suggestion["saving"]["of_cold_waits"] > 0


@pytest.mark.parametrize("fault", ["twice", "wait", "unanswered", "run twice"])
def test_checker_detects_injected_fault(fault):
    system = SimulatedSystem(seed=1, applies_suggestions=True)
    system.world.run(until=60.0)
    check_requests(system, since=STEADY_AFTER_S)
    request, at, first_at, _waited, kind, region = next(
        row for row in system.answered if row[4] == "minutes" and 35.0 < row[1] < 50.0
    )
    if fault == "twice":
        system.answers[request] += 1
    elif fault == "wait":
        system.answered.append((request, at, first_at, 0.3, kind, region))
    elif fault == "unanswered":
        system.answers[request] = 0
    else:
        system.runs[(request, "elsewhere")] = 2
    with pytest.raises(AssertionError):
        check_requests(system, since=STEADY_AFTER_S)


@pytest.mark.parametrize("seed", range(3))
def test_merged_counts_match_answered_requests(seed):
    """Guards against counting an arrival twice when a report is resent or reaches both core nodes.

    The bounds allow for requests in progress and for counts that are not reported yet.
    """
    system = SimulatedSystem(seed=seed, applies_suggestions=False)
    system.world.run(until=70.0)
    system.traffic = lambda: None
    system.world.run(until=70.0 + 1e-6)
    windows = adapter_usage.merge(tables=[core.rows() for core in system.cores]).values()
    counted = sum(counts.arrivals for window in windows for _key, counts in count_table.parse_rows(window))
    seen = sum(1 for _request, _at, first_at, *_rest in system.answered if first_at <= 68.0)
    assert seen - 20 <= counted <= len(system.answered) + 60
    waits = sum(counts.waits for window in windows for _key, counts in count_table.parse_rows(window))
    assert 0 < waits

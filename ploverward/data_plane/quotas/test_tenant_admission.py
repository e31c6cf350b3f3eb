"""Keys and quotas at a proxy: whose key it is, how sure the proxy is, what a replica gets to see, what is let in."""

import types

import pytest

from ploverward.common import tenant_usage
from ploverward.control_plane.cluster import majority_lease
from ploverward.data_plane.quotas import tenant_admission
from ploverward.data_plane.requests import admission_filters
from ploverward.data_plane.requests import route_table
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene
from ploverward.simulation import simulated_world

KEYS = {"clerks": "key-of-clerks", "players": "key-of-players"}
TENANTS = [
    {"name": "clerks", "apiKeys": ["old-key", KEYS["clerks"]], "urgency": 3, "homeRegions": ["south"]},
    {"name": "players", "apiKeys": [KEYS["players"]], "perS": 1, "burst": 1},
]
BODY = {**loopback_proxy.CONFIGURATION, "senders": TENANTS}


def scene_of(*, body=BODY, age_s=0.0, **bounds):
    scene = request_scene.Scene(request_scene.replying, request_scene.replying, zones=["za", "zb"])
    scene.entry.routes = route_table.Routes(body=body)
    scene.entry.quota_allowance.install(body)
    scene.entry.quota_allowance.record(core="k", asked_at=scene.loop.now() + 60.0, proxies=1, credits=[])
    scene.entry.configuration_age = age_s
    if bounds:
        scene.entry.settings.bounds.update(bounds)
        scene.entry.credential_freshness = tenant_admission.CredentialFreshness.of(scene.entry.settings)
    return scene


def send_request(scene, *, key=None, more=b"", lead="safe"):
    """The status of one request, and what the replicas heard of it."""
    scene.client.got = b""
    line = b"" if key is None else b"Authorization: Bearer %s\r\n" % key.encode()
    scene.request(lead, more=line + more)
    assert scene.until(b"HTTP/1.1 ")
    scene.until(b"\r\n\r\n")
    heard = b"".join(bytes(heard) for peer in scene.peers for heard in peer.heard)
    return int(scene.client.got.split()[1]), heard


@pytest.mark.parametrize("key", [KEYS["clerks"], "old-key", KEYS["players"]])
def test_a_tenant_is_named_to_the_replica_and_its_key_is_not(key):
    scene = scene_of()
    status, heard = send_request(scene, key=key, more=b"X-Sender: somebody-else\r\n")
    name = b"players" if key == KEYS["players"] else b"clerks"
    assert status == 200 and heard.lower().count(b"x-sender:") == 1 and b"x-sender: " + name in heard.lower()
    assert key.encode() not in heard and b"uthorization" not in heard


@pytest.mark.parametrize(
    "more",
    [
        b"",
        b"Authorization: Bearer nobody\r\n",
        b"Authorization: Basic a2V5\r\n",
        b"Authorization: Bearer\r\n",
        b"Authorization: Bearer " + b"x" * 2000 + b"\r\n",
        b"Authorization: Bearer \xff\xfe\r\n",
        b"Authorization: Bearer old-key\r\nAuthorization: Bearer nobody\r\n",
        b"X-Sender: clerks\r\n",
    ],
)
def test_without_a_key_that_is_known_nothing_runs(more):
    status, heard = send_request(scene_of(), more=more)
    assert status == 401 and not heard


def test_a_proxy_that_may_be_behind_refuses_no_key_for_good():
    status, heard = send_request(scene_of(age_s=3.0), key="nobody")
    assert status == 503 and not heard
    assert send_request(scene_of(age_s=3.0))[0] == 401  # no key at all is none in any configuration


def test_a_route_without_keys_names_no_tenant():
    routes = [{**row, "keyless": True} for row in BODY["routes"]]
    scene = scene_of(body={**BODY, "routes": routes})
    status, heard = send_request(scene, key="nobody", more=b"X-Sender: clerks\r\n")
    assert status == 200 and b"nobody" not in heard and b"x-sender" not in heard.lower()


def test_where_no_tenants_are_configured_heads_pass_as_they_come():
    scene = scene_of(body=loopback_proxy.CONFIGURATION)
    status, heard = send_request(scene, key="anything")
    assert status == 200 and b"anything" in heard


@pytest.mark.parametrize("strict, age_s, wanted", [(1.0, 4.0, 200), (1.0, 4.9, 503), (0.0, 60.0, 200)])
def test_where_keys_are_revoked_strictly_an_old_configuration_serves_nobody(strict, age_s, wanted):
    scene = scene_of(age_s=age_s, revocationStrict=strict, revokeMs=5000.0)
    assert send_request(scene, key=KEYS["clerks"])[0] == wanted


def test_the_tenants_priority_and_homes_bind():
    status, heard = send_request(scene_of(), key=KEYS["clerks"], lead="resume")
    assert status == 200 and b"x-urgency: 3" in heard.lower()
    scene = scene_of()
    assert send_request(scene, key=KEYS["clerks"])[0] == 200
    assert not scene.peers[0].heard and scene.peers[1].heard  # the first one is in the north


def test_beyond_the_quota_the_answer_is_429_with_when_to_come_back():
    scene = scene_of()
    quota_allowance = scene.entry.quota_allowance
    assert send_request(scene, key=KEYS["players"])[0] == 200  # free
    key = tenant_usage.tenant_key("players")
    quota_allowance.record(
        core="k", asked_at=scene.loop.now() + 61.0, proxies=1, credits=[tenant_usage.Credit(key, 1.0)]
    )
    assert [send_request(scene, key=KEYS["players"])[0] for _index in range(2)] == [200, 429]
    assert b"Retry-After: " in scene.client.got
    assert send_request(scene, key=KEYS["clerks"])[0] == 200  # another one's quota is none of theirs


def test_a_key_that_is_taken_away_gets_no_further_try():
    scene = scene_of()
    request = types.SimpleNamespace(headers=[(b"authorization", b"Bearer old-key")])
    route = scene.entry.routes.find(host="h", target=b"/safe/x")
    assert admission_filters.authenticate_tenant(request=request, route=route, context=scene.entry).name == "clerks"
    left = [{**TENANTS[0], "apiKeys": [KEYS["clerks"]]}, TENANTS[1]]
    scene.entry.routes = route_table.Routes(body={**BODY, "senders": left})
    refused = admission_filters.authenticate_tenant(request=request, route=route, context=scene.entry)
    assert isinstance(refused, admission_filters.Refused) and refused.status == 401


# Allowances.
LIMITED = {"senders": [{"name": "a", "perS": 10, "burst": 10}]}
KEY = tenant_usage.tenant_key("a")


def quota_allowance():
    clock = [100.0]
    made = tenant_admission.QuotaAllowance(now=lambda: clock[0], lease_s=1.2)
    made.install(LIMITED)
    return made, clock


def scarce(made, clock, *, core="k", tokens=0.0, proxies=10):
    made.record(core=core, asked_at=clock[0], proxies=proxies, credits=[tenant_usage.Credit(KEY, tokens)])


def test_parts_of_a_credit_add_up_and_are_spent_once():
    made, clock = quota_allowance()
    for _heartbeat_number in range(5):
        clock[0] += 0.4
        scarce(made, clock, tokens=0.25)
    assert [made.admit(KEY) for _index in range(3)] == [True, False, False]


def test_most_core_nodes_decide_whether_credits_are_wanted():
    made, clock = quota_allowance()
    scarce(made, clock, core="new")
    for core in ("k1", "k2"):
        made.record(core=core, asked_at=clock[0], proxies=10, credits=[])
    assert made.admit(KEY)
    clock[0] += 0.1
    scarce(made, clock, core="k1")
    assert not made.admit(KEY)


def test_out_of_touch_a_proxy_lets_in_an_even_part():
    made, clock = quota_allowance()
    made.record(core="k", asked_at=clock[0], proxies=100, credits=[])
    clock[0] += 2.0
    let_in = 0
    for _index in range(1000):
        clock[0] += 0.1
        let_in += made.admit(KEY)
    assert let_in <= 1 + 100.0 * 10 / 100


def test_a_proxy_that_was_never_in_touch_lets_in_next_to_nothing():
    made, clock = quota_allowance()
    assert sum(made.admit(KEY) for _index in range(50)) <= 1


def test_what_was_let_in_and_did_not_run_is_let_in_once_more():
    made, clock = quota_allowance()
    scarce(made, clock, tokens=1.0)
    assert made.admit(KEY) and not made.admit(KEY)
    made.return_admission(KEY)
    assert made.admit(KEY) and not made.admit(KEY)
    made.return_admission(KEY)
    clock[0] += 5.0
    scarce(made, clock)
    assert not made.admit(KEY)  # too long ago


def test_a_report_names_what_changed_and_all_of_it_after_a_lost_link():
    made, clock = quota_allowance()
    made.record(core="k", asked_at=clock[0], proxies=10, credits=[])
    made.admit(KEY)
    first = tenant_usage.unpack_usage(made.report(core="k"))
    made.end_report()
    assert [(row.demand, row.admitted) for row in first] == [(1, 1)]
    assert made.report(core="k") == b""
    made.forget(core="k")
    assert [row.admitted for row in tenant_usage.unpack_usage(made.report(core="k"))] == [1]


# How fresh a configuration is.
def test_freshness_counts_from_when_it_was_asked_and_for_versions_that_are_here():
    clock = [10.0]
    configuration_freshness = tenant_admission.ConfigurationFreshness(now=lambda: clock[0])
    assert configuration_freshness.age_s(version=9) == float("inf")
    configuration_freshness.record(core="k", version=5, asked_at=9.0, age_s=0.5)
    assert configuration_freshness.age_s(version=5) == pytest.approx(1.5)
    assert configuration_freshness.age_s(version=4) == float("inf")  # the newer one is not here yet
    configuration_freshness.record(core="other", version=4, asked_at=9.9, age_s=3.0)
    assert configuration_freshness.age_s(version=4) == pytest.approx(3.1)


REVOKE_S = 5.0
CORES = ("a", "b", "c", "d", "e")


class Core:
    """A core node as far as freshness needs it: heartbeats and what it accepted and knows."""

    def __init__(self, *, world, name):
        self.world, self.name = world, name
        self.accepted = self.known = 1
        self.contact = majority_lease.Contact(own=name, now=world.now, lease_s=1.2)

    def freshness(self):
        as_of = self.contact.fresh_as_of(members=CORES, version=1, known=self.known, accepted=self.accepted)
        return self.known, self.world.now() - as_of


class Keys:
    """Changes of a configuration at a majority of core nodes, cuts, freezes, and proxies that ask how fresh they are."""

    def __init__(self, *, seed, counts_from_grant=False):
        self.world = simulated_world.World(seed=seed)
        self.chance = self.world.chance
        self.counts_from_grant = counts_from_grant
        self.cores = {name: Core(world=self.world, name=name) for name in CORES}
        self.configuration_freshness = {
            name: tenant_admission.ConfigurationFreshness(now=self.world.now) for name in ("p", "q")
        }
        self.version = dict.fromkeys(self.configuration_freshness, 1)
        self.partitioned_pairs = set()
        self.acknowledged = {1: 0.0}  # version: when
        self.late = 0

    def can(self, one, other):
        return (one, other) not in self.partitioned_pairs and (other, one) not in self.partitioned_pairs

    def send_heartbeats(self):
        for core in self.cores.values():
            heartbeat = core.contact.next_heartbeat(version=1)
            for other in self.cores.values():
                if other is not core and self.can(core.name, other.name):
                    self._heartbeat(core, other, heartbeat)
        self.world.later(0.4, self.send_heartbeats)

    def _heartbeat(self, core, other, heartbeat):
        def answer():
            answered = majority_lease.Answer(number=heartbeat.number, version=1, configuration=other.accepted)
            self.world.later(delay(), lambda: core.contact.handle_answer(member=other.name, answer=answered))

        def delay():
            return self.chance.uniform(0.01, 0.1) if self.chance.random() < 0.95 else self.chance.uniform(0.5, 4.0)

        self.world.later(delay(), answer)

    def send_request(self):
        for proxy, configuration_freshness in self.configuration_freshness.items():
            for core in self.cores.values():
                if self.can(proxy, core.name):
                    self._send_request(proxy, configuration_freshness, core, self.world.now())
        self.world.later(0.4, self.send_request)

    def _send_request(self, proxy, configuration_freshness, core, asked_at):
        def answered():
            version, age_s = core.freshness()
            wait = self.chance.uniform(0.01, 0.1) if self.chance.random() < 0.8 else self.chance.uniform(1.0, 6.0)
            self.world.later(wait, lambda: record(version, age_s))

        def record(version, age_s):
            when = self.world.now() if self.counts_from_grant else asked_at
            configuration_freshness.record(core=core.name, version=version, asked_at=when, age_s=age_s)

        self.world.later(self.chance.uniform(0.01, 0.1), answered)

    def change(self):
        """A version is accepted by a majority, acknowledged, and told to those that are in touch, some late or never."""
        version = max(self.acknowledged) + 1
        proposer = self.chance.choice(CORES)
        near = [name for name in CORES if name == proposer or self.can(proposer, name)]
        if len(near) >= 3:
            for name in near:
                self.cores[name].accepted = version
            self.acknowledged[version] = self.world.now()
            for name in near:
                self.world.later(self.chance.uniform(0.0, 1.0), lambda name=name: self._learn(name, version))
        self.world.later(self.chance.uniform(1.0, 8.0), self.change)

    def _learn(self, name, version):
        core = self.cores[name]
        core.known = max(core.known, version)
        for proxy in self.version:
            if self.can(proxy, name):
                self.world.later(self.chance.uniform(0.0, 2.0), lambda proxy=proxy: self._hear(proxy, version))

    def _hear(self, proxy, version):
        self.version[proxy] = max(self.version[proxy], version)

    def inject_fault(self):
        names = [*CORES, *self.version]
        some = self.chance.sample(names, self.chance.randint(1, 4))
        pairs = {(one, other) for one in some for other in names if other not in some}
        self.partitioned_pairs |= pairs
        self.world.later(self.chance.uniform(1.0, 9.0), lambda: self.partitioned_pairs.difference_update(pairs))
        self.world.later(self.chance.uniform(2.0, 8.0), self.inject_fault)

    def look(self):
        """A request that is sent now: does the proxy run it with a key that was taken away over REVOKE_S ago?"""
        now = self.world.now()
        for proxy, configuration_freshness in self.configuration_freshness.items():
            if configuration_freshness.age_s(version=self.version[proxy]) >= REVOKE_S * tenant_admission.REVOKE_SHARE:
                continue
            newer = [when for version, when in self.acknowledged.items() if version > self.version[proxy]]
            self.late += bool(newer) and now > min(newer) + REVOKE_S
        self.world.later(0.05, self.look)

    def play(self):
        for callback in (self.send_heartbeats, self.send_request, self.change, self.inject_fault, self.look):
            self.world.later(self.chance.uniform(0.0, 0.4), callback)
        self.world.run(until=90.0)
        return self.late


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_no_proxy_trusts_a_key_that_was_taken_away_long_ago(first):
    assert [Keys(seed=seed).play() for seed in range(first, first + 10)] == [0] * 10


def test_planted_freshness_that_counts_from_the_answer_is_found():
    assert any(Keys(seed=seed, counts_from_grant=True).play() for seed in range(10))


def test_planted_freshness_without_a_majority_is_found(monkeypatch):
    monkeypatch.setattr(majority_lease.Contact, "fresh_as_of", lambda self, **_about: self._now())
    assert any(Keys(seed=seed).play() for seed in range(10))


def test_keys_are_found_by_a_digest_that_differs_from_process_to_process():
    first, second = (tenant_admission.tenant_directory_of(BODY) for _index in range(2))
    assert first.find(b"old-key").name == "clerks" and first.find(b"old") is None
    assert not set(first._by_digest) & set(second._by_digest)

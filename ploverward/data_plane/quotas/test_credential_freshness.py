"""How fresh a proxy's configuration is, in histories of changes, partitions and late replies."""

import pytest

from ploverward.control_plane.cluster import majority_lease
from ploverward.data_plane.quotas import credential_freshness
from ploverward.simulation import simulated_world
from ploverward.transport import messages


def test_age_counts_from_the_request_time_and_only_for_installed_versions():
    clock = [10.0]
    configuration_freshness = credential_freshness.ConfigurationFreshness(now=lambda: clock[0])
    assert configuration_freshness.age_s(version=9) == float("inf")
    configuration_freshness.record(core="k", version=5, sent_at=9.0, age_s=0.5)
    assert configuration_freshness.age_s(version=5) == pytest.approx(1.5)
    assert configuration_freshness.age_s(version=4) == float("inf")  # the newer one is not here yet
    configuration_freshness.record(core="other", version=4, sent_at=9.9, age_s=3.0)
    assert configuration_freshness.age_s(version=4) == pytest.approx(3.1)


REVOKE_S = 5.0
CORES = ("a", "b", "c", "d", "e")


class Core:
    """A core node as far as freshness needs it: heartbeats and what it accepted and knows."""

    def __init__(self, *, world, name):
        self.world, self.name = world, name
        self.accepted = self.known = 1
        self.lease = majority_lease.MajorityLease(own=name, now=world.now, lease_s=1.2)

    def freshness(self):
        as_of = self.lease.fresh_as_of(members=CORES, version=1, known=self.known, accepted=self.accepted)
        return self.known, self.world.now() - as_of


class Keys:
    """Changes of a configuration at a majority of core nodes, partitions, and proxies that ask how fresh they are."""

    def __init__(self, *, seed, counts_from_grant=False):
        self.world = simulated_world.World(seed=seed)
        self.chance = self.world.chance
        self.counts_from_grant = counts_from_grant
        self.cores = {name: Core(world=self.world, name=name) for name in CORES}
        self.configuration_freshness = {
            name: credential_freshness.ConfigurationFreshness(now=self.world.now) for name in ("p", "q")
        }
        self.version = dict.fromkeys(self.configuration_freshness, 1)
        self.partitioned_pairs = set()
        self.acknowledged = {1: 0.0}  # version: when
        self.late = 0

    def can(self, one, other):
        return (one, other) not in self.partitioned_pairs and (other, one) not in self.partitioned_pairs

    def send_heartbeats(self):
        for core in self.cores.values():
            heartbeat = core.lease.next_heartbeat(version=1)
            for other in self.cores.values():
                if other is not core and self.can(core.name, other.name):
                    self._heartbeat(core, other, heartbeat)
        self.world.later(0.4, self.send_heartbeats)

    def _heartbeat(self, core, other, heartbeat):
        def answer():
            answered = messages.HeartbeatReply(
                number=heartbeat.number, core_set_version=1, configuration_version=other.accepted
            )
            self.world.later(delay(), lambda: core.lease.handle_reply(member=other.name, reply=answered))

        def delay():
            return self.chance.uniform(0.01, 0.1) if self.chance.random() < 0.95 else self.chance.uniform(0.5, 4.0)

        self.world.later(delay(), answer)

    def send_request(self):
        for proxy, configuration_freshness in self.configuration_freshness.items():
            for core in self.cores.values():
                if self.can(proxy, core.name):
                    self._send_request(proxy, configuration_freshness, core, self.world.now())
        self.world.later(0.4, self.send_request)

    def _send_request(self, proxy, configuration_freshness, core, sent_at):
        def answered():
            version, age_s = core.freshness()
            wait = self.chance.uniform(0.01, 0.1) if self.chance.random() < 0.8 else self.chance.uniform(1.0, 6.0)
            self.world.later(wait, lambda: record(version, age_s))

        def record(version, age_s):
            when = self.world.now() if self.counts_from_grant else sent_at
            configuration_freshness.record(core=core.name, version=version, sent_at=when, age_s=age_s)

        self.world.later(self.chance.uniform(0.01, 0.1), answered)

    def change(self):
        """A version is accepted by a majority, acknowledged, and sent to nodes in contact, to some late or never."""
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

    def check_revocation(self):
        """A request that is sent now: does the proxy run it with a key that was taken away over REVOKE_S ago?"""
        now = self.world.now()
        for proxy, configuration_freshness in self.configuration_freshness.items():
            if (
                configuration_freshness.age_s(version=self.version[proxy])
                >= REVOKE_S * credential_freshness.MAX_KEY_AGE_SHARE
            ):
                continue
            newer = [when for version, when in self.acknowledged.items() if version > self.version[proxy]]
            self.late += bool(newer) and now > min(newer) + REVOKE_S
        self.world.later(0.05, self.check_revocation)

    def play(self):
        for callback in (
            self.send_heartbeats,
            self.send_request,
            self.change,
            self.inject_fault,
            self.check_revocation,
        ):
            self.world.later(self.chance.uniform(0.0, 0.4), callback)
        self.world.run(until=90.0)
        return self.late


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_no_proxy_trusts_a_key_after_the_revocation_bound(first):
    assert [Keys(seed=seed).play() for seed in range(first, first + 10)] == [0] * 10


def test_mutant_that_counts_freshness_from_the_reply_is_detected():
    assert any(Keys(seed=seed, counts_from_grant=True).play() for seed in range(10))


def test_mutant_that_ignores_the_majority_is_detected(monkeypatch):
    monkeypatch.setattr(majority_lease.MajorityLease, "fresh_as_of", lambda self, **_about: self._now())
    assert any(Keys(seed=seed).play() for seed in range(10))

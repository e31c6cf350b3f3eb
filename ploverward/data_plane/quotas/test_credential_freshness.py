"""Freshness of a proxy's configuration, in random histories of changes, partitions and late replies."""

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
    assert configuration_freshness.age_s(version=4) == float("inf")  # this proxy does not have version 5 yet
    configuration_freshness.record(core="other", version=4, sent_at=9.9, age_s=3.0)
    assert configuration_freshness.age_s(version=4) == pytest.approx(3.1)


REVOKE_S = 5.0
CORES = ("a", "b", "c", "d", "e")


class Core:
    """A simulated core node: its heartbeats, and the newest versions that it accepted and that it knows as chosen."""

    def __init__(self, *, world, name):
        self.world, self.name = world, name
        self.accepted = self.known = 1
        self.lease = majority_lease.MajorityLease(own=name, now=world.now, lease_s=1.2)

    def freshness(self):
        as_of = self.lease.fresh_as_of(
            members=CORES, version=1, known_version=self.known, accepted_version=self.accepted
        )
        return self.known, self.world.now() - as_of


class RevocationSimulation:
    """Simulates configuration changes at a majority of core nodes, partitions, and requests of proxies for freshness.

    Args:
        seed: Seeds the simulated world.
        counts_from_reply: A mutant: freshness counts from the reply instead of from the request.
    """

    def __init__(self, *, seed, counts_from_reply=False):
        self.world = simulated_world.World(seed=seed)
        self.rng = self.world.chance
        self.counts_from_reply = counts_from_reply
        self.cores = {name: Core(world=self.world, name=name) for name in CORES}
        self.configuration_freshness = {
            name: credential_freshness.ConfigurationFreshness(now=self.world.now) for name in ("p", "q")
        }
        self.version = dict.fromkeys(self.configuration_freshness, 1)
        self.partitioned_pairs = set()
        self.acknowledged = {1: 0.0}  # by version: when it was acknowledged
        self.late_acceptances = 0

    def can_reach(self, one, other):
        return (one, other) not in self.partitioned_pairs and (other, one) not in self.partitioned_pairs

    def send_heartbeats(self):
        for core in self.cores.values():
            heartbeat = core.lease.next_heartbeat(version=1)
            for other in self.cores.values():
                if other is not core and self.can_reach(core.name, other.name):
                    self._send_heartbeat(core, other, heartbeat)
        self.world.later(0.4, self.send_heartbeats)

    def _send_heartbeat(self, core, other, heartbeat):
        def send_reply():
            reply = messages.HeartbeatReply(
                number=heartbeat.number, core_set_version=1, configuration_version=other.accepted
            )
            self.world.later(delay(), lambda: core.lease.handle_reply(member=other.name, reply=reply))

        def delay():
            return self.rng.uniform(0.01, 0.1) if self.rng.random() < 0.95 else self.rng.uniform(0.5, 4.0)

        self.world.later(delay(), send_reply)

    def send_requests(self):
        for proxy, configuration_freshness in self.configuration_freshness.items():
            for core in self.cores.values():
                if self.can_reach(proxy, core.name):
                    self._send_request(proxy, configuration_freshness, core, self.world.now())
        self.world.later(0.4, self.send_requests)

    def _send_request(self, proxy, configuration_freshness, core, sent_at):
        def send_reply():
            version, age_s = core.freshness()
            delay_s = self.rng.uniform(0.01, 0.1) if self.rng.random() < 0.8 else self.rng.uniform(1.0, 6.0)
            self.world.later(delay_s, lambda: record(version, age_s))

        def record(version, age_s):
            recorded_at = self.world.now() if self.counts_from_reply else sent_at
            configuration_freshness.record(core=core.name, version=version, sent_at=recorded_at, age_s=age_s)

        self.world.later(self.rng.uniform(0.01, 0.1), send_reply)

    def change_configuration(self):
        """Has a majority accept and acknowledge a new version, which nodes in contact receive, some late or never."""
        version = max(self.acknowledged) + 1
        proposer = self.rng.choice(CORES)
        reachable = [name for name in CORES if name == proposer or self.can_reach(proposer, name)]
        if len(reachable) >= 3:
            for name in reachable:
                self.cores[name].accepted = version
            self.acknowledged[version] = self.world.now()
            for name in reachable:
                self.world.later(self.rng.uniform(0.0, 1.0), lambda name=name: self._learn_version(name, version))
        self.world.later(self.rng.uniform(1.0, 8.0), self.change_configuration)

    def _learn_version(self, name, version):
        core = self.cores[name]
        core.known = max(core.known, version)
        for proxy in self.version:
            if self.can_reach(proxy, name):
                self.world.later(
                    self.rng.uniform(0.0, 2.0), lambda proxy=proxy: self._install_configuration(proxy, version)
                )

    def _install_configuration(self, proxy, version):
        self.version[proxy] = max(self.version[proxy], version)

    def inject_fault(self):
        names = [*CORES, *self.version]
        group = self.rng.sample(names, self.rng.randint(1, 4))
        cut_pairs = {(one, other) for one in group for other in names if other not in group}
        self.partitioned_pairs |= cut_pairs
        self.world.later(self.rng.uniform(1.0, 9.0), lambda: self.partitioned_pairs.difference_update(cut_pairs))
        self.world.later(self.rng.uniform(2.0, 8.0), self.inject_fault)

    def check_revocation(self):
        """Counts the proxies that would now accept a key that was revoked more than `REVOKE_S` ago."""
        now = self.world.now()
        for proxy, configuration_freshness in self.configuration_freshness.items():
            if (
                configuration_freshness.age_s(version=self.version[proxy])
                >= REVOKE_S * credential_freshness.MAX_KEY_AGE_SHARE
            ):
                continue
            newer = [
                acknowledged_at
                for version, acknowledged_at in self.acknowledged.items()
                if version > self.version[proxy]
            ]
            self.late_acceptances += bool(newer) and now > min(newer) + REVOKE_S
        self.world.later(0.05, self.check_revocation)

    def run(self):
        for callback in (
            self.send_heartbeats,
            self.send_requests,
            self.change_configuration,
            self.inject_fault,
            self.check_revocation,
        ):
            self.world.later(self.rng.uniform(0.0, 0.4), callback)
        self.world.run(until=90.0)
        return self.late_acceptances


@pytest.mark.parametrize("first", range(0, 40, 10))
def test_no_proxy_trusts_a_key_after_the_revocation_bound(first):
    assert [RevocationSimulation(seed=seed).run() for seed in range(first, first + 10)] == [0] * 10


def test_mutant_that_counts_freshness_from_the_reply_is_detected():
    assert any(RevocationSimulation(seed=seed, counts_from_reply=True).run() for seed in range(10))


def test_mutant_that_ignores_the_majority_is_detected(monkeypatch):
    monkeypatch.setattr(majority_lease.MajorityLease, "fresh_as_of", lambda self, **_kwargs: self._now())
    assert any(RevocationSimulation(seed=seed).run() for seed in range(10))

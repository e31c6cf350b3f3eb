"""Tests of resolution: pools exist for listed replicas that were sent requests, unless their identities conflict."""

from ploverward.data_plane.relay import resolution
from ploverward.simulation import relay_hosts


def test_pool_exists_only_with_unambiguous_replica_that_was_sent_requests():
    row = [relay_hosts.replica("r1")]
    assert resolution.resolve(region="north", services=relay_hosts.SERVICES, replicas=row, sent=set())[0] == {}
    assert resolution.resolve(region="south", services=relay_hosts.SERVICES, replicas=row, sent={"r1"}).pools == {}
    assert (
        resolution.resolve(region="north", services=relay_hosts.SERVICES, replicas=row + row, sent={"r1"}).pools == {}
    )
    pools, _conflicts = resolution.resolve(region="north", services=relay_hosts.SERVICES, replicas=row, sent={"r1"})
    assert list(pools.values()) == [("llm", "m", 1000, frozenset({"r1"}))]


def test_pools_with_same_id_are_reported_as_conflict_and_not_merged():
    services = {"llm": relay_hosts.SERVICES["llm"], "other": relay_hosts.SERVICES["llm"]}
    pools, conflicts = resolution.resolve(
        region="north",
        services=services,
        replicas=[relay_hosts.replica("r1"), relay_hosts.replica("r2", service="other")],
        sent={"r1", "r2"},
        domain=lambda *, service, model: "same",
    )
    assert pools == {} and len(conflicts) == 1

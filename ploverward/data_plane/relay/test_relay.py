"""Tests of the relay from a digest's report to a mirror: generations, owner bits, wide pools, broken streams."""

import pytest

from ploverward.common import errors
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import host as hosts
from ploverward.data_plane.relay import hub as hubs
from ploverward.data_plane.relay import mirror as mirrors
from ploverward.simulation import recording_connections
from ploverward.simulation import relay_hosts
from ploverward.transport import messages
from ploverward.transport import row_codec


def test_catalogue_of_lower_epoch_is_rejected():
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    region.handle_publication(messages.Catalogue(3, ()))
    with pytest.raises(errors.FrameError):
        region.handle_publication(messages.Catalogue(2, ()))


def test_relay_of_higher_epoch_starts_higher_generations():
    old, _clock = relay_hosts.make_host(epoch=1)
    new, _clock = relay_hosts.make_host(epoch=2)
    for host in (old, new):
        relay_hosts.report_attempt(host)
    assert next(iter(new.registry.pools.values())).generation > next(iter(old.registry.pools.values())).generation


def test_broken_mirror_is_used_for_trust_time_then_returns_nothing():
    host, clock = relay_hosts.make_host()
    wire = recording_connections.RecordingLink()
    source = relay_hosts.report_attempt(host)
    relay_hosts.record_prompt(host, source, "r1", "a")
    host.subscribe(wire, region="north")
    region = mirrors.RegionMirror(now=lambda: clock[0], trust_s=5.0)
    relay_hosts.apply_publications(region, wire)
    region.mark_broken()
    clock[0] = 4.9
    assert region.cached_tokens(service="llm", model="m", chain=relay_hosts.rows("a"), replicas=("r1",)) == {"r1": 10}
    clock[0] = 5.2
    assert region.cached_tokens(service="llm", model="m", chain=relay_hosts.rows("a"), replicas=("r1",)) == {}


def test_owner_bit_of_removed_replica_is_cleared_before_reuse():
    host, _clock = relay_hosts.make_host()
    wire = recording_connections.RecordingLink()
    source = relay_hosts.report_attempt(host)
    relay_hosts.record_prompt(host, source, "r1", "a")
    host.subscribe(wire, region="north")
    host.sync(services=relay_hosts.SERVICES, replicas=[relay_hosts.replica("r2"), relay_hosts.replica("r9")])
    relay_hosts.send_report(host, source, recording_connections.load_row("r2", running=1, tokens=20))
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    relay_hosts.apply_publications(region, wire)
    host.tick()
    relay_hosts.apply_publications(region, wire)
    assert region.cached_tokens(service="llm", model="m", chain=relay_hosts.rows("a"), replicas=("r1", "r2", "r9")) == {
        "r2": 0,
        "r9": 0,
    }


def set_up_roll_out(count, *, more=1):
    """Sets up a roll-out: a pool of `count` old and `count * more` new replicas that all have one part in their caches.

    Returns:
        The relay, a mirror, its connection, the generation before the roll-out, ids of the old and of the new replicas,
        and the rows of the new replicas.
    """
    host = hosts.RelayHost(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    old = [relay_hosts.replica(f"old{number}") for number in range(count)]
    host.sync(services=relay_hosts.SERVICES, replicas=old)
    source = relay_hosts.report_attempt(host, "old0")
    reader = recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    for row in old:
        relay_hosts.record_prompt(host, source, row["id"], "shared")
    first = next(iter(host.registry.pools.values())).generation
    new = [relay_hosts.replica(f"new{number}") for number in range(count * more)]
    host.sync(services=relay_hosts.SERVICES, replicas=old + new)
    relay_hosts.send_report(host, source, recording_connections.load_row("new0", running=1))
    for row in new:
        relay_hosts.record_prompt(host, source, row["id"], "shared")
    relay_hosts.publish_all(host)
    relay_hosts.apply_publications(region, reader)
    return host, region, reader, first, [row["id"] for row in old], [row["id"] for row in new], new


def test_small_pool_has_owner_bits_for_old_and_new_replicas_during_roll_out():
    host, region, reader, first, old, new, new_rows = set_up_roll_out(10)
    names = old + new
    cached_tokens = region.cached_tokens(service="llm", model="m", chain=relay_hosts.rows("shared"), replicas=names)
    assert cached_tokens == dict.fromkeys(names, 10)
    pool = next(iter(host.registry.pools.values()))
    assert (
        pool.generation == first and len(set(pool.actor.owner_bits.values())) == 20 and pool.actor.omission_count == 0
    )
    assert not pool.actor.is_wide
    host.sync(services=relay_hosts.SERVICES, replicas=new_rows)
    host.tick()
    relay_hosts.apply_publications(region, reader)
    cached_tokens = region.cached_tokens(service="llm", model="m", chain=relay_hosts.rows("shared"), replicas=names)
    assert cached_tokens == dict.fromkeys(new, 10)


def test_pool_with_too_many_owners_becomes_wide_under_new_generation():
    host, region, reader, first, old, new, new_rows = set_up_roll_out(10, more=4)
    names = old + new
    cached_tokens = region.cached_tokens(service="llm", model="m", chain=relay_hosts.rows("shared"), replicas=names)
    assert cached_tokens == dict.fromkeys(names, 10)
    pool = next(iter(host.registry.pools.values()))
    assert pool.generation > first and pool.actor.is_wide and pool.actor.omission_count == 0
    assert pool.actor.owners(relay_hosts.rows("shared")[0][0]) == set(names)


def test_removal_of_many_replicas_from_wide_pool_keeps_publication_bounded():
    """Guards against a burst of deltas when many replicas of a pool are removed at once.

    In a release on bbs-ploverward-large, the digest's connection stalled while the owner bits of the removed replicas
    were cleared in all slots.
    """
    services = {"llm": {"models": ("m",), "cache_tokens": 10**6}}
    host = hosts.RelayHost(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    names = [f"r{number}" for number in range(40)]
    host.sync(services=services, replicas=[relay_hosts.replica(name) for name in names])
    source, reader = relay_hosts.report_attempt(host, "r0"), recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    for name in names:
        relay_hosts.record_prompt(host, source, name, *(f"{name}-{number}" for number in range(40)))
    relay_hosts.publish_all(host)
    reader.clear()
    host.sync(services=services, replicas=[relay_hosts.replica(name) for name in names[:20]])
    sizes = []
    for _ in range(120):
        host.tick()
        sizes.append(sum(len(delta.bucket_rows) for delta in reader.of_type(messages.PoolDelta)))
        reader.clear()
    row = hubs.ROW.size + len(cuckoo_filter.empty_image(words=cuckoo_filter.WIDE))
    assert max(sizes) == hosts.LOCAL_BUCKETS_PER_TICK * row and sizes[-1] == 0


def test_wide_pool_keeps_all_old_and_new_replicas_as_owners_during_roll_out():
    host, region, reader, first, old, new, new_rows = set_up_roll_out(300)
    names = old + new
    cached_tokens = region.cached_tokens(service="llm", model="m", chain=relay_hosts.rows("shared"), replicas=names)
    assert cached_tokens == dict.fromkeys(names, 10)
    pool = next(iter(host.registry.pools.values()))
    assert pool.actor.is_wide and len(pool.actor.owner_bits) == 600 and pool.actor.omission_count == 0
    assert pool.generation == first  # tags need no owner bits, so a roll-out starts no new generation
    full_hash = relay_hosts.rows("shared")[0][0]
    assert pool.actor.owners(full_hash) == set(names)
    host.sync(services=relay_hosts.SERVICES, replicas=new_rows)
    relay_hosts.publish_all(host)
    relay_hosts.apply_publications(region, reader)
    assert pool.actor.owners(full_hash) == set(new)
    (mirror,) = region.pools.values()
    owners = mirror.owners(full_hash, pool_size=300)
    assert owners.is_widespread and not any(owners.names(row_codec.replica_key(name)) for name in old)


def test_wide_pool_names_first_owners_of_part_and_counts_others():
    host = hosts.RelayHost(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    names = [f"r{number}" for number in range(200)]
    host.sync(services=relay_hosts.SERVICES, replicas=[relay_hosts.replica(name) for name in names])
    source = relay_hosts.report_attempt(host, "r0")
    reader = recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    for name in names[:7]:
        relay_hosts.record_prompt(host, source, name, "root", "leaf")
    for name in names[7:150]:
        relay_hosts.record_prompt(host, source, name, "root", f"own{name}")
    relay_hosts.publish_all(host)
    relay_hosts.apply_publications(region, reader)

    def cached_tokens(*chosen):
        return region.cached_tokens(
            service="llm", model="m", chain=relay_hosts.rows("root", "leaf"), replicas=chosen, pool_size=len(names)
        )

    assert cached_tokens("r0", "r3", "r6", "r150") == {"r0": 20, "r3": 20, "r6": 10, "r150": 10}
    depth, tags = region.named_owners(service="llm", model="m", chain=relay_hosts.rows("root", "leaf"))
    assert depth == 2 and tags == tuple(row_codec.replica_key(name)[: cuckoo_filter.TAG_SIZE] for name in names[:4])
    host.sync(
        services=relay_hosts.SERVICES,
        replicas=[relay_hosts.replica(name) for name in names if name not in ("r1", "r2")],
    )
    relay_hosts.publish_all(host)
    relay_hosts.apply_publications(region, reader)
    _depth, tags = region.named_owners(service="llm", model="m", chain=relay_hosts.rows("root", "leaf"))
    expected = ("r0", "r3", "r4", "r5")  # later owners take the place of removed ones
    assert tags == tuple(row_codec.replica_key(name)[: cuckoo_filter.TAG_SIZE] for name in expected)
    assert cached_tokens("r6") == {"r6": 10}


def test_full_filter_grows_under_new_generation_after_old_one_is_withdrawn():
    services = {"llm": {"models": ("m",), "cache_tokens": 10**5}}
    host = hosts.RelayHost(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    host.sync(services=services, replicas=[relay_hosts.replica("r1")])
    source = relay_hosts.report_attempt(host)
    reader = recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    relay_hosts.apply_publications(region, reader)
    names = [f"p{number}" for number in range(6000)]
    for start in range(0, len(names), 100):
        relay_hosts.send_report(
            host,
            source,
            reads=[recording_connections.read_row("r1", (name, 10)) for name in names[start : start + 100]],
        )
        host.tick()
    pool = next(iter(host.registry.pools.values()))
    while pool.hubs[False].queued_bucket_count():  # a limited number of buckets is published at a time
        host.tick()
    expected = [messages.PoolWithdrawn, messages.Catalogue, messages.PoolCut]
    kinds = [kind for kind in reader.kinds() if kind in expected]
    assert kinds[:3] == expected
    relay_hosts.apply_publications(region, reader)
    published_names = [
        name
        for name in names
        if region.cached_tokens(service="llm", model="m", chain=relay_hosts.rows(name), replicas=("r1",)) == {"r1": 10}
    ]
    assert len(published_names) == len(names)

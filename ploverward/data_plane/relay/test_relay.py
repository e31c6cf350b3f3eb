"""The relay from a digest's report to a proxy's mirror: generations, owner bits, wide pools, broken streams."""

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


def test_a_lower_epoch_is_refused():
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    region.handle_publication(messages.Catalogue(3, ()))
    with pytest.raises(errors.FrameError):
        region.handle_publication(messages.Catalogue(2, ()))


def test_a_new_relay_starts_new_generations():
    old, _clock = relay_hosts.make_host(epoch=1)
    new, _clock = relay_hosts.make_host(epoch=2)
    for host in (old, new):
        relay_hosts.send(host)
    assert next(iter(new.registry.pools.values())).generation > next(iter(old.registry.pools.values())).generation


def test_a_broken_mirror_decides_for_a_time_then_counts_as_unknown():
    host, clock = relay_hosts.make_host()
    wire = recording_connections.RecordingLink()
    source = relay_hosts.send(host)
    relay_hosts.read(host, source, "r1", "a")
    host.subscribe(wire, region="north")
    region = mirrors.RegionMirror(now=lambda: clock[0], trust_s=5.0)
    relay_hosts.feed(region, wire)
    region.fail()
    clock[0] = 4.9
    assert region.kept(service="llm", model="m", chain=relay_hosts.rows("a"), replicas=("r1",)) == {"r1": 10}
    clock[0] = 5.2
    assert region.kept(service="llm", model="m", chain=relay_hosts.rows("a"), replicas=("r1",)) == {}


def test_a_removed_replica_owns_nothing_and_its_owner_bit_is_cleared_before_reuse():
    host, _clock = relay_hosts.make_host()
    wire = recording_connections.RecordingLink()
    source = relay_hosts.send(host)
    relay_hosts.read(host, source, "r1", "a")
    host.subscribe(wire, region="north")
    host.sync(services=relay_hosts.SERVICES, replicas=[relay_hosts.replica("r2"), relay_hosts.replica("r9")])
    relay_hosts.send_report(host, source, recording_connections.load_row("r2", running=1, tokens=20))
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    relay_hosts.feed(region, wire)
    host.tick()
    relay_hosts.feed(region, wire)
    assert region.kept(service="llm", model="m", chain=relay_hosts.rows("a"), replicas=("r1", "r2", "r9")) == {
        "r2": 0,
        "r9": 0,
    }


def roll_out(count, *, more=1):
    """A pool whose replicas are replaced, old and new lives (so many times more) side by side, all keeping one part."""
    host = hosts.Host(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    old = [relay_hosts.replica(f"old{number}") for number in range(count)]
    host.sync(services=relay_hosts.SERVICES, replicas=old)
    source = relay_hosts.send(host, "old0")
    reader = recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    for row in old:
        relay_hosts.read(host, source, row["id"], "shared")
    first = next(iter(host.registry.pools.values())).generation
    new = [relay_hosts.replica(f"new{number}") for number in range(count * more)]
    host.sync(services=relay_hosts.SERVICES, replicas=old + new)
    relay_hosts.send_report(host, source, recording_connections.load_row("new0", running=1))
    for row in new:
        relay_hosts.read(host, source, row["id"], "shared")
    relay_hosts.drain(host)
    relay_hosts.feed(region, reader)
    return host, region, reader, first, [row["id"] for row in old], [row["id"] for row in new], new


def test_a_small_pool_has_an_owner_bit_for_each_old_and_new_incarnation():
    host, region, reader, first, old, new, rows_left = roll_out(10)
    names = old + new
    kept = region.kept(service="llm", model="m", chain=relay_hosts.rows("shared"), replicas=names)
    assert kept == dict.fromkeys(names, 10)
    pool = next(iter(host.registry.pools.values()))
    assert pool.generation == first and len(set(pool.actor.owner_bits.values())) == 20 and pool.actor.omitted == 0
    assert not pool.actor.is_wide
    host.sync(services=relay_hosts.SERVICES, replicas=rows_left)
    host.tick()
    relay_hosts.feed(region, reader)
    kept = region.kept(service="llm", model="m", chain=relay_hosts.rows("shared"), replicas=names)
    assert kept == dict.fromkeys(new, 10)


def test_a_pool_that_outgrows_its_owner_bits_is_wide_under_a_new_generation():
    host, region, reader, first, old, new, rows_left = roll_out(10, more=4)
    names = old + new
    kept = region.kept(service="llm", model="m", chain=relay_hosts.rows("shared"), replicas=names)
    assert kept == dict.fromkeys(names, 10)
    pool = next(iter(host.registry.pools.values()))
    assert pool.generation > first and pool.actor.is_wide and pool.actor.omitted == 0
    assert pool.actor.owners(relay_hosts.rows("shared")[0][0]) == set(names)


def test_replicas_that_leave_a_wide_pool_at_once_cost_no_burst():
    """A release on bbs-ploverward-large: the digest's link stood still while lanes of those gone were cleared."""
    services = {"llm": {"models": ("m",), "cache_tokens": 10**6}}
    host = hosts.Host(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    names = [f"r{number}" for number in range(40)]
    host.sync(services=services, replicas=[relay_hosts.replica(name) for name in names])
    source, reader = relay_hosts.send(host, "r0"), recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    for name in names:
        relay_hosts.read(host, source, name, *(f"{name}-{number}" for number in range(40)))
    relay_hosts.drain(host)
    reader.clear()
    host.sync(services=services, replicas=[relay_hosts.replica(name) for name in names[:20]])
    sizes = []
    for _ in range(120):
        host.tick()
        sizes.append(sum(len(delta.bucket_rows) for delta in reader.of_type(messages.PoolDelta)))
        reader.clear()
    row = hubs.ROW.size + len(cuckoo_filter.empty_image(words=cuckoo_filter.WIDE))
    assert max(sizes) == hosts.NEAR_BUCKETS * row and sizes[-1] == 0


def test_a_pool_of_several_hundred_replicas_with_old_and_new_incarnations_keeps_all_in_choice():
    host, region, reader, first, old, new, rows_left = roll_out(300)
    names = old + new
    kept = region.kept(service="llm", model="m", chain=relay_hosts.rows("shared"), replicas=names)
    assert kept == dict.fromkeys(names, 10)
    pool = next(iter(host.registry.pools.values()))
    assert pool.actor.is_wide and len(pool.actor.owner_bits) == 600 and pool.actor.omitted == 0
    assert pool.generation == first  # tags need no room: nothing is withdrawn for a roll-out
    full_hash = relay_hosts.rows("shared")[0][0]
    assert pool.actor.owners(full_hash) == set(names)
    host.sync(services=relay_hosts.SERVICES, replicas=rows_left)
    relay_hosts.drain(host)
    relay_hosts.feed(region, reader)
    assert pool.actor.owners(full_hash) == set(new)
    (mirror,) = region.pools.values()
    owners = mirror.owners(full_hash, pool_size=300)
    assert owners.is_most and not any(owners.names(row_codec.replica_key(name)) for name in old)


def test_a_wide_pool_names_the_first_owners_of_a_part_and_counts_the_others():
    host = hosts.Host(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    names = [f"r{number}" for number in range(200)]
    host.sync(services=relay_hosts.SERVICES, replicas=[relay_hosts.replica(name) for name in names])
    source = relay_hosts.send(host, "r0")
    reader = recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    for name in names[:7]:
        relay_hosts.read(host, source, name, "root", "leaf")
    for name in names[7:150]:
        relay_hosts.read(host, source, name, "root", f"own{name}")
    relay_hosts.drain(host)
    relay_hosts.feed(region, reader)

    def kept(*chosen):
        return region.kept(
            service="llm", model="m", chain=relay_hosts.rows("root", "leaf"), replicas=chosen, pool_size=len(names)
        )

    assert kept("r0", "r3", "r6", "r150") == {"r0": 20, "r3": 20, "r6": 10, "r150": 10}
    depth, tags = region.named_owners(service="llm", model="m", chain=relay_hosts.rows("root", "leaf"))
    assert depth == 2 and tags == tuple(row_codec.replica_key(name)[: cuckoo_filter.TAG_SIZE] for name in names[:4])
    host.sync(
        services=relay_hosts.SERVICES,
        replicas=[relay_hosts.replica(name) for name in names if name not in ("r1", "r2")],
    )
    relay_hosts.drain(host)
    relay_hosts.feed(region, reader)
    _depth, tags = region.named_owners(service="llm", model="m", chain=relay_hosts.rows("root", "leaf"))
    expected = ("r0", "r3", "r4", "r5")  # others take the place of those that are gone
    assert tags == tuple(row_codec.replica_key(name)[: cuckoo_filter.TAG_SIZE] for name in expected)
    assert kept("r6") == {"r6": 10}


def test_a_full_filter_grows_under_a_new_generation_and_withdraws_the_old_one_first():
    services = {"llm": {"models": ("m",), "cache_tokens": 10**5}}
    host = hosts.Host(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    host.sync(services=services, replicas=[relay_hosts.replica("r1")])
    source = relay_hosts.send(host)
    reader = recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    relay_hosts.feed(region, reader)
    names = [f"p{number}" for number in range(6000)]
    for start in range(0, len(names), 100):
        relay_hosts.send_report(
            host,
            source,
            reads=[recording_connections.read_row("r1", (name, 10)) for name in names[start : start + 100]],
        )
        host.tick()
    pool = next(iter(host.registry.pools.values()))
    while pool.hubs[False].waiting():  # so many buckets at a time are told
        host.tick()
    expected = [messages.PoolWithdrawn, messages.Catalogue, messages.PoolCut]
    kinds = [kind for kind in reader.kinds() if kind in expected]
    assert kinds[:3] == expected
    relay_hosts.feed(region, reader)
    kept = [
        name
        for name in names
        if region.kept(service="llm", model="m", chain=relay_hosts.rows(name), replicas=("r1",)) == {"r1": 10}
    ]
    assert len(kept) == len(names)

"""The relay: ownership, refcounts, publication, fencing, withdrawal order, whole-frame installation."""

import random

import pytest

from ploverward.common import errors
from ploverward.data_plane.relay import actor as actors
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import host as hosts
from ploverward.data_plane.relay import hub as hubs
from ploverward.data_plane.relay import mirror as mirrors
from ploverward.data_plane.relay import pool_mirror
from ploverward.data_plane.relay import pool_registry
from ploverward.data_plane.relay import resolution
from ploverward.simulation import recording_connections
from ploverward.transport import messages
from ploverward.transport import row_codec

SERVICES = {"llm": {"models": ("m",), "cache_tokens": 1000}}
POOL_ID = resolution.PoolId(1, "d", "north")
RESOLVED = resolution.ResolvedPool("llm", "m", 100, frozenset({"r1"}))


def rows(*names, tokens=10):
    return cuckoo_filter.chain(model="m", parts=[(name, tokens) for name in names])


def replica(name, *, service="llm", region="north"):
    return {"id": name, "service": service, "region": region, "models": ["m"]}


def find_bits(table, full_hash):
    """What the slot of a hash says of its owners; 0 where it has none."""
    fingerprint, *buckets = cuckoo_filter.fingerprint_and_buckets(full_hash=full_hash, bucket_count=table.bucket_count)
    found = 0
    for index in buckets:
        for stored, bits in table.buckets[index]:
            if stored == fingerprint:
                found |= bits
    return found


def owner_bits(actor, full_hash):
    return find_bits(actor.filter, full_hash)


def test_sequence_hash_root_is_the_token_hash_and_children_extend():
    first = cuckoo_filter.token_hash(model="m", part="a", tokens=10)
    one, two = rows("a", "b")
    assert one[0] == first
    assert two[0] == cuckoo_filter.sequence_hash(
        parent=first, token_hash=cuckoo_filter.token_hash(model="m", part="b", tokens=10)
    )
    assert rows("x", "b")[1][0] != two[0]


def test_first_owner_inserts_and_last_exit_removes():
    actor = actors.Actor(cache_tokens=1000)
    chain = rows("a")
    actor.read(replica="r1", rows=chain)
    actor.read(replica="r2", rows=chain)
    assert owner_bits(actor, chain[0][0]) == 0b11
    actor.forget(replica="r1", full_hash=chain[0][0])
    assert owner_bits(actor, chain[0][0]) == 0b10
    actor.drop(replica="r2")
    assert owner_bits(actor, chain[0][0]) == 0
    assert actor.owners(chain[0][0]) == frozenset()


def test_unknown_removals_do_nothing():
    actor = actors.Actor(cache_tokens=1000)
    actor.read(replica="r1", rows=rows("a"))
    before = [list(bucket) for bucket in actor.filter.buckets]
    actor.forget(replica="r1", full_hash=b"12345678")
    actor.forget(replica="nobody", full_hash=rows("a")[0][0])
    actor.drop(replica="nobody")
    assert actor.filter.buckets == before


def test_least_recently_used_parts_are_evicted():
    actor = actors.Actor(cache_tokens=40)
    for name in "abcd":
        actor.read(replica="r1", rows=rows(name))
    actor.read(replica="r1", rows=rows("a"))
    actor.read(replica="r1", rows=rows("e"))
    assert owner_bits(actor, rows("b")[0][0]) == 0
    assert owner_bits(actor, rows("a")[0][0]) == 1
    assert actor.kept_tokens("r1") == 40


@pytest.mark.parametrize("seed", range(10))
def test_filter_agrees_with_exact_ownership(seed):
    chance = random.Random(seed)
    actor = actors.Actor(cache_tokens=400, bucket_count=64)
    names = [f"p{number}" for number in range(60)]
    for _ in range(600):
        who = chance.choice(("r1", "r2", "r3"))
        if chance.random() < 0.03:
            actor.drop(replica=who)
        else:
            actor.read(replica=who, rows=rows(*chance.sample(names, 2)))
    for full_hash in actor._owners:
        expected = sum(1 << actor.owner_bits[owner] for owner in actor.owners(full_hash))
        assert owner_bits(actor, full_hash) & expected == expected or actor.omitted


def test_a_full_filter_leaves_nothing_half_moved():
    table = cuckoo_filter.Filter(bucket_count=2)
    chance = random.Random(4)
    inserted = []
    for _ in range(40):
        full_hash = chance.randbytes(8)
        before = [list(bucket) for bucket in table.buckets]
        if table.put(full_hash=full_hash, bits=1):
            inserted.append(full_hash)
        else:
            assert table.buckets == before
    assert all(find_bits(table, full_hash) for full_hash in inserted)


def test_pool_needs_a_live_replica_that_was_sent_requests():
    row = [replica("r1")]
    assert resolution.resolve(region="north", services=SERVICES, replicas=row, sent=set())[0] == {}
    assert resolution.resolve(region="south", services=SERVICES, replicas=row, sent={"r1"}).pools == {}
    assert resolution.resolve(region="north", services=SERVICES, replicas=row + row, sent={"r1"}).pools == {}
    pools, _conflicts = resolution.resolve(region="north", services=SERVICES, replicas=row, sent={"r1"})
    assert list(pools.values()) == [("llm", "m", 1000, frozenset({"r1"}))]


def test_colliding_pool_ids_are_fenced_never_merged():
    services = {"llm": SERVICES["llm"], "other": SERVICES["llm"]}
    pools, conflicts = resolution.resolve(
        region="north",
        services=services,
        replicas=[replica("r1"), replica("r2", service="other")],
        sent={"r1", "r2"},
        domain=lambda *, service, model: "same",
    )
    assert pools == {} and len(conflicts) == 1


def make_host(*, epoch=1):
    clock = [0.0]
    host = hosts.Host(region="north", epoch=epoch, now=lambda: clock[0], suspicion_s=1.0)
    host.sync(services=SERVICES, replicas=[replica("r1"), replica("r2")])
    return host, clock


def send_report(host, wire, *loads, reads=()):
    """The next cut of the digest at the other end of `wire`."""
    if wire not in host.subscribers:
        host.subscribe(wire, region="north")
    host.handle_aggregates(
        wire, recording_connections.aggregates_message(host.subscribers[wire].counted + 1, loads=loads, reads=reads)
    )


def send(host, name="r1"):
    """One attempt at a replica has begun, told by a digest that only reports."""
    source = recording_connections.RecordingLink()
    send_report(host, source, recording_connections.load_row(name, running=1, tokens=20))
    return source


def read(host, source, name, *parts):
    send_report(host, source, reads=[recording_connections.read_row(name, *((part, 10) for part in parts))])


def feed(region, wire):
    for message in wire.messages:
        region.handle_publication(message)
    wire.clear()


def test_hub_is_lazy_and_each_subscriber_gets_a_cut_then_deltas():
    host, _clock = make_host()
    one, two = recording_connections.RecordingLink(), recording_connections.RecordingLink()
    registry = host.registry
    registry.sync(resolved={POOL_ID: RESOLVED})
    assert registry.pools[POOL_ID].hubs == {}  # nobody subscribed yet
    registry.sync(resolved={})
    source = send(host)
    read(host, source, "r1", "a", "b")
    host.subscribe(one, region="north")
    assert one.kinds()[:2] == ["catalogue", "cut"]
    read(host, source, "r2", "a")
    host.tick()
    host.subscribe(two, region="north")
    views = []
    for wire in (one, two):
        region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
        feed(region, wire)
        views.append(region.kept(service="llm", model="m", chain=rows("a", "b"), replicas=("r1", "r2")))
    assert views == [{"r1": 20, "r2": 10}] * 2


def test_a_wrong_sequence_installs_nothing():
    host, _clock = make_host()
    wire = recording_connections.RecordingLink()
    source = send(host)
    host.subscribe(wire, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    feed(region, wire)
    read(host, source, "r1", "a")
    read(host, source, "r1", "b")
    host.tick()
    delta = wire.of_type(messages.PoolDelta)[0]
    name, changed = delta.pool, delta.bucket_rows
    last = len(changed) - hubs.ROW.size - len(cuckoo_filter.empty_image(words=1))
    assert last > 0  # more than one bucket: the fault is in the last
    index, version = hubs.ROW.unpack_from(changed, last)
    broken = changed[:last] + hubs.ROW.pack(index, version + 1) + changed[last + hubs.ROW.size :]
    before = list(region.pools[name].buckets)
    for bad in (broken, changed[:-1], changed + b"x"):
        with pytest.raises(errors.FrameError):
            region.handle_publication(delta._replace(bucket_rows=bad))
        assert region.pools[name].buckets == before
    region.handle_publication(delta)
    assert region.pools[name].buckets != before


def test_withdrawal_comes_before_teardown_and_a_new_generation_follows():
    seen = []
    registry = pool_registry.Registry(
        on_withdraw=lambda pool: seen.append((pool.name, pool.actor is not None)),
        on_catalogue=lambda: None,
        first_generation=5,
    )
    identity = POOL_ID
    registry.sync(resolved={identity: RESOLVED})
    first = registry.pools[identity]
    registry.sync(resolved={})
    assert seen == [("1/d/north", True)] and first.actor is None
    registry.sync(resolved={identity: RESOLVED})
    assert registry.pools[identity].generation > first.generation


def test_a_fault_in_publication_fences_the_generation():
    seen = []
    registry = pool_registry.Registry(on_withdraw=seen.append, on_catalogue=lambda: None, first_generation=0)
    identity = POOL_ID
    registry.sync(resolved={identity: RESOLVED})
    pool = registry.pools[identity]
    registry.join(pool=pool, connection=recording_connections.RecordingLink(), is_far=False)
    pool.generation += 1
    registry.flush(is_far=False)
    assert [gone.name for gone in seen] == ["1/d/north"] and identity not in registry.pools


def test_an_overflowing_subscriber_is_closed_alone():
    actor = actors.Actor(cache_tokens=1000)
    hub = hubs.Hub(identity="p", generation=1, actor=actor)
    slow, quick = recording_connections.RecordingLink(), recording_connections.RecordingLink()
    hub.join(slow)
    hub.join(quick)
    slow.queue = hubs.QUEUE_LIMIT_BYTES + 1
    actor.read(replica="r1", rows=rows("a"))
    dirty, dirty_later = actor.filter.pop_dirty()
    hub.record(dirty=dirty, dirty_later=dirty_later)
    hub.flush()
    assert not slow.is_open and quick.is_open
    assert quick.kinds() == ["cut", "delta"] and hub.subscriber_count() == 1


def test_a_lower_epoch_is_refused():
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    region.handle_publication(messages.Catalogue(3, ()))
    with pytest.raises(errors.FrameError):
        region.handle_publication(messages.Catalogue(2, ()))


def test_a_new_relay_starts_new_generations():
    old, _clock = make_host(epoch=1)
    new, _clock = make_host(epoch=2)
    for host in (old, new):
        send(host)
    assert next(iter(new.registry.pools.values())).generation > next(iter(old.registry.pools.values())).generation


def test_a_broken_mirror_decides_for_a_time_then_counts_as_unknown():
    host, clock = make_host()
    wire = recording_connections.RecordingLink()
    source = send(host)
    read(host, source, "r1", "a")
    host.subscribe(wire, region="north")
    region = mirrors.RegionMirror(now=lambda: clock[0], trust_s=5.0)
    feed(region, wire)
    region.fail()
    clock[0] = 4.9
    assert region.kept(service="llm", model="m", chain=rows("a"), replicas=("r1",)) == {"r1": 10}
    clock[0] = 5.2
    assert region.kept(service="llm", model="m", chain=rows("a"), replicas=("r1",)) == {}


def test_a_removed_replica_owns_nothing_and_its_owner_bit_is_cleared_before_reuse():
    host, _clock = make_host()
    wire = recording_connections.RecordingLink()
    source = send(host)
    read(host, source, "r1", "a")
    host.subscribe(wire, region="north")
    host.sync(services=SERVICES, replicas=[replica("r2"), replica("r9")])
    send_report(host, source, recording_connections.load_row("r2", running=1, tokens=20))
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    feed(region, wire)
    host.tick()
    feed(region, wire)
    assert region.kept(service="llm", model="m", chain=rows("a"), replicas=("r1", "r2", "r9")) == {"r2": 0, "r9": 0}


def last_load(wire):
    """What a subscriber holds after all load frames that it was told."""
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    feed(region, wire)
    return region.load


def test_aggregates_of_digests_add_up_and_end_with_their_link():
    host, _clock = make_host()
    one, two, reader = (
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
    )
    host.subscribe(reader, region="north")
    send_report(host, one, recording_connections.load_row("r1", running=2, tokens=50))
    send_report(
        host,
        two,
        recording_connections.load_row("r1", running=1, tokens=10, suspect_count=1),
        recording_connections.load_row("r2", running=4),
    )
    host.tick()
    send_report(host, one, recording_connections.load_row("r1", running=2, tokens=30))
    host.tick()
    sent = reader.of_type(messages.ReplicaLoads)
    assert [len(recording_connections.loads_of(message)) for message in sent] == [0, 2, 1]  # only what changed
    key = row_codec.key_of
    assert last_load(reader) == {key("r1"): (3, 40, 1, 0), key("r2"): (4, 0, 0, 0)}
    assert one.messages[-2] == messages.AggregatesCounted(2)
    host.remove(two)
    host.tick()
    last = reader.of_type(messages.ReplicaLoads)[-1]
    assert recording_connections.loads_of(last) == {key("r1"): (2, 30, 0, 0), key("r2"): (0, 0, 0, 0)}
    host.remove(one)
    assert host.totals() == {}


def drain(host):
    """Ticks until all that changed was told."""
    for _ in range(2000):
        host.tick()
        if not any(hub.waiting() for pool in host.registry.pools.values() for hub in pool.hubs.values()):
            return
    raise AssertionError("never told")


def roll_out(count, *, more=1):
    """A pool whose replicas are replaced, old and new lives (so many times more) side by side, all keeping one part."""
    host = hosts.Host(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    old = [replica(f"old{number}") for number in range(count)]
    host.sync(services=SERVICES, replicas=old)
    source = send(host, "old0")
    reader = recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    for row in old:
        read(host, source, row["id"], "shared")
    first = next(iter(host.registry.pools.values())).generation
    new = [replica(f"new{number}") for number in range(count * more)]
    host.sync(services=SERVICES, replicas=old + new)
    send_report(host, source, recording_connections.load_row("new0", running=1))
    for row in new:
        read(host, source, row["id"], "shared")
    drain(host)
    feed(region, reader)
    return host, region, reader, first, [row["id"] for row in old], [row["id"] for row in new], new


def test_a_small_pool_has_an_owner_bit_for_each_old_and_new_incarnation():
    host, region, reader, first, old, new, rows_left = roll_out(10)
    names = old + new
    kept = region.kept(service="llm", model="m", chain=rows("shared"), replicas=names)
    assert kept == dict.fromkeys(names, 10)
    pool = next(iter(host.registry.pools.values()))
    assert pool.generation == first and len(set(pool.actor.owner_bits.values())) == 20 and pool.actor.omitted == 0
    assert not pool.actor.is_wide
    host.sync(services=SERVICES, replicas=rows_left)
    host.tick()
    feed(region, reader)
    kept = region.kept(service="llm", model="m", chain=rows("shared"), replicas=names)
    assert kept == dict.fromkeys(new, 10)


def test_a_pool_that_outgrows_its_owner_bits_is_wide_under_a_new_generation():
    host, region, reader, first, old, new, rows_left = roll_out(10, more=4)
    names = old + new
    kept = region.kept(service="llm", model="m", chain=rows("shared"), replicas=names)
    assert kept == dict.fromkeys(names, 10)
    pool = next(iter(host.registry.pools.values()))
    assert pool.generation > first and pool.actor.is_wide and pool.actor.omitted == 0
    assert pool.actor.owners(rows("shared")[0][0]) == set(names)


def test_replicas_that_leave_a_wide_pool_at_once_cost_no_burst():
    """A release on bbs-ploverward-large: the digest's link stood still while lanes of those gone were cleared."""
    services = {"llm": {"models": ("m",), "cache_tokens": 10**6}}
    host = hosts.Host(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    names = [f"r{number}" for number in range(40)]
    host.sync(services=services, replicas=[replica(name) for name in names])
    source, reader = send(host, "r0"), recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    for name in names:
        read(host, source, name, *(f"{name}-{number}" for number in range(40)))
    drain(host)
    reader.clear()
    host.sync(services=services, replicas=[replica(name) for name in names[:20]])
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
    kept = region.kept(service="llm", model="m", chain=rows("shared"), replicas=names)
    assert kept == dict.fromkeys(names, 10)
    pool = next(iter(host.registry.pools.values()))
    assert pool.actor.is_wide and len(pool.actor.owner_bits) == 600 and pool.actor.omitted == 0
    assert pool.generation == first  # tags need no room: nothing is withdrawn for a roll-out
    full_hash = rows("shared")[0][0]
    assert pool.actor.owners(full_hash) == set(names)
    host.sync(services=SERVICES, replicas=rows_left)
    drain(host)
    feed(region, reader)
    assert pool.actor.owners(full_hash) == set(new)
    (mirror,) = region.pools.values()
    owners = mirror.owners(full_hash, pool_size=300)
    assert owners.is_most and not any(owners.names(row_codec.key_of(name)) for name in old)


def test_a_wide_pool_names_the_first_owners_of_a_part_and_counts_the_others():
    host = hosts.Host(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    names = [f"r{number}" for number in range(200)]
    host.sync(services=SERVICES, replicas=[replica(name) for name in names])
    source = send(host, "r0")
    reader = recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    for name in names[:7]:
        read(host, source, name, "root", "leaf")
    for name in names[7:150]:
        read(host, source, name, "root", f"own{name}")
    drain(host)
    feed(region, reader)

    def kept(*chosen):
        return region.kept(service="llm", model="m", chain=rows("root", "leaf"), replicas=chosen, pool_size=len(names))

    assert kept("r0", "r3", "r6", "r150") == {"r0": 20, "r3": 20, "r6": 10, "r150": 10}
    depth, tags = region.named_owners(service="llm", model="m", chain=rows("root", "leaf"))
    assert depth == 2 and tags == tuple(row_codec.key_of(name)[: cuckoo_filter.TAG_SIZE] for name in names[:4])
    host.sync(services=SERVICES, replicas=[replica(name) for name in names if name not in ("r1", "r2")])
    drain(host)
    feed(region, reader)
    _depth, tags = region.named_owners(service="llm", model="m", chain=rows("root", "leaf"))
    expected = ("r0", "r3", "r4", "r5")  # others take the place of those that are gone
    assert tags == tuple(row_codec.key_of(name)[: cuckoo_filter.TAG_SIZE] for name in expected)
    assert kept("r6") == {"r6": 10}


def test_an_image_of_a_wide_pool_does_not_grow_with_its_replicas():
    sizes = {
        count: len(cuckoo_filter.empty_image(words=cuckoo_filter.words_for(owner_bits=count)))
        for count in (3, 16, 17, 200, 900, 4500)
    }
    assert sizes[3] == sizes[16] == 24
    assert sizes[17] == sizes[200] == sizes[900] == sizes[4500] == 60


def test_parts_that_others_look_for_are_published_before_those_of_one_request():
    actor = actors.Actor(cache_tokens=10**6)
    hub = hubs.Hub(identity="p", generation=1, actor=actor)
    reader = recording_connections.RecordingLink()
    hub.join(reader)
    region = pool_mirror.PoolMirror(name="p", service="llm", model="m", generation=1)
    region.owner_bits = {row_codec.key_of("r1"): 0}
    chains = [rows(f"shared{number}", f"own{number}") for number in range(40)]
    for chain in chains:
        actor.read(replica="r1", rows=chain)
    dirty, dirty_later = actor.filter.pop_dirty()
    hub.record(dirty=dirty, dirty_later=dirty_later)
    hub.flush(most=len(dirty))
    for message in reader.messages:
        if isinstance(message, messages.PoolCut):
            region.install_cut(bucket_count=message.bucket_count, words=message.words, data=message.bucket_rows)
        else:
            region.install_delta(data=message.bucket_rows)
    assert all(region.owners(shared[0]).count == 1 for shared, _own in chains)
    assert sum(region.owners(own[0]).count for _shared, own in chains) < 10  # but for those in the same buckets
    assert hub.waiting()
    actor.read(replica="r2", rows=chains[0])  # a second replica reads the whole prompt: it is shared after all
    dirty, _later = actor.filter.pop_dirty()
    assert dirty


def crowd(count=40):
    host = hosts.Host(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    host.sync(services=SERVICES, replicas=[{**replica(f"r{number}"), "berths": 10} for number in range(count)])
    source, reader = recording_connections.RecordingLink(), recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    host.subscribe(source, region="north")
    return host, source, reader


def test_loads_are_published_a_bounded_number_at_a_time_those_that_moved_most_first_and_in_time_all():
    host, source, reader = crowd()
    send_report(
        host,
        source,
        *(recording_connections.load_row(f"r{number}", running=1 + (number in (3, 30)) * 8) for number in range(40)),
    )
    host.tick()
    first = recording_connections.loads_of(reader.of_type(messages.ReplicaLoads)[-1])
    assert len(first) == hosts.MIN_LOAD_ROWS
    assert {row_codec.key_of("r3"), row_codec.key_of("r30")} <= first.keys()
    for _ in range(4):
        host.tick()
    assert {load[0] for load in last_load(reader).values()} == {1, 9} and len(host.totals()) == 40


def test_a_small_change_is_published_in_time_however_much_others_change():
    host, source, reader = crowd()
    published_after = None
    send_report(host, source, recording_connections.load_row("r39", running=1))
    for step in range(1, 60):
        send_report(
            host,
            source,
            *(recording_connections.load_row(f"r{number}", running=5 * (step % 2)) for number in range(39)),
        )
        host.tick()
        if published_after is None and row_codec.key_of("r39") in last_load_since(reader):
            published_after = step
    assert published_after is not None and published_after <= 20


def last_load_since(wire):
    loads = wire.of_type(messages.ReplicaLoads)
    wire.clear()
    return recording_connections.loads_of(loads[-1]) if loads else {}


def test_a_subscriber_that_joins_while_rows_wait_stands_where_the_others_stand():
    host, source, reader = crowd()
    send_report(host, source, *(recording_connections.load_row(f"r{number}", running=2) for number in range(40)))
    host.tick()
    late = recording_connections.RecordingLink()
    host.subscribe(late, region="north")
    send_report(
        host, source, *(recording_connections.load_row(f"r{number}", running=0) for number in range(40))
    )  # back before it was told
    for _ in range(6):
        host.tick()
    assert last_load(late) == last_load(reader) == {}


def test_a_full_filter_grows_under_a_new_generation_and_withdraws_the_old_one_first():
    services = {"llm": {"models": ("m",), "cache_tokens": 10**5}}
    host = hosts.Host(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    host.sync(services=services, replicas=[replica("r1")])
    source = send(host)
    reader = recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    feed(region, reader)
    names = [f"p{number}" for number in range(6000)]
    for start in range(0, len(names), 100):
        send_report(
            host,
            source,
            reads=[recording_connections.read_row("r1", (name, 10)) for name in names[start : start + 100]],
        )
        host.tick()
    pool = next(iter(host.registry.pools.values()))
    while pool.hubs[False].waiting():  # so many buckets at a time are told
        host.tick()
    kinds = [message[0] for message in reader.sent if message[0] in ("withdrawn", "catalogue", "cut")]
    assert kinds[:3] == ["withdrawn", "catalogue", "cut"]
    feed(region, reader)
    kept = [
        name
        for name in names
        if region.kept(service="llm", model="m", chain=rows(name), replicas=("r1",)) == {"r1": 10}
    ]
    assert len(kept) == len(names)


def test_a_digest_of_an_older_epoch_is_closed_and_its_part_is_withdrawn():
    host, _clock = make_host()
    old, new, late = (
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
    )
    host.subscribe(old, region="north", zone="za", zone_epoch=3)
    send_report(host, old, recording_connections.load_row("r1", running=2))
    host.subscribe(new, region="north", zone="za", zone_epoch=4)
    assert not old.is_open and new.is_open
    host.remove(old)
    send_report(host, new, recording_connections.load_row("r1", running=5))
    host.subscribe(late, region="north", zone="za", zone_epoch=3)
    assert not late.is_open and late not in host.subscribers
    assert host.totals()[row_codec.key_of("r1")] == (5, 0, 0)


@pytest.mark.parametrize("data", [b"x", b"x" * 22, recording_connections.load_row("r1", running=1)[:-1]])
def test_malformed_aggregates_change_nothing(data):
    host, _clock = make_host()
    wire = recording_connections.RecordingLink()
    send_report(host, wire, recording_connections.load_row("r1", running=2, tokens=7))
    before = host.totals()
    for loads, reads in (
        (data, b""),
        (recording_connections.load_row("r1", running=9), data),
        (recording_connections.load_row("r1", running=9), recording_connections.read_row("r1", ("a", 1))[:-1]),
    ):
        with pytest.raises(errors.FrameError):
            host.handle_aggregates(wire, messages.Aggregates(2, loads, reads))
        assert host.totals() == before and host.subscribers[wire].counted == 1
    with pytest.raises(errors.FrameError):
        host.handle_aggregates(
            wire, recording_connections.aggregates_message(1, loads=[recording_connections.load_row("r1", running=9)])
        )  # told twice
    assert host.totals() == before


def test_outcomes_over_all_callers_eject_a_replica_for_a_time_that_grows():
    host, clock = make_host()
    reader, one, two = (
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
    )
    host.subscribe(reader, region="north")
    away = []
    for _round in range(3):
        for _step in range(3):  # each caller alone sees too little
            send_report(
                host,
                one,
                recording_connections.load_row("r1", ended=2, failed=1),
                recording_connections.load_row("r2", ended=9),
            )
            send_report(host, two, recording_connections.load_row("r1", ended=2, failed=1))
        host.tick()
        load = last_load(reader)
        assert load[row_codec.key_of("r1")][3] == 1 and row_codec.key_of("r2") not in load
        began = clock[0]
        while True:
            clock[0] += 0.1
            host.tick()
            last = reader.of_type(messages.ReplicaLoads)
            if last and recording_connections.loads_of(last[-1]).get(row_codec.key_of("r1")) == (0, 0, 0, 0):
                break
            assert clock[0] - began < 60
        away.append(clock[0] - began)
        reader.clear()
        host.remove(reader)
        host.subscribe(reader, region="north")
    assert away[0] < away[1] < away[2]


def test_a_few_failures_or_a_small_share_of_them_eject_nobody():
    host, clock = make_host()
    one = recording_connections.RecordingLink()
    send_report(
        host,
        one,
        recording_connections.load_row("r1", ended=3, failed=3),
        recording_connections.load_row("r2", ended=60, failed=6),
    )
    host.tick()
    assert not host._judge.failing
    clock[0] += 10.0  # what is past the window says nothing
    send_report(host, one, recording_connections.load_row("r1", ended=2, failed=2))
    host.tick()
    assert not host._judge.failing

"""The relay: ownership, refcounts, publication, fencing, withdrawal order, whole-frame installation."""
import random

import pytest

from pw.base import problems
from pw.dat import mirror as mirrors
from pw.dat.relay import actor as actors
from pw.dat.relay import ckf
from pw.dat.relay import host as hosts
from pw.dat.relay import hub as hubs
from pw.dat.relay import pool_registry
from pw.dat.relay import resolution

SERVICES = {"llm": {"models": ("m",), "cache_tokens": 1000}}


class Wire:
    """A link that keeps what it is told."""

    def __init__(self):
        self.told = []
        self.is_open = True
        self.queue = 0

    def send(self, message):
        self.told.append(message)

    def queued(self):
        return self.queue

    def close(self, *, reason=""):
        self.is_open = False

    def kinds(self):
        return [message[0] for message in self.told]


def rows(*names, tokens=10):
    return ckf.chain(model="m", parts=[(name, tokens) for name in names])


def replica(name, *, service="llm", region="north"):
    return {"id": name, "service": service, "region": region, "models": ["m"]}


def lanes(actor, full_hash):
    return ckf.find(buckets=actor.filter.buckets, full_hash=full_hash)


def test_sequence_hash_root_is_the_token_hash_and_children_extend():
    first = ckf.token_hash(model="m", part="a", tokens=10)
    one, two = rows("a", "b")
    assert one[0] == first
    assert two[0] == ckf.sequence_hash(parent=first, token_hash=ckf.token_hash(model="m", part="b", tokens=10))
    assert rows("x", "b")[1][0] != two[0]


def test_first_owner_inserts_and_last_exit_removes():
    actor = actors.Actor(cache_tokens=1000)
    chain = rows("a")
    actor.read(replica="r1", rows=chain)
    actor.read(replica="r2", rows=chain)
    assert lanes(actor, chain[0][0]) == 0b11
    actor.forget(replica="r1", full_hash=chain[0][0])
    assert lanes(actor, chain[0][0]) == 0b10
    actor.drop(replica="r2")
    assert lanes(actor, chain[0][0]) == 0
    assert actor.owners(chain[0][0]) == frozenset()


def test_unknown_removals_do_nothing():
    actor = actors.Actor(cache_tokens=1000)
    actor.read(replica="r1", rows=rows("a"))
    before = [list(bucket) for bucket in actor.filter.buckets]
    actor.forget(replica="r1", full_hash=b"12345678")
    actor.forget(replica="nobody", full_hash=rows("a")[0][0])
    actor.drop(replica="nobody")
    assert actor.filter.buckets == before


def test_least_lately_used_parts_give_way():
    actor = actors.Actor(cache_tokens=40)
    for name in "abcd":
        actor.read(replica="r1", rows=rows(name))
    actor.read(replica="r1", rows=rows("a"))
    actor.read(replica="r1", rows=rows("e"))
    assert lanes(actor, rows("b")[0][0]) == 0
    assert lanes(actor, rows("a")[0][0]) == 1
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
        want = sum(1 << actor.lanes[owner] for owner in actor.owners(full_hash))
        assert lanes(actor, full_hash) & want == want or actor.omitted


def test_no_room_leaves_nothing_half_moved():
    table = ckf.Filter(bucket_count=2)
    chance = random.Random(4)
    held = []
    for _ in range(40):
        full_hash = chance.randbytes(8)
        before = [list(bucket) for bucket in table.buckets]
        if table.put(full_hash=full_hash, bits=1):
            held.append(full_hash)
        else:
            assert table.buckets == before
    assert all(ckf.find(buckets=table.buckets, full_hash=full_hash) for full_hash in held)


def test_pool_needs_a_live_replica_that_was_sent_requests():
    row = [replica("r1")]
    assert resolution.resolve(region="north", services=SERVICES, replicas=row, sent=set())[0] == {}
    assert resolution.resolve(region="south", services=SERVICES, replicas=row, sent={"r1"})[0] == {}
    assert resolution.resolve(region="north", services=SERVICES, replicas=row + row, sent={"r1"})[0] == {}
    pools, _conflicts = resolution.resolve(region="north", services=SERVICES, replicas=row, sent={"r1"})
    assert list(pools.values()) == [("llm", "m", 1000, frozenset({"r1"}))]


def test_colliding_pool_ids_are_fenced_never_merged():
    services = {"llm": SERVICES["llm"], "other": SERVICES["llm"]}
    pools, conflicts = resolution.resolve(
        region="north", services=services, replicas=[replica("r1"), replica("r2", service="other")],
        sent={"r1", "r2"}, domain=lambda *, service, model: "same")
    assert pools == {} and len(conflicts) == 1


def make_host(*, epoch=1):
    clock = [0.0]
    host = hosts.Host(region="north", epoch=epoch, now=lambda: clock[0], suspect_s=1.0)
    host.sync(services=SERVICES, replicas=[replica("r1"), replica("r2")])
    return host, clock


def read(host, name, *parts):
    host.take_reads(("reads", ((name, "llm", "m", tuple((part.encode(), 10) for part in parts)),)))


def feed(region, wire):
    for message in wire.told:
        region.take(message)
    wire.told.clear()


def test_hub_is_lazy_and_each_subscriber_gets_a_cut_then_deltas():
    host, _clock = make_host()
    source, one, two = Wire(), Wire(), Wire()
    host.take_sends(source, ("sends", (("r1", hosts.SENT, 20, 1),)))
    pool = next(iter(host.registry.pools.values()))
    assert pool.hub is None
    read(host, "r1", "a", "b")
    host.subscribe(one, region="north")
    assert one.kinds()[:2] == ["catalogue", "cut"]
    read(host, "r2", "a")
    host.tick()
    host.subscribe(two, region="north")
    views = []
    for wire in (one, two):
        region = mirrors.Region(now=lambda: 0.0, trust_s=5.0)
        feed(region, wire)
        views.append(region.kept(service="llm", model="m", chain=rows("a", "b"), replicas=("r1", "r2")))
    assert views == [{"r1": 20, "r2": 10}] * 2


def test_a_wrong_sequence_installs_nothing():
    host, _clock = make_host()
    wire = Wire()
    host.take_sends(wire, ("sends", (("r1", hosts.SENT, 20, 1),)))
    host.subscribe(wire, region="north")
    region = mirrors.Region(now=lambda: 0.0, trust_s=5.0)
    feed(region, wire)
    read(host, "r1", "a")
    read(host, "r1", "b")
    host.tick()
    kind, name, generation, count, changed = next(message for message in wire.told if message[0] == "delta")
    broken = changed[:-1] + ((changed[-1][0], changed[-1][1] + 1, changed[-1][2]),)
    before = list(region.mirrors[name].buckets)
    with pytest.raises(problems.FrameProblem):
        region.take((kind, name, generation, count, broken))
    assert region.mirrors[name].buckets == before
    region.take((kind, name, generation, count, changed))
    assert region.mirrors[name].buckets != before


def test_withdrawal_comes_before_teardown_and_a_new_generation_follows():
    seen = []
    registry = pool_registry.Registry(
        on_withdraw=lambda pool: seen.append((pool.name, pool.actor is not None)), on_catalogue=lambda: None, first_generation=5)
    identity = (1, "d", "north")
    registry.sync(resolved={identity: ("llm", "m", 100, frozenset({"r1"}))})
    first = registry.pools[identity]
    registry.sync(resolved={})
    assert seen == [("1/d/north", True)] and first.actor is None
    registry.sync(resolved={identity: ("llm", "m", 100, frozenset({"r1"}))})
    assert registry.pools[identity].generation > first.generation


def test_a_fault_in_publication_fences_the_generation():
    seen = []
    registry = pool_registry.Registry(on_withdraw=seen.append, on_catalogue=lambda: None, first_generation=0)
    identity = (1, "d", "north")
    registry.sync(resolved={identity: ("llm", "m", 100, frozenset({"r1"}))})
    pool = registry.pools[identity]
    registry.join(pool=pool, link=Wire())
    pool.generation += 1
    registry.flush()
    assert [gone.name for gone in seen] == ["1/d/north"] and identity not in registry.pools


def test_an_overflowing_subscriber_is_closed_alone():
    actor = actors.Actor(cache_tokens=1000)
    hub = hubs.Hub(identity="p", generation=1, actor=actor)
    slow, quick = Wire(), Wire()
    hub.join(slow)
    hub.join(quick)
    slow.queue = hubs.QUEUE_LIMIT_BYTES + 1
    actor.read(replica="r1", rows=rows("a"))
    hub.flush()
    assert not slow.is_open and quick.is_open
    assert quick.kinds() == ["cut", "delta"] and hub.subscriber_count() == 1


def test_a_lower_epoch_is_refused():
    region = mirrors.Region(now=lambda: 0.0, trust_s=5.0)
    region.take(("catalogue", 3, ()))
    with pytest.raises(problems.FrameProblem):
        region.take(("catalogue", 2, ()))


def test_a_new_relay_starts_new_generations():
    old, _clock = make_host(epoch=1)
    new, _clock = make_host(epoch=2)
    for host in (old, new):
        host.take_sends(Wire(), ("sends", (("r1", hosts.SENT, 20, 1),)))
    assert next(iter(new.registry.pools.values())).generation > next(iter(old.registry.pools.values())).generation


def test_a_broken_mirror_decides_for_a_time_then_counts_as_unknown():
    host, clock = make_host()
    wire = Wire()
    host.take_sends(wire, ("sends", (("r1", hosts.SENT, 20, 1),)))
    read(host, "r1", "a")
    host.subscribe(wire, region="north")
    region = mirrors.Region(now=lambda: clock[0], trust_s=5.0)
    feed(region, wire)
    region.fail()
    clock[0] = 4.9
    assert region.kept(service="llm", model="m", chain=rows("a"), replicas=("r1",)) == {"r1": 10}
    clock[0] = 5.2
    assert region.kept(service="llm", model="m", chain=rows("a"), replicas=("r1",)) == {}


def test_a_gone_replica_owns_nothing_and_its_lane_is_cleared_before_it_is_told_again():
    host, _clock = make_host()
    wire = Wire()
    host.take_sends(wire, ("sends", (("r1", hosts.SENT, 20, 1),)))
    read(host, "r1", "a")
    host.subscribe(wire, region="north")
    host.sync(services=SERVICES, replicas=[replica("r2"), replica("r9")])
    host.take_sends(wire, ("sends", (("r2", hosts.SENT, 20, 2),)))
    region = mirrors.Region(now=lambda: 0.0, trust_s=5.0)
    feed(region, wire)
    host.tick()
    feed(region, wire)
    assert region.kept(service="llm", model="m", chain=rows("a"), replicas=("r1", "r2", "r9")) == {"r2": 0, "r9": 0}


def test_busyness_leaves_out_the_subscribers_own_and_ends_with_its_link():
    host, _clock = make_host()
    one, two = Wire(), Wire()
    host.subscribe(one, region="north")
    host.subscribe(two, region="north")
    host.take_sends(one, ("sends", (("r1", hosts.SENT, 20, 1), ("r1", hosts.SENT, 30, 2))))
    host.take_sends(one, ("sends", (("r1", hosts.READ, 0, 1),)))
    host.tick()
    assert [message[2] for message in two.told if message[0] == "busyness"][-1] == (("r1", 2, 30, False),)
    assert [message[2] for message in one.told if message[0] == "busyness"][-1] == (("r1", 0, 0, False),)
    host.end(one)
    host.tick()
    assert [message[2] for message in two.told if message[0] == "busyness"][-1] == ()

"""Tests of publication: hubs created on demand, bounded queues, order of withdrawal, fencing, atomic deltas."""

import pytest

from ploverward.common import errors
from ploverward.data_plane.relay import actor as actors
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import hub as hubs
from ploverward.data_plane.relay import mirror as mirrors
from ploverward.data_plane.relay import pool_mirror
from ploverward.data_plane.relay import pool_registry
from ploverward.data_plane.relay import resolution
from ploverward.simulation import recording_connections
from ploverward.simulation import relay_hosts
from ploverward.transport import messages
from ploverward.transport import row_codec

POOL_ID = resolution.PoolId(1, "d", "north")
RESOLVED = resolution.ResolvedPool("llm", "m", 100, frozenset({"r1"}))


def test_hub_starts_with_first_subscriber_and_sends_each_a_cut_then_deltas():
    host, _clock = relay_hosts.make_host()
    one, two = recording_connections.RecordingLink(), recording_connections.RecordingLink()
    registry = host.registry
    registry.sync(resolved={POOL_ID: RESOLVED})
    assert registry.pools[POOL_ID].hubs == {}  # no subscriber yet
    registry.sync(resolved={})
    source = relay_hosts.report_attempt(host)
    relay_hosts.record_prompt(host, source, "r1", "a", "b")
    host.subscribe(one, region="north")
    assert one.kinds()[:2] == [messages.Catalogue, messages.PoolCut]
    relay_hosts.record_prompt(host, source, "r2", "a")
    host.tick()
    host.subscribe(two, region="north")
    views = []
    for wire in (one, two):
        region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
        relay_hosts.apply_publications(region, wire)
        views.append(
            region.cached_tokens(service="llm", model="m", chain=relay_hosts.rows("a", "b"), replicas=("r1", "r2"))
        )
    assert views == [{"r1": 20, "r2": 10}] * 2


def test_delta_with_wrong_sequence_or_length_installs_nothing():
    host, _clock = relay_hosts.make_host()
    wire = recording_connections.RecordingLink()
    source = relay_hosts.report_attempt(host)
    host.subscribe(wire, region="north")
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    relay_hosts.apply_publications(region, wire)
    relay_hosts.record_prompt(host, source, "r1", "a")
    relay_hosts.record_prompt(host, source, "r1", "b")
    host.tick()
    delta = wire.of_type(messages.PoolDelta)[0]
    name, changed = delta.pool, delta.bucket_rows
    last = len(changed) - hubs.ROW.size - len(cuckoo_filter.empty_image(words=1))
    assert last > 0  # there is more than one bucket, and the wrong sequence number is in the last
    index, version = hubs.ROW.unpack_from(changed, last)
    broken = changed[:last] + hubs.ROW.pack(index, version + 1) + changed[last + hubs.ROW.size :]
    before = list(region.pools[name].buckets)
    for bad in (broken, changed[:-1], changed + b"x"):
        with pytest.raises(errors.FrameError):
            region.handle_publication(delta._replace(bucket_rows=bad))
        assert region.pools[name].buckets == before
    region.handle_publication(delta)
    assert region.pools[name].buckets != before


def test_pool_is_withdrawn_before_teardown_and_restarts_under_higher_generation():
    seen = []
    registry = pool_registry.PoolRegistry(
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


def test_publication_error_withdraws_pool_generation():
    seen = []
    registry = pool_registry.PoolRegistry(on_withdraw=seen.append, on_catalogue=lambda: None, first_generation=0)
    identity = POOL_ID
    registry.sync(resolved={identity: RESOLVED})
    pool = registry.pools[identity]
    registry.join(pool=pool, connection=recording_connections.RecordingLink(), is_remote=False)
    pool.generation += 1
    registry.flush(is_remote=False)
    assert [gone.name for gone in seen] == ["1/d/north"] and identity not in registry.pools


def test_queue_overflow_closes_only_that_subscriber():
    actor = actors.Actor(cache_tokens=1000)
    hub = hubs.Hub(identity="p", generation=1, actor=actor)
    slow, quick = recording_connections.RecordingLink(), recording_connections.RecordingLink()
    hub.join(slow)
    hub.join(quick)
    slow.queue = hubs.QUEUE_LIMIT_BYTES + 1
    actor.record_prompt(replica="r1", rows=relay_hosts.rows("a"))
    dirty, dirty_deferrable = actor.filter.pop_dirty()
    hub.queue_changes(dirty=dirty, dirty_deferrable=dirty_deferrable)
    hub.flush()
    assert not slow.is_open and quick.is_open
    assert quick.kinds() == [messages.PoolCut, messages.PoolDelta] and hub.subscriber_count() == 1


def test_shared_parts_are_published_before_last_parts_of_prompts():
    actor = actors.Actor(cache_tokens=10**6)
    hub = hubs.Hub(identity="p", generation=1, actor=actor)
    reader = recording_connections.RecordingLink()
    hub.join(reader)
    region = pool_mirror.PoolMirror(name="p", service="llm", model="m", generation=1)
    region.owner_bits = {row_codec.replica_key("r1"): 0}
    chains = [relay_hosts.rows(f"shared{number}", f"own{number}") for number in range(40)]
    for chain in chains:
        actor.record_prompt(replica="r1", rows=chain)
    dirty, dirty_deferrable = actor.filter.pop_dirty()
    hub.queue_changes(dirty=dirty, dirty_deferrable=dirty_deferrable)
    hub.flush(most=len(dirty))
    for message in reader.messages:
        if isinstance(message, messages.PoolCut):
            region.install_cut(bucket_count=message.bucket_count, words=message.words, data=message.bucket_rows)
        else:
            region.install_delta(data=message.bucket_rows)
    assert all(region.owners(shared[0]).count == 1 for shared, _own in chains)
    assert (
        sum(region.owners(own[0]).count for _shared, own in chains) < 10
    )  # only those in the same buckets as shared parts
    assert hub.queued_bucket_count()
    actor.record_prompt(replica="r2", rows=chains[0])  # with a second owner the last part is urgent too
    dirty, _later = actor.filter.pop_dirty()
    assert dirty

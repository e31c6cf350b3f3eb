"""Tests of the subset of replicas that a proxy uses: stable, even, and no limit to what a request may reach."""

import collections
import dataclasses

import pytest

from ploverward.data_plane.load_balancing import outlier_detection
from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.load_balancing import replica_subset
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.quotas import shared_limits
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import mirror
from ploverward.data_plane.relay import pool_mirror
from ploverward.simulation import loopback_proxy
from ploverward.simulation.loopback_proxy import replica_row
from ploverward.transport import event_loop
from ploverward.transport import row_codec

SERVICES = {"llm": {"warmup_s": 0.0, "cache_tokens": 100000, "max_conns": 1000, "models": ("m",)}}
CHAIN = cuckoo_filter.chain(model="m", parts=(("doc", 3000), ("own", 100)))


def make(*, rows, own="10.0.0.1", proxies=20):
    """Returns the table of a proxy in a fleet with `proxies` proxies in each of two regions."""
    loop = event_loop.Loop()
    settings = loopback_proxy.settings(ip=own)
    table = replica_table.ReplicaTable(loop=loop, settings=settings, share=lambda: 0.5 / proxies)
    table.install_services(SERVICES)
    table.install_list(rows)
    return table, loop, settings


def names(replicas):
    return {replica.id for replica in replicas}


def test_subset_of_a_small_region_has_all_replicas():
    table, _loop, _settings = make(
        rows=[replica_row(f"i{number}") for number in range(replica_subset.MIN_NEAR_REPLICAS)]
    )
    assert (
        table.has_all_replicas("llm")
        and table.followed_keys() is None
        and len(table.subset("llm")) == replica_subset.MIN_NEAR_REPLICAS
    )


def test_adding_or_removing_a_replica_changes_one_subset_entry():
    rows = [replica_row(f"i{number}") for number in range(400)]
    table, _loop, _settings = make(rows=rows, proxies=64)
    before = names(table.subset("llm"))
    assert len(before) == replica_subset.MIN_NEAR_REPLICAS and not table.has_all_replicas("llm")
    gone = sorted(before)[7]
    table.change_list(rows=(), gone=(gone,))
    after = names(table.subset("llm"))
    assert before - after == {gone} and len(after - before) == 1
    table.change_list(rows=(replica_row(gone),), gone=())
    assert names(table.subset("llm")) == before


@pytest.mark.parametrize("replicas, proxies", [(150, 60), (330, 32), (1000, 100)])
def test_subsets_spread_proxies_evenly_over_replicas(replicas, proxies):
    rows = [replica_row(f"i{number}") for number in range(replicas)]
    use_counts = collections.Counter({row["id"]: 0 for row in rows})
    sizes = set()
    for number in range(proxies):
        table, _loop, _settings = make(rows=rows, own=f"10.0.1.{number}", proxies=proxies)
        chosen = names(table.subset("llm"))
        sizes.add(len(chosen))
        use_counts.update(chosen)
    mean = sum(use_counts.values()) / replicas
    # The fleet size is rounded up to a power of two, so the mean may be half of the minimum.
    assert len(sizes) == 1 and mean >= replica_subset.MIN_PROXIES_PER_REPLICA / 2
    assert max(use_counts.values()) <= mean * 4 + 4
    assert sum(1 for count in use_counts.values() if count == 0) <= replicas * 0.15


def test_subset_size_follows_the_fleet_size_in_steps():
    sizes = [
        replica_subset.subset_size(replicas=3000, proxies=proxies, is_near=True)
        for proxies in (10, 20, 60, 61, 100, 300)
    ]
    assert sizes == sorted(sizes, reverse=True) and sizes[-1] == replica_subset.MIN_NEAR_REPLICAS
    assert all(size % replica_subset.MIN_NEAR_REPLICAS == 0 for size in sizes)
    assert replica_subset.subset_size(replicas=30, proxies=1, is_near=False) == 30


def test_draining_and_evacuated_replicas_are_replaced_in_the_subset():
    rows = [replica_row(f"i{number}", zone="za" if number % 2 else "zb") for number in range(300)]
    table, _loop, settings = make(rows=rows)
    table._settings = dataclasses.replace(settings, zones={"za": "north", "zb": "north"})
    for replica in table.replicas.values():
        replica.region = "north"
    table.change_list(rows=(), gone=())
    table.install_evacuations(["zb"])
    assert {replica.zone for replica in table.subset("llm")} == {"za"}
    assert len(table.subset("llm")) == replica_subset.MIN_NEAR_REPLICAS
    draining = sorted(names(table.subset("llm")))[0]
    table.change_list(rows=(replica_row(draining, is_clearing=True),), gone=())
    assert draining not in names(table.subset("llm")) and len(table.subset("llm")) == replica_subset.MIN_NEAR_REPLICAS


def chooser_for(table, loop, settings, regions):
    quota = shared_limits.SharedLimits(now=loop.now, settings=settings)
    return replica_chooser.ReplicaChooser(table=table, settings=settings, regions=regions, quota=quota, now=loop.now)


def choose(chooser, *, chain=(), permitted=None, avoid=()):
    return chooser.choose(
        service="llm", permitted=permitted, model="m", chain=chain, prompt_tokens=3100, avoid=set(avoid)
    )[0]


def test_choose_uses_replica_outside_the_subset_that_has_the_prompt_cached():
    table, loop, settings = make(rows=[replica_row(f"i{number}") for number in range(300)])
    outside = sorted(set(table.replicas) - names(table.subset("llm")))[0]
    region = mirror.RegionMirror(now=loop.now, trust_s=5.0)
    pool = pool_mirror.PoolMirror(name="p", service="llm", model="m", generation=1)
    filled = cuckoo_filter.Filter(bucket_count=64, words=cuckoo_filter.WIDE)
    tag = row_codec.replica_key(outside)[: cuckoo_filter.TAG_SIZE]
    filled.put(full_hash=CHAIN[0][0], bits=cuckoo_filter.encode_wide_value(count=1, tags=[tag]))
    pool.words, pool.buckets, pool.versions = cuckoo_filter.WIDE, [filled.image(index) for index in range(64)], [0] * 64
    region.pools["p"] = pool
    region.broken_at = None
    chooser = chooser_for(table, loop, settings, {"north": region})
    assert choose(chooser, chain=CHAIN).id == outside
    assert choose(chooser).id in names(table.subset("llm"))
    assert choose(chooser, chain=CHAIN, avoid=[outside]).id in names(table.subset("llm"))


def test_choose_falls_back_to_all_replicas_when_the_subset_is_suspected():
    table, loop, settings = make(rows=[replica_row(f"i{number}") for number in range(300)])
    chooser = chooser_for(table, loop, settings, {})
    subset = names(table.subset("llm"))
    for replica in table.replicas.values():
        replica.is_suspected = replica.id in subset
    assert choose(chooser).id not in subset
    for replica in table.replicas.values():
        replica.is_suspected = True
    assert choose(chooser) is None


def test_all_proxies_choose_the_same_replica_for_an_uncached_part():
    rows = [replica_row(f"i{number}") for number in range(300)]
    chosen = set()
    for number in range(12):
        table, loop, settings = make(rows=rows, own=f"10.0.2.{number}")
        chosen.add(choose(chooser_for(table, loop, settings, {}), chain=CHAIN).id)
    assert len(chosen) == 1


def test_check_suspected_limits_concurrent_probes():
    table, loop, _settings = make(rows=[replica_row(f"i{number}") for number in range(300)], proxies=4)
    opened = []
    table.pool.connection = lambda *, replica, request_id=b"": opened.append(replica)
    for replica in table.replicas.values():
        replica.is_suspected = True
    assert len(table.subset("llm")) > outlier_detection.MAX_CONCURRENT_PROBES
    table.check_suspected_replicas()
    assert len(opened) == outlier_detection.MAX_CONCURRENT_PROBES and names(opened) <= names(table.subset("llm"))

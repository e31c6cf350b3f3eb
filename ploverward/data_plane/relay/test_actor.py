"""Tests of the actor and its filter: exact ownership, shared slots, evictions, full filters, image sizes."""

import random

import pytest

from ploverward.data_plane.relay import actor as actors
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.simulation import relay_hosts


def find_bits(table, full_hash):
    """Returns the owner bits in the slot of a hash; 0 if it has none."""
    fingerprint, *buckets = cuckoo_filter.fingerprint_and_buckets(full_hash=full_hash, bucket_count=table.bucket_count)
    found = 0
    for index in buckets:
        for stored, bits in table.buckets[index]:
            if stored == fingerprint:
                found |= bits
    return found


def owner_bits(actor, full_hash):
    return find_bits(actor.filter, full_hash)


def test_sequence_hash_of_root_is_its_token_hash_and_of_child_depends_on_parent():
    first = cuckoo_filter.token_hash(model="m", part="a", tokens=10)
    one, two = relay_hosts.rows("a", "b")
    assert one[0] == first
    assert two[0] == cuckoo_filter.sequence_hash(
        parent=first, token_hash=cuckoo_filter.token_hash(model="m", part="b", tokens=10)
    )
    assert relay_hosts.rows("x", "b")[1][0] != two[0]


def test_slot_is_filled_by_first_owner_and_freed_with_last_owner():
    actor = actors.Actor(cache_tokens=1000)
    chain = relay_hosts.rows("a")
    actor.record_prompt(replica="r1", rows=chain)
    actor.record_prompt(replica="r2", rows=chain)
    assert owner_bits(actor, chain[0][0]) == 0b11
    actor.remove_part(replica="r1", full_hash=chain[0][0])
    assert owner_bits(actor, chain[0][0]) == 0b10
    actor.remove_replica(replica="r2")
    assert owner_bits(actor, chain[0][0]) == 0
    assert actor.owners(chain[0][0]) == frozenset()


def test_removal_of_unknown_part_or_replica_changes_nothing():
    actor = actors.Actor(cache_tokens=1000)
    actor.record_prompt(replica="r1", rows=relay_hosts.rows("a"))
    before = [list(bucket) for bucket in actor.filter.buckets]
    actor.remove_part(replica="r1", full_hash=b"12345678")
    actor.remove_part(replica="nobody", full_hash=relay_hosts.rows("a")[0][0])
    actor.remove_replica(replica="nobody")
    assert actor.filter.buckets == before


def test_least_recently_used_parts_are_evicted():
    actor = actors.Actor(cache_tokens=40)
    for name in "abcd":
        actor.record_prompt(replica="r1", rows=relay_hosts.rows(name))
    actor.record_prompt(replica="r1", rows=relay_hosts.rows("a"))
    actor.record_prompt(replica="r1", rows=relay_hosts.rows("e"))
    assert owner_bits(actor, relay_hosts.rows("b")[0][0]) == 0
    assert owner_bits(actor, relay_hosts.rows("a")[0][0]) == 1
    assert actor.cached_tokens("r1") == 40


@pytest.mark.parametrize("seed", range(10))
def test_filter_agrees_with_exact_ownership(seed):
    rng = random.Random(seed)
    actor = actors.Actor(cache_tokens=400, bucket_count=64)
    names = [f"p{number}" for number in range(60)]
    for _ in range(600):
        replica = rng.choice(("r1", "r2", "r3"))
        if rng.random() < 0.03:
            actor.remove_replica(replica=replica)
        else:
            actor.record_prompt(replica=replica, rows=relay_hosts.rows(*rng.sample(names, 2)))
    for full_hash in actor._owners:
        expected = sum(1 << actor.owner_bits[owner] for owner in actor.owners(full_hash))
        assert owner_bits(actor, full_hash) & expected == expected or actor.omission_count


def test_insertion_into_full_filter_restores_all_moved_slots():
    table = cuckoo_filter.Filter(bucket_count=2)
    rng = random.Random(4)
    inserted = []
    for _ in range(40):
        full_hash = rng.randbytes(8)
        before = [list(bucket) for bucket in table.buckets]
        if table.put(full_hash=full_hash, bits=1):
            inserted.append(full_hash)
        else:
            assert table.buckets == before
    assert all(find_bits(table, full_hash) for full_hash in inserted)


def test_bucket_image_size_of_wide_pool_is_independent_of_replica_count():
    sizes = {
        count: len(cuckoo_filter.empty_image(words=cuckoo_filter.words_for(owner_bits=count)))
        for count in (3, 16, 17, 200, 900, 4500)
    }
    assert sizes[3] == sizes[16] == 24
    assert sizes[17] == sizes[200] == sizes[900] == sizes[4500] == 60

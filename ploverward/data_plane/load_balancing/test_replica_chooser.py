"""Tests of the choice of a replica: permitted regions, slow start, and the owner of uncached parts."""

import random

import pytest

from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.quotas import shared_limits
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.simulation import loopback_proxy
from ploverward.simulation.loopback_proxy import replica_row
from ploverward.transport import event_loop
from ploverward.transport import messages

SERVICES = {"llm": {"warmup_s": 3.0, "warmup_per_s": 10.0, "cache_tokens": 1000, "max_conns": 100, "models": ("m",)}}
FULL_SHARE = messages.ShareLease(
    slack_share=1.0, rate_share=1.0, duration_s=1000.0, core_share=1.0, slot=0, slot_count=8, number=1
)


def make_chooser(rows):
    loop = event_loop.Loop()
    quota = shared_limits.SharedLimits(now=loop.now, settings=loopback_proxy.settings())
    quota.handle_share_lease("core", FULL_SHARE)
    table = replica_table.ReplicaTable(loop=loop, settings=loopback_proxy.settings(), share=quota.rate_share)
    table.services = SERVICES
    table.install_list(rows)
    return replica_chooser.ReplicaChooser(
        table=table, settings=loopback_proxy.settings(), regions={}, quota=quota, now=loop.now
    ), table


@pytest.mark.parametrize("seed", range(30))
def test_choose_under_random_failures_stays_within_permitted_regions(seed):
    """Checks each choice against the rules under random lists, evacuations, suspicions and loads."""
    chance = random.Random(seed)
    zones = {"za": "north", "zb": "south"}
    rows = [replica_row(f"i{number}", zone=chance.choice(("za", "zb"))) for number in range(8)]
    chooser, table = make_chooser(rows)
    chosen = []
    for step in range(200):
        event = chance.random()
        if event < 0.1:
            table.install_evacuations(chance.sample(("za", "zb"), chance.randint(0, 2)))
        elif event < 0.2:
            rows = [{**row, "is_clearing": chance.random() < 0.3} for row in rows]
            table.install_list(rows)
        elif event < 0.3 and table.replicas:
            table.mark_suspected(chance.choice(list(table.replicas.values())))
        permitted = chance.choice((None, frozenset(("north",)), frozenset(("south",)), frozenset()))
        replica, _tokens, _has_candidates = chooser.choose(
            service="llm",
            permitted=permitted,
            model="m",
            chain=cuckoo_filter.chain(model="m", parts=(("a", 10), (f"b{step}", 10))),
            prompt_tokens=20,
            avoid=set(),
        )
        if replica is not None:
            chosen.append(replica)
            replica.running += 1
            assert permitted is None or zones[replica.zone] in permitted
            assert replica.zone not in table.evacuated_zones and not replica.is_draining
    assert len(chosen) > 20


def test_replica_added_during_traffic_and_restored_zone_warm_up():
    chooser, table = make_chooser([replica_row("i1")])
    assert table.replicas["i1"].warming_up_until == 0.0
    table.install_list([replica_row("i1"), replica_row("i2", zone="zb")])
    assert table.replicas["i2"].warming_up_until > table._loop.now() + 2.5
    table.install_evacuations(("za",))
    table.install_evacuations(())
    assert table.replicas["i1"].warming_up_until > table._loop.now() + 2.5


def test_credit_owner_is_independent_of_the_list_order():
    rows = [replica_row(f"i{number}", zone=zone) for number, zone in enumerate(("za", "za", "za", "zb"))]
    owners = set()
    for order in (rows, rows[::-1]):
        chooser, table = make_chooser(order)
        cached = {}
        chooser.affinity.credit_owner(
            list(table.replicas.values()),
            shared=cuckoo_filter.chain(model="m", parts=(("doc", 500),)),
            cached=cached,
            service="llm",
            permitted=None,
        )
        owners |= set(cached)
    assert len(owners) == 1


def test_choose_prefers_replica_with_cached_prompt():
    chooser, table = make_chooser([replica_row("i1"), replica_row("i2")])
    chain = cuckoo_filter.chain(model="m", parts=(("doc", 5000), ("own", 10)))
    chooser.note_send(replica=table.replicas["i2"], chain=chain)
    replica, tokens, _has_candidates = chooser.choose(
        service="llm", permitted=None, model="m", chain=chain, prompt_tokens=5010, avoid=set()
    )
    assert replica.id == "i2" and tokens == 0

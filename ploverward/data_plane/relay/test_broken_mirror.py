"""Tests of mirrors that are broken, stale or false.

Such a mirror may make a request slower, but never sends it to a replica that may not be used.
"""

import random
import types

import pytest

from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import mirror
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.transport import messages
from ploverward.transport import row_codec

ZONES = ("za", "za", "zb", "zb", "za")
CHAIN = cuckoo_filter.chain(model="m", parts=(("aa", 100), ("bb", 200)))


class FalseRegion:
    """A mirror that returns random loads and cache contents, and never counts as broken."""

    is_fresh = True

    def __init__(self, *, rng, replicas):
        self.rng = rng
        self.load = {
            replica.key: (rng.randrange(20), rng.randrange(9000), rng.randrange(2), rng.randrange(2))
            for replica in replicas
        }

    def cached_tokens(self, *, service, model, chain, replicas, pool_size=0):
        return {name: self.rng.choice((0, 100, 300, 10**6)) for name in replicas}


@pytest.mark.parametrize("seed", range(60))
def test_choose_with_false_mirror_returns_only_usable_replica(seed):
    rng = random.Random(seed)
    loop = loopback.new_loop()
    peers = [(types.SimpleNamespace(address=("127.0.0.1", 9)), zone) for zone in ZONES]
    node = loopback_proxy.LoopbackProxy(loop=loop, peers=peers)
    rows = [dict(row, is_clearing=rng.random() < 0.2) for row in node.rows]
    node.table.install_list(rows)
    replicas = list(node.table.replicas.values())
    for replica in replicas:
        replica.is_suspected = rng.random() < 0.2
    node.table.evacuated_zones = frozenset(rng.sample(("za", "zb"), rng.randint(0, 1)))
    node.chooser._regions.update({name: FalseRegion(rng=rng, replicas=replicas) for name in ("north", "south")})
    permitted = rng.choice((None, {"north"}, {"south"}, set()))
    avoid = set(rng.sample([row["id"] for row in rows], 2))
    usable = {
        replica.id
        for replica in replicas
        if not replica.is_draining
        and not replica.is_suspected
        and replica.zone not in node.table.evacuated_zones
        and replica.id not in avoid
        and (permitted is None or replica.region in permitted)
    }
    chosen, prefill_tokens, is_any = node.chooser.choose(
        service="llm", permitted=permitted, model="m", chain=CHAIN, prompt_tokens=300, avoid=avoid
    )
    assert is_any == bool(usable)
    assert (chosen is None) == (not usable) and (chosen is None or chosen.id in usable)
    assert 0 <= prefill_tokens <= 300
    node.server.stop_listening()


def test_broken_mirror_trusts_cache_contents_ten_times_as_long_as_loads():
    clock = [0.0]
    region = mirror.RegionMirror(now=lambda: clock[0], trust_s=5.0)
    region.handle_publication(messages.Catalogue(1, ()))
    region.handle_publication(
        messages.ReplicaLoads(1, True, row_codec.LOAD_ROW.pack(row_codec.replica_key("i0"), 1, 10, 0, 0))
    )
    assert region.is_trusted and region.is_fresh
    clock[0] = 100.0
    assert region.is_trusted and region.is_fresh  # only changes are sent, so a stream without messages is not broken
    region.mark_broken()
    for when, is_trusted, is_fresh in (
        (100.4, True, True),
        (100.6, True, False),
        (104.9, True, False),
        (105.1, False, False),
    ):
        clock[0] = when
        assert (region.is_trusted, region.is_fresh) == (is_trusted, is_fresh)
    region.mark_broken()  # a repeated failure does not restart the time
    assert not region.is_trusted

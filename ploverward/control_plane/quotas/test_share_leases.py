"""Tests for share leases: the leases that bind never exceed the share that a core node owns."""

import random

import pytest

from ploverward.control_plane.quotas import share_leases


@pytest.mark.parametrize("seed", range(30))
def test_sum_of_binding_leases_never_exceeds_the_owned_share(seed):
    """Renews leases at random times. After each renewal, the largest binding share of every node is summed up."""
    chance = random.Random(seed)
    clock = [0.0]
    lease_s, window_s = 2.0, 10.0
    share_table = share_leases.ShareTable(now=lambda: clock[0], lease_s=lease_s, window_s=window_s, withheld_until=3.0)
    history = []
    nodes = [f"n{number}" for number in range(12)]
    for _ in range(600):
        clock[0] += chance.random() * 0.3
        node = chance.choice(nodes[: chance.randint(1, 12)])
        share = share_table.renew(node=node, owned_share=1 / 3, live_nodes=chance.randint(1, 12))
        assert not share or clock[0] >= 3.0
        if share:
            history.append((node, share, clock[0] + lease_s + window_s))
        largest = {}
        for owner, leased, until in history:
            if until > clock[0]:
                largest[owner] = max(largest.get(owner, 0.0), leased)
        assert sum(largest.values()) <= 1 / 3 + 1e-9
    assert len(history) > 100

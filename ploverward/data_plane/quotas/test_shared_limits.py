"""This proxy's part of the limits that hold over all machines."""

import random

import pytest

from ploverward.control_plane.quotas import rate_slots
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.quotas import shared_limits
from ploverward.simulation import loopback_proxy
from ploverward.transport import messages

SERVICES = {"llm": {"warmup_s": 3.0, "warmup_per_s": 10.0, "cache_tokens": 1000, "max_conns": 100, "models": ("m",)}}


def share_lease(share, *, duration_s=1000.0, core_share=1.0, rate_slot=(0, 8)):
    slot, slot_count = rate_slot
    return messages.ShareLease(
        slack_share=share,
        rate_share=share,
        duration_s=duration_s,
        core_share=core_share,
        slot=slot,
        slot_count=slot_count,
        number=1,
    )


def make(*, share=0.5):
    clock = [100.0]
    quota = shared_limits.SharedLimits(now=lambda: clock[0], settings=loopback_proxy.settings())
    if share:
        quota.handle_share_lease("core", share_lease(share, core_share=share))
    return quota, clock


def test_without_a_lease_retries_are_limited_to_the_ratio():
    quota, _clock = make(share=0)
    assert not quota.retry_budget.charge("llm")
    for _ in range(100):
        quota.retry_budget.record_request("llm")
    assert sum(quota.retry_budget.charge("llm") for _ in range(100)) == 18


@pytest.mark.parametrize("seed", range(10))
def test_retries_in_any_window_stay_within_ratio_and_slack_share(seed):
    chance = random.Random(seed)
    quota, clock = make(share=0.25)
    request_times, extras = [], []
    for _ in range(3000):
        clock[0] += chance.random() * 0.05
        if chance.random() < 0.5:
            quota.retry_budget.record_request("llm")
            request_times.append(clock[0])
        elif quota.retry_budget.charge("llm"):
            extras.append(clock[0])
    for end in extras:
        mine = sum(1 for when in extras if end - 10 < when <= end)
        assert mine <= 0.2 * sum(1 for when in request_times if end - 10 <= when <= end) + 50 * 0.25
    assert extras


@pytest.mark.parametrize("share", [0.06, 0.14, 1.0])
def test_requests_to_a_warming_replica_stay_within_the_leased_rate(share):
    quota, clock = make(share=share)
    replica = replica_table.Replica(
        row={"id": "i", "service": "llm", "zone": "za", "berths": 8, "models": [], "is_clearing": False},
        endpoint=("127.0.0.1", 1),
        region="north",
        now=0.0,
    )
    sends = []
    for _ in range(2000):
        clock[0] += 0.01
        if quota.may_send(replica=replica, service=SERVICES["llm"], is_hard=True):
            quota.note_send(replica=replica, service=SERVICES["llm"])
            sends.append(clock[0])
    assert sends
    for end in sends:
        assert sum(1 for when in sends if end - 1.0 < when <= end) <= max(1, (10 * 1.5 + 5) * share)
    assert len(replica.sends) < 100
    quota.note_send(replica=replica, service={"warmup_per_s": 0.0})
    assert replica.sends[-1] == sends[-1]


def test_lease_counts_from_its_renewal_and_once_for_each_core_node():
    quota, clock = make(share=0)
    message = share_lease(0.25, duration_s=1.5, core_share=0.25)
    quota.handle_share_lease("10.0.0.1:1", message, sent_at=99.0)
    quota.handle_share_lease("10.0.0.1:1", message, sent_at=99.8)  # by a link that was opened again
    assert quota.slack_share() == 0.25
    quota.handle_share_lease("10.0.0.1:1", share_lease(0.5, duration_s=1.5, core_share=0.25), sent_at=99.4)  # late
    assert quota.slack_share() == 0.25
    quota.handle_share_lease("10.0.0.2:1", message, sent_at=98.0)  # found by a thawed process: it has run out
    assert quota.slack_share() == 0.25
    clock[0] = 101.31
    assert quota.slack_share() == 0.0


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("count, cores", [(63, 5), (330, 5), (40, 3)])
def test_proxies_with_shares_below_one_jointly_keep_the_warmup_rate(seed, count, cores):
    """All nodes press at once, some come and go, some have old entries: what they send in any second is counted."""
    chance = random.Random(seed)
    clock = [100.0]
    lease_s, bound = 1.5, 10 * 1.5 + 5
    tables = [rate_slots.RateSlots(now=lambda: clock[0], reserved_s=lease_s + 1.5) for _ in range(cores)]
    addresses = [f"10.0.0.{number}:1" for number in range(cores)]
    nodes = {}
    started_nodes = 0

    def start():
        nonlocal started_nodes
        started_nodes += 1
        nodes[f"n{started_nodes}"] = (
            shared_limits.SharedLimits(now=lambda: clock[0], settings=loopback_proxy.settings()),
            [
                replica_table.Replica(
                    row={
                        "id": f"i{number}",
                        "service": "llm",
                        "zone": "za",
                        "berths": 8,
                        "models": [],
                        "is_clearing": False,
                    },
                    endpoint=("127.0.0.1", 1),
                    region="north",
                    now=0.0,
                )
                for number in range(3)
            ],
        )

    for _ in range(count):
        start()
    sends = {f"i{number}": [] for number in range(3)}
    for step in range(160):
        clock[0] += 0.05
        if chance.random() < 0.2:
            nodes.pop(chance.choice(list(nodes)))
            start()
        for name, (quota, cold_replicas) in nodes.items():
            if step % 8 == 0:
                for rate_slot_table, core in zip(tables, addresses, strict=True):
                    if chance.random() < 0.9:
                        quota.handle_share_lease(
                            core,
                            share_lease(
                                0.9 / count / cores,
                                duration_s=lease_s,
                                core_share=1 / cores,
                                rate_slot=rate_slot_table.renew(node=name),
                            ),
                        )
            for replica in cold_replicas:
                if quota.may_send(replica=replica, service=SERVICES["llm"], is_hard=True):
                    quota.note_send(replica=replica, service=SERVICES["llm"])
                    sends[replica.id].append(clock[0])
    for times in sends.values():
        assert len(times) > 8  # they get something to do
        for end in times:
            assert sum(1 for when in times if end - 1.0 < when <= end) <= bound


@pytest.mark.parametrize("seed", range(10))
def test_no_two_nodes_with_live_reservations_hold_the_same_slot(seed):
    chance = random.Random(seed)
    clock = [0.0]
    slots = rate_slots.RateSlots(now=lambda: clock[0], reserved_s=3.0)
    granted = []  # (node, slot, size, until)
    for _ in range(2000):
        clock[0] += chance.random() * 0.05
        node = f"n{chance.randrange(chance.choice((5, 40, 70)))}"
        slot, size = slots.renew(node=node)
        if size:
            assert slot < size
            granted = [row for row in granted if row[3] > clock[0] and row[0] != node]
            assert all(row[1] != slot and row[2] == size for row in granted)
            granted.append((node, slot, size, clock[0] + 3.0))
    assert granted

"""A proxy's leased shares of the limits that hold over all machines."""

import random

import pytest

from ploverward.control_plane.quotas import rate_slots
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.quotas import shared_limits
from ploverward.simulation import loopback_proxy
from ploverward.transport import messages

SERVICES = {"llm": {"warmup_s": 3.0, "warmup_per_s": 10.0, "cache_tokens": 1000, "max_conns": 100, "models": ("m",)}}


def make_lease(share, *, duration_s=1000.0, core_share=1.0, rate_slot=(0, 8)):
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


def make_limits(*, share=0.5):
    clock = [100.0]
    limits = shared_limits.SharedLimits(now=lambda: clock[0], settings=loopback_proxy.settings())
    if share:
        limits.handle_share_lease("core", make_lease(share, core_share=share))
    return limits, clock


def test_without_a_lease_retries_are_limited_to_the_ratio():
    limits, _clock = make_limits(share=0)
    assert not limits.retry_budget.charge("llm")
    for _ in range(100):
        limits.retry_budget.record_request("llm")
    assert sum(limits.retry_budget.charge("llm") for _ in range(100)) == 18


@pytest.mark.parametrize("seed", range(10))
def test_retries_in_any_window_stay_within_ratio_and_slack_share(seed):
    rng = random.Random(seed)
    limits, clock = make_limits(share=0.25)
    request_times, retry_times = [], []
    for _ in range(3000):
        clock[0] += rng.random() * 0.05
        if rng.random() < 0.5:
            limits.retry_budget.record_request("llm")
            request_times.append(clock[0])
        elif limits.retry_budget.charge("llm"):
            retry_times.append(clock[0])
    for window_end in retry_times:
        retries = sum(1 for when in retry_times if window_end - 10 < when <= window_end)
        assert retries <= 0.2 * sum(1 for when in request_times if window_end - 10 <= when <= window_end) + 50 * 0.25
    assert retry_times


@pytest.mark.parametrize("share", [0.06, 0.14, 1.0])
def test_requests_to_a_warming_replica_stay_within_the_leased_rate(share):
    limits, clock = make_limits(share=share)
    replica = replica_table.Replica(
        row={"id": "i", "service": "llm", "zone": "za", "berths": 8, "models": [], "is_clearing": False},
        endpoint=("127.0.0.1", 1),
        region="north",
        now=0.0,
    )
    sends = []
    for _ in range(2000):
        clock[0] += 0.01
        if limits.may_send(replica=replica, service=SERVICES["llm"], is_hard=True):
            limits.note_send(replica=replica, service=SERVICES["llm"])
            sends.append(clock[0])
    assert sends
    for window_end in sends:
        assert sum(1 for when in sends if window_end - 1.0 < when <= window_end) <= max(1, (10 * 1.5 + 5) * share)
    assert len(replica.sends) < 100
    limits.note_send(replica=replica, service={"warmup_per_s": 0.0})
    assert replica.sends[-1] == sends[-1]


def test_lease_counts_from_its_renewal_and_once_for_each_core_node():
    limits, clock = make_limits(share=0)
    message = make_lease(0.25, duration_s=1.5, core_share=0.25)
    limits.handle_share_lease("10.0.0.1:1", message, sent_at=99.0)
    limits.handle_share_lease("10.0.0.1:1", message, sent_at=99.8)  # on a new connection to the same core node
    assert limits.slack_share() == 0.25
    limits.handle_share_lease("10.0.0.1:1", make_lease(0.5, duration_s=1.5, core_share=0.25), sent_at=99.4)  # reordered
    assert limits.slack_share() == 0.25
    limits.handle_share_lease("10.0.0.2:1", message, sent_at=98.0)  # already expired, received after a freeze
    assert limits.slack_share() == 0.25
    clock[0] = 101.31
    assert limits.slack_share() == 0.0


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("proxy_count, core_count", [(63, 5), (330, 5), (40, 3)])
def test_proxies_with_shares_below_one_jointly_keep_the_warmup_rate(seed, proxy_count, core_count):
    """All proxies send as much as they may, while some restart and some keep old leases.

    The requests of all proxies together to one replica stay within the limit in any second.
    """
    rng = random.Random(seed)
    clock = [100.0]
    lease_s, bound = 1.5, 10 * 1.5 + 5
    slots_by_core = [rate_slots.RateSlots(now=lambda: clock[0], reserved_s=lease_s + 1.5) for _ in range(core_count)]
    addresses = [f"10.0.0.{number}:1" for number in range(core_count)]
    proxies = {}
    started_count = 0

    def start():
        nonlocal started_count
        started_count += 1
        proxies[f"n{started_count}"] = (
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

    for _ in range(proxy_count):
        start()
    sends = {f"i{number}": [] for number in range(3)}
    for step in range(160):
        clock[0] += 0.05
        if rng.random() < 0.2:
            proxies.pop(rng.choice(list(proxies)))
            start()
        for name, (limits, replicas) in proxies.items():
            if step % 8 == 0:
                for slots, core in zip(slots_by_core, addresses, strict=True):
                    if rng.random() < 0.9:
                        limits.handle_share_lease(
                            core,
                            make_lease(
                                0.9 / proxy_count / core_count,
                                duration_s=lease_s,
                                core_share=1 / core_count,
                                rate_slot=slots.renew(node=name),
                            ),
                        )
            for replica in replicas:
                if limits.may_send(replica=replica, service=SERVICES["llm"], is_hard=True):
                    limits.note_send(replica=replica, service=SERVICES["llm"])
                    sends[replica.id].append(clock[0])
    for times in sends.values():
        assert len(times) > 8  # the limit still allows some requests
        for window_end in times:
            assert sum(1 for when in times if window_end - 1.0 < when <= window_end) <= bound


@pytest.mark.parametrize("seed", range(10))
def test_no_two_nodes_with_live_reservations_hold_the_same_slot(seed):
    rng = random.Random(seed)
    clock = [0.0]
    slots = rate_slots.RateSlots(now=lambda: clock[0], reserved_s=3.0)
    reservations = []  # (proxy, slot, slot_count, until)
    for _ in range(2000):
        clock[0] += rng.random() * 0.05
        proxy = f"n{rng.randrange(rng.choice((5, 40, 70)))}"
        slot, slot_count = slots.renew(node=proxy)
        if slot_count:
            assert slot < slot_count
            reservations = [row for row in reservations if row[3] > clock[0] and row[0] != proxy]
            assert all(row[1] != slot and row[2] == slot_count for row in reservations)
            reservations.append((proxy, slot, slot_count, clock[0] + 3.0))
    assert reservations

"""Tests of `TrailStore` (lookup, limits, counts of missing batches) and of the audit of trails."""

import json

from ploverward.control_plane.audit import trail_audit
from ploverward.control_plane.audit import trail_store
from ploverward.transport import messages

ZONES = {"za": "north", "zb": "south", "zc": "west"}


def trail(number, *, zone="za", homes=("north", "south"), end="200", **more):
    return {
        "id": f"r{number}",
        "homes": list(homes),
        "goes": [{"replica": f"i-{zone}", "zone": zone, "homes": list(homes), "end": end}],
        **more,
    }


def batch(*trails, node="p1", incarnation="l1", number=0, is_last=False):
    rows = tuple(messages.CustodyTrail(request_id=row["id"], trail=json.dumps(row).encode()) for row in trails)
    return messages.CustodyTrails(node=node, incarnation=incarnation, number=number, is_last=is_last, trails=rows)


def make(*, max_trails=100, retention_s=60.0):
    clock = [0.0]
    return trail_store.TrailStore(now=lambda: clock[0], retention_s=retention_s, max_trails=max_trails), clock


def test_find_and_page_return_recorded_trails_in_order():
    store, _clock = make()
    store.record(batch(trail(1), trail(2), node="p1", incarnation="l1", number=0, is_last=False))
    store.record(batch(trail(3), node="p1", incarnation="l1", number=1, is_last=False))
    assert [row["id"] for row in store.find("r2")] == ["r2"]
    assert store.find("r9") == []
    first = store.page(after=0, limit=2)
    assert [row["id"] for row in first.trails] == ["r1", "r2"] and first.has_more
    following = store.page(after=first.last, limit=2)
    assert [row["id"] for row in following.trails] == ["r3"] and not following.has_more


def test_trails_beyond_the_maximum_count_or_the_retention_time_are_dropped():
    store, clock = make(max_trails=10, retention_s=5.0)
    for number in range(30):
        store.record(batch(trail(number), node="p1", incarnation="l1", number=number, is_last=False))
    assert len(store.page(after=0, limit=100).trails) == 10
    clock[0] = 6.0
    assert store.page(after=0, limit=100).trails == [] and store.find("r29") == []


def test_a_repeated_batch_is_ignored():
    store, _clock = make()
    for _ in range(2):
        store.record(batch(trail(1), node="p1", incarnation="l1", number=0, is_last=False))
    assert len(store.find("r1")) == 1


def test_audit_summary_lists_missing_batches_and_unclosed_incarnations():
    store, _clock = make()
    store.record(batch(trail(1), node="p1", incarnation="l1", number=0, is_last=False))
    store.record(batch(node="p1", incarnation="l1", number=3, is_last=True))
    store.record(batch(trail(2), node="p2", incarnation="l2", number=0, is_last=False))
    store.record(batch(trail(3), node="p3", incarnation="l3", number=0, is_last=False))
    summary = trail_audit.summary(trails=[], coverage=store.coverage(live_incarnations={"l3"}), zones=ZONES)
    assert summary["lives_with_parts_missing"] == [
        {"node": "p1", "life": "l1", "missing_batches": 2, "ended_without_closing": False},
        {"node": "p2", "life": "l2", "missing_batches": 0, "ended_without_closing": True},
    ]


def test_audit_reports_each_planted_violation_and_none_for_clean_trails():
    clean = [trail(1), trail(2, zone="zb"), trail(3, zone="zc", homes=()), trail(4, zone="zc", end="not sent")]
    assert trail_audit.summary(trails=clean, coverage=[], zones=ZONES)["outside"] == []
    planted = [
        trail(5, zone="zc"),
        trail(6, kept=[{"replica": "i-x", "zone": "zc"}]),
        trail(7, zone="unknown"),
        {**trail(8, zone="zb", homes=("south",)), "homes": ["north"]},
    ]
    found = trail_audit.summary(trails=clean + planted, coverage=[], zones=ZONES)["outside"]
    assert [line.split(":")[0] for line in found] == ["r5", "r6", "r7", "r8"]

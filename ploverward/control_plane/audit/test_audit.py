"""Custody trails: kept, bounded, covered, and audited by an independent check."""

import json

from ploverward.control_plane.audit import trail_audit
from ploverward.control_plane.audit import trail_store

ZONES = {"za": "north", "zb": "south", "zc": "west"}


def trail(number, *, zone="za", homes=("north", "south"), end="200", **more):
    return {
        "id": f"r{number}",
        "homes": list(homes),
        "goes": [{"replica": f"i-{zone}", "zone": zone, "homes": list(homes), "end": end}],
        **more,
    }


def rows(*trails):
    return tuple((row["id"], json.dumps(row).encode()) for row in trails)


def make(*, most=100, keep_s=60.0):
    clock = [0.0]
    return trail_store.ReportStore(now=lambda: clock[0], keep_s=keep_s, most=most), clock


def test_found_by_id_and_by_page():
    trail_log, _clock = make()
    trail_log.record(node="p1", incarnation="l1", number=0, is_last=False, rows=rows(trail(1), trail(2)))
    trail_log.record(node="p1", incarnation="l1", number=1, is_last=False, rows=rows(trail(3)))
    assert [row["id"] for row in trail_log.find("r2")] == ["r2"]
    assert trail_log.find("r9") == []
    first, last, has_more = trail_log.page(after=0, most=2)
    assert [row["id"] for row in first] == ["r1", "r2"] and has_more
    following, _last, has_more = trail_log.page(after=last, most=2)
    assert [row["id"] for row in following] == ["r3"] and not has_more


def test_bounded_in_number_and_in_time():
    trail_log, clock = make(most=10, keep_s=5.0)
    for number in range(30):
        trail_log.record(node="p1", incarnation="l1", number=number, is_last=False, rows=rows(trail(number)))
    assert len(trail_log.page(after=0, most=100)[0]) == 10
    clock[0] = 6.0
    assert trail_log.page(after=0, most=100)[0] == [] and trail_log.find("r29") == []


def test_a_batch_reported_twice_counts_once():
    trail_log, _clock = make()
    for _ in range(2):
        trail_log.record(node="p1", incarnation="l1", number=0, is_last=False, rows=rows(trail(1)))
    assert len(trail_log.find("r1")) == 1


def test_a_lost_part_is_missing_not_clean():
    trail_log, _clock = make()
    trail_log.record(node="p1", incarnation="l1", number=0, is_last=False, rows=rows(trail(1)))
    trail_log.record(node="p1", incarnation="l1", number=3, is_last=True, rows=())
    trail_log.record(node="p2", incarnation="l2", number=0, is_last=False, rows=rows(trail(2)))
    trail_log.record(node="p3", incarnation="l3", number=0, is_last=False, rows=rows(trail(3)))
    summary = trail_audit.summary(trails=[], coverage=trail_log.coverage(live={("p3", "l3")}), zones=ZONES)
    assert summary["lives_with_parts_missing"] == [
        {"node": "p1", "life": "l1", "missing_batches": 2, "ended_without_closing": False},
        {"node": "p2", "life": "l2", "missing_batches": 0, "ended_without_closing": True},
    ]


def test_the_audit_finds_what_is_planted():
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

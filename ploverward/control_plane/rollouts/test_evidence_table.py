"""Tests for merging the reports of proxies when messages are lost, repeated or reordered."""

import collections
import dataclasses
import random

import pytest

from ploverward.common import errors
from ploverward.common import rollout_evidence
from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import rollout_samples


def test_pack_unpack_round_trip_preserves_reports():
    reports = [
        rollout_samples.report(
            tallies={
                rollout_samples.key(): rollout_samples.tally(ended=9, failed=2, slow=1),
                rollout_samples.key(is_new=False): rollout_samples.tally(ended=30),
            }
        )
    ]
    assert rollout_evidence.unpack(rollout_evidence.pack(reports)) == reports


@pytest.mark.parametrize("data", [b"", b"x", rollout_evidence.pack([])[:4], __import__("zlib").compress(b'[["pool"]]')])
def test_unpack_rejects_malformed_reports(data):
    with pytest.raises(errors.FrameError):
        rollout_evidence.unpack(data)


@pytest.mark.parametrize("seed", range(20))
def test_record_counts_lost_repeated_and_reordered_reports_once(seed):
    chance = random.Random(seed)
    table, consumed, reports = evidence_table.EvidenceTable(), collections.Counter(), []
    actual = {name: rollout_evidence.Tally() for name in "abc"}
    for step in range(120):
        name = chance.choice("abc")
        actual[name].add(rollout_samples.tally(ended=chance.randint(0, 4)))
        reports.append(
            (name, rollout_samples.report(tallies={rollout_samples.key(): actual[name].copy()}, sent=step + 1))
        )
        for reporter, report in chance.sample(reports, min(len(reports), chance.randint(0, 3))):
            table.record(origin=evidence_table.Origin(address=reporter, incarnation="1"), report=report)
        for tally in table.consume_new().values():
            assert tally.ended >= 0
            consumed["ended"] += tally.ended
    for name in "abc":
        last = [report for reporter, report in reports if reporter == name][-1]
        table.record(origin=evidence_table.Origin(address=name, incarnation="1"), report=last)
    consumed["ended"] += sum(tally.ended for tally in table.consume_new().values())
    assert consumed["ended"] == sum(tally.ended for tally in actual.values())


def test_consume_new_counts_first_pieces_of_running_answers_and_ignores_older_reports():
    table = evidence_table.EvidenceTable()
    origin = evidence_table.Origin(address="a", incarnation="1")
    waiting = rollout_samples.report(tallies={rollout_samples.key(): rollout_evidence.Tally()})
    first = rollout_evidence.Tally(first_chunk_times=collections.Counter({20: 1}))
    answering = dataclasses.replace(waiting, tallies={rollout_samples.key(): first}, age_s=waiting.age_s + 0.4)
    for report in (waiting, answering, waiting):
        table.record(origin=origin, report=report)
    assert table.consume_new() == {rollout_samples.key(): first}
    table.record(origin=origin, report=waiting)
    assert table.consume_new() == {}


def test_is_drained_requires_all_origins_at_the_step_without_old_attempts():
    table = evidence_table.EvidenceTable()
    first, second = (evidence_table.Origin(address=name, incarnation="1") for name in "ab")
    table.record(origin=first, report=rollout_samples.report(step=3))
    assert not table.is_drained(origins={first, second}, step=3)
    table.record(origin=second, report=rollout_samples.report(step=2))
    assert not table.is_drained(origins={first, second}, step=3)
    table.record(origin=second, report=rollout_samples.report(step=3, in_flight_old=1, sent=11))
    assert not table.is_drained(origins={first, second}, step=3)
    table.record(origin=second, report=rollout_samples.report(step=3, sent=12))
    assert table.is_drained(origins={first, second}, step=3)

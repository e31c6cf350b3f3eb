"""Tests of each term of a replica's score, in milliseconds."""

import types

import pytest

from ploverward.data_plane.load_balancing import network_latency
from ploverward.data_plane.load_balancing import scoring

IDLE = (0, 0, False, False)


def replica(*, region="north", idle=True, network_s=0.0, batch_slots=8, failures=0):
    return types.SimpleNamespace(
        region=region,
        zone="z",
        idle=["connection"] if idle else [],
        network_latency_s=network_s,
        batch_slots=batch_slots,
        recent_failures=lambda *, now: failures,
    )


def score(candidate=None, load=IDLE, **changes):
    scorer = scoring.Scorer(
        region="north", crossing_s=0.1, latencies=network_latency.NetworkLatencies(), now=lambda: 0.0
    )
    arguments = {
        "rate": 20.0,
        "prefill_tokens": 0,
        "is_warming_up": False,
        "is_within_rate": True,
        "latency_target_s": 10.0,
        **changes,
    }
    return scorer.score(candidate or replica(), load, **arguments)


@pytest.mark.parametrize(
    "candidate, load, changes, expected",
    [
        (replica(), IDLE, {}, 0.0),
        (replica(), IDLE, {"prefill_tokens": 2000}, 100.0),
        (replica(), (0, 1000, False, False), {"prefill_tokens": 2000}, 150.0),
        (replica(), (4, 0, False, False), {}, 60.0),
        (replica(), (4, 0, False, False), {"prefill_tokens": 2000}, 100.0 + 200.0 + 60.0),
        (replica(network_s=0.08), IDLE, {}, 20.0),
        (replica(), IDLE, {"prefill_tokens": 2000, "latency_target_s": 0.2}, 100.0 + 40.0),
        (replica(network_s=0.08), IDLE, {"rate": None}, 80.0),
        (replica(), (4, 0, False, False), {"rate": None}, 45.0),
        (replica(), (8, 0, False, False), {}, 120.0 + 50.0 + 200.0),
        (replica(region="south"), IDLE, {}, 20.0),
        (replica(region="south", network_s=None), IDLE, {}, 20.0 + 25.0),
        (replica(idle=False), IDLE, {}, 10.0),
        (replica(idle=False, network_s=0.08), IDLE, {}, 10.0 + 40.0),
        (replica(), (0, 0, True, False), {}, 1500.0),
        (replica(), (0, 0, False, True), {}, 1500.0),
        (replica(failures=2), IDLE, {}, 400.0),
        (replica(), IDLE, {"is_warming_up": True}, 40.0),
        (replica(), IDLE, {"is_within_rate": False}, 300.0),
    ],
)
def test_score_is_the_sum_of_its_terms(candidate, load, changes, expected):
    assert score(candidate, load, **changes) == pytest.approx(expected)


def test_score_treats_zero_batch_slots_as_one():
    assert score(replica(batch_slots=0), (1, 0, False, False)) == pytest.approx(120.0 + 400.0 + 200.0)


def test_prefill_rate_is_a_decaying_maximum():
    rates = scoring.PrefillRates()
    rates.record(service="llm", tokens=scoring.MIN_MEASURED_TOKENS - 1, took_s=0.001)
    rates.record(service="llm", tokens=5000, took_s=0.0)
    assert rates.rate_of("llm") == scoring.DEFAULT_TOKENS_PER_MS
    rates.record(service="llm", tokens=5000, took_s=0.1)
    assert rates.rate_of("llm") == 50.0 and rates.rate_of("other") == scoring.DEFAULT_TOKENS_PER_MS
    rates.record(service="llm", tokens=5000, took_s=1.0)
    assert rates.rate_of("llm") == pytest.approx(49.5)

"""Tests of the stored form of log entries and of the job table that applies them."""

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies

from ploverward.common import job_origin
from ploverward.store import job_entries
from ploverward.store import job_table
from ploverward.transport import batch_messages

NAMES = strategies.text(max_size=12)
ENTRIES = strategies.one_of(
    strategies.builds(
        job_entries.JobAccepted,
        tenant=NAMES,
        job=NAMES,
        route=NAMES,
        due_at=strategies.floats(min_value=0, max_value=1e10),
        max_attempts=strategies.integers(min_value=1, max_value=9),
        body=strategies.binary(max_size=100),
    ),
    strategies.builds(
        job_entries.ItemListed,
        tenant=NAMES,
        job=NAMES,
        item=NAMES,
        condition=strategies.sampled_from([1, 2]),
        text=strategies.binary(max_size=100),
    ),
    strategies.builds(job_entries.JobEnded, tenant=NAMES, job=NAMES),
    strategies.builds(job_entries.ItemFailed, tenant=NAMES, job=NAMES, item=NAMES, attempt=NAMES),
    strategies.builds(
        job_entries.JobForgotten,
        tenant=NAMES,
        job=NAMES,
        positions=strategies.lists(strategies.integers(min_value=1)).map(tuple),
    ),
)


@given(ENTRIES)
def test_unpack_returns_the_packed_entry(entry):
    assert job_entries.unpack(job_entries.pack(entry)) == entry


@pytest.mark.parametrize(
    "data", [b"", b"{}\n", b"[]\nx", b'{"other":[]}\n', b'{"end":["t"]}\n', b'{"forgotten":["t"]}\n']
)
def test_unpack_raises_value_error_for_malformed_data(data):
    with pytest.raises(ValueError):
        job_entries.unpack(data)


def accepted(*items, job="l1", due_at=10.0):
    rows = [{"id": item, "path": "/x", "parcel": base64.b64encode(b"b").decode(), "tokens": 5} for item in items]
    return job_entries.JobAccepted("t", job, "r", due_at, 3, json.dumps({"requests": rows}).encode())


def listed(item, text=b"text", job="l1"):
    return job_entries.ItemListed("t", job, item, 1, text)


def apply(table, *entries):
    for entry in entries:
        table.apply(1, entry)


def test_results_follow_entry_order_and_each_item_is_listed_once():
    table = job_table.JobTable()
    entries = (accepted("a", "b", "c"), listed("b"), listed("a"), listed("b", b"again"), accepted("z"), listed("z"))
    apply(table, *entries)
    job = table.find(tenant="t", job="l1")
    assert [(row.item, row.text) for row in job.results] == [("b", b"text"), ("a", b"text")]
    assert list(job.items) == ["a", "b", "c"] and job.is_open


def queued_tokens(table, *, tenant, route):
    place = job_table.RouteUse(route, job_origin.UNKNOWN_ORIGIN, 0)
    return sum(use.tokens for use in table.route_uses(tenant) if use.is_same_route(place))


def test_queued_tokens_count_only_unlisted_items_of_open_jobs():
    table = job_table.JobTable()
    apply(table, accepted("a", "b"), accepted("c", job="l2"), listed("a"))
    assert queued_tokens(table, tenant="t", route="r") == 10
    apply(table, job_entries.JobEnded("t", "l2"))
    assert queued_tokens(table, tenant="t", route="r") == 5
    assert queued_tokens(table, tenant="t", route="other") == 0
    assert queued_tokens(table, tenant="other", route="r") == 0


def test_open_jobs_are_sorted_by_due_time_and_a_leased_item_is_leasable_once_its_lease_ends():
    table = job_table.JobTable()
    apply(table, accepted("a", due_at=20.0), accepted("b", job="l2", due_at=10.0))
    assert [job.job_id for job in table.open_jobs()] == ["l2", "l1"]
    job = table.find(tenant="t", job="l1")
    (item,) = table.leasable_items(job, now=0.0)
    item.state, item.lease_ends_at = job_table.ItemState.LEASED, 5.0
    assert not list(table.leasable_items(job, now=4.9))
    assert list(table.leasable_items(job, now=5.0)) == [item]


def test_page_returns_at_least_one_result_and_stops_at_the_size_limit(monkeypatch):
    monkeypatch.setattr(job_table, "PAGE_BYTES", 25)
    table = job_table.JobTable()
    apply(table, accepted("a", "b", "c"), *(listed(item, b"x" * 12) for item in "abc"))
    job = table.find(tenant="t", job="l1")
    assert [row.item for row in table.page(job, after=0)] == ["a"]
    monkeypatch.setattr(job_table, "PAGE_BYTES", 26)
    assert [row.item for row in table.page(job, after=0)] == ["a", "b"]
    assert table.page(job, after=2) == (batch_messages.ItemResult("c", 1, b"x" * 12),)
    assert table.page(job, after=3) == ()


@given(ENTRIES)
def test_forgotten_positions_returns_positions_only_for_job_forgotten(entry):
    positions = entry.positions if isinstance(entry, job_entries.JobForgotten) else ()
    assert job_entries.forgotten_positions(job_entries.pack(entry)) == positions


def test_a_job_expires_once_no_items_are_left_to_run_and_it_is_past_due():
    table = job_table.JobTable()
    apply(table, accepted("a", due_at=10.0), accepted("b", job="l2", due_at=10.0), listed("b", job="l2"))
    assert [job.job_id for job in table.expired_jobs(due_before=10.1)] == ["l2"]
    assert not table.expired_jobs(due_before=10.0)
    apply(table, job_entries.JobForgotten("t", "l2", (2, 3)))
    assert table.find(tenant="t", job="l2") is None


def test_failures_are_counted_per_item():
    table = job_table.JobTable()
    apply(table, accepted("a", "b"), *[job_entries.ItemFailed("t", "l1", "a")] * 2)
    items = table.find(tenant="t", job="l1").items
    assert (items["a"].failures, items["b"].failures) == (2, 0)

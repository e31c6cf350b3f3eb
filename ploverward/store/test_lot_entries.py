"""Entries of a partition's log, and what a table of lots makes of them."""

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies

from ploverward.store import lot_entries
from ploverward.store import lot_table
from ploverward.transport import batch_messages

NAMES = strategies.text(max_size=12)
ENTRIES = strategies.one_of(
    strategies.builds(
        lot_entries.LotAccepted,
        tenant=NAMES,
        lot=NAMES,
        route=NAMES,
        due_at=strategies.floats(min_value=0, max_value=1e10),
        max_attempts=strategies.integers(min_value=1, max_value=9),
        body=strategies.binary(max_size=100),
    ),
    strategies.builds(
        lot_entries.ItemListed,
        tenant=NAMES,
        lot=NAMES,
        item=NAMES,
        condition=strategies.sampled_from([1, 2]),
        text=strategies.binary(max_size=100),
    ),
    strategies.builds(lot_entries.LotEnded, tenant=NAMES, lot=NAMES),
)


@given(ENTRIES)
def test_an_entry_is_read_as_it_was_written(entry):
    assert lot_entries.unpack(lot_entries.pack(entry)) == entry


@pytest.mark.parametrize("data", [b"", b"{}\n", b"[]\nx", b'{"other":[]}\n', b'{"end":["t"]}\n'])
def test_other_bytes_are_no_entry(data):
    with pytest.raises(ValueError):
        lot_entries.unpack(data)


def accepted(*items, lot="l1", due_at=10.0):
    rows = [{"id": item, "path": "/x", "parcel": base64.b64encode(b"b").decode(), "tokens": 5} for item in items]
    return lot_entries.LotAccepted("t", lot, "r", due_at, 3, json.dumps({"requests": rows}).encode())


def listed(item, text=b"text", lot="l1"):
    return lot_entries.ItemListed("t", lot, item, 1, text)


def test_positions_follow_the_order_of_entries_and_an_item_has_one():
    table = lot_table.LotTable()
    for entry in (accepted("a", "b", "c"), listed("b"), listed("a"), listed("b", b"again"), accepted("z"), listed("z")):
        table.apply(entry)
    lot = table.find(tenant="t", lot="l1")
    assert [(row.item, row.text) for row in lot.results] == [("b", b"text"), ("a", b"text")]
    assert list(lot.items) == ["a", "b", "c"] and lot.is_open


def test_only_what_waits_counts_against_the_quota():
    table = lot_table.LotTable()
    for entry in (accepted("a", "b"), accepted("c", lot="l2"), listed("a")):
        table.apply(entry)
    assert table.queued_tokens(tenant="t", route="r") == 10
    table.apply(lot_entries.LotEnded("t", "l2"))
    assert table.queued_tokens(tenant="t", route="r") == 5
    assert table.queued_tokens(tenant="other", route="r") == 0


def test_the_earliest_due_lot_comes_first_and_a_leased_item_waits_for_the_end_of_its_lease():
    table = lot_table.LotTable()
    table.apply(accepted("a", due_at=20.0))
    table.apply(accepted("b", lot="l2", due_at=10.0))
    assert [lot.lot_id for lot in table.open_lots()] == ["l2", "l1"]
    lot = table.find(tenant="t", lot="l1")
    (item,) = table.free_items(lot, now=0.0)
    item.state, item.lease_ends_at = lot_table.ItemState.LEASED, 5.0
    assert not list(table.free_items(lot, now=4.9))
    assert list(table.free_items(lot, now=5.0)) == [item]


def test_a_page_has_one_result_at_least_and_not_many_more_than_fit(monkeypatch):
    monkeypatch.setattr(lot_table, "PAGE_BYTES", 25)
    table = lot_table.LotTable()
    table.apply(accepted("a", "b", "c"))
    for item in "abc":
        table.apply(listed(item, b"x" * 12))
    lot = table.find(tenant="t", lot="l1")
    assert [row.item for row in table.page(lot, after=0)] == ["a"]
    monkeypatch.setattr(lot_table, "PAGE_BYTES", 26)
    assert [row.item for row in table.page(lot, after=0)] == ["a", "b"]
    assert table.page(lot, after=2) == (batch_messages.ListedItem("c", 1, b"x" * 12),)
    assert table.page(lot, after=3) == ()

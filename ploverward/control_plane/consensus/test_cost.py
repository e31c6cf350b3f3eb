"""Cost of a change: independent of the number of earlier changes; its value is written once (docs/register.md 5)."""

import pytest

from ploverward.control_plane.consensus import acceptor_storage
from ploverward.simulation import register_cost


def test_cost_of_a_change_does_not_grow_with_the_number_of_earlier_changes():
    few, many = (register_cost.cost(routes=20, changes=count, measured=5) for count in (100, 4100))
    for name in ("wire_bytes", "disk_bytes", "value_bytes"):
        assert many[name] < few[name] * 1.05


def test_value_is_sent_only_in_accepts_and_written_to_disk_once():
    small, large = (register_cost.cost(routes=count, changes=10, measured=5) for count in (10, 300))
    assert large["promise_bytes"] == small["promise_bytes"] < 300
    others = large["members"] - 1
    assert large["accept_bytes"] < others * (large["value_bytes"] + 100)
    assert large["disk_bytes"] < large["value_bytes"] * 1.2 + 300


def test_promises_carry_values_when_prepares_do_not_name_the_known_value():
    full_cost = register_cost.cost(routes=300, changes=10, measured=5, names_accepted_state=False)
    assert full_cost["promise_bytes"] > 3 * full_cost["value_bytes"]


def test_log_file_is_rewritten_before_it_exceeds_its_limit():
    limit_bytes = 50_000
    grown = register_cost.file_growth(routes=100, changes=300, limit_bytes=limit_bytes)
    assert grown["rewrites"] > 3
    assert 0.8 * limit_bytes < grown["largest_file_bytes"] <= limit_bytes


def test_log_file_of_small_values_is_rewritten_before_it_reaches_the_limit():
    grown = register_cost.file_growth(routes=2, changes=400, limit_bytes=8 * 1024 * 1024)
    assert grown["rewrites"] > 1
    assert grown["largest_file_bytes"] <= max(
        acceptor_storage.MIN_REWRITE_BYTES, acceptor_storage.REWRITE_FACTOR * grown["value_bytes"] * 2
    )


@pytest.mark.parametrize("scenario", ["restarted", "absent", "emptied", "new"])
def test_late_member_catches_up_to_the_newest_version_before_it_votes(scenario):
    result = register_cost.catch_up(changes=40, scenario=scenario)
    assert result["versions"] == 40 and result["caught_up_s"] < 2.0 and not result["voted_early"]

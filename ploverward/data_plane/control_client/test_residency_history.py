"""Tests of the home regions of replaced configurations."""

import types

from ploverward.data_plane.control_client import residency_history


def test_replaced_home_regions_apply_until_they_expire():
    clock = [0.0]
    history = residency_history.ResidencyHistory(now=lambda: clock[0], applies_for_s=lambda: 2.5)
    history.add_replaced(types.SimpleNamespace(edition=1, homes=lambda: {"chat": ("north",)}, tenant_homes=dict))
    route = types.SimpleNamespace(name="chat", homes=("north", "south"))
    assert history.permitted(route=route, first_homes=()) == {"north"}
    clock[0] = 2.6
    assert history.permitted(route=route, first_homes=()) == {"north", "south"}
    assert history.permitted(route=route, first_homes=("south",)) == {"south"}


def test_initial_empty_configuration_adds_no_restriction():
    history = residency_history.ResidencyHistory(now=lambda: 0.0, applies_for_s=lambda: 2.5)
    history.add_replaced(types.SimpleNamespace(edition=0, homes=lambda: {"chat": ("north",)}, tenant_homes=dict))
    assert history.permitted(route=types.SimpleNamespace(name="chat", homes=()), first_homes=()) is None

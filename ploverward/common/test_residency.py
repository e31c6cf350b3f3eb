"""Tests of the data residency rules."""

from ploverward.common import residency


def test_permitted_allows_all_regions_without_home_regions():
    assert residency.permitted(homes=()) is None


def test_permitted_intersects_home_regions_of_all_configurations():
    assert residency.permitted(homes=("a", "b"), older_homes=(("b", "c"),)) == {"b"}
    assert residency.permitted(homes=(), older_homes=(("b",),)) == {"b"}
    assert residency.permitted(homes=("a",), older_homes=((),)) == {"a"}


def test_permitted_is_empty_for_disjoint_home_regions():
    assert residency.permitted(homes=("a",), older_homes=(("b",),)) == frozenset()


CONFIGURATION = {
    "routes": [
        {"host": "h", "homeRegions": ["a", "b"]},
        {"host": "h", "homeRegions": ["b", "c"]},
        {"host": "h", "homeRegions": []},
        {"host": "open", "homeRegions": []},
    ]
}


def test_lookup_returns_own_region_if_it_is_serving():
    assert residency.lookup_regions(configuration=CONFIGURATION, host="h", region="d", serving=("b", "d")) == {"d"}


def test_lookup_from_unserved_region_returns_home_regions_shared_by_all_routes():
    assert residency.lookup_regions(configuration=CONFIGURATION, host="h", region="x", serving=("a", "b", "c")) == {"b"}
    assert residency.lookup_regions(configuration=CONFIGURATION, host="open", region="x", serving=("a", "c")) == {
        "a",
        "c",
    }


def test_lookup_returns_no_region_without_shared_home_region_or_configuration():
    assert (
        residency.lookup_regions(configuration=CONFIGURATION, host="h", region="x", serving=("a", "c")) == frozenset()
    )
    assert residency.lookup_regions(configuration=None, host="h", region="x", serving=("a",)) == frozenset()

from ploverward.common import residency


def test_no_homes_permit_all():
    assert residency.permitted(homes=()) is None


def test_the_stricter_of_two_configurations_binds():
    assert residency.permitted(homes=("a", "b"), older=(("b", "c"),)) == {"b"}
    assert residency.permitted(homes=(), older=(("b",),)) == {"b"}
    assert residency.permitted(homes=("a",), older=((),)) == {"a"}


def test_disjoint_homes_permit_nothing():
    assert residency.permitted(homes=("a",), older=(("b",),)) == frozenset()


CONFIGURATION = {
    "routes": [
        {"host": "h", "homeRegions": ["a", "b"]},
        {"host": "h", "homeRegions": ["b", "c"]},
        {"host": "h", "homeRegions": []},
        {"host": "open", "homeRegions": []},
    ]
}


def test_lookup_names_the_own_region_first():
    assert residency.lookup_regions(configuration=CONFIGURATION, host="h", region="d", serving=("b", "d")) == {"d"}


def test_lookup_from_a_lost_region_names_homes_of_all_routes_only():
    assert residency.lookup_regions(configuration=CONFIGURATION, host="h", region="x", serving=("a", "b", "c")) == {"b"}
    assert residency.lookup_regions(configuration=CONFIGURATION, host="open", region="x", serving=("a", "c")) == {
        "a",
        "c",
    }


def test_lookup_fails_openly():
    assert (
        residency.lookup_regions(configuration=CONFIGURATION, host="h", region="x", serving=("a", "c")) == frozenset()
    )
    assert residency.lookup_regions(configuration=None, host="h", region="x", serving=("a",)) == frozenset()

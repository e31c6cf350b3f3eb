"""Tests the decoding of the platform's replicas into rows of the endpoint list."""

from ploverward.control_plane.discovery import platform_replicas
from ploverward.control_plane.distribution import endpoint_list


def test_read_row_lists_adapters_and_marks_malformed_ones():
    platform_replica = {"id": "i", "destination": "d", "address": "1.1.1.1:1", "zone": "z", "condition": "accepting"}

    def row(*models):
        return platform_replicas.read_row(platform_replica={**platform_replica, "models": list(models)})

    assert row({"name": "m", "adapters": ["a", "b"]})["adapters"] == [["m", "a"], ["m", "b"]]
    assert "adapters" not in row({"name": "m", "adapters": []})
    missing = row({"name": "m"})
    assert missing["adapters"] is None and not missing["is_malformed"]
    for bad in ("a", 7, [1], [["a"]], {"a": 1}):
        assert (
            row({"name": "m", "adapters": bad})["is_malformed"]
            and row({"name": "m", "adapters": bad})["adapters"] is None
        )
    published = endpoint_list.from_rows(rows=[row({"name": "m", "adapters": ["a"]})], read_at=1.0)
    same = [row({"name": "m", "adapters": ["a"]})]
    assert published.delta_to(rows=same, read_at=2.0, is_same_clock=True) is None
    changed = [row({"name": "m", "adapters": ["b"]})]
    assert published.delta_to(rows=changed, read_at=3.0, is_same_clock=True).rows == tuple(changed)

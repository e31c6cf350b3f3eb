"""Tests of the bound on the values of a JSON text."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from ploverward.common import json_size

VALUES = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(max_size=4),
    lambda inner: strategies.lists(inner, max_size=4) | strategies.dictionaries(strategies.text(), inner, max_size=4),
    max_leaves=20,
)


def count(value):
    """Returns the number of values in a parsed text."""
    if isinstance(value, dict):
        return 1 + sum(map(count, value.values()))
    if isinstance(value, list):
        return 1 + sum(map(count, value))
    return 1


@pytest.mark.parametrize("encoding", ["utf-8", "utf-16-le", "utf-32-be"])
@hypothesis.given(value=VALUES)
@hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
def test_bound_is_never_below_the_number_of_values(value, encoding):
    assert json_size.max_values(json.dumps(value).encode(encoding)) >= count(value)


def test_long_strings_without_separators_count_once():
    assert json_size.max_values(json.dumps(["x" * 10_000]).encode()) == 2

"""Calls of operator tools to several core nodes: a node that sends on without end is no answer."""

import pytest

from ploverward.command_line import core_client as callers
from ploverward.common import errors


def make(statuses):
    core_client = callers.CoreClient(addresses=sorted(statuses))
    core_client.one = lambda *, address, method, path, data: (statuses[address], {"from": address})
    return core_client


@pytest.mark.parametrize("first", [307, 408, 429, 500, 503])
def test_the_next_node_is_called_where_one_gives_no_clear_answer(first):
    core_client = make({"a": first, "b": 200})
    assert core_client.any(method="GET", path="/x") == (200, {"from": "b"})


def test_a_definite_rejection_is_reported():
    assert make({"a": 412, "b": 200}).any(method="GET", path="/x")[0] == 412


def test_no_clear_answer_at_all_is_unreachable():
    with pytest.raises(errors.CoreUnreachableError) as caught:
        make({"a": 503, "b": 307}).any(method="GET", path="/x")
    assert "307" in str(caught.value) and "b" in str(caught.value)

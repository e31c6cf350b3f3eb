"""Calls of operator tools to several core nodes: a node that sends on without end is no answer."""

import pytest

from ploverward.common import errors
from ploverward.command_line import core_client as callers


def make(statuses):
    caller = callers.Caller(addresses=sorted(statuses))
    caller.one = lambda *, address, method, path, data: (statuses[address], {"from": address})
    return caller


@pytest.mark.parametrize("first", [307, 408, 429, 500, 503])
def test_the_next_node_is_called_where_one_gives_no_clear_answer(first):
    caller = make({"a": first, "b": 200})
    assert caller.any(method="GET", path="/x") == (200, {"from": "b"})


def test_a_clear_refusal_is_told():
    assert make({"a": 412, "b": 200}).any(method="GET", path="/x")[0] == 412


def test_no_clear_answer_at_all_is_unreachable():
    with pytest.raises(errors.Unreachable) as told:
        make({"a": 503, "b": 307}).any(method="GET", path="/x")
    assert "307" in str(told.value) and "b" in str(told.value)

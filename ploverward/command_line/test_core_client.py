"""Tests of calls to several core nodes; an endless redirect does not count as a response."""

import pytest

from ploverward.command_line import core_client as callers
from ploverward.common import errors


def make(statuses):
    core_client = callers.CoreClient(addresses=sorted(statuses))
    core_client.call_node = lambda *, address, method, path, data: (statuses[address], {"from": address})
    return core_client


@pytest.mark.parametrize("first", [307, 408, 429, 500, 503])
def test_redirect_overload_or_server_error_falls_through_to_the_next_node(first):
    core_client = make({"a": first, "b": 200})
    assert core_client.call_any(method="GET", path="/x") == (200, {"from": "b"})


def test_client_error_is_returned_without_trying_another_node():
    assert make({"a": 412, "b": 200}).call_any(method="GET", path="/x")[0] == 412


def test_inconclusive_answers_from_all_nodes_raise_core_unreachable():
    with pytest.raises(errors.CoreUnreachableError) as caught:
        make({"a": 503, "b": 307}).call_any(method="GET", path="/x")
    assert "307" in str(caught.value) and "b" in str(caught.value)

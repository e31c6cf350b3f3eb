"""Tests of `ploverward tallies` with given responses of core nodes."""

import json

import pytest

from ploverward.command_line import tallies
from ploverward.common import errors


def answer(*, totals, merged=True, peers=None):
    body = {"node": "n", "merged": merged, "totals": totals, "kept": 5, "maxKept": 100, "waiting": 0}
    return 200, {**body, "peers": peers or {}}


class CoreClient:
    def __init__(self, **answers):
        self.answers = answers

    def read_all(self, *, path):
        assert path == "/ploverward/tallies"
        responses = {name: row for name, row in self.answers.items() if row is not None}
        return responses, {name: "no answer" for name, row in self.answers.items() if row is None}


def run(name="", as_json=False, **answers):
    lines = []
    code = tallies.run(core_client=CoreClient(**answers), name=name, as_json=as_json, out=lines.append)
    return code, "\n".join(lines)


def test_sums_equal_on_all_nodes_are_printed_once():
    code, text = run(a=answer(totals={"t3": 7}), b=answer(totals={"t3": 7}))
    assert code == 0 and "1 tallies, 2 core nodes answer, all agree" in text and "t3: 7\n" in text


def test_differing_sums_are_printed_per_node_and_exit_1():
    code, text = run(a=answer(totals={"t3": 7, "t4": 1}), b=answer(totals={"t3": 9}))
    assert code == 1 and "2 differ" in text and "t3: 7 at a, 9 at b" in text and "t4: 1 at a, 0 at b" in text


def test_name_argument_limits_output_to_one_tally():
    code, text = run(name="t4", a=answer(totals={"t3": 7, "t4": 1}), b=answer(totals={"t3": 9, "t4": 1}))
    assert code == 0 and "t4: 1" in text and "t3" not in text
    assert run(name="other", a=answer(totals={"t3": 7}))[0] == 1


def test_partitioned_and_lagging_peers_are_printed():
    peers = {"b": {"inReach": False, "behind": None}, "c": {"inReach": True, "behind": 3}}
    code, text = run(a=answer(totals={}, peers=peers))
    assert code == 0 and "b is out of reach" in text and "c lacks 3 adds" in text


def test_unmerged_node_is_printed_and_exits_1():
    code, text = run(a=answer(totals={}, merged=False))
    assert code == 1 and "has not merged" in text


def test_unreachable_node_is_printed_and_exits_3():
    code, text = run(a=answer(totals={"t3": 7}), b=None)
    assert code == 3 and "b: out of reach" in text


def test_no_reachable_core_node_raises_insufficient_data():
    with pytest.raises(errors.InsufficientDataError):
        run(a=None)


def test_json_output_holds_the_node_responses():
    code, text = run(as_json=True, a=answer(totals={"t3": 7}), b=answer(totals={"t3": 8}))
    assert code == 1 and json.loads(text)["differ"] == ["t3"] and json.loads(text)["told"]["a"]["totals"] == {"t3": 7}

"""Tests of `ploverward core-set` with given responses of core nodes."""

import json

import pytest

from ploverward.command_line import core_set
from ploverward.command_line import exit_codes


def node(address, *, members="abc", version=4, votes=True, contact=True, borne=1, **sets):
    names = ("spec", "evac", "duty", "cores")
    return {
        "address": address,
        "votes": votes,
        "members": list(members),
        "version": version,
        "has_majority_contact": contact,
        "wanted_voters": 3,
        "losses_borne": borne,
        "in_touch": list(members),
        "watch": members[0],
        "registers": {name: {"known": 7, "on_disk": 7, "members": list(sets.get(name, members))} for name in names},
    }


def learner(address):
    body = node(address, votes=False, contact=False)
    return {**body, "registers": {name: {**row, "on_disk": 0} for name, row in body["registers"].items()}}


class CoreClient:
    """Fake client of the nodes in `nodes`, by address; all others are unreachable."""

    nodes = {}

    def __init__(self, *, addresses):
        self.addresses = addresses

    def read_all(self, *, path):
        assert path == "/ploverward/core-set"
        responses = {one: (200, self.nodes[one]) for one in self.addresses if one in self.nodes}
        return responses, {one: "no answer" for one in self.addresses if one not in self.nodes}


def run(nodes, *, as_json=False):
    CoreClient.nodes = {f"{body['address']}:8166": body for body in nodes}
    lines = []
    code = core_set.run(core_client=CoreClient(addresses=("a:8166",)), as_json=as_json, out=lines.append)
    return code, "\n".join(lines)


def test_complete_set_exits_0_and_members_are_found_from_one_address():
    code, text = run([node("a"), node("b"), node("c")])
    assert code == exit_codes.ExitCode.SUCCESS and text.count("votes") == 3
    assert "version 4: a, b, c" in text and "further losses borne now: 1" in text


def test_unreachable_member_is_printed_and_exits_3():
    code, text = run([node("a"), node("b")])
    assert code == exit_codes.ExitCode.INCOMPLETE and "c:8166  unreachable" in text


@pytest.mark.parametrize(
    "nodes, expected",
    [
        ([node("a", contact=False)], "no node is in contact with a majority"),
        ([node("a", borne=0), node("b"), node("c")], "0 further losses are borne now, 1 are wanted"),
        ([node("a", spec="bcd"), node("b"), node("c")], "register 'spec' stands under b, c, d"),
        ([node("a"), node("b"), learner("c")], "c is a member and does not vote yet: it learns"),
        (
            [node("a", borne=0), node("b"), node("c", votes=False)],
            "c is a member and does not vote: its disk refuses writes",
        ),
    ],
)
def test_fault_of_the_core_set_is_printed_and_exits_1(nodes, expected):
    code, text = run(nodes)
    assert code == exit_codes.ExitCode.FAILURE and expected in text


def test_older_version_of_an_evicted_member_is_ignored():
    code, text = run([node("a", members="abx", version=2, contact=False), node("b"), node("c")])
    assert "version 4: a, b, c" in text
    assert code == exit_codes.ExitCode.INCOMPLETE


def test_json_output_holds_all_responses():
    _code, text = run([node("a"), node("b"), node("c")], as_json=True)
    found = json.loads(text)
    assert set(found["told"]) == {"a:8166", "b:8166", "c:8166"} and found["faults"] == []

"""Tests of `ploverward tenants` with given responses of core nodes."""

import json

import pytest

from ploverward.command_line import tenants
from ploverward.common import errors

ROW = {"keys": ["digest:ab"], "perS": 5, "burst": 5, "homeRegions": [], "level": 4.5, "depth": 9.0}


def answer(*, level=4.5, wants=False):
    row = {**ROW, "level": level, "wantsCredits": wants}
    return 200, {"edition": 7, "proxies": 12, "tenants": {"clerks": row}}


class CoreClient:
    def __init__(self, **answers):
        self.answers = answers

    def read_all(self, *, path):
        assert path == "/ploverward/tenants"
        responses = {name: row for name, row in self.answers.items() if row is not None}
        return responses, {name: "no answer" for name, row in self.answers.items() if row is None}


def run(as_json=False, **answers):
    lines = []
    code = tenants.run(core_client=CoreClient(**answers), as_json=as_json, out=lines.append)
    return code, "\n".join(lines)


def test_limits_and_quota_status_are_merged_over_core_nodes():
    code, text = run(a=answer(), b=answer(level=-3.0, wants=True))
    assert code == 0
    for expected in ("edition 7", "12 proxies", "5 a second", "left -3 to 4.5", "wants credits by 1 of 2", "digest:ab"):
        assert expected in text


def test_unreachable_node_is_printed_and_exits_3():
    code, text = run(a=answer(), b=None)
    assert code == 3 and "b: out of reach" in text


def test_no_reachable_core_node_raises_insufficient_data():
    with pytest.raises(errors.InsufficientDataError):
        run(a=None)


def test_json_output_holds_the_node_responses():
    code, text = run(as_json=True, a=answer())
    assert code == 0 and json.loads(text)["told"]["a"]["tenants"]["clerks"]["perS"] == 5

"""Tests of the calls on roll-outs at a core node: acknowledgements, refusals and the register's changes."""

import json
import types

import pytest

from ploverward.common import errors
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.operator_api import apply_barrier
from ploverward.control_plane.operator_api import order_api
from ploverward.control_plane.operator_api import redirector
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import state

CONFIGURATION = {"body": {"destinations": [{"name": "pool"}, {"name": "portal"}]}}


class FakeCall:
    def __init__(self, body=b""):
        self.body = body
        self.answered = None

    def answer(self, *, status, body, headers=()):
        assert self.answered is None
        self.answered = (status, body)

    def answer_unavailable(self, *, reason):
        self.answer(status=503, body={"error": reason})

    def redirect(self, *, address):
        self.answer(status=307, body={"location": address})


class FakeLoop:
    """A loop whose timers never fire."""

    def __init__(self):
        self.timers = []

    def now(self):
        return 0.0

    def after(self, *, delay, callback):
        self.timers.append(callback)
        return callback

    def cancel(self, *, timer):
        if timer in self.timers:
            self.timers.remove(timer)


class NodeHarness:
    def __init__(self, *, applied=CONFIGURATION["body"], has_contact=True):
        self.values = {register_names.CONFIGURATION: CONFIGURATION, register_names.ROLLOUTS: None}
        self.error = None
        self.changes = 0
        self.loop = FakeLoop()
        publisher = types.SimpleNamespace(lagging_connections=lambda **_arguments: [])
        self.order_api = order_api.OrderApi(
            loop=self.loop,
            registers=types.SimpleNamespace(change=self.change, read=self.read),
            apply_barrier=apply_barrier.ApplyBarrier(publisher=publisher, proxies=lambda serving_only: []),
            redirector=redirector.Redirector(own="a", port=1, members=lambda: ("a", "b"), is_live=lambda host: True),
            configuration=lambda: applied,
            zones=lambda: {"z": "r"},
            receipt_s=8.0,
            is_voting=lambda: True,
            has_majority_contact=lambda: has_contact,
        )

    def change(self, *, name, edit, done, is_wanted):
        if self.error is not None:
            done(self.error, 0, None, None)
            return
        try:
            value, _result = edit(self.values[name])
        except errors.PloverwardError as failure:
            done(failure, 0, None, None)
            return
        self.changes += value is not self.values[name]
        self.values[name] = value
        done(None, self.changes, value, None)

    def read(self, *, name, done):
        done(self.error, 1, self.values[name], None)

    def post(self, **body):
        call = FakeCall(json.dumps(body).encode())
        self.order_api.rollouts.handle_post(call)
        return call.answered

    def get(self, service):
        call = FakeCall()
        self.order_api.rollouts.handle_get(call, service)
        return call.answered


ORDER = {"destination": "pool", "targetEdition": "v2", "overS": 14.0}


def test_repeated_order_is_acknowledged_each_time_and_applied_once():
    node = NodeHarness()
    assert [node.post(**ORDER)[0] for _index in range(3)] == [200, 200, 200]
    assert node.changes == 1
    status, body = node.get("pool")
    assert (status, body["condition"], body["targetEdition"]) == (200, "in_service", "v2")


def test_second_rollout_of_a_service_returns_409_and_one_of_another_service_starts():
    node = NodeHarness()
    node.post(**ORDER)
    status, body = node.post(**{**ORDER, "targetEdition": "v3"})
    assert status == 409 and body["targetEdition"] == "v2"
    assert node.post(**{**ORDER, "destination": "portal"})[0] == 200
    assert node.get("pool")[1]["targetEdition"] == "v2"


@pytest.mark.parametrize(
    "overrides, field_path",
    [
        ({"destination": "nobody"}, "destination"),
        ({"targetEdition": None}, "targetEdition"),
        ({"overS": "soon"}, "overS"),
        ({"overS": -1}, "overS"),
    ],
)
def test_invalid_order_returns_400_and_changes_nothing(overrides, field_path):
    node = NodeHarness()
    status, body = node.post(**{**ORDER, **overrides})
    assert (status, body["place"], node.changes) == (400, field_path, 0)


def test_service_unknown_to_this_node_is_looked_up_in_the_register():
    node = NodeHarness(applied=None)
    assert node.post(**ORDER)[0] == 200
    assert node.post(**{**ORDER, "destination": "nobody"})[0] == 400


def test_calls_return_503_without_a_quorum_and_307_on_an_isolated_node():
    node = NodeHarness()
    node.error = errors.QuorumUnavailableError("no majority answered in time")
    assert node.post(**ORDER)[0] == 503 and node.get("pool")[0] == 503
    isolated = NodeHarness(has_contact=False)
    assert isolated.post(**ORDER)[0] == 307 and isolated.get("pool")[0] == 307 and isolated.changes == 0


@pytest.mark.parametrize("stage", [state.Stage.DELIVERED, state.Stage.RETURNED])
def test_get_reports_the_final_stage_of_an_ended_rollout(stage):
    node = NodeHarness()
    node.post(**ORDER)
    row = state.rollouts_of(node.values[register_names.ROLLOUTS])["pool"]
    for step in (state.Stage.PROMOTING, state.Stage.DRAINING, stage):
        evidence = state.Evidence(stage=step, age_s=1.0, reason="so", routes={"r": [1, 0, 2, 1, 0]})
        edit = orders.edit_to_stage(service="pool", seen=row, evidence=evidence)
        node.values[register_names.ROLLOUTS] = edit(node.values[register_names.ROLLOUTS])[0]
        row = state.rollouts_of(node.values[register_names.ROLLOUTS])["pool"]
    status, body = node.get("pool")
    assert (status, body["condition"], body["reason"]) == (200, str(stage), "so")
    assert [step["stage"] for step in body["record"]] == ["promoting", "draining", str(stage)]
    assert node.post(**ORDER)[0] == 200 and node.get("pool")[1]["condition"] == str(stage)


def test_get_returns_404_for_a_service_without_a_rollout():
    assert NodeHarness().get("pool")[0] == 404

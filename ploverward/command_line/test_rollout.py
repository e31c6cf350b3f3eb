"""Tests of `ploverward rollout` with given responses of a core node."""

import json

import pytest

from ploverward.command_line import rollout
from ploverward.common import errors

ROW = {
    "condition": "in_service",
    "targetEdition": "v2",
    "stage": "canary",
    "overS": 14.0,
    "admitted": ["v1"],
    "reason": "",
    "ageS": 0.0,
    "number": 1,
    "record": [],
}
STEP = {
    "stage": "returned",
    "age_s": 4.2,
    "reason": "failed on chat: 9.0",
    "sent": 100,
    "sent_new": 9,
    "routes": {"chat": [80, 1, 9, 5, 0]},
}


class Core:
    """Fake core node that gives its answers in turn and repeats the last one."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.lines = []

    def call(self, method, path, data):
        self.calls.append((method, path, data))
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


def rows(**about):
    return (200, {"rollouts": {"tutor": {**ROW, **about}}})


def test_start_posts_the_roll_out_order():
    core = Core((200, {"serial": 3}))
    assert rollout.start(call=core.call, service="tutor", edition="v2", over_s=14.0, out=core.lines.append) == 0
    method, path, data = core.calls[0]
    assert (method, path) == ("POST", "/ploverward/rollouts")
    assert json.loads(data) == {"destination": "tutor", "targetEdition": "v2", "overS": 14.0}


def test_refused_start_prints_the_reason_and_exits_1():
    core = Core((409, {"error": "a roll-out to v2 is under way"}))
    assert rollout.start(call=core.call, service="tutor", edition="v3", over_s=14.0, out=core.lines.append) == 1
    assert core.lines == ["tutor: a roll-out to v2 is under way"]


def test_status_prints_stage_reason_and_evidence():
    core = Core(rows(stage="returned", condition="returned", reason="failed on chat: 9.0", record=[STEP]))
    assert rollout.status(call=core.call, service="tutor", as_json=False, out=core.lines.append) == 0
    text = "\n".join(core.lines)
    for expected in ("returned", "failed on chat", "9 of 100 requests", "5 failed"):
        assert expected in text


def test_status_of_an_unknown_service_exits_3():
    core = Core(rows())
    assert rollout.status(call=core.call, service="other", as_json=False, out=core.lines.append) == 3


def test_status_json_holds_the_core_response():
    core = Core(rows())
    rollout.status(call=core.call, service="", as_json=True, out=core.lines.append)
    assert json.loads(core.lines[0]) == {"tutor": ROW}


@pytest.mark.parametrize("stage, code", [("delivered", 0), ("returned", 1)])
def test_watch_prints_each_change_until_the_roll_out_ends(stage, code):
    core = Core(rows(), rows(), rows(stage="promoting"), rows(stage=stage, condition=stage))
    pauses = []
    found = rollout.watch(
        call=core.call, service="tutor", as_json=False, out=core.lines.append, pause=pauses.append, clock=lambda: 0.0
    )
    assert found == code and len(core.lines) == 3 and len(pauses) == 3


def test_watch_of_a_service_without_a_roll_out_exits_3():
    core = Core(rows(number=0))
    assert rollout.watch(call=core.call, service="tutor", as_json=False, out=core.lines.append) == 3


def test_status_503_from_the_core_raises_unexpected_answer():
    core = Core((503, None))
    with pytest.raises(errors.UnexpectedAnswerError):
        rollout.status(call=core.call, service="", as_json=False, out=core.lines.append)

"""Tests of the log of a node: which events are written, and when."""

import io
import json
import logging

import pytest

from ploverward.common import event_log
from ploverward.common import log_formatter


class Scene:
    def __init__(self, *, write_level=logging.INFO, capacity=event_log.BUFFERED_EVENTS):
        self.now = 100.12341
        self.output = io.StringIO()
        stream = logging.StreamHandler(self.output)
        stream.setFormatter(log_formatter.EventFormatter(node="n1", role="core"))
        self.log = logging.Logger("scene", logging.DEBUG)
        self.log.addHandler(
            event_log.EventBuffer(target=stream, write_level=write_level, capacity=capacity, now=lambda: self.now)
        )

    def lines(self) -> list:
        found = [json.loads(line) for line in self.output.getvalue().splitlines()]
        self.output.seek(0)
        self.output.truncate()
        return found

    def names(self) -> list:
        return [line["message"] for line in self.lines()]


def test_debug_event_is_buffered_and_written_after_the_next_error():
    scene = Scene()
    scene.log.debug("value_chosen", extra={"register": "configuration", "rev": 3})
    assert scene.lines() == []
    scene.now = 101.0
    scene.log.error("disk_write_failed", extra={"fault": "no space"})
    error, event = scene.lines()
    assert error["message"] == "disk_write_failed" and error["levelname"] == "ERROR"
    assert error["seen"] == {"fault": "no space"} and "at" not in error
    assert event["message"] == "value_chosen" and event["at"] == 100.1234
    assert event["seen"] == {"register": "configuration", "rev": 3}
    assert {"asctime", "levelname", "message", "node", "role"} <= event.keys()
    assert (event["node"], event["role"]) == ("n1", "core")


def test_buffered_event_is_written_only_once():
    scene = Scene()
    scene.log.debug("value_chosen")
    scene.log.error("step_failed")
    scene.now += event_log.DUMP_INTERVAL_S
    scene.log.error("step_failed")
    assert scene.names() == ["step_failed", "value_chosen", "step_failed"]


def test_error_within_dump_interval_does_not_write_buffered_events():
    scene = Scene()
    scene.log.error("step_failed")
    scene.log.debug("value_chosen")
    scene.now += event_log.DUMP_INTERVAL_S - 0.01
    scene.log.error("order_failed")
    assert scene.names() == ["step_failed", "order_failed"]
    scene.now += 0.01
    scene.log.error("order_failed")
    assert scene.names() == ["order_failed", "value_chosen"]


def test_full_buffer_drops_oldest_events():
    scene = Scene(capacity=3)
    for number in range(5):
        scene.log.debug("value_chosen", extra={"rev": number})
    scene.log.error("step_failed")
    assert [line["seen"]["rev"] for line in scene.lines()[1:]] == [2, 3, 4]


def test_info_events_and_all_events_in_verbose_mode_are_written_immediately():
    scene = Scene()
    scene.log.info("rollout_changed")
    assert scene.names() == ["rollout_changed"]
    verbose = Scene(write_level=logging.DEBUG)
    verbose.log.debug("value_chosen")
    assert verbose.names() == ["value_chosen"]


def test_error_event_contains_traceback():
    scene = Scene()
    try:
        raise KeyError("gone")
    except KeyError as error:
        scene.log.error("step_failed", exc_info=error)
    assert "KeyError: 'gone'" in scene.lines()[0]["exc_info"]


@pytest.fixture
def logging_state(monkeypatch):
    """Restores the logging configuration of the process after a test."""
    for name in ("_srcfile", "logThreads", "logProcesses", "logMultiprocessing"):
        monkeypatch.setattr(logging, name, getattr(logging, name))
    log = logging.getLogger("ploverward")
    before = (log.handlers[:], log.level, log.propagate)
    yield
    log.handlers[:], log.level, log.propagate = before


def test_start_writes_package_events_to_stderr(logging_state, capsys):
    event_log.start(node="n2", role="proxy")
    log = logging.getLogger("ploverward.data_plane.requests.serving")
    log.debug("attempt_failed", extra={"replica": "r1", "reason": "reset"})
    assert capsys.readouterr().err == ""
    log.error("step_failed")
    first, second = (json.loads(line) for line in capsys.readouterr().err.splitlines())
    assert (first["message"], first["node"], first["role"]) == ("step_failed", "n2", "proxy")
    assert second["seen"] == {"replica": "r1", "reason": "reset"}

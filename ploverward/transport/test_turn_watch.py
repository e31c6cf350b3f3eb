"""Tests of the log event for turns of the event loop that take long."""

import logging
import socket

import pytest

from ploverward.transport import turn_watch


class Clock:
    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time


class Owner:
    def __init__(self, sock):
        self.sock = sock

    def read(self):
        """A callback of a connection."""


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def watch(clock):
    return turn_watch.TurnWatch(now=clock.now)


def play_turn(watch, clock, *calls):
    watch.begin_turn()
    for callback, took_s in calls:
        clock.time += took_s
        watch.note_call(callback)
    watch.end_turn()


def test_long_turn_is_logged_with_its_longest_call_and_the_peer_of_that_call(watch, clock, caplog):
    caplog.set_level(logging.INFO)
    with socket.create_server(("127.0.0.1", 0)) as listener, socket.create_connection(listener.getsockname()) as sock:
        play_turn(watch, clock, (print, 0.1), (Owner(sock).read, 0.3), (print, 0.1))
        (record,) = caplog.records
        assert (record.getMessage(), record.took_s, record.call_s, record.call) == ("turn_long", 0.5, 0.3, "Owner.read")
        assert record.peer == "{}:{}".format(*listener.getsockname())


def test_turns_of_many_short_calls_are_long_together(watch, clock, caplog):
    caplog.set_level(logging.INFO)
    play_turn(watch, clock, *[(print, 0.01)] * 30)
    assert caplog.records[0].took_s == 0.3 and caplog.records[0].peer == ""


def test_long_turns_within_the_report_interval_are_counted_in_the_next_event(watch, clock, caplog):
    caplog.set_level(logging.INFO)
    for _turn in range(3):
        play_turn(watch, clock, (print, 1.0))
    clock.time += turn_watch.REPORT_INTERVAL_S
    play_turn(watch, clock, (print, 1.0))
    assert [record.turns for record in caplog.records] == [1, 3]


def test_short_turns_are_not_logged(watch, clock, caplog):
    caplog.set_level(logging.INFO)
    play_turn(watch, clock, (print, 0.2))
    assert not caplog.records

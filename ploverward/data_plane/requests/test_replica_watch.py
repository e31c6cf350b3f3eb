"""Tests the timeout of a replica that sends nothing, without sockets."""

import types

import pytest

from ploverward.data_plane.requests import replica_watch


class Clock:
    """Event loop with a clock that the test advances."""

    def __init__(self):
        self.time = 0.0
        self.timers = []

    def now(self):
        return self.time

    def after(self, *, delay, callback):
        timer = types.SimpleNamespace(when=self.time + delay, callback=callback)
        self.timers.append(timer)
        return timer

    def cancel(self, *, timer):
        self.timers.remove(timer)

    def run(self, *, until):
        while self.timers and self.timers[0].when <= until:
            timer = self.timers.pop(0)
            self.time = timer.when
            timer.callback()
        self.time = until


ROUTE = types.SimpleNamespace(event_gap_target_s=1.0)


class Scene:
    def __init__(self, *, may_fail_over=True, is_probe_failed=True):
        self.clock = Clock()
        self.probes = []
        self.timeouts = []
        self.attempt = types.SimpleNamespace(
            is_over=False,
            is_prefilled=False,
            last_received_at=0.0,
            replica=types.SimpleNamespace(last_received_at=0.0, is_probe_failed=is_probe_failed),
            connection=types.SimpleNamespace(is_up=True, is_paused=False, has_undelivered_data=False),
        )
        self.watch = replica_watch.ReplicaWatch(
            loop=self.clock,
            table=types.SimpleNamespace(probe=lambda *, replica: self.probes.append(self.clock.time)),
            may_fail_over=lambda attempt: may_fail_over,
            on_timeout=lambda attempt: self.timeouts.append(self.clock.time),
        )

    def run(self, *, until):
        self.watch.check(self.attempt, route=ROUTE, latency_target_s=2.0)
        self.clock.run(until=until)
        return self


def test_unreachable_replica_times_out_at_half_the_latency_target():
    assert Scene().run(until=5.0).timeouts == [1.0]


def test_reachable_replica_is_probed_repeatedly_but_does_not_time_out():
    scene = Scene(is_probe_failed=False).run(until=1.25)
    assert scene.probes == pytest.approx([1.0, 1.1, 1.2]) and not scene.timeouts


def test_attempt_is_kept_if_no_other_replica_can_resume():
    scene = Scene(may_fail_over=False).run(until=5.0)
    assert scene.probes and not scene.timeouts


@pytest.mark.parametrize("name, value", [("is_up", False), ("is_paused", True), ("has_undelivered_data", True)])
def test_connecting_or_paused_connection_does_not_time_out(name, value):
    scene = Scene()
    setattr(scene.attempt.connection, name, value)
    assert not scene.run(until=5.0).timeouts and not scene.probes


def test_data_on_another_connection_to_replica_postpones_timeout():
    scene = Scene()
    scene.attempt.replica.last_received_at = 0.6
    assert scene.run(until=5.0).timeouts == pytest.approx([1.6])


def test_cancelled_watch_or_finished_attempt_does_not_time_out():
    scene = Scene()
    scene.attempt.is_over = True
    assert not scene.run(until=5.0).timeouts
    scene = Scene().run(until=0.5)
    scene.watch.cancel()
    scene.watch.cancel()
    scene.clock.run(until=5.0)
    assert not scene.timeouts and not scene.clock.timers


@pytest.mark.parametrize(
    "event_gap_target_s, is_prefilled, expected",
    [(1.0, False, 1.0), (1.0, True, 0.45), (0.0, True, 0.9), (0.1, True, 0.2)],
)
def test_timeout_depends_on_latency_target_before_and_gap_after_first_event(event_gap_target_s, is_prefilled, expected):
    route = types.SimpleNamespace(event_gap_target_s=event_gap_target_s)
    assert replica_watch.replica_timeout_s(
        route=route, latency_target_s=2.0, is_prefilled=is_prefilled
    ) == pytest.approx(expected)

"""Tests of the report ticker: constant intervals while there is work, longer ones otherwise, no delay of a change."""

from ploverward.data_plane.load_reports import report_ticker
from ploverward.simulation.control_plane import simulated_clock


class Scene:
    """A ticker in simulated time; each tick reports one of the pending changes."""

    def __init__(self):
        self.clock = simulated_clock.Clock(seed=1)
        process = simulated_clock.Process(clock=self.clock, name="p", on_failure=lambda *_row: None)
        self.ticks = []
        self.changes = 0
        self.ticker = report_ticker.ReportTicker(
            loop=simulated_clock.Loop(process=process, on_stop=lambda: None),
            on_tick=self.tick,
            interval_s=lambda: 0.1,
            idle_interval_s=0.5,
            is_idle=lambda: not self.changes,
        )

    def tick(self):
        self.ticks.append(round(self.clock.time, 3))
        self.changes = max(0, self.changes - 1)
        if self.changes == 7:
            raise ValueError("simulated failure of one report")

    def change(self, changes=1):
        self.changes += changes
        self.ticker.wake()


def test_idle_proxy_ticks_at_idle_interval():
    scene = Scene()
    scene.ticker.start()
    scene.clock.run(until=1.6)
    assert scene.ticks == [0.0, 0.5, 1.0, 1.5]


def test_change_while_idle_is_reported_after_one_interval():
    scene = Scene()
    scene.ticker.start()
    scene.clock.run(until=0.2)
    scene.change(3)
    scene.change()
    scene.clock.run(until=0.75)
    assert scene.ticks == [0.0, 0.3, 0.4, 0.5, 0.6]


def test_ticks_continue_after_tick_that_raises():
    scene = Scene()
    scene.ticker.start()
    scene.change(8)
    scene.clock.run(until=0.35)
    assert scene.ticks == [0.0, 0.1, 0.2, 0.3]

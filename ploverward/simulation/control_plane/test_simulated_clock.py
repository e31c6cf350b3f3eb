"""Tests that the loop of a simulated process behaves as the real event loop does."""

from ploverward.simulation.control_plane import simulated_clock


def test_loop_skips_cancelled_timer_and_reports_exceptions():
    clock = simulated_clock.Clock(seed=1)
    failures = []
    process = simulated_clock.Process(clock=clock, name="p", on_failure=lambda _process, text: failures.append(text))
    loop = simulated_clock.Loop(process=process, on_stop=lambda: None)
    acted = []
    timer = loop.after(delay=1.0, callback=lambda: acted.append(1))
    loop.cancel(timer=timer)
    loop.after(delay=1.0, callback=lambda: 1 / 0)
    loop.offload(work=lambda: 1 / 0, done=lambda outcome: acted.append(type(outcome.exception())))
    clock.run(until=2.0)
    assert acted == [ZeroDivisionError] and len(failures) == 1 and "ZeroDivisionError" in failures[0]

"""Tests of the event loop: order of calls, cancelled timers, exceptions of callbacks, work on other threads."""

import socket
import threading

import pytest

from ploverward.simulation import loopback
from ploverward.transport import event_loop


def test_step_runs_ready_sockets_then_commands_then_due_timers():
    loop = loopback.new_loop()
    calls = []
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()):
        loop.watch(sock=server, mask=1, callback=lambda _mask: (calls.append("socket"), loop.unwatch(sock=server)))
        loop.after(delay=1.0, callback=lambda: calls.append("timer"))
        loop.call_soon_threadsafe(callback=lambda: calls.append("command"))
        loop.skip(seconds=5.0)  # after a freeze of the process everything is due at once
        assert loopback.until(loop, lambda: "timer" in calls)
    assert calls == ["socket", "command", "timer"]


def test_timers_due_at_same_time_run_in_order_and_cancelled_one_does_not_run():
    loop = event_loop.Loop()
    calls = []
    now = loop.now()
    timers = [loop.at(when=now, callback=lambda number=number: calls.append(number)) for number in range(4)]
    loop.cancel(timer=timers[2])
    loop.cancel(timer=timers[2])
    loop.cancel(timer=None)
    loop.step()
    assert calls == [0, 1, 3] and all(timer.is_over for timer in timers)


def test_callback_exception_is_passed_to_on_error_and_loop_continues():
    caught, calls = [], []
    loop = event_loop.Loop(on_error=caught.append)
    loop.call_soon_threadsafe(callback=lambda: 1 / 0)
    loop.call_soon_threadsafe(callback=lambda: calls.append("next"))
    loop.step()
    assert calls == ["next"] and isinstance(caught[0], ZeroDivisionError)


def test_callback_exception_propagates_without_on_error():
    loop = event_loop.Loop()
    loop.call_soon_threadsafe(callback=lambda: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        loop.step()


def test_repeating_callback_that_raises_is_called_again():
    caught = []
    loop = loopback.SkippingLoop(on_error=caught.append)
    loop.every(interval_s=1.0, callback=lambda: 1 / 0)
    for _second in range(3):
        loop.skip(seconds=1.01)
        loop.step()
    assert len(caught) == 3


def test_offload_runs_work_on_another_thread_and_done_on_the_loop():
    loop = event_loop.Loop()
    outcomes = []
    loop.offload(work=threading.get_ident, done=lambda outcome: outcomes.append((outcome, threading.get_ident())))
    assert loopback.until(loop, lambda: outcomes)
    outcome, thread = outcomes[0]
    assert thread == threading.get_ident() != outcome.result()

"""The event loop: the order of calls, cancelled timers, errors of callbacks, other threads."""

import socket
import threading

import pytest

from ploverward.simulation import loopback
from ploverward.transport import event_loop


def test_ready_sockets_are_read_before_timers_that_are_due():
    loop = loopback.new_loop()
    calls = []
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()):
        loop.watch(sock=server, mask=1, callback=lambda _mask: (calls.append("socket"), loop.unwatch(sock=server)))
        loop.after(delay=1.0, callback=lambda: calls.append("timer"))
        loop.command(callback=lambda: calls.append("command"))
        loop.skip(seconds=5.0)  # as a frozen process finds them: all due at once
        assert loopback.until(loop, lambda: "timer" in calls)
    assert calls == ["socket", "command", "timer"]


def test_timers_of_the_same_time_keep_their_order_and_a_cancelled_one_is_not_called():
    loop = event_loop.Loop()
    calls = []
    now = loop.now()
    timers = [loop.at(when=now, callback=lambda number=number: calls.append(number)) for number in range(4)]
    loop.cancel(timer=timers[2])
    loop.cancel(timer=timers[2])
    loop.cancel(timer=None)
    loop.step()
    assert calls == [0, 1, 3] and all(timer.is_over for timer in timers)


def test_an_error_of_a_callback_goes_to_on_fault_and_the_loop_goes_on():
    caught, calls = [], []
    loop = event_loop.Loop(on_fault=caught.append)
    loop.command(callback=lambda: 1 / 0)
    loop.command(callback=lambda: calls.append("next"))
    loop.step()
    assert calls == ["next"] and isinstance(caught[0], ZeroDivisionError)


def test_without_on_fault_an_error_leaves_the_loop():
    loop = event_loop.Loop()
    loop.command(callback=lambda: 1 / 0)
    with pytest.raises(ZeroDivisionError):
        loop.step()


def test_a_callback_that_raises_is_called_again_at_its_next_time():
    caught = []
    loop = loopback.SkippingLoop(on_fault=caught.append)
    loop.every(interval_s=1.0, callback=lambda: 1 / 0)
    for _second in range(3):
        loop.skip(seconds=1.01)
        loop.step()
    assert len(caught) == 3


def test_work_runs_on_another_thread_and_its_outcome_comes_back_to_the_loop():
    loop = event_loop.Loop()
    outcomes = []
    loop.offload(work=threading.get_ident, done=lambda outcome: outcomes.append((outcome, threading.get_ident())))
    assert loopback.until(loop, lambda: outcomes)
    outcome, thread = outcomes[0]
    assert thread == threading.get_ident() != outcome.result()

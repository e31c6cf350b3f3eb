"""Single-threaded event loop: sockets, timers, commands from other threads (docs/design.md 2).

All state of a process belongs to the loop's thread. Other threads only queue commands, which are callbacks that run on
the loop's thread.

A step waits for sockets until the next timer is due, then makes the calls in this order: ready sockets, commands, due
timers, continuations, callbacks deferred to the end of the step. Sockets come first so that a process that was frozen
reads the data that arrived in the meantime before its timers conclude from the clock that the peers are silent.

Each step is bounded, whatever peers send. A ready socket is served once, and its callback processes a bounded number of
events (`read_share`); the rest is a continuation. Continuations have `CONTINUATION_S` of each step, in the order in
which they were queued. Calls that are queued while their queue is served wait for the next step.

An exception in a callback ends only that callback: it is passed to `on_error`, and the loop continues. This is the only
place that catches all exceptions.
"""

import collections
import concurrent.futures
import contextlib
import itertools
import os
import selectors
import time
from collections.abc import Callable
from typing import Any

import sortedcontainers

from ploverward.transport import interfaces
from ploverward.transport import turn_watch
from ploverward.transport import work_counter
from ploverward.transport.interfaces import Callback

MAX_WAIT_S = 1.0  # longest wait of a step, also if no timer is set
# Enough to write the registers, write the tallies and build a configuration at the same time, so that none of them
# waits for a disk that hangs.
WORKER_THREADS = 3
CONTINUATION_S = 0.01  # time for continuations in each step; the last one that is begun may exceed it
_WAKE_READ_BYTES = 4096

SocketCallback = Callable[[int], object]  # called with the ready events, a bit mask as used by `selectors`


def _do_nothing() -> None:
    """The callback of a timer that is over."""


class Timer:
    """A scheduled call.

    Attributes:
        when: Time of the call, in seconds on the loop's clock.
        order: Serial number; orders calls for the same time.
        callback: The function to call.
        is_over: Whether the call was made or cancelled.
    """

    __slots__ = ("when", "order", "callback", "is_over")

    def __init__(self, *, when: float, order: int, callback: Callback) -> None:
        self.when = when
        self.order = order
        self.callback = callback
        self.is_over = False


class RepeatingCall:
    """A callback that is called at regular intervals.

    Attributes:
        callback: The function to call.
        is_stopped: Set by the owner to end the calls.
    """

    __slots__ = ("callback", "is_stopped")

    def __init__(self, callback: Callback) -> None:
        self.callback = callback
        self.is_stopped = False


class Loop:
    """The event loop of a process; `ploverward.transport.interfaces.Loop` documents its methods.

    Args:
        on_error: Called with an exception that a callback raised. If None, exceptions propagate to the caller of
            `step`, as tests need it.

    Attributes:
        work: Counter of steps, calls and frames; None if nothing is counted.
    """

    def __init__(self, *, on_error: Callable[[Exception], object] | None = None) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers = sortedcontainers.SortedKeyList(key=lambda timer: (timer.when, timer.order))
        self._order = 0
        self._commands: collections.deque[Callback] = collections.deque()
        self._repetitions: dict[float, list[RepeatingCall]] = {}  # by interval in seconds
        self._end_of_step: collections.deque[Callback] = collections.deque()
        self._continuations: collections.deque[Callback] = collections.deque()
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_reader, False)
        os.set_blocking(self._wake_writer, False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ, self._drain_wake)
        self._pool: concurrent.futures.ThreadPoolExecutor | None = None
        self._is_running = True
        self._on_error = on_error
        self._watch = turn_watch.TurnWatch(now=time.monotonic)
        self.work: work_counter.WorkCounter | None = None

    def now(self) -> float:
        """Returns the time of a monotonic clock, in seconds."""
        return time.monotonic()

    def call_soon_threadsafe(self, *, callback: Callback) -> None:
        """Queues a callback as a command; the only method that other threads and signal handlers may call."""
        self._commands.append(callback)
        with contextlib.suppress(BlockingIOError, BrokenPipeError):  # a full pipe also wakes the loop
            os.write(self._wake_writer, b"w")

    def _drain_wake(self, _mask: int) -> None:
        with contextlib.suppress(BlockingIOError):
            os.read(self._wake_reader, _WAKE_READ_BYTES)

    def offload(self, *, work: Callable[[], Any], done: Callable[[concurrent.futures.Future], object]) -> None:
        """Runs `work` on a worker thread, then calls `done(future)` on the loop's thread."""
        if self._pool is None:
            self._pool = concurrent.futures.ThreadPoolExecutor(max_workers=WORKER_THREADS)
        future = self._pool.submit(work)
        future.add_done_callback(lambda ended: self.call_soon_threadsafe(callback=lambda: done(ended)))

    def at(self, *, when: float, callback: Callback) -> Timer:
        """Schedules a callback for a time of `now`; calls for the same time are made in the order of scheduling."""
        self._order += 1
        timer = Timer(when=when, order=self._order, callback=callback)
        self._timers.add(timer)
        return timer

    def after(self, *, delay: float, callback: Callback) -> Timer:
        """Schedules a callback in `delay` seconds."""
        return self.at(when=self.now() + delay, callback=callback)

    def every(self, *, interval_s: float, callback: Callback) -> "RepeatingCall":
        """Calls a callback at an interval until its `RepeatingCall` is stopped.

        All callbacks with the same interval are called in the same step, so the first call may come in less than one
        interval.
        """
        repetition = RepeatingCall(callback)
        group = self._repetitions.get(interval_s)
        if group is None:
            group = self._repetitions[interval_s] = []
            self._schedule_repetitions(interval_s)
        group.append(repetition)
        return repetition

    def _schedule_repetitions(self, interval_s: float) -> None:
        self.after(delay=interval_s, callback=lambda: self._repeat(interval_s))

    def _repeat(self, interval_s: float) -> None:
        group = self._repetitions[interval_s]
        if any(repetition.is_stopped for repetition in group):
            group = self._repetitions[interval_s] = [each for each in group if not each.is_stopped]
        if not group:
            del self._repetitions[interval_s]
            return
        self._schedule_repetitions(interval_s)
        for repetition in list(group):
            if not repetition.is_stopped:
                self._run_callback(repetition.callback)

    def at_end_of_step(self, *, callback: Callback) -> None:
        """Schedules a callback after all other calls of this step, before the loop waits again."""
        self._end_of_step.append(callback)

    def continue_later(self, *, callback: Callback) -> None:
        """Queues the rest of work that has used its share of this step.

        Continuations are called in order, for a bounded time in each step.
        """
        self._continuations.append(callback)

    @property
    def has_pending_calls(self) -> bool:
        """Whether calls are queued that do not wait for a socket or a timer."""
        return bool(self._commands or self._end_of_step or self._continuations)

    def cancel(self, *, timer: interfaces.Timer | None) -> None:
        """Cancels a timer; does nothing for None or if its call was already made."""
        if timer is not None and not timer.is_over:
            assert isinstance(timer, Timer), "the timer of another loop"
            self._take_callback(timer)

    def _take_callback(self, timer: Timer) -> Callback:
        """Removes a timer and returns its callback, to which the timer does not refer any more.

        Its owner often keeps the timer and is the owner of the callback, too: they would keep each other alive.
        """
        timer.is_over = True
        self._timers.discard(timer)
        callback, timer.callback = timer.callback, _do_nothing
        return callback

    def watch(self, *, sock: Any, mask: int, callback: SocketCallback) -> None:  # noqa: ANN401  # sockets and fakes
        """Calls `callback(events)` whenever a socket is ready for one of the events of `mask`."""
        self._selector.register(sock, mask, callback)

    def rewatch(self, *, sock: Any, mask: int, callback: SocketCallback) -> None:  # noqa: ANN401  # as in `watch`
        """Changes the events and the callback of a watched socket."""
        self._selector.modify(sock, mask, callback)

    def unwatch(self, *, sock: Any) -> None:  # noqa: ANN401  # as in `watch`
        """Stops watching a socket; does nothing if it is not watched."""
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)

    def stop(self) -> None:
        """Makes `run` return after the current step."""
        self._is_running = False

    def run(self) -> None:
        """Runs steps until `stop` is called; queued work that no worker thread has started is then dropped."""
        while self._is_running:
            self.step()
        if self._pool is not None:
            self._pool.shutdown(wait=False, cancel_futures=True)

    def step(self) -> None:
        """Waits for the next event, then makes all calls that are due."""
        wait_s = MAX_WAIT_S
        if self.has_pending_calls:
            wait_s = 0.0
        elif self._timers:
            wait_s = min(wait_s, max(0.0, self._timers[0].when - self.now()))
        ready = self._select(wait_s)
        self._watch.begin_turn()
        for key, mask in ready:
            self._run_callback(key.data, mask)
        has_commands = bool(self._commands)
        self._run_queued(self._commands)
        now = self.now()
        has_timers = bool(self._timers) and self._timers[0].when <= now
        if has_timers:
            self._run_timers(now)
        if self._continuations:
            self._run_continuations()
        self._run_queued(self._end_of_step)
        self._watch.end_turn()
        if self.work is not None:
            self.work.note_turn(has_sockets=bool(ready), has_commands=has_commands, has_timers=has_timers)

    def _select(self, wait_s: float) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits up to `wait_s` seconds for sockets and returns those that are ready, with their events."""
        return self._selector.select(wait_s)

    def _run_timers(self, now: float) -> None:
        """Makes the calls that are due; those that they schedule wait for the next step, even if they are due."""
        for timer in list(itertools.takewhile(lambda timer: timer.when <= now, self._timers)):
            if not timer.is_over:  # not cancelled by an earlier call
                self._run_callback(self._take_callback(timer))

    def _run_queued(self, queue: collections.deque[Callback]) -> None:
        """Makes the calls that are queued now; those that they add wait for the next step."""
        for _call in range(len(queue)):
            self._run_callback(queue.popleft())

    def _run_continuations(self) -> None:
        until = self.now() + CONTINUATION_S
        for _call in range(len(self._continuations)):
            self._run_callback(self._continuations.popleft())
            if self.now() >= until:
                return

    def _run_callback(self, callback: Callable, *args: int) -> None:
        if self.work is not None:
            self.work.note_call(callback)
        try:
            callback(*args)
        except Exception as error:  # one failing callback must not end the process
            if self._on_error is None:
                raise
            self._on_error(error)
        self._watch.note_call(callback)

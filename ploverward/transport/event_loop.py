"""One loop on one thread (design 2). It owns all tables; other threads only hand it commands."""

import collections
import concurrent.futures
import os
import selectors
import time

import sortedcontainers


class Timer:
    __slots__ = ("when", "order", "callback", "is_over")

    def __init__(self, *, when, order, callback):
        self.when = when
        self.order = order
        self.callback = callback
        self.is_over = False


class Loop:
    def __init__(self, *, on_fault=None):
        self._selector = selectors.DefaultSelector()
        self._timers = sortedcontainers.SortedKeyList(key=lambda timer: (timer.when, timer.order))
        self._order = 0
        self._commands = collections.deque()
        self._wake_in, self._wake_out = os.pipe()
        os.set_blocking(self._wake_in, False)
        os.set_blocking(self._wake_out, False)
        self._selector.register(self._wake_in, selectors.EVENT_READ, self._drain_wake)
        self._pool = None
        self._is_running = True
        self._on_fault = on_fault

    def now(self) -> float:
        return time.monotonic()

    # Commands from other threads and signal handlers.
    def command(self, *, callback) -> None:
        self._commands.append(callback)
        try:
            os.write(self._wake_out, b"w")
        except (BlockingIOError, BrokenPipeError):
            pass

    def _drain_wake(self, _mask) -> None:
        try:
            os.read(self._wake_in, 4096)
        except BlockingIOError:
            pass

    # Work that blocks: its future comes back as a command.
    def offload(self, *, work, done) -> None:
        if self._pool is None:
            self._pool = concurrent.futures.ThreadPoolExecutor(max_workers=2)
        future = self._pool.submit(work)
        future.add_done_callback(lambda ended: self.command(callback=lambda: done(ended)))

    def at(self, *, when: float, callback) -> Timer:
        self._order += 1
        timer = Timer(when=when, order=self._order, callback=callback)
        self._timers.add(timer)
        return timer

    def after(self, *, delay: float, callback) -> Timer:
        return self.at(when=self.now() + delay, callback=callback)

    def every(self, *, interval_s: float, callback) -> None:
        def tick():
            self.after(delay=interval_s, callback=tick)
            callback()

        self.after(delay=interval_s, callback=tick)

    def cancel(self, *, timer) -> None:
        if timer is not None and not timer.is_over:
            timer.is_over = True
            self._timers.discard(timer)

    def watch(self, *, sock, mask, callback) -> None:
        self._selector.register(sock, mask, callback)

    def rewatch(self, *, sock, mask, callback) -> None:
        self._selector.modify(sock, mask, callback)

    def unwatch(self, *, sock) -> None:
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            pass

    def stop(self) -> None:
        self._is_running = False

    def _guard(self, callback, *args) -> None:
        try:
            callback(*args)
        except Exception as fault:  # one broken act must not end the process; it is written out
            if self._on_fault is None:
                raise
            self._on_fault(fault)

    def run(self) -> None:
        while self._is_running:
            self.step()
        if self._pool is not None:
            self._pool.shutdown(wait=False, cancel_futures=True)

    def step(self) -> None:
        wait = 1.0
        if self._commands:
            wait = 0.0
        elif self._timers:
            wait = min(wait, max(0.0, self._timers[0].when - self.now()))
        for key, mask in self._selector.select(wait):
            self._guard(key.data, mask)
        while self._commands:
            self._guard(self._commands.popleft())
        now = self.now()
        while self._timers and self._timers[0].when <= now:
            timer = self._timers.pop(0)
            timer.is_over = True
            self._guard(timer.callback)

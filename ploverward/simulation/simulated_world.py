"""Simulated time, network and disk with seeds, for tests and for simulations of single parts. Nothing sleeps.

`World` owns the time, the events, the one random generator and which links are cut. The simulation of complete core
nodes (ploverward/simulation/control_plane) has finer models of its own.
"""

from __future__ import annotations

import concurrent.futures
import errno
import heapq
import random
from collections.abc import Callable

Callback = Callable[..., object]  # called without arguments; lambdas may bind defaults


class World:
    """The time of a simulation, and its network.

    Attributes:
        chance: The one random generator.
        time: Now, in seconds.
        partitions: Directions (source, target) in which nothing arrives.
        loss: Part of the messages that is lost.
        delay: Bounds of how long a message takes, in seconds.
    """

    def __init__(self, *, seed: int) -> None:
        self.chance = random.Random(seed)
        self.time = 0.0
        self.partitions: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.delay = (0.001, 0.05)
        self._order = 0
        self._events: list[tuple[float, int, Callback]] = []

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.time

    def later(self, delay: float, callback: Callback) -> None:
        """Has a callback called after so many seconds."""
        self._order += 1
        heapq.heappush(self._events, (self.time + delay, self._order, callback))

    def send(self, source: str, target: str, callback: Callback) -> None:
        """Has a callback called when a message arrives, unless it is lost."""
        if (source, target) in self.partitions or self.chance.random() < self.loss:
            return
        self.later(self.chance.uniform(*self.delay), callback)

    def run(self, *, until: float) -> None:
        """Makes all calls until a moment, which is the time afterwards."""
        while self._events and self._events[0][0] <= until:
            self.time, _order, callback = heapq.heappop(self._events)
            callback()
        self.time = until


class Disk:
    """Files that are durable once they are written; a test tears an append by itself.

    Attributes:
        files: Content by name.
        is_refusing: Whether each write fails.
    """

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.is_refusing = False

    def read(self, *, name: str) -> bytes | None:
        """Returns the content of a file, or None."""
        return self.files.get(name)

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        """Writes data behind the first `size_before` bytes of a file, which is cut there.

        Raises:
            OSError: The disk refuses.
        """
        self._check_writable()
        self.files[name] = self.files.get(name, b"")[:size_before] + data

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:  # `new_name`: the real one's temporary file
        """Replaces the content of a file.

        Raises:
            OSError: The disk refuses.
        """
        self._check_writable()
        self.files[name] = data

    def _check_writable(self) -> None:
        if self.is_refusing:
            raise OSError(errno.EIO, "refused")

    def tear(self, *, name: str, keep: int) -> None:
        """Power was lost in an append: only some of its bytes are there."""
        self.files[name] = self.files[name][:keep]


class Timer:
    """One call that is to come.

    Attributes:
        is_over: Whether it was made or cancelled.
    """

    __slots__ = ("is_over",)

    def __init__(self) -> None:
        self.is_over = False


class Loop:
    """The methods of ploverward.transport.event_loop.Loop that handlers use, in a world's time.

    Attributes:
        world: The world.
        now: Returns its time in seconds.
        is_up: Whether calls are made; set to False, the loop's process is dead.
    """

    def __init__(self, *, world: World, work_s: tuple[float, float] = (0.0, 0.01)) -> None:
        """Makes a loop; `work_s` bounds how long offloaded work takes."""
        self.world = world
        self.now = world.now
        self.is_up = True
        self._work_s = work_s

    def after(self, *, delay: float, callback: Callback) -> Timer:
        """Has a callback called after so many seconds."""
        timer = Timer()

        def call() -> None:
            if not timer.is_over and self.is_up:
                timer.is_over = True
                callback()

        self.world.later(max(0.0, delay), call)
        return timer

    def cancel(self, *, timer: Timer) -> None:
        """Takes a call back; does nothing where it was made already."""
        timer.is_over = True

    def call_soon_threadsafe(self, *, callback: Callback) -> None:
        """Has a callback called soon."""
        self.after(delay=0.0, callback=callback)

    def offload(
        self, *, work: Callable[[], object], done: Callable[[concurrent.futures.Future[object]], object]
    ) -> None:
        """Runs `work` as on another thread, then `done(future)`."""
        future: concurrent.futures.Future[object] = concurrent.futures.Future()
        try:
            future.set_result(work())
        except Exception as error:  # handed over as a pool does
            future.set_exception(error)
        self.after(delay=self.world.chance.uniform(*self._work_s), callback=lambda: done(future))

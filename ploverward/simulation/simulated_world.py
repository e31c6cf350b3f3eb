"""A simulated world for tests: time, network and disk with seeds. Nothing sleeps."""

import concurrent.futures
import heapq
import random


class World:
    def __init__(self, *, seed: int):
        self.chance = random.Random(seed)
        self.time = 0.0
        self._order = 0
        self._events = []
        self.down = set()
        self.partitions = set()  # (from, to)
        self.loss = 0.0
        self.delay = (0.001, 0.05)

    def now(self) -> float:
        return self.time

    def later(self, delay: float, callback) -> None:
        self._order += 1
        heapq.heappush(self._events, (self.time + delay, self._order, callback))

    def send(self, source: str, target: str, callback) -> None:
        if (source, target) in self.partitions or self.chance.random() < self.loss:
            return
        self.later(self.chance.uniform(*self.delay), callback)

    def run(self, *, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.time, _order, callback = heapq.heappop(self._events)
            callback()
        self.time = until


class Disk:
    """Files with what the last sync covered, and the writes after it that a loss of power tears."""

    def __init__(self, *, chance):
        self.chance = chance
        self.files = {}  # name: bytes
        self.is_refusing = False
        self.pending = None  # (name, data before, data after) while a write is not yet synced

    def read(self, *, name: str):
        return self.files.get(name)

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        if self.is_refusing:
            raise OSError(5, "refused")
        self.files[name] = self.files.get(name, b"")[:size_before] + data

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        if self.is_refusing:
            raise OSError(5, "refused")
        self.files[name] = data

    def tear(self, *, name: str, keep: int) -> None:
        """Power was lost in an append: only some of its bytes are there."""
        self.files[name] = self.files[name][:keep]


class Loop:
    """The world's time with the methods of ploverward.transport.event_loop.Loop that handlers use. Offloaded work takes some time."""

    def __init__(self, *, world, work_s: tuple = (0.0, 0.01)):
        self.world = world
        self.now = world.now
        self.is_up = True
        self._work_s = work_s

    def after(self, *, delay: float, callback):
        timer = [callback]
        self.world.later(max(0.0, delay), lambda: timer.pop()() if timer and self.is_up else None)
        return timer

    def cancel(self, *, timer) -> None:
        timer.clear()

    def command(self, *, callback) -> None:
        self.after(delay=0.0, callback=callback)

    def offload(self, *, work, done) -> None:
        future = concurrent.futures.Future()
        try:
            future.set_result(work())
        except Exception as error:
            future.set_exception(error)
        self.after(delay=self.world.chance.uniform(*self._work_s), callback=lambda: done(future))

"""Tests of `CustodyService` over several processes on one disk: lookup, pages, batch counts, limits, failed writes."""

import json

import pytest

from ploverward.control_plane.audit import custody_service
from ploverward.control_plane.audit import trail_archive
from ploverward.simulation import simulated_world
from ploverward.transport import messages

FLUSH_S = 5.0


class Outcome:
    def __init__(self, work):
        self._error = self._value = None
        try:
            self._value = work()
        except OSError as error:
            self._error = error

    def exception(self):
        return self._error

    def result(self):
        assert self._error is None
        return self._value


class Loop:
    """An event loop on simulated time; offloaded work takes `work_s`."""

    def __init__(self, world):
        self.world = world
        self.work_s = 0.01

    def now(self):
        return self.world.now()

    def after(self, *, delay, callback):
        self.world.later(delay, callback)

    def offload(self, *, work, done):
        outcome = Outcome(work)
        self.world.later(self.work_s, lambda: done(outcome))


class Disk:
    """Files in memory; writes can be made to fail."""

    def __init__(self):
        self.files = {}
        self.fails_writes = False

    def read(self, *, name):
        return self.files.get(name)

    def append(self, *, name, data, size_before):
        self._check()
        self.files[name] = self.files[name][:size_before] + data

    def replace(self, *, name, new_name, data):
        self._check()
        self.files[name] = data

    def _check(self):
        if self.fails_writes:
            raise OSError("simulated write failure")


class Scene:
    """A core node's disk and the successive processes that use it; `start` replaces the running process."""

    def __init__(self, *, max_trails=100, disk_bytes=1_000_000):
        self.world = simulated_world.World(seed=1)
        self.disk = Disk()
        self.limits = custody_service.CustodyLimits(
            max_trails=max_trails, retention_s=3600.0, disk_bytes=disk_bytes, flush_s=FLUSH_S
        )
        self.start()

    def start(self):
        self.loop = Loop(self.world)
        self.service = custody_service.CustodyService(
            loop=self.loop,
            disk=self.disk,
            wall_time=lambda: 1_000_000.0 + self.world.now(),
            limits=self.limits,
        )
        self.service.start()

    def wait(self, seconds):
        self.world.run(until=self.world.now() + seconds)

    def record(self, number, *names, node="p1", incarnation="l1", is_last=False):
        rows = tuple(
            messages.CustodyTrail(request_id=name, trail=json.dumps({"id": name, "parts": []}).encode())
            for name in names
        )
        self.service.record(messages.CustodyTrails(node, incarnation, number, is_last, rows))

    def find(self, name):
        found = []
        self.service.find(request_id=name, done=lambda trails: found.append([row["id"] for row in trails]))
        self.wait(0.1)
        return found[0]

    def read_all(self, *, limit=7):
        names, after = [], 0
        for _page in range(1000):
            pages = []
            self.service.page(after=after, limit=limit, done=pages.append)
            self.wait(0.1)
            (page,) = pages
            names += [row["id"] for row in page.trails]
            assert page.last >= after
            after = page.last
            if not page.has_more:
                return names
        raise AssertionError("more than 1000 pages")

    def coverage(self, incarnation="l1"):
        rows = self.service.coverage(live_incarnations={"l1"})
        return next(row for row in rows if row["life"] == incarnation)


def test_after_a_restart_flushed_trails_are_found_and_unflushed_batches_are_missing():
    scene = Scene()
    scene.wait(0.1)
    scene.record(0, "a", "b")
    scene.wait(FLUSH_S + 0.1)
    scene.record(1, "c")
    scene.start()  # less than flush_s after batch 1
    scene.wait(0.1)
    scene.record(2, "d")
    assert scene.find("a") == ["a"] and scene.find("c") == [] and scene.find("d") == ["d"]
    assert scene.read_all() == ["a", "b", "d"]
    row = scene.coverage()
    assert (row["batches"], row["missing_batches"], row["trails"]) == (3, 1, 3)


def test_a_batch_repeated_after_a_restart_is_counted_once():
    scene = Scene()
    scene.record(0, "a")
    scene.wait(FLUSH_S + 0.1)
    scene.start()
    scene.record(0, "a")  # before the index is read
    scene.wait(FLUSH_S + 0.1)
    assert scene.read_all() == ["a"] and scene.coverage()["missing_batches"] == 0


def test_trails_evicted_from_memory_are_read_from_disk_in_order():
    scene = Scene(max_trails=5)
    scene.wait(0.1)
    names = [f"r{number}" for number in range(40)]
    for number in range(20):
        scene.record(number, *names[2 * number : 2 * number + 2])
        scene.wait(1.0)
    scene.wait(FLUSH_S)
    assert scene.find("r0") == ["r0"] and scene.find("r39") == ["r39"]
    assert scene.read_all() == names


def test_find_returns_all_trails_of_a_request():
    scene = Scene()
    scene.record(0, "a", "b", "a")
    scene.record(0, "a", node="p2", incarnation="l2")
    scene.wait(FLUSH_S + 0.1)
    assert scene.find("a") == ["a", "a", "a"]
    scene.start()
    scene.wait(0.1)
    assert scene.find("a") == ["a", "a", "a"]


def test_overwritten_batches_do_not_count_as_missing_after_a_restart():
    scene = Scene(max_trails=2, disk_bytes=8 * 400)
    for number in range(60):
        scene.record(number, f"r{number}")
        scene.wait(FLUSH_S + 0.1)
    kept = scene.read_all()
    assert 8 <= len(kept) < 60 and kept[-1] == "r59"
    scene.start()
    scene.wait(0.1)
    assert scene.read_all() == kept
    row = scene.coverage()
    assert row["batches"] == 60 and row["missing_batches"] == 0


def test_batches_on_an_erased_disk_count_as_missing():
    scene = Scene()
    scene.record(0, "a")
    scene.wait(FLUSH_S + 0.1)
    scene.disk.files.clear()
    scene.start()
    scene.wait(0.1)
    scene.record(1, "b")
    assert scene.coverage()["missing_batches"] == 1


def test_failed_writes_lose_no_trails_while_the_write_queue_has_room():
    scene = Scene()
    scene.wait(0.1)
    scene.disk.fails_writes = True
    scene.record(0, "a")
    scene.wait(3 * FLUSH_S)
    scene.record(1, "b")
    scene.disk.fails_writes = False
    scene.wait(2 * FLUSH_S + 0.1)
    scene.start()
    scene.wait(0.1)
    assert scene.read_all() == ["a", "b"] and scene.coverage()["missing_batches"] == 0


def test_a_full_write_queue_drops_the_oldest_batches_and_logs_the_number_of_trails(caplog, monkeypatch):
    monkeypatch.setattr(trail_archive, "MAX_WAITING_TRAILS", 3)
    scene = Scene()
    scene.wait(0.1)
    scene.disk.fails_writes = True
    for number in range(6):
        scene.record(number, f"r{number}")
    scene.disk.fails_writes = False
    scene.wait(FLUSH_S + 0.1)
    assert [record.trails for record in caplog.records if record.msg == "custody_dropped"] == [3]
    scene.start()
    scene.wait(0.1)
    assert scene.read_all() == ["r3", "r4", "r5"] and scene.coverage()["missing_batches"] == 3


def test_flush_at_shutdown_writes_queued_batches():
    scene = Scene()
    scene.wait(0.1)
    scene.record(0, "a", is_last=True)
    scene.service.flush()
    scene.wait(0.1)
    scene.start()
    scene.wait(0.1)
    assert scene.read_all() == ["a"] and scene.coverage()["is_closed"]


@pytest.mark.parametrize("rate", [1, 130])
def test_a_page_from_disk_has_at_most_one_full_block_of_trails_at_any_rate(rate):
    scene = Scene(max_trails=1)
    scene.wait(0.1)
    names = [f"r{number}" for number in range(rate * 20)]
    for number in range(20):
        scene.record(number, *names[rate * number : rate * (number + 1)])
    scene.wait(2 * FLUSH_S)
    pages = []
    scene.service.page(after=0, limit=1000, done=pages.append)
    scene.wait(0.1)
    assert 0 < len(pages[0].trails) <= trail_archive.MAX_BLOCK_TRAILS
    assert scene.read_all(limit=1000) == names

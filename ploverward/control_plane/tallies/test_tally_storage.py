"""Tests that written tallies are read back from the file, also after torn, damaged and failed writes."""

import os

import hypothesis
from hypothesis import strategies

from ploverward.control_plane.consensus import disk
from ploverward.control_plane.tallies import tally_state
from ploverward.control_plane.tallies import tally_storage
from ploverward.control_plane.tallies import tally_writer
from ploverward.simulation import simulated_world
from ploverward.transport.messages import TallyAdd
from ploverward.transport.messages import TallyAdds
from ploverward.transport.messages import TallyLogName

LOG, OTHER_LOG = TallyLogName("10.0.0.1", "a"), TallyLogName("10.0.0.2", "b")


class MemoryDisk:
    """A disk in memory whose writes fail while `is_failing` is set."""

    def __init__(self):
        self.files = {}
        self.is_failing = False
        self.replaced = 0

    def read(self, *, name):
        return self.files.get(name)

    def append(self, *, name, data, size_before):
        if self.is_failing:
            raise OSError("write failed")
        self.files[name] = self.files[name][:size_before] + data

    def replace(self, *, name, new_name, data):
        if self.is_failing:
            raise OSError("write failed")
        self.files[name] = data
        self.replaced += 1


class Loop:
    """Runs offloaded work at once, and timers in `fire`."""

    def __init__(self):
        self.timers = []

    def now(self):
        return 0.0

    def offload(self, *, work, done):
        try:
            result = work()
        except OSError as error:
            done(Outcome(error=error))
        else:
            done(Outcome(result=result))

    def after(self, *, delay, callback):
        self.timers.append(callback)

    def fire(self):
        timers, self.timers = self.timers, []
        for callback in timers:
            callback()


class Outcome:
    """The result or the error of offloaded work."""

    def __init__(self, *, result=None, error=None):
        self._result, self._error = result, error

    def exception(self):
        return self._error

    def result(self):
        return self._result


class Scene:
    """A writer over a disk in memory."""

    def __init__(self, existing_disk=None):
        self.disk = existing_disk or MemoryDisk()
        self.loop = Loop()
        self.storage = tally_storage.TallyStorage(disk=self.disk)
        self.loaded = self.storage.load()
        self.state = self.loaded.state
        self.durable_calls = 0
        self.writer = tally_writer.TallyWriter(
            loop=self.loop, storage=self.storage, state=self.state, retry_s=0.1, on_durable=self._count
        )

    def _count(self):
        self.durable_calls += 1

    def add(self, *, log=LOG, count=1, tally="t"):
        for _number in range(count):
            number = self.state.position(log)
            self.state.append(log=log, add=TallyAdd(tally, f"{log.origin}-{number}", number + 1))
        self.writer.write()

    def read_back(self):
        return tally_storage.TallyStorage(disk=self.disk).load()


def test_load_without_a_file_is_empty_and_not_complete():
    loaded = Scene().loaded
    assert not loaded.is_complete and loaded.state.positions() == {}


def test_loaded_adds_are_durable_only_after_the_first_rewrite():
    first = Scene()
    first.add(count=3)
    first.add(log=OTHER_LOG, count=2)
    assert first.writer.durable == {LOG: 3, OTHER_LOG: 2} and first.disk.replaced == 1
    second = Scene(first.disk)
    assert second.loaded.is_complete
    assert second.state.positions() == {LOG: 3, OTHER_LOG: 2} and second.state.total("t") == 9
    assert second.writer.durable == {}
    second.writer.write()
    assert second.writer.durable == {LOG: 3, OTHER_LOG: 2} and second.disk.replaced == 2


def test_after_a_failed_write_the_file_is_replaced_before_adds_are_durable():
    scene = Scene()
    scene.add()
    scene.disk.is_failing = True
    scene.add()
    assert scene.writer.durable == {LOG: 1}
    scene.add()  # nothing is written before the pending retry, also once the disk works again
    scene.disk.is_failing = False
    assert scene.writer.durable == {LOG: 1}
    scene.loop.fire()
    assert scene.writer.durable == {LOG: 3} and scene.disk.replaced == 2
    assert scene.read_back().state.total("t") == 6


@hypothesis.given(strategies.data())
def test_torn_tail_loses_only_the_torn_record(data):
    scene = Scene()
    scene.add(count=2)
    whole = len(scene.disk.files[tally_storage.FILE_NAME])
    scene.add(count=3)
    written = scene.disk.files[tally_storage.FILE_NAME]
    kept = data.draw(strategies.integers(whole, len(written) - 1))
    scene.disk.files[tally_storage.FILE_NAME] = written[:kept]
    loaded = scene.read_back()
    assert loaded.is_complete and loaded.state.positions() == {LOG: 2}


@hypothesis.given(strategies.data())
def test_corrupted_byte_never_yields_a_wrong_total(data):
    scene = Scene()
    scene.add(count=2)
    scene.add(count=2)
    scene.add(count=2)
    written = bytearray(scene.disk.files[tally_storage.FILE_NAME])
    offset = data.draw(strategies.integers(0, len(written) - 1))
    written[offset] ^= data.draw(strategies.integers(1, 255))
    scene.disk.files[tally_storage.FILE_NAME] = bytes(written)
    state = scene.read_back().state
    position = state.position(LOG)
    assert position in (0, 2, 4) and state.total("t") == position * (position + 1) // 2


def test_trailing_zeros_are_treated_as_a_torn_tail():
    scene = Scene()
    scene.add(count=2)
    scene.disk.files[tally_storage.FILE_NAME] += b"\0" * 64
    loaded = scene.read_back()
    assert loaded.is_complete and loaded.state.positions() == {LOG: 2}


def test_file_of_folded_adds_is_rewritten_smaller_with_the_same_totals():
    scene = Scene()
    count = tally_writer.MIN_REWRITE_ADDS + 10
    scene.add(count=count)
    before = len(scene.disk.files[tally_storage.FILE_NAME])
    scene.state.fold(log=LOG, up_to=count)
    scene.add()
    assert len(scene.disk.files[tally_storage.FILE_NAME]) < before / 10
    loaded = scene.read_back()
    assert loaded.state.positions() == {LOG: count + 1}
    assert loaded.state.total("t") == (count + 1) * (count + 2) // 2


def test_installed_snapshot_is_written_to_disk():
    source = tally_state.TallyState()
    source.merge(log=OTHER_LOG, first=1, adds=[TallyAdd("t", "x", 5)])
    source.fold(log=OTHER_LOG, up_to=1)
    scene = Scene()
    scene.add()
    scene.state.install(source.snapshot())
    scene.writer.note_installed_snapshot()
    scene.writer.write()
    assert scene.read_back().state.total("t") == 6


def test_adds_written_to_a_real_directory_are_read_back(tmp_path):
    real_disk = disk.Disk(folder=str(tmp_path))
    storage = tally_storage.TallyStorage(disk=real_disk)
    record = TallyAdds(log=LOG, first=1, adds=(TallyAdd("t", "x", -3),))
    storage.write(records=[record], is_image=True)
    storage.write(records=[record._replace(first=2, adds=(TallyAdd("t", "y", 10),))], is_image=False)
    assert os.listdir(tmp_path) == [tally_storage.FILE_NAME]
    assert tally_storage.TallyStorage(disk=real_disk).load().state.total("t") == 7


def test_write_without_changes_writes_no_file():
    loop = simulated_world.Loop(world=simulated_world.World(seed=1))
    memory_disk = MemoryDisk()
    storage = tally_storage.TallyStorage(disk=memory_disk)
    writer = tally_writer.TallyWriter(
        loop=loop, storage=storage, state=storage.load().state, retry_s=0.1, on_durable=lambda: None
    )
    writer.write()
    assert memory_disk.files == {}

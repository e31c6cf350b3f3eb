"""The store's log file: what a start finds, what is written anew, what an emptied disk is known by."""

import collections

from ploverward.simulation import simulated_world
from ploverward.store import partition_log
from ploverward.store import store_disk


class Scene:
    """Starts of a store on one disk."""

    def __init__(self, disk=None):
        self.world = simulated_world.World(seed=1)
        self.files = disk or simulated_world.Disk()
        self.synced = []
        self.start()

    def start(self):
        self.logs = collections.defaultdict(partition_log.PartitionLog)
        self.disk = store_disk.StoreDisk(
            loop=simulated_world.Loop(world=self.world),
            disk=self.files,
            logs=self.logs,
            limit_bytes=0,
            on_durable=self.synced.append,
        )
        self.ready = []
        self.disk.start(on_ready=lambda: self.ready.append(True))

    def add(self, number, epoch, data):
        entry = partition_log.LoggedEntry(epoch, data)
        self.disk.add(store_disk.StoredEntry(number, self.logs[number].append(entry), entry))

    def wait(self):
        self.world.run(until=self.world.time + 1.0)

    def entries(self, number):
        return [tuple(entry) for entry in self.logs[number].after(self.logs[number].base)]


def test_restart_loads_synced_entries_and_keeps_the_disk_identity():
    scene = Scene()
    assert not scene.ready
    scene.wait()
    scene.add(3, 1, b"one")
    scene.add(4, 2, b"two")
    scene.wait()
    identity = scene.disk.identity
    assert scene.ready and set(scene.synced) == {3, 4} and scene.logs[3].durable == 1
    scene.start()
    assert (scene.entries(3), scene.entries(4)) == ([(1, b"one")], [(2, b"two")])
    assert scene.disk.identity == identity
    assert scene.logs[3].durable == 0  # what was read may never have been synced
    scene.wait()
    assert scene.logs[3].durable == scene.logs[4].durable == 1


def test_an_emptied_disk_gets_a_new_identity():
    scene = Scene()
    scene.wait()
    identity = scene.disk.identity
    scene.files.files.clear()
    scene.start()
    assert scene.disk.identity != identity


def test_restart_loads_the_entry_that_replaced_truncated_ones():
    scene = Scene()
    scene.wait()
    for data in (b"one", b"two", b"three"):
        scene.add(3, 1, data)
    scene.logs[3].truncate_after(1)
    scene.add(3, 2, b"new")
    scene.wait()
    scene.start()
    assert scene.entries(3) == [(1, b"one"), (2, b"new")]


def test_a_reset_log_is_stored_with_its_base():
    scene = Scene()
    scene.wait()
    scene.add(3, 1, b"old")
    scene.wait()
    scene.logs[3].reset(base=70, base_epoch=4)
    scene.disk.rewrite()
    scene.add(3, 5, b"new")
    scene.wait()
    scene.start()
    assert (scene.logs[3].base, scene.logs[3].base_epoch, scene.entries(3)) == (70, 4, [(5, b"new")])


def test_a_failed_write_is_retried_by_rewriting_the_whole_file():
    scene = Scene()
    scene.wait()
    scene.files.is_refusing = True
    scene.add(3, 1, b"one")
    scene.wait()
    assert scene.logs[3].durable == 0
    scene.files.is_refusing = False
    scene.wait()
    assert scene.logs[3].durable == 1
    scene.start()
    assert scene.entries(3) == [(1, b"one")]


def test_entries_of_a_first_version_file_load_with_epoch_0():
    from ploverward.control_plane.consensus import checksummed_records

    scene = Scene()
    rows = [store_disk._FIRST_VERSION.pack(3, position) + b"entry %d" % position for position in (1, 2)]
    scene.files.files[store_disk.FILE_NAME] = b"".join(map(checksummed_records.pack, rows))
    scene.start()
    assert scene.entries(3) == [(0, b"entry 1"), (0, b"entry 2")] and scene.disk.identity


def test_a_file_of_mostly_forgotten_entries_is_rewritten(monkeypatch):
    monkeypatch.setattr(store_disk, "MIN_REWRITE_BYTES", 1000)
    scene = Scene()
    scene.wait()
    for _entry in range(20):
        scene.add(3, 1, b"x" * 100)
    scene.wait()
    before = len(scene.files.files[store_disk.FILE_NAME])
    scene.logs[3].forget(range(1, 20))
    scene.add(3, 1, b"last")
    scene.wait()
    assert len(scene.files.files[store_disk.FILE_NAME]) < before / 2
    scene.start()
    assert [data for _epoch, data in scene.entries(3) if data] == [b"x" * 100, b"last"]

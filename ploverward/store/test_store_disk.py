"""Tests of the store's log file: loading at startup, rewriting, failed writes and the identity of the disk."""

import collections

from ploverward.simulation import simulated_world
from ploverward.store import partition_log
from ploverward.store import store_disk


class RestartableStore:
    """A store that can be restarted on the same disk."""

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
    store = RestartableStore()
    assert not store.ready
    store.wait()
    store.add(3, 1, b"one")
    store.add(4, 2, b"two")
    store.wait()
    identity = store.disk.identity
    assert store.ready and set(store.synced) == {3, 4} and store.logs[3].durable == 1
    store.start()
    assert (store.entries(3), store.entries(4)) == ([(1, b"one")], [(2, b"two")])
    assert store.disk.identity == identity
    assert store.logs[3].durable == 0  # loaded entries may never have been synced
    store.wait()
    assert store.logs[3].durable == store.logs[4].durable == 1


def test_an_emptied_disk_gets_a_new_identity():
    store = RestartableStore()
    store.wait()
    identity = store.disk.identity
    store.files.files.clear()
    store.start()
    assert store.disk.identity != identity


def test_restart_loads_the_entry_that_replaced_truncated_ones():
    store = RestartableStore()
    store.wait()
    for data in (b"one", b"two", b"three"):
        store.add(3, 1, data)
    store.logs[3].truncate_after(1)
    store.add(3, 2, b"new")
    store.wait()
    store.start()
    assert store.entries(3) == [(1, b"one"), (2, b"new")]


def test_a_reset_log_is_stored_with_its_base():
    store = RestartableStore()
    store.wait()
    store.add(3, 1, b"old")
    store.wait()
    store.logs[3].reset(base=70, base_epoch=4)
    store.disk.rewrite()
    store.add(3, 5, b"new")
    store.wait()
    store.start()
    assert (store.logs[3].base, store.logs[3].base_epoch, store.entries(3)) == (70, 4, [(5, b"new")])


def test_a_failed_write_is_retried_by_rewriting_the_whole_file():
    store = RestartableStore()
    store.wait()
    store.files.is_refusing = True
    store.add(3, 1, b"one")
    store.wait()
    assert store.logs[3].durable == 0
    store.files.is_refusing = False
    store.wait()
    assert store.logs[3].durable == 1
    store.start()
    assert store.entries(3) == [(1, b"one")]


def test_entries_of_a_first_version_file_load_with_epoch_0():
    from ploverward.control_plane.consensus import checksummed_records

    store = RestartableStore()
    rows = [store_disk._FIRST_VERSION.pack(3, position) + b"entry %d" % position for position in (1, 2)]
    store.files.files[store_disk.FILE_NAME] = b"".join(map(checksummed_records.pack, rows))
    store.start()
    assert store.entries(3) == [(0, b"entry 1"), (0, b"entry 2")] and store.disk.identity


def test_a_file_of_mostly_forgotten_entries_is_rewritten(monkeypatch):
    monkeypatch.setattr(store_disk, "MIN_REWRITE_BYTES", 1000)
    store = RestartableStore()
    store.wait()
    for _entry in range(20):
        store.add(3, 1, b"x" * 100)
    store.wait()
    before = len(store.files.files[store_disk.FILE_NAME])
    store.logs[3].forget(range(1, 20))
    store.add(3, 1, b"last")
    store.wait()
    assert len(store.files.files[store_disk.FILE_NAME]) < before / 2
    store.start()
    assert [data for _epoch, data in store.entries(3) if data] == [b"x" * 100, b"last"]

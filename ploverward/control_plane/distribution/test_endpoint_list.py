"""The list of replicas by deltas: histories with loss, reordering, restarts, old epochs and late joiners."""

import random

import pytest

from ploverward.common import errors
from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.control_plane.discovery import platform_replicas
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import publisher as publishers
from ploverward.control_plane.distribution import subscriber as subscribers
from ploverward.transport import frames
from ploverward.transport import messages

PLATFORM_REPLICA = {
    "id": "i",
    "destination": "d",
    "address": "1.1.1.1:1",
    "zone": "z",
    "condition": "accepting",
    "warmupLeftMs": 3000,
}


def row(**changed):
    return platform_replicas.read_row(platform_replica={**PLATFORM_REPLICA, **changed})


def test_delta_to_reports_changed_rows_but_not_elapsed_warm_up():
    published = endpoint_list.from_rows(rows=[row()], read_at=10.0)
    assert published.delta_to(rows=[row(warmupLeftMs=2000)], read_at=11.0, is_same_clock=True) is None
    later = published.delta_to(rows=[row(warmupLeftMs=3000)], read_at=11.0, is_same_clock=True)
    assert later.rows == (row(),) and later.removed == ()
    clearing = published.delta_to(rows=[row(condition="clearing", warmupLeftMs=2000)], read_at=11.0, is_same_clock=True)
    assert clearing.rows[0]["is_clearing"]
    assert published.delta_to(rows=[], read_at=11.0, is_same_clock=True).removed == ("i",)
    noticed = published.delta_to(rows=[row(timeLeftMs=900, warmupLeftMs=2000)], read_at=11.0, is_same_clock=True)
    assert noticed.rows[0]["left_ms"] == 900


def test_delta_to_of_another_clock_repeats_warming_row():
    published = endpoint_list.from_rows(rows=[row()], read_at=900.0)
    assert published.delta_to(rows=[row(warmupLeftMs=2000)], read_at=3.0, is_same_clock=False).rows
    assert published.delta_to(rows=[row(warmupLeftMs=0)], read_at=3.0, is_same_clock=False) is None


def test_apply_counts_down_warm_up_of_rows_not_in_delta():
    published = endpoint_list.from_rows(rows=[row(), row(id="j", warmupLeftMs=0)], read_at=10.0)
    change = published.delta_to(rows=[row(warmupLeftMs=2000), row(id="k")], read_at=11.0, is_same_clock=True)
    after = published.apply(change)
    assert sorted(after.rows) == ["i", "k"] and after.rows["i"]["cold_ms"] == 2000.0
    assert endpoint_list.unpack_list(after.pack()) == after
    assert endpoint_list.unpack_delta(change.pack()) == change


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"not zlib",
        endpoint_list._pack({"replicas": [{"id": "i"}], "at": 1.0, "rows": [{"id": 7}], "gone": [], "same": True}),
        endpoint_list._pack({"replicas": "x", "rows": ["x"], "gone": [], "at": 1.0, "same": True}),
        endpoint_list.from_rows(rows=[row()], read_at=1.0).pack()[:-3],
        endpoint_list._pack({}),
    ],
)
def test_unpack_of_malformed_list_or_delta_raises_frame_error(data):
    with pytest.raises(errors.FrameError):
        endpoint_list.unpack_list(data)
    with pytest.raises(errors.FrameError):
        endpoint_list.unpack_delta(data)


class Wire:
    """A link from a desk to a follower whose messages wait to be carried, lost or passed by others."""

    is_open = True

    def __init__(self):
        self.waiting = []

    def send(self, message):
        self.waiting.append(frames.unpack(frames.pack(message)))


class Publisher:
    """A core node as far as news go: it holds the duty, or follows the holder."""

    def __init__(self):
        self.publisher = publishers.Publisher()
        self.published = {}  # version: rows by id

    def publish(self, *, rows, version, read_at):
        base = self.publisher.get("list")
        if base is None or base.version.epoch != version.epoch:
            data, change = endpoint_list.from_rows(rows=rows, read_at=read_at).pack(), None
        else:
            current = endpoint_list.unpack_list(base.data)
            change = current.delta_to(rows=rows, read_at=read_at, is_same_clock=True)
            if change is None:
                return
            data, change = current.apply(change).pack(), change.pack()
        self.publisher.publish(topic="list", version=version, data=data, delta=change)
        self.published[version] = endpoint_list.unpack_list(data)


class Listener:
    """A follower that keeps the list by images and steps, as a proxy does."""

    def __init__(self, *, now):
        self.current = None
        self.version = NO_VERSION
        self.snapshots = self.deltas = 0
        self.subscriber = subscribers.Subscriber(
            now=now, fetch_timeout_s=0.3, on_snapshot=self._snapshot, on_delta=self._delta, delta_topics=("list",)
        )

    def _snapshot(self, snapshot):
        self.current, self.version = endpoint_list.unpack_list(snapshot.data), snapshot.version
        self.snapshots += 1

    def _delta(self, _topic, delta):
        self.current, self.version = self.current.apply(endpoint_list.unpack_delta(delta.data)), delta.version
        self.deltas += 1

    def handle(self, link, message):
        handlers = {
            messages.Announcement: self.subscriber.handle_announcement,
            messages.Snapshot: self.subscriber.handle_snapshot,
            messages.Deltas: self.subscriber.handle_deltas,
        }
        handlers[type(message)](link, message)


class History:
    """Two tellers, of which the second takes over under a higher epoch, and followers that join late or start anew."""

    def __init__(self, *, seed, listener=Listener):
        self.chance = random.Random(seed)
        self.time = 0.0
        self.tellers = [Publisher(), Publisher()]
        self.listener = listener
        self.down = {}  # (teller, listener): link that carries news
        self.up = {}
        self.listeners = []
        for _ in range(3):
            self.add_connection()
        self.rows = {f"i{number}": row(id=f"i{number}", warmupLeftMs=0) for number in range(30)}

    def add_connection(self):
        listener = self.listener(now=lambda: self.time)
        self.listeners.append(listener)
        for publisher in self.tellers:
            self.down[publisher, listener], self.up[publisher, listener] = Wire(), Wire()
            publisher.publisher.add_connection(self.down[publisher, listener])

    def change_rows(self):
        name = f"i{self.chance.randrange(40)}"
        if name in self.rows and self.chance.random() < 0.5:
            del self.rows[name]
        else:
            condition = self.chance.choice(("accepting", "clearing"))
            self.rows[name] = row(id=name, condition=condition, warmupLeftMs=self.chance.choice((0, 0, 3000)))

    def carry(self, *, loss):
        for (publisher, listener), link in list(self.down.items()):
            back = self.up[publisher, listener]
            if self.chance.random() < 0.3:
                self.chance.shuffle(link.waiting)
            for message in link.waiting:
                if self.chance.random() >= loss:
                    listener.handle(back, message)
            link.waiting = []
            for message in back.waiting:
                if isinstance(message, messages.Fetch) and self.chance.random() >= loss:
                    publisher.publisher.handle_fetch(link, message)
            back.waiting = []
            listener.subscriber.tick()

    def check(self):
        for listener in self.listeners:
            if listener.current is None:
                continue
            published = [
                publisher.published[listener.version]
                for publisher in self.tellers
                if listener.version in publisher.published
            ]
            assert listener.current in published, f"{listener.version} was never told so"

    def play(self):
        number = 0
        for step in range(120):
            self.time += 0.1
            epoch = 1 if step < 60 else 2
            for _ in range(self.chance.choice((0, 0, 1, 2))):
                self.change_rows()
            number = 1 if step == 60 else number + 1
            self.tellers[epoch - 1].publish(
                rows=list(self.rows.values()), version=Version(epoch, number), read_at=self.time
            )
            if epoch == 2 and step % 7 == 0:  # the deposed holder tells on: nobody that heard of its successor listens
                self.tellers[0].publish(rows=[row(id="stale")], version=Version(1, 1000 + step), read_at=self.time)
            if step in (30, 80):
                self.add_connection()
            self.carry(loss=0.2)
            self.check()
        for (publisher, listener), link in self.down.items():  # what was lost ended its link: a new one offers anew
            listener.subscriber.remove_connection(self.up[publisher, listener])
            publisher.publisher.remove_connection(link)
            publisher.publisher.add_connection(link)
        for _ in range(12):
            self.time += 0.31
            self.carry(loss=0.0)
        self.check()
        newest = self.tellers[1].publisher.version("list")
        assert {listener.version for listener in self.listeners} == {newest}


@pytest.mark.parametrize("seed", range(25))
def test_subscribers_install_only_published_lists_and_converge(seed):
    history = History(seed=seed)
    history.play()
    assert sum(listener.deltas for listener in history.listeners) > 20  # both ways were gone
    assert sum(listener.snapshots for listener in history.listeners) > 3


def failing_seeds(listener) -> int:
    failed = 0
    for seed in range(10):
        try:
            History(seed=seed, listener=listener).play()
        except AssertionError:
            failed += 1
    return failed


class TakesAnySteps(Listener):
    """Planted: steps are applied whatever version they start from."""

    def handle(self, link, message):
        if isinstance(message, messages.Deltas) and self.current is not None:
            for delta in message.deltas:
                self._delta("list", delta)
            self.subscriber.versions["list"] = self.version
            return
        super().handle(link, message)


class SkipsAStep(Listener):
    """Planted: of several steps the last one alone is applied."""

    def handle(self, link, message):
        if isinstance(message, messages.Deltas) and len(message.deltas) > 1 and self.version == message.base:
            self._delta("list", message.deltas[-1])
            self.subscriber.versions["list"] = self.version
            return
        super().handle(link, message)


class TakesOlderEpochs(Listener):
    """Planted: a whole list counts though one of a newer epoch is held."""

    def handle(self, link, message):
        if isinstance(message, messages.Snapshot):
            self.subscriber.versions.pop("list", None)
        super().handle(link, message)


@pytest.mark.parametrize("planted", [TakesAnySteps, SkipsAStep])
def test_histories_detect_subscriber_that_applies_deltas_wrongly(planted):
    assert failing_seeds(planted) > 0


def test_subscriber_rejects_snapshot_of_older_epoch():
    for listener, expected in ((Listener, (2, 1)), (TakesOlderEpochs, (1, 9))):
        found = listener(now=lambda: 0.0)
        for version in ((2, 1), (1, 9)):
            data = endpoint_list.from_rows(rows=[row()], read_at=0.0).pack()
            found.handle(Wire(), messages.Snapshot(topic="list", version=Version(*version), data=data))
        assert found.version == expected


def test_publisher_sends_deltas_if_smaller_and_snapshot_otherwise():
    publisher = Publisher()
    rows = [row(id=f"i{number:04}", warmupLeftMs=0) for number in range(300)]
    publisher.publish(rows=rows, version=Version(1, 1), read_at=0.0)
    for number in range(2, 6):
        rows = [{**one, "is_clearing": one["id"] == f"i{number:04}"} for one in rows]
        publisher.publish(rows=rows, version=Version(1, number), read_at=float(number))
    link = Wire()
    publisher.publisher.handle_fetch(link, messages.Fetch(topic="list", known=Version(1, 2)))
    deltas = link.waiting[-1]
    assert isinstance(deltas, messages.Deltas) and deltas.base == (1, 2)
    assert [delta.version for delta in deltas.deltas] == [(1, 3), (1, 4), (1, 5)]
    assert len(frames.pack(link.waiting[-1])) < len(publisher.publisher.get("list").data)
    for unknown in ((0, 0), (1, 0), (7, 3)):
        publisher.publisher.handle_fetch(link, messages.Fetch(topic="list", known=Version(*unknown)))
        assert isinstance(link.waiting[-1], messages.Snapshot)
    for number in range(6, 6 + publishers.MAX_DELTAS + 1):
        rows = [{**one, "is_clearing": one["id"] == f"i{number:04}"} for one in rows]
        publisher.publish(rows=rows, version=Version(1, number), read_at=float(number))
    publisher.publisher.handle_fetch(link, messages.Fetch(topic="list", known=Version(1, 2)))
    assert isinstance(link.waiting[-1], messages.Snapshot)


def test_deltas_that_are_empty_or_do_not_rise_raise_frame_error():
    found = Listener(now=lambda: 0.0)
    for numbers in ((), (3, 3), (1,)):
        deltas = tuple(messages.Delta(version=Version(1, number), data=b"") for number in numbers)
        with pytest.raises(errors.FrameError):
            found.handle(Wire(), messages.Deltas(topic="list", base=Version(1, 1), deltas=deltas))

"""Tests of the endpoint list and of its distribution by snapshots and deltas.

Random histories with loss, reordering, ended connections, older epochs and late subscribers check that each subscriber
has only lists that were published, and in the end the newest one.
"""

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


class QueuedConnection:
    """A connection whose messages are queued until the history delivers, drops or reorders them."""

    is_open = True

    def __init__(self):
        self.queue = []

    def send(self, message):
        self.queue.append(frames.unpack(frames.pack(message)))


class ListPublisher:
    """A core node that publishes versions of the replica list, by deltas within an epoch."""

    def __init__(self):
        self.topics = publishers.Publisher()
        self.published = {}  # list by version

    def publish(self, *, rows, version, read_at):
        base = self.topics.get("list")
        if base is None or base.version.epoch != version.epoch:
            data, change = endpoint_list.from_rows(rows=rows, read_at=read_at).pack(), None
        else:
            current = endpoint_list.unpack_list(base.data)
            change = current.delta_to(rows=rows, read_at=read_at, is_same_clock=True)
            if change is None:
                return
            data, change = current.apply(change).pack(), change.pack()
        self.topics.publish(topic="list", version=version, data=data, delta=change)
        self.published[version] = endpoint_list.unpack_list(data)


class ListSubscriber:
    """Installs the list from snapshots and deltas, as a proxy does."""

    def __init__(self, *, now):
        self.current = None
        self.version = NO_VERSION
        self.snapshots = self.deltas = 0
        self.topics = subscribers.Subscriber(
            now=now, fetch_timeout_s=0.3, on_snapshot=self._snapshot, on_delta=self._delta, delta_topics=("list",)
        )

    def _snapshot(self, snapshot):
        self.current, self.version = endpoint_list.unpack_list(snapshot.data), snapshot.version
        self.snapshots += 1

    def _delta(self, _topic, delta):
        self.current, self.version = self.current.apply(endpoint_list.unpack_delta(delta.data)), delta.version
        self.deltas += 1

    def handle(self, connection, message):
        handlers = {
            messages.Announcement: self.topics.handle_announcement,
            messages.Snapshot: self.topics.handle_snapshot,
            messages.Deltas: self.topics.handle_deltas,
        }
        handlers[type(message)](connection, message)


class RandomHistory:
    """Two publishers and several subscribers, some of which join late; all reconnect at the end.

    The second publisher takes over under a higher epoch.
    """

    def __init__(self, *, seed, subscriber_class=ListSubscriber):
        self.random = random.Random(seed)
        self.time = 0.0
        self.publishers = [ListPublisher(), ListPublisher()]
        self.subscriber_class = subscriber_class
        self.to_subscriber = {}  # connection by (publisher, subscriber)
        self.to_publisher = {}
        self.subscribers = []
        for _ in range(3):
            self.add_subscriber()
        self.rows = {f"i{number}": row(id=f"i{number}", warmupLeftMs=0) for number in range(30)}

    def add_subscriber(self):
        subscriber = self.subscriber_class(now=lambda: self.time)
        self.subscribers.append(subscriber)
        for publisher in self.publishers:
            self.to_subscriber[publisher, subscriber], self.to_publisher[publisher, subscriber] = (
                QueuedConnection(),
                QueuedConnection(),
            )
            publisher.topics.add_connection(self.to_subscriber[publisher, subscriber])

    def change_rows(self):
        name = f"i{self.random.randrange(40)}"
        if name in self.rows and self.random.random() < 0.5:
            del self.rows[name]
        else:
            condition = self.random.choice(("accepting", "clearing"))
            self.rows[name] = row(id=name, condition=condition, warmupLeftMs=self.random.choice((0, 0, 3000)))

    def deliver(self, *, loss):
        for (publisher, subscriber), connection in list(self.to_subscriber.items()):
            reply_connection = self.to_publisher[publisher, subscriber]
            if self.random.random() < 0.3:
                self.random.shuffle(connection.queue)
            for message in connection.queue:
                if self.random.random() >= loss:
                    subscriber.handle(reply_connection, message)
            connection.queue = []
            for message in reply_connection.queue:
                if isinstance(message, messages.Fetch) and self.random.random() >= loss:
                    publisher.topics.handle_fetch(connection, message)
            reply_connection.queue = []
            subscriber.topics.tick()

    def check(self):
        for subscriber in self.subscribers:
            if subscriber.current is None:
                continue
            published = [
                publisher.published[subscriber.version]
                for publisher in self.publishers
                if subscriber.version in publisher.published
            ]
            assert subscriber.current in published, f"{subscriber.version} was not published with this content"

    def play(self):
        number = 0
        for step in range(120):
            self.time += 0.1
            epoch = 1 if step < 60 else 2
            for _ in range(self.random.choice((0, 0, 1, 2))):
                self.change_rows()
            number = 1 if step == 60 else number + 1
            self.publishers[epoch - 1].publish(
                rows=list(self.rows.values()), version=Version(epoch, number), read_at=self.time
            )
            # The replaced coordinator still publishes; subscribers that know of the newer epoch ignore its lists.
            if epoch == 2 and step % 7 == 0:
                self.publishers[0].publish(rows=[row(id="stale")], version=Version(1, 1000 + step), read_at=self.time)
            if step in (30, 80):
                self.add_subscriber()
            self.deliver(loss=0.2)
            self.check()
        # The loss of a message ends its connection; a new connection announces all topics again.
        for (publisher, subscriber), connection in self.to_subscriber.items():
            subscriber.topics.remove_connection(self.to_publisher[publisher, subscriber])
            publisher.topics.remove_connection(connection)
            publisher.topics.add_connection(connection)
        for _ in range(12):
            self.time += 0.31
            self.deliver(loss=0.0)
        self.check()
        newest = self.publishers[1].topics.version("list")
        assert {subscriber.version for subscriber in self.subscribers} == {newest}


@pytest.mark.parametrize("seed", range(25))
def test_subscribers_install_only_published_lists_and_converge(seed):
    history = RandomHistory(seed=seed)
    history.play()
    # Both forms of the list were installed.
    assert sum(subscriber.deltas for subscriber in history.subscribers) > 20
    assert sum(subscriber.snapshots for subscriber in history.subscribers) > 3


def failing_seeds(subscriber_class) -> int:
    """Returns the number of seeds whose history fails with this class of subscriber."""
    failed = 0
    for seed in range(10):
        try:
            RandomHistory(seed=seed, subscriber_class=subscriber_class).play()
        except AssertionError:
            failed += 1
    return failed


class AppliesAnyDeltas(ListSubscriber):
    """Fault: Applies deltas whatever version they start from."""

    def handle(self, connection, message):
        if isinstance(message, messages.Deltas) and self.current is not None:
            for delta in message.deltas:
                self._delta("list", delta)
            self.topics.versions["list"] = self.version
            return
        super().handle(connection, message)


class SkipsDeltas(ListSubscriber):
    """Fault: Applies only the last one of several deltas."""

    def handle(self, connection, message):
        if isinstance(message, messages.Deltas) and len(message.deltas) > 1 and self.version == message.base:
            self._delta("list", message.deltas[-1])
            self.topics.versions["list"] = self.version
            return
        super().handle(connection, message)


class AcceptsOlderEpochs(ListSubscriber):
    """Fault: Installs a snapshot although the installed list is of a newer epoch."""

    def handle(self, connection, message):
        if isinstance(message, messages.Snapshot):
            self.topics.versions.pop("list", None)
        super().handle(connection, message)


@pytest.mark.parametrize("faulty_class", [AppliesAnyDeltas, SkipsDeltas])
def test_histories_detect_subscriber_that_applies_deltas_wrongly(faulty_class):
    assert failing_seeds(faulty_class) > 0


def test_subscriber_rejects_snapshot_of_older_epoch():
    """A faulty subscriber, which installs the older list, shows that the check can fail."""
    for subscriber_class, expected in ((ListSubscriber, (2, 1)), (AcceptsOlderEpochs, (1, 9))):
        subscriber = subscriber_class(now=lambda: 0.0)
        for version in ((2, 1), (1, 9)):
            data = endpoint_list.from_rows(rows=[row()], read_at=0.0).pack()
            subscriber.handle(QueuedConnection(), messages.Snapshot(topic="list", version=Version(*version), data=data))
        assert subscriber.version == expected


def test_publisher_sends_deltas_if_smaller_and_snapshot_otherwise():
    publisher = ListPublisher()
    rows = [row(id=f"i{number:04}", warmupLeftMs=0) for number in range(300)]
    publisher.publish(rows=rows, version=Version(1, 1), read_at=0.0)
    for number in range(2, 6):
        rows = [{**one, "is_clearing": one["id"] == f"i{number:04}"} for one in rows]
        publisher.publish(rows=rows, version=Version(1, number), read_at=float(number))
    connection = QueuedConnection()
    publisher.topics.handle_fetch(connection, messages.Fetch(topic="list", known=Version(1, 2)))
    deltas = connection.queue[-1]
    assert isinstance(deltas, messages.Deltas) and deltas.base == (1, 2)
    assert [delta.version for delta in deltas.deltas] == [(1, 3), (1, 4), (1, 5)]
    assert len(frames.pack(connection.queue[-1])) < len(publisher.topics.get("list").data)
    for unknown in ((0, 0), (1, 0), (7, 3)):
        publisher.topics.handle_fetch(connection, messages.Fetch(topic="list", known=Version(*unknown)))
        assert isinstance(connection.queue[-1], messages.Snapshot)
    for number in range(6, 6 + publishers.MAX_DELTAS + 1):
        rows = [{**one, "is_clearing": one["id"] == f"i{number:04}"} for one in rows]
        publisher.publish(rows=rows, version=Version(1, number), read_at=float(number))
    publisher.topics.handle_fetch(connection, messages.Fetch(topic="list", known=Version(1, 2)))
    assert isinstance(connection.queue[-1], messages.Snapshot)


def test_deltas_that_are_empty_or_do_not_rise_raise_frame_error():
    subscriber = ListSubscriber(now=lambda: 0.0)
    for numbers in ((), (3, 3), (1,)):
        deltas = tuple(messages.Delta(version=Version(1, number), data=b"") for number in numbers)
        with pytest.raises(errors.FrameError):
            subscriber.handle(QueuedConnection(), messages.Deltas(topic="list", base=Version(1, 1), deltas=deltas))

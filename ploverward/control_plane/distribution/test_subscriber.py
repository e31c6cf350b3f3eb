"""Tests of the subscriber: versions only rise, fetches are repeated elsewhere, the own region is preferred."""

import random

import pytest

from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.control_plane.distribution import subscriber as subscribers
from ploverward.control_plane.distribution.recording_connection import RecordingConnection
from ploverward.control_plane.distribution.recording_connection import announcement
from ploverward.transport import frames
from ploverward.transport import messages


@pytest.mark.parametrize("seed", range(20))
def test_subscriber_never_reverts_for_any_delivery_order(seed):
    rng = random.Random(seed)
    clock = [0.0]
    installed = []
    subscriber = subscribers.Subscriber(
        now=lambda: clock[0],
        fetch_timeout_s=0.3,
        on_snapshot=lambda snapshot: installed.append(snapshot.version),
    )
    connections = [RecordingConnection() for _ in range(3)]
    for _ in range(200):
        clock[0] += rng.random() * 0.2
        version = Version(rng.randint(1, 3), rng.randint(1, 20))
        if rng.random() < 0.5:
            subscriber.handle_announcement(rng.choice(connections), announcement(("list", version)))
        else:
            subscriber.handle_snapshot(
                rng.choice(connections), messages.Snapshot(topic="list", version=version, data=b"")
            )
        subscriber.tick()
    assert installed and installed == sorted(set(installed))


def test_subscriber_fetches_from_another_publisher_after_timeout():
    clock = [0.0]
    subscriber = subscribers.Subscriber(now=lambda: clock[0], fetch_timeout_s=0.3, on_snapshot=lambda _snapshot: None)
    first, second = RecordingConnection(), RecordingConnection()
    for connection in (first, second):
        subscriber.handle_announcement(connection, announcement(("spec", Version(0, 5))))
    assert [len(connection.sent) for connection in (first, second)] == [1, 0]
    for _ in range(4):
        clock[0] += 0.31
        subscriber.tick()
    assert second.sent and second.sent[0] == frames.pack(messages.Fetch(topic="spec", known=NO_VERSION))


def test_subscriber_prefers_near_publisher_and_falls_back_to_far_one():
    clock = [0.0]
    near, far = RecordingConnection(), RecordingConnection()
    subscriber = subscribers.Subscriber(
        now=lambda: clock[0],
        fetch_timeout_s=0.3,
        on_snapshot=lambda _snapshot: None,
        is_near=lambda connection: connection is near,
    )
    subscriber.handle_announcement(far, announcement(("spec", Version(0, 5))))
    assert far.sent == []
    subscriber.handle_announcement(near, announcement(("spec", Version(0, 5))))
    assert near.sent == [frames.pack(messages.Fetch(topic="spec", known=NO_VERSION))]
    subscriber = subscribers.Subscriber(
        now=lambda: clock[0],
        fetch_timeout_s=0.3,
        on_snapshot=lambda _snapshot: None,
        is_near=lambda connection: connection is near,
    )
    subscriber.handle_announcement(far, announcement(("spec", Version(0, 5))))
    clock[0] = 0.16
    subscriber.tick()
    assert far.sent == [frames.pack(messages.Fetch(topic="spec", known=NO_VERSION))]


def test_subscriber_never_fetches_ignored_topic():
    subscriber = subscribers.Subscriber(
        now=lambda: 0.0, fetch_timeout_s=0.3, on_snapshot=lambda _snapshot: None, ignored_topics=("orders",)
    )
    connection = RecordingConnection()
    subscriber.handle_announcement(connection, announcement(("orders", Version(0, 5)), ("spec", Version(0, 5))))
    subscriber.tick()
    assert connection.sent == [frames.pack(messages.Fetch(topic="spec", known=NO_VERSION))]

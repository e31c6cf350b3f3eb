"""Versions only rise; a publisher that does not answer is replaced; publishers of the own region are preferred."""

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
    chance = random.Random(seed)
    clock = [0.0]
    seen = []
    subscriber = subscribers.Subscriber(
        now=lambda: clock[0],
        fetch_timeout_s=0.3,
        on_snapshot=lambda snapshot: seen.append(snapshot.version),
    )
    links = [RecordingConnection() for _ in range(3)]
    for _ in range(200):
        clock[0] += chance.random() * 0.2
        version = Version(chance.randint(1, 3), chance.randint(1, 20))
        if chance.random() < 0.5:
            subscriber.handle_announcement(chance.choice(links), announcement(("list", version)))
        else:
            subscriber.handle_snapshot(chance.choice(links), messages.Snapshot(topic="list", version=version, data=b""))
        subscriber.tick()
    assert seen and seen == sorted(set(seen))


def test_subscriber_fetches_from_another_publisher_after_timeout():
    clock = [0.0]
    subscriber = subscribers.Subscriber(now=lambda: clock[0], fetch_timeout_s=0.3, on_snapshot=lambda _snapshot: None)
    one, two = RecordingConnection(), RecordingConnection()
    for link in (one, two):
        subscriber.handle_announcement(link, announcement(("spec", Version(0, 5))))
    assert [len(link.sent) for link in (one, two)] == [1, 0]
    for _ in range(4):
        clock[0] += 0.31
        subscriber.tick()
    assert two.sent and two.sent[0] == frames.pack(messages.Fetch(topic="spec", known=NO_VERSION))


def test_subscriber_prefers_near_publisher_and_falls_back_to_far_one():
    clock = [0.0]
    near, far = RecordingConnection(), RecordingConnection()
    subscriber = subscribers.Subscriber(
        now=lambda: clock[0], fetch_timeout_s=0.3, on_snapshot=lambda _snapshot: None, is_near=lambda link: link is near
    )
    subscriber.handle_announcement(far, announcement(("spec", Version(0, 5))))
    assert far.sent == []
    subscriber.handle_announcement(near, announcement(("spec", Version(0, 5))))
    assert near.sent == [frames.pack(messages.Fetch(topic="spec", known=NO_VERSION))]
    subscriber = subscribers.Subscriber(
        now=lambda: clock[0], fetch_timeout_s=0.3, on_snapshot=lambda _snapshot: None, is_near=lambda link: link is near
    )
    subscriber.handle_announcement(far, announcement(("spec", Version(0, 5))))
    clock[0] = 0.16
    subscriber.tick()
    assert far.sent == [frames.pack(messages.Fetch(topic="spec", known=NO_VERSION))]


def test_subscriber_never_fetches_ignored_topic():
    subscriber = subscribers.Subscriber(
        now=lambda: 0.0, fetch_timeout_s=0.3, on_snapshot=lambda _snapshot: None, ignored_topics=("orders",)
    )
    link = RecordingConnection()
    subscriber.handle_announcement(link, announcement(("orders", Version(0, 5)), ("spec", Version(0, 5))))
    subscriber.tick()
    assert link.sent == [frames.pack(messages.Fetch(topic="spec", known=NO_VERSION))]

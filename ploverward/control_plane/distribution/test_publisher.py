"""Publishing and fetching of versioned topics."""

import random

import pytest

from ploverward.control_plane.distribution import publisher as desks


class Wire:
    def __init__(self):
        self.sent = []
        self.is_open = True

    def send(self, message):
        self.sent.append(message)


def test_a_publisher_announces_and_sends_only_to_who_wants():
    publisher = desks.Publisher()
    link = Wire()
    publisher.join(link)
    assert publisher.publish(topic="spec", epoch=0, number=3, data=b"v3")
    assert link.sent == [("offer", (("spec", 0, 3),))]
    publisher.handle_fetch(link, ("want", "spec", 0, 0))
    assert link.sent[-1] == ("image", "spec", 0, 3, b"v3")
    assert publisher.lagging(topic="spec", version=(0, 3), links=[link]) == [link]
    publisher.handle_acknowledgement(link, ("have", (("spec", 0, 3),)))
    assert publisher.lagging(topic="spec", version=(0, 3), links=[link]) == []
    assert not publisher.publish(topic="spec", epoch=0, number=2, data=b"v2")


@pytest.mark.parametrize("seed", range(20))
def test_a_subscriber_never_reverts_whatever_the_delivery_order(seed):
    chance = random.Random(seed)
    clock = [0.0]
    seen = []
    subscriber = desks.Subscriber(
        now=lambda: clock[0],
        fetch_timeout_s=0.3,
        on_snapshot=lambda topic, epoch, number, data: seen.append((epoch, number)),
    )
    links = [Wire() for _ in range(3)]
    for _ in range(200):
        clock[0] += chance.random() * 0.2
        version = (chance.randint(1, 3), chance.randint(1, 20))
        if chance.random() < 0.5:
            subscriber.handle_announcement(chance.choice(links), ("offer", (("list", *version),)))
        else:
            subscriber.handle_snapshot(chance.choice(links), ("image", "list", *version, b""))
        subscriber.tick()
    assert seen and seen == sorted(set(seen))


def test_a_subscriber_fetches_from_another_publisher_where_one_is_silent():
    clock = [0.0]
    subscriber = desks.Subscriber(now=lambda: clock[0], fetch_timeout_s=0.3, on_snapshot=lambda *row: None)
    one, two = Wire(), Wire()
    for link in (one, two):
        subscriber.handle_announcement(link, ("offer", (("spec", 0, 5),)))
    assert [len(link.sent) for link in (one, two)] == [1, 0]
    for _ in range(4):
        clock[0] += 0.31
        subscriber.tick()
    assert two.sent and two.sent[0] == ("want", "spec", 0, 0)


def test_a_near_publisher_is_asked_first_and_a_far_one_where_it_times_out():
    clock = [0.0]
    near, far = Wire(), Wire()
    subscriber = desks.Subscriber(
        now=lambda: clock[0], fetch_timeout_s=0.3, on_snapshot=lambda *row: None, is_near=lambda link: link is near
    )
    subscriber.handle_announcement(far, ("offer", (("spec", 0, 5),)))
    assert far.sent == []
    subscriber.handle_announcement(near, ("offer", (("spec", 0, 5),)))
    assert near.sent == [("want", "spec", 0, 0)]
    subscriber = desks.Subscriber(
        now=lambda: clock[0], fetch_timeout_s=0.3, on_snapshot=lambda *row: None, is_near=lambda link: link is near
    )
    subscriber.handle_announcement(far, ("offer", (("spec", 0, 5),)))
    clock[0] = 0.16
    subscriber.tick()
    assert far.sent == [("want", "spec", 0, 0)]


def test_a_subscriber_never_fetches_a_topic_it_does_not_want():
    subscriber = desks.Subscriber(
        now=lambda: 0.0, fetch_timeout_s=0.3, on_snapshot=lambda *row: None, unwanted=("orders",)
    )
    link = Wire()
    subscriber.handle_announcement(link, ("offer", (("orders", 0, 5), ("spec", 0, 5))))
    subscriber.tick()
    assert link.sent == [("want", "spec", 0, 0)]

"""News, grant entries, frames and settings."""

import json
import pathlib
import random
import re

import pytest

from ploverward.common import errors
from ploverward.common import settings
from ploverward.control_plane.discovery import platform_client
from ploverward.control_plane.distribution import publisher as desks
from ploverward.control_plane.quotas import share_leases
from ploverward.simulation import loopback_proxy
from ploverward.transport import frames
from ploverward.transport import legacy_messages


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


@pytest.mark.parametrize("seed", range(30))
def test_the_sum_of_entries_out_never_passes_the_part(seed):
    """History: every entry given, by whom and until when it counts; the sum is taken at each moment of giving."""
    chance = random.Random(seed)
    clock = [0.0]
    incarnation, window = 2.0, 10.0
    share_table = share_leases.ShareTable(
        now=lambda: clock[0], lease_s=incarnation, window_s=window, withheld_until=3.0
    )
    history = []
    nodes = [f"n{number}" for number in range(12)]
    for _ in range(600):
        clock[0] += chance.random() * 0.3
        node = chance.choice(nodes[: chance.randint(1, 12)])
        share = share_table.renew(node=node, part=1 / 3, live=chance.randint(1, 12))
        assert not share or clock[0] >= 3.0
        if share:
            history.append((node, share, clock[0] + incarnation + window))
        most = {}
        for owner, leased, until in history:
            if until > clock[0]:
                most[owner] = max(most.get(owner, 0.0), leased)
        assert sum(most.values()) <= 1 / 3 + 1e-9
    assert len(history) > 100


def test_frames_come_back_as_they_went_and_in_pieces():
    messages = [
        ("offer", (("spec", 0, 3), ("list", 2, 9))),
        ("beat", 0),
        ("image", "list", 2, 9, b"x" * 3000),
        ("entry", 0.25, 0.5, 2.5, 0.2, 3, 16, 7),
        ("promise", 3, "spec", True, "abc", 1, "a", 2, "b", 7, b"v"),
    ]
    data = b"".join(frames.pack(message) for message in messages)
    buffer = bytearray()
    got = []
    for start in range(0, len(data), 7):
        buffer += data[start : start + 7]
        got += legacy_messages.unpack_from(buffer)
    assert got == messages and not buffer


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff\x01",
        b"\x00\x00\x00\x01\xee\x00",
        frames.pack(("want", "spec", 0, 0))[:5] + b"\x7fabcd\x00\x00",
        b"\x00\x00\x00\x06\x16\x04spec\x00",
    ],
)
def test_malformed_frames_are_frame_errors(data):
    with pytest.raises(errors.FrameError):
        legacy_messages.unpack_from(bytearray(data))


@pytest.mark.parametrize("seed", range(40))
def test_no_bytes_make_a_frame_fail_otherwise(seed):
    chance = random.Random(seed)
    data = bytearray(frames.pack(("offer", (("spec", 0, 3),))))
    data[chance.randrange(4, len(data))] ^= 1 << chance.randrange(8)
    try:
        messages = legacy_messages.unpack_from(data)
    except errors.FrameError:
        return
    assert all(message[0] in legacy_messages.KINDS for message in messages)


def test_settings_skip_unknown_fields_and_name_what_is_missing():
    found = settings.check(text=loopback_proxy.SETTINGS + "later.field=1\n")
    assert found.zones == {"za": "north", "zb": "south"} and found.bound_s(name="contactMs") == 4.0
    for name in ("node", "seedNodes", "bounds.contactMs", "innerPortRange"):
        text = "\n".join(line for line in loopback_proxy.SETTINGS.splitlines() if not line.startswith(name + "="))
        with pytest.raises(errors.SettingsError) as sent:
            settings.check(text=text)
        assert name in str(sent.value)


@pytest.mark.parametrize(
    "line",
    ["no equals sign", "seedNodes=10.0.0.1", "bounds.contactMs=soon", "firstStart=perhaps", "innerPortRange=9,1"],
)
def test_malformed_settings_are_one_clear_line(line):
    with pytest.raises(errors.SettingsError) as sent:
        settings.check(text=loopback_proxy.SETTINGS + line + "\n")
    assert "\n" not in str(sent.value)


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


def test_a_changed_settings_file_is_noticed_without_a_signal(tmp_path, monkeypatch):
    path = tmp_path / "boot.conf"
    path.write_text(loopback_proxy.SETTINGS)
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    watch = settings.FileWatch()
    assert not watch.is_changed()
    path.write_text(loopback_proxy.SETTINGS + "later=1\n")
    assert watch.is_changed() and not watch.is_changed()
    path.unlink()
    assert not watch.is_changed()


def test_the_list_is_read_page_by_page_and_published_completely_or_not_at_all():
    def row(name):
        return {"id": name, "destination": "d", "address": "1.1.1.1:1", "zone": "z", "condition": "accepting"}

    pages = {"": (["a", "b"], "p-2"), "p-2": (["c"], "p-3"), "p-3": (["d"], None)}
    sent, later, asked = [], [], []

    class Loop:
        def now(self):
            return 5.0

        def after(self, *, delay, callback):
            later.append((delay, callback))

    class Caller:
        failing = None

        def get(self, *, url, limit_s, done):
            token = url.partition("?page=")[2]
            asked.append(token)
            names, following = pages[token]
            status = 429 if token == self.failing else 200
            done(None, status, json.dumps({"replicas": [row(name) for name in names], "nextPage": following}).encode())

    watch = platform_client.Watch(
        loop=Loop(),
        address="x:1",
        gap_s=0.5,
        limit_s=1.0,
        on_list=lambda rows, at: sent.append([one["id"] for one in rows]),
    )
    watch._caller = Caller()
    watch.start()
    assert sent == [["a", "b", "c", "d"]] and asked == ["", "p-2", "p-3"]
    watch._caller.failing = "p-2"
    later.pop()[1]()
    assert len(sent) == 1  # a list with a page missing is not told
    assert later[-1][0] > 0.5  # and the next reading waits longer
    watch.stop()
    count = len(asked)
    later.pop()[1]()
    assert len(asked) == count


def test_a_subscriber_never_fetches_a_topic_it_does_not_want():
    subscriber = desks.Subscriber(
        now=lambda: 0.0, fetch_timeout_s=0.3, on_snapshot=lambda *row: None, unwanted=("orders",)
    )
    link = Wire()
    subscriber.handle_announcement(link, ("offer", (("orders", 0, 5), ("spec", 0, 5))))
    subscriber.tick()
    assert link.sent == [("want", "spec", 0, 0)]


def test_every_message_that_is_sent_has_a_codec():
    """A message without one fails only when it is packed: proxies once failed at every beat by it."""
    folder = pathlib.Path(frames.__file__).parent.parent
    sources = [
        path for path in folder.rglob("*.py") if "simulation" not in path.parts and not path.name.startswith("test_")
    ]
    sent = set()
    for path in sources:
        sent |= set(
            re.findall(
                r"(?:send|_send_to_cores|_broadcast_to_cores|pack)\(\s*\(\s*\"(\w+)\"", path.read_text(encoding="utf-8")
            )
        )
    assert {"renew", "entry", "heartbeat", "have", "beat"} <= sent
    assert sent <= set(legacy_messages.KINDS)

"""Tests of the publications that a digest forwards to its members, with the loads of followed and of full replicas."""

import random

import pytest

from ploverward.data_plane.load_reports import fanout as fanouts
from ploverward.data_plane.relay import hub
from ploverward.data_plane.relay import load_feed
from ploverward.data_plane.relay import mirror
from ploverward.simulation import recording_connections
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import row_codec

KEYS = [row_codec.replica_key(f"i{number}") for number in range(40)]


def load(rows, *, is_snapshot=False):
    data = b"".join(load_feed.Load(running=running, flags=flags).pack(key) for key, (running, flags) in rows.items())
    return messages.ReplicaLoads(1, is_snapshot, data)


class Member(recording_connections.RecordingLink):
    """A recording connection, with the mirror of the member at its other end."""

    def __init__(self):
        super().__init__()
        self.sent = []
        self.region = mirror.RegionMirror(now=lambda: 0.0, trust_s=5.0)
        self.region.handle_publication(messages.Catalogue(1, ()))

    def send_bytes(self, data):
        relayed = frames.unpack(data)
        assert isinstance(relayed, messages.RelayedFrame)
        self.region.handle_publication(frames.unpack(relayed.frame))
        self.sent.append(relayed.frame)


def make(*followed_keys):
    fanout = fanouts.Fanout()
    members = []
    for number, keys in enumerate(followed_keys):
        member = Member()
        fanout.admit(member, address=f"p{number}")
        fanout.follow(member, keys=keys)
        members.append(member)
    return fanout, members


def publish(fanout, message):
    fanout.forward_publication(region="north", frame=frames.pack(message), message=message)


@pytest.mark.parametrize("seed", range(20))
def test_members_receive_loads_of_followed_and_full_replicas(seed):
    random_source = random.Random(seed)
    followed_keys = [None, frozenset(KEYS[:10]), frozenset(KEYS[5:25]), frozenset()]
    fanout, members = make(*followed_keys)
    published = {}
    for _ in range(80):
        rows = {key: (random_source.randint(0, 9), 0) for key in random_source.sample(KEYS, 6)}
        rows = {key: (running, load_feed.FULL if running > 7 else 0) for key, (running, _flags) in rows.items()}
        is_snapshot = random_source.random() < 0.05
        if is_snapshot:
            published = {}
        published.update(rows)
        publish(fanout, load(rows, is_snapshot=is_snapshot))
        for keys, member in zip(followed_keys, members, strict=True):
            for key, (running, flags) in published.items():
                entry_load = member.region.load.get(key, (0, 0, 0, 0))
                if keys is None or key in keys or flags:
                    assert entry_load == (running, 0, 0, flags)
                else:
                    assert not entry_load[3], "the member must be sent that the replica is no longer full"


def test_member_receives_loads_of_newly_followed_replicas():
    fanout, (member,) = make(frozenset(KEYS[:2]))
    mirrored = mirror.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    mirrored.handle_publication(messages.Catalogue(1, ()))
    first = load({key: (number, 0) for number, key in enumerate(KEYS[:6], start=1)}, is_snapshot=True)
    mirrored.handle_publication(first)
    publish(fanout, first)
    assert set(member.region.load) == set(KEYS[:2])
    fanout.follow(member, keys=frozenset(KEYS[3:5]))
    fanout.send_load(member, region="north", message=mirrored.load_snapshot())
    assert member.region.load == {KEYS[3]: (4, 0, 0, 0), KEYS[4]: (5, 0, 0, 0)}
    fanout.follow(member, keys=None)
    fanout.send_load(member, region="north", message=mirrored.load_snapshot())
    assert set(member.region.load) == set(KEYS[:6])


def test_bytes_sent_to_selective_member_are_independent_of_region_size():
    sizes = {}
    for count in (50, 500):
        keys = [row_codec.replica_key(f"r{number}") for number in range(count)]
        fanout, (member,) = make(frozenset(keys[:20]))
        publish(fanout, load({key: (3, 0) for key in keys}))
        sizes[count] = sum(len(frame) for frame in member.sent)
    assert sizes[50] == sizes[500]


def test_newer_connection_closes_older_one_and_full_queue_closes_only_its_member():
    fanout, (first, other) = make(None, None)
    newer = Member()
    fanout.admit(newer, address="p0")
    assert not first.is_open and other.is_open
    assert fanout.remove(first) and not fanout.remove(first)
    other.queue = hub.QUEUE_LIMIT_BYTES + 1
    publish(fanout, load({KEYS[0]: (1, 0)}))
    assert not other.is_open and newer.is_open and newer.region.load

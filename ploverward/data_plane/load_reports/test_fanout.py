"""What a digest forwards to its members: publications unchanged, and loads of replicas they follow and of full ones."""

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
    """A link, and what its member's mirror makes of it."""

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


def make(*follows):
    fanout = fanouts.Fanout()
    members = []
    for number, keys in enumerate(follows):
        member = Member()
        fanout.admit(member, address=f"p{number}")
        fanout.follow(member, keys=keys)
        members.append(member)
    return fanout, members


def publish(fanout, message):
    fanout.forward_publication(region="north", frame=frames.pack(message), message=message)


@pytest.mark.parametrize("seed", range(20))
def test_members_hold_the_loads_that_they_follow_and_those_of_full_replicas(seed):
    chance = random.Random(seed)
    follows = [None, frozenset(KEYS[:10]), frozenset(KEYS[5:25]), frozenset()]
    fanout, members = make(*follows)
    truth = {}
    for _ in range(80):
        rows = {key: (chance.randint(0, 9), 0) for key in chance.sample(KEYS, 6)}
        rows = {key: (running, load_feed.FULL if running > 7 else 0) for key, (running, _flags) in rows.items()}
        is_snapshot = chance.random() < 0.05
        if is_snapshot:
            truth = {}
        truth.update(rows)
        publish(fanout, load(rows, is_snapshot=is_snapshot))
        for keys, member in zip(follows, members, strict=True):
            for key, (running, flags) in truth.items():
                entry_load = member.region.load.get(key, (0, 0, 0, 0))
                if keys is None or key in keys or flags:
                    assert entry_load == (running, 0, 0, flags)
                else:
                    assert not entry_load[3], "it was told that the replica is no longer full"


def test_a_member_that_follows_others_now_is_sent_their_load():
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


def test_bytes_to_a_member_do_not_grow_with_the_region():
    sizes = {}
    for count in (50, 500):
        keys = [row_codec.replica_key(f"r{number}") for number in range(count)]
        fanout, (member,) = make(frozenset(keys[:20]))
        publish(fanout, load({key: (3, 0) for key in keys}))
        sizes[count] = sum(len(frame) for frame in member.sent)
    assert sizes[50] == sizes[500]


def test_a_newer_link_of_a_member_ends_the_older_and_a_slow_one_is_closed_alone():
    fanout, (first, other) = make(None, None)
    again = Member()
    fanout.admit(again, address="p0")
    assert not first.is_open and other.is_open
    assert fanout.remove(first) and not fanout.remove(first)
    other.queue = hub.QUEUE_LIMIT_BYTES + 1
    publish(fanout, load({KEYS[0]: (1, 0)}))
    assert not other.is_open and again.is_open and again.region.load

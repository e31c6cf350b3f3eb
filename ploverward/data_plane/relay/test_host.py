"""Tests of the relay's totals and loads: sums over digests, bounded rows, outlier detection, older epochs."""

import pytest

from ploverward.common import errors
from ploverward.data_plane.relay import host as hosts
from ploverward.simulation import recording_connections
from ploverward.simulation import relay_hosts
from ploverward.transport import messages
from ploverward.transport import row_codec


def test_totals_sum_aggregates_of_connected_digests_only():
    host, _clock = relay_hosts.make_host()
    one, two, reader = (
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
    )
    host.subscribe(reader, region="north")
    relay_hosts.send_report(host, one, recording_connections.load_row("r1", running=2, tokens=50))
    relay_hosts.send_report(
        host,
        two,
        recording_connections.load_row("r1", running=1, tokens=10, suspect_count=1),
        recording_connections.load_row("r2", running=4),
    )
    host.tick()
    relay_hosts.send_report(host, one, recording_connections.load_row("r1", running=2, tokens=30))
    host.tick()
    sent = reader.of_type(messages.ReplicaLoads)
    assert [len(recording_connections.loads_of(message)) for message in sent] == [0, 2, 1]  # only what changed
    key = row_codec.replica_key
    assert relay_hosts.last_load(reader) == {key("r1"): (3, 40, 1, 0), key("r2"): (4, 0, 0, 0)}
    assert one.messages[-2] == messages.AggregatesCounted(2)
    host.remove(two)
    host.tick()
    last = reader.of_type(messages.ReplicaLoads)[-1]
    assert recording_connections.loads_of(last) == {key("r1"): (2, 30, 0, 0), key("r2"): (0, 0, 0, 0)}
    host.remove(one)
    assert host.totals() == {}


def make_large_host(count=40):
    """Returns a relay of many replicas, a digest that sends it reports, and a subscriber that records its loads."""
    host = hosts.RelayHost(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    host.sync(
        services=relay_hosts.SERVICES,
        replicas=[{**relay_hosts.replica(f"r{number}"), "berths": 10} for number in range(count)],
    )
    source, reader = recording_connections.RecordingLink(), recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    host.subscribe(source, region="north")
    return host, source, reader


def test_load_rows_per_tick_are_bounded_largest_changes_first_and_all_published_eventually():
    host, source, reader = make_large_host()
    relay_hosts.send_report(
        host,
        source,
        *(recording_connections.load_row(f"r{number}", running=1 + (number in (3, 30)) * 8) for number in range(40)),
    )
    host.tick()
    first = recording_connections.loads_of(reader.of_type(messages.ReplicaLoads)[-1])
    assert len(first) == hosts.MIN_LOAD_ROWS
    assert {row_codec.replica_key("r3"), row_codec.replica_key("r30")} <= first.keys()
    for _ in range(4):
        host.tick()
    assert {load[0] for load in relay_hosts.last_load(reader).values()} == {1, 9} and len(host.totals()) == 40


def test_small_load_change_is_published_while_larger_changes_continue():
    host, source, reader = make_large_host()
    published_after = None
    relay_hosts.send_report(host, source, recording_connections.load_row("r39", running=1))
    for step in range(1, 60):
        relay_hosts.send_report(
            host,
            source,
            *(recording_connections.load_row(f"r{number}", running=5 * (step % 2)) for number in range(39)),
        )
        host.tick()
        if published_after is None and row_codec.replica_key("r39") in take_last_loads(reader):
            published_after = step
    assert published_after is not None and published_after <= 20


def take_last_loads(wire):
    """Returns the rows of the last load message, and clears all recorded messages."""
    loads = wire.of_type(messages.ReplicaLoads)
    wire.clear()
    return recording_connections.loads_of(loads[-1]) if loads else {}


def test_subscriber_joining_while_rows_are_queued_ends_with_same_loads_as_others():
    host, source, reader = make_large_host()
    relay_hosts.send_report(
        host, source, *(recording_connections.load_row(f"r{number}", running=2) for number in range(40))
    )
    host.tick()
    late = recording_connections.RecordingLink()
    host.subscribe(late, region="north")
    relay_hosts.send_report(
        host, source, *(recording_connections.load_row(f"r{number}", running=0) for number in range(40))
    )  # zero again before all rows of the first change were published
    for _ in range(6):
        host.tick()
    assert relay_hosts.last_load(late) == relay_hosts.last_load(reader) == {}


def test_digest_of_older_epoch_is_closed_and_its_loads_are_withdrawn():
    host, _clock = relay_hosts.make_host()
    old, new, late = (
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
    )
    host.subscribe(old, region="north", zone="za", zone_epoch=3)
    relay_hosts.send_report(host, old, recording_connections.load_row("r1", running=2))
    host.subscribe(new, region="north", zone="za", zone_epoch=4)
    assert not old.is_open and new.is_open
    host.remove(old)
    relay_hosts.send_report(host, new, recording_connections.load_row("r1", running=5))
    host.subscribe(late, region="north", zone="za", zone_epoch=3)
    assert not late.is_open and late not in host.subscribers
    assert host.totals()[row_codec.replica_key("r1")] == (5, 0, 0)


@pytest.mark.parametrize("data", [b"x", b"x" * 22, recording_connections.load_row("r1", running=1)[:-1]])
def test_malformed_or_repeated_aggregates_are_rejected_without_change(data):
    host, _clock = relay_hosts.make_host()
    wire = recording_connections.RecordingLink()
    relay_hosts.send_report(host, wire, recording_connections.load_row("r1", running=2, tokens=7))
    before = host.totals()
    for loads, reads in (
        (data, b""),
        (recording_connections.load_row("r1", running=9), data),
        (recording_connections.load_row("r1", running=9), recording_connections.read_row("r1", ("a", 1))[:-1]),
    ):
        with pytest.raises(errors.FrameError):
            host.handle_aggregates(wire, messages.Aggregates(2, loads, reads))
        assert host.totals() == before and host.subscribers[wire].newest_batch == 1
    with pytest.raises(errors.FrameError):
        host.handle_aggregates(
            wire, recording_connections.aggregates_message(1, loads=[recording_connections.load_row("r1", running=9)])
        )  # the same batch number again
    assert host.totals() == before


def test_failures_summed_over_digests_eject_replica_for_longer_each_time():
    host, clock = relay_hosts.make_host()
    reader, one, two = (
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
    )
    host.subscribe(reader, region="north")
    ejected_for_s = []
    for _round in range(3):
        for _step in range(3):  # the failures reported by one digest are too few to eject
            relay_hosts.send_report(
                host,
                one,
                recording_connections.load_row("r1", ended=2, failed=1),
                recording_connections.load_row("r2", ended=9),
            )
            relay_hosts.send_report(host, two, recording_connections.load_row("r1", ended=2, failed=1))
        host.tick()
        load = relay_hosts.last_load(reader)
        assert load[row_codec.replica_key("r1")][3] == 1 and row_codec.replica_key("r2") not in load
        began = clock[0]
        while True:
            clock[0] += 0.1
            host.tick()
            last = reader.of_type(messages.ReplicaLoads)
            if last and recording_connections.loads_of(last[-1]).get(row_codec.replica_key("r1")) == (0, 0, 0, 0):
                break
            assert clock[0] - began < 60
        ejected_for_s.append(clock[0] - began)
        reader.clear()
        host.remove(reader)
        host.subscribe(reader, region="north")
    assert ejected_for_s[0] < ejected_for_s[1] < ejected_for_s[2]


def test_few_failures_or_small_failure_share_eject_no_replica():
    host, clock = relay_hosts.make_host()
    one = recording_connections.RecordingLink()
    relay_hosts.send_report(
        host,
        one,
        recording_connections.load_row("r1", ended=3, failed=3),
        recording_connections.load_row("r2", ended=60, failed=6),
    )
    host.tick()
    assert not host._outlier_detector.failing
    clock[0] += 10.0  # failures older than the window are not counted
    relay_hosts.send_report(host, one, recording_connections.load_row("r1", ended=2, failed=2))
    host.tick()
    assert not host._outlier_detector.failing

"""The relay's totals and what it publishes of them: sums of digests, bounded rows, outcomes, older epochs."""

import pytest

from ploverward.common import errors
from ploverward.data_plane.relay import host as hosts
from ploverward.simulation import recording_connections
from ploverward.simulation import relay_hosts
from ploverward.transport import messages
from ploverward.transport import row_codec


def test_aggregates_of_digests_add_up_and_end_with_their_link():
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


def crowd(count=40):
    host = hosts.Host(region="north", epoch=1, now=lambda: 0.0, suspicion_s=1.0)
    host.sync(
        services=relay_hosts.SERVICES,
        replicas=[{**relay_hosts.replica(f"r{number}"), "berths": 10} for number in range(count)],
    )
    source, reader = recording_connections.RecordingLink(), recording_connections.RecordingLink()
    host.subscribe(reader, region="north")
    host.subscribe(source, region="north")
    return host, source, reader


def test_loads_are_published_a_bounded_number_at_a_time_those_that_moved_most_first_and_in_time_all():
    host, source, reader = crowd()
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


def test_a_small_change_is_published_in_time_however_much_others_change():
    host, source, reader = crowd()
    published_after = None
    relay_hosts.send_report(host, source, recording_connections.load_row("r39", running=1))
    for step in range(1, 60):
        relay_hosts.send_report(
            host,
            source,
            *(recording_connections.load_row(f"r{number}", running=5 * (step % 2)) for number in range(39)),
        )
        host.tick()
        if published_after is None and row_codec.replica_key("r39") in last_load_since(reader):
            published_after = step
    assert published_after is not None and published_after <= 20


def last_load_since(wire):
    loads = wire.of_type(messages.ReplicaLoads)
    wire.clear()
    return recording_connections.loads_of(loads[-1]) if loads else {}


def test_a_subscriber_that_joins_while_rows_wait_stands_where_the_others_stand():
    host, source, reader = crowd()
    relay_hosts.send_report(
        host, source, *(recording_connections.load_row(f"r{number}", running=2) for number in range(40))
    )
    host.tick()
    late = recording_connections.RecordingLink()
    host.subscribe(late, region="north")
    relay_hosts.send_report(
        host, source, *(recording_connections.load_row(f"r{number}", running=0) for number in range(40))
    )  # back before it was told
    for _ in range(6):
        host.tick()
    assert relay_hosts.last_load(late) == relay_hosts.last_load(reader) == {}


def test_a_digest_of_an_older_epoch_is_closed_and_its_part_is_withdrawn():
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
def test_malformed_aggregates_change_nothing(data):
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
        assert host.totals() == before and host.subscribers[wire].counted == 1
    with pytest.raises(errors.FrameError):
        host.handle_aggregates(
            wire, recording_connections.aggregates_message(1, loads=[recording_connections.load_row("r1", running=9)])
        )  # told twice
    assert host.totals() == before


def test_outcomes_over_all_callers_eject_a_replica_for_a_time_that_grows():
    host, clock = relay_hosts.make_host()
    reader, one, two = (
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
        recording_connections.RecordingLink(),
    )
    host.subscribe(reader, region="north")
    away = []
    for _round in range(3):
        for _step in range(3):  # each caller alone sees too little
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
        away.append(clock[0] - began)
        reader.clear()
        host.remove(reader)
        host.subscribe(reader, region="north")
    assert away[0] < away[1] < away[2]


def test_a_few_failures_or_a_small_share_of_them_eject_nobody():
    host, clock = relay_hosts.make_host()
    one = recording_connections.RecordingLink()
    relay_hosts.send_report(
        host,
        one,
        recording_connections.load_row("r1", ended=3, failed=3),
        recording_connections.load_row("r2", ended=60, failed=6),
    )
    host.tick()
    assert not host._judge.failing
    clock[0] += 10.0  # what is past the window says nothing
    relay_hosts.send_report(host, one, recording_connections.load_row("r1", ended=2, failed=2))
    host.tick()
    assert not host._judge.failing

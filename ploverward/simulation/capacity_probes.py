"""What is measured for docs/CAPACITY.md: hollow nodes of each role in one process, at several sizes.

Hollow: the real code of sources, sums, relay, mirrors, choice, leases and frames, without sockets, HTTP and traffic.
Processor time is this process's own; bytes are those of packed frames.
"""

import random
import time
import tracemalloc
import typing
from collections.abc import Callable

from ploverward.common.identifiers import Version
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import publisher as publishers
from ploverward.control_plane.quotas import rate_slots
from ploverward.control_plane.quotas import share_leases
from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.load_balancing import replica_subset
from ploverward.data_plane.load_reports import aggregates
from ploverward.data_plane.load_reports import fanout as fanouts
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.quotas import shared_limits
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import host as hosts
from ploverward.data_plane.relay import load_feed
from ploverward.data_plane.relay import mirror
from ploverward.simulation import loopback_proxy
from ploverward.simulation import recording_connections
from ploverward.simulation.capacity_target import TARGET
from ploverward.simulation.hollow_nodes import TURNS
from ploverward.simulation.hollow_nodes import CountingLink
from ploverward.simulation.hollow_nodes import clocked
from ploverward.simulation.hollow_nodes import make_relay
from ploverward.simulation.hollow_nodes import make_table
from ploverward.simulation.hollow_nodes import new_chain
from ploverward.simulation.hollow_nodes import present
from ploverward.simulation.hollow_nodes import rows_of
from ploverward.simulation.recording_connections import as_peer
from ploverward.transport import frames
from ploverward.transport import interfaces
from ploverward.transport import messages
from ploverward.transport import row_codec


def choice_time(count: int) -> float:
    """One choice among so many replicas."""
    regions = len(set(loopback_proxy.settings().zones.values()))
    share = TARGET.regions / TARGET.proxies / regions  # the table takes it for a region of so many proxies
    table = make_table(share)
    table.install_services({"llm": {"models": ("m",), "cache_tokens": 200000, "max_conns": 500}})
    table.install_list(rows_of(count))
    quota = shared_limits.SharedLimits(now=time.monotonic, settings=loopback_proxy.settings())
    region = mirror.RegionMirror(now=time.monotonic, trust_s=5.0)
    host, feeder = make_relay(count)
    link = recording_connections.RecordingLink()
    host.subscribe(as_peer(link), region="north")
    for message in link.messages:
        region.handle_publication(message)
    chooser = replica_chooser.Chooser(
        table=table, settings=loopback_proxy.settings(), regions={"north": region}, quota=quota, now=time.monotonic
    )
    prompt = cuckoo_filter.chain(model="m", parts=new_chain(random.Random(1)))
    return clocked(
        lambda: chooser.choose(service="llm", permitted=None, model="m", chain=prompt, prompt_tokens=1500, avoid=set()),
        repeats=20,
    )


class ReadsCost(typing.NamedTuple):
    """One tick at the relay."""

    tick_s: float
    bytes_sent: float  # to a subscriber


def measure_reads(count: int) -> ReadsCost:
    """One tick at the relay with so many new prompts processed."""
    host, feeder = make_relay(200)
    chance = random.Random(2)
    reader = CountingLink()
    host.subscribe(as_peer(reader), region="north")
    names = [row["id"] for row in rows_of(200)]
    number = [1]

    def tick() -> None:
        number[0] += 1
        host.handle_aggregates(
            feeder,
            recording_connections.aggregates_message(
                number[0],
                reads=[
                    recording_connections.read_row(chance.choice(names), ("all", 500), *new_chain(chance, parts=2))
                    for _ in range(count)
                ],
            ),
        )
        host.tick()

    tick()
    before = reader.bytes
    took = clocked(tick, repeats=4)
    return ReadsCost(took, (reader.bytes - before) / (4 * TURNS))


def published_bytes(count: int) -> float:
    """What a subscriber in the region is sent in a tick, with all of so many replicas changed and prompts processed."""
    host, feeder = make_relay(count)
    chance = random.Random(5)
    reader = CountingLink()
    host.subscribe(as_peer(reader), region="north")
    names = [row["id"] for row in rows_of(count)]
    number = 1
    for _ in range(20):
        number += 1
        loads = [recording_connections.load_row(name, running=chance.randint(1, 50)) for name in names]
        reads = [
            recording_connections.read_row(chance.choice(names), ("all", 500), *new_chain(chance, parts=2))
            for _ in range(40)
        ]
        if number == 12:
            before = reader.bytes
        host.handle_aggregates(feeder, recording_connections.aggregates_message(number, loads=loads, reads=reads))
        host.tick()
    return (reader.bytes - before) / 10


def member_bytes(count: int) -> float:
    """What a digest sends one member in a tick, in a region of so many replicas of which it follows its subset."""
    keys = [row_codec.key_of(row["id"]) for row in rows_of(count)]
    fanout = fanouts.Fanout()
    member = CountingLink()
    fanout.admit(as_peer(member), address="p")
    fanout.follow(as_peer(member), keys=frozenset(keys[: replica_subset.MIN_NEAR_REPLICAS]))
    chance = random.Random(6)
    for _ in range(20):
        sent = chance.sample(keys, min(count, max(hosts.MIN_LOAD_ROWS, int(count * hosts.ROWS_SHARE))))
        message = messages.ReplicaLoads(1, False, b"".join(load_feed.Load(running=3).pack(key) for key in sent))
        fanout.forward_publication(region="north", frame=frames.pack(message), message=message)
    return member.bytes / 20


def fanout_time(members: int) -> float:
    """A digest passes a load frame of a sixteenth of 920 replicas on to so many members that follow a subset each."""
    keys = [row_codec.key_of(row["id"]) for row in rows_of(920)]
    chance = random.Random(7)
    fanout = fanouts.Fanout()
    for number in range(members):
        member = as_peer(CountingLink())
        fanout.admit(member, address=f"p{number}")
        fanout.follow(member, keys=frozenset(chance.sample(keys, replica_subset.MIN_NEAR_REPLICAS)))
    message = messages.ReplicaLoads(1, False, b"".join(load_feed.Load(running=3).pack(key) for key in keys[:58]))
    frame = frames.pack(message)
    return clocked(lambda: fanout.forward_publication(region="north", frame=frame, message=message), repeats=20)


def change_bytes(count: int) -> float:
    """One replica of so many changes: the step of the list."""
    sent = endpoint_list.from_rows(rows=rows_of(count), read_at=0.0)
    changed = [{**row, "is_clearing": row["id"].endswith("7")} for row in rows_of(count)[:8]] + rows_of(count)[8:]
    change = present(sent.delta_to(rows=changed, read_at=1.0, is_same_clock=True))
    return len(frames.pack(messages.Deltas("list", Version(1, 1), (messages.Delta(Version(1, 2), change.pack()),))))


def aggregates_time(count: int) -> float:
    """One batch with so many changed replicas, counted and published at the relay."""
    host, feeder = make_relay(count)
    number, running = [1], [1]

    def tick() -> None:
        number[0] += 1
        running[0] = running[0] % 50 + 1
        host.handle_aggregates(
            feeder,
            recording_connections.aggregates_message(
                number[0], loads=[recording_connections.load_row(row["id"], running=running[0]) for row in listed]
            ),
        )
        host.tick()

    listed = rows_of(count)
    return clocked(tick, repeats=5)


def digest_time(members: int, changed: int = 4) -> float:
    """One tick of a digest: so many members report a few changed replicas each, one batch."""
    retained: aggregates.LoadAggregates[int] = aggregates.LoadAggregates(regions=("north",))
    chance = random.Random(3)
    names = [row["id"] for row in rows_of(200)]
    reports = [
        b"".join(
            recording_connections.load_row(name, running=chance.randint(1, 9)) for name in chance.sample(names, changed)
        )
        for _ in range(members)
    ]
    number = [0]

    def tick() -> None:
        number[0] += 1
        for member, report in enumerate(reports):
            retained.handle_report(member, messages.LoadReport(number[0], report, b""))
        retained.acknowledge(region="north", number=present(retained.next_batch(region="north")).number)

    return clocked(tick, repeats=10)


def install_time(count: int) -> float:
    """A proxy installs a load frame of so many rows, passed on by its digest."""
    region = mirror.RegionMirror(now=time.monotonic, trust_s=5.0)
    region.handle_publication(messages.Catalogue(1, ()))
    data = b"".join(row_codec.LOAD.pack(row_codec.key_of(row["id"]), 3, 500, 0, 0) for row in rows_of(count))
    frame = frames.pack(messages.RelayedFrame("north", frames.pack(messages.ReplicaLoads(1, False, data))))

    def install() -> None:
        relayed = typing.cast(messages.RelayedFrame, frames.unpack(frame))
        region.handle_publication(frames.unpack(relayed.frame))

    return clocked(install, repeats=20)


def report_time(count: int) -> float:
    """A proxy's report of so many changed replicas."""
    table = make_table(1.0)
    table.install_list(rows_of(count))
    source = report_source.ReportSource(now=time.monotonic, regions=("north",), suspicion_s=1.0)

    def tick() -> None:
        for replica in table.replicas.values():
            replica.running += 1
            source.record(replica=replica, kind=report_source.SENT)
        report = present(source.next_report())
        frames.pack(report)
        source.credit(region="north", number=report.number)

    return clocked(tick, repeats=10)


def lease_time(count: int) -> float:
    """A core node's heartbeat: a share lease for each of so many proxies."""
    share_table = share_leases.ShareTable(now=time.monotonic, lease_s=1.5, window_s=10.0, withheld_until=0.0)
    slots = rate_slots.RateSlots(now=time.monotonic, reserved_s=3.0)
    names = [f"10.1.0.{number}" for number in range(count)]

    def send_heartbeats() -> None:
        for name in names:
            slot = slots.renew(node=name)
            lease = messages.ShareLease(
                slack_share=share_table.renew(node=name, owned_share=0.2, live_nodes=count),
                rate_share=0.0,
                duration_s=1.5,
                core_share=0.2,
                slot=slot.slot,
                slot_count=slot.slot_count,
                number=0,
            )
            frames.pack(lease)

    return clocked(send_heartbeats, repeats=1)


def list_bytes(count: int) -> float:
    """The complete list of so many replicas."""
    return len(
        frames.pack(
            messages.Snapshot("list", Version(1, 1), endpoint_list.from_rows(rows=rows_of(count), read_at=0.0).pack())
        )
    )


def announcement_time(count: int) -> float:
    """A core node's work to announce one change to so many proxies and to note their acknowledgements."""
    publisher = publishers.Publisher()
    links = [typing.cast(interfaces.Connection, CountingLink()) for _ in range(count)]
    for link in links:
        publisher.join(link)
    number = [0]

    def change() -> None:
        number[0] += 1
        publisher.publish(topic="spec", version=Version(0, number[0]), data=b"")
        for link in links:
            frame = frames.pack(messages.Acknowledgement((messages.TopicVersion("spec", Version(0, number[0])),)))
            publisher.handle_acknowledgement(link, typing.cast(messages.Acknowledgement, frames.unpack(frame)))

    return clocked(change, repeats=3)


def retained_memory(count: int) -> float:
    """Bytes of a relay's exact ownership of so many parts."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    host, feeder = make_relay(20)
    chance = random.Random(4)
    names = [row["id"] for row in rows_of(20)]
    for number in range(2, count // 100 + 2):
        host.handle_aggregates(
            feeder,
            recording_connections.aggregates_message(
                number,
                reads=[
                    recording_connections.read_row(chance.choice(names), (f"{chance.getrandbits(40):x}", 10))
                    for _ in range(100)
                ],
            ),
        )
        host.tick()
    retained = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return retained


class Probe(typing.NamedTuple):
    """What is measured at three sizes or more."""

    name: str
    of: str  # what the sizes count
    unit: str  # "us" of processor time, or "bytes"
    measure: Callable[[int], float]  # size: seconds or bytes
    sizes: tuple[int, ...]
    scale: float  # from what `measure` returns to the unit


PROBES = (
    Probe("proxy: a choice", "replicas", "us", choice_time, (60, 240, 920), 1e6),
    Probe("proxy: a report", "changed replicas", "us", report_time, (5, 20, 80), 1e6),
    Probe("proxy: a load frame", "rows", "us", install_time, (10, 40, 160), 1e6),
    Probe("digest: a tick", "members", "us", digest_time, (5, 15, 45), 1e6),
    Probe("relay: a cut with loads", "changed replicas", "us", aggregates_time, (50, 100, 200), 1e6),
    Probe("relay: reads in a tick", "prompts read", "us", lambda count: measure_reads(count).tick_s, (5, 20, 80), 1e6),
    Probe(
        "relay: published for reads",
        "prompts read",
        "bytes",
        lambda count: measure_reads(count).bytes_sent,
        (5, 20, 80),
        1,
    ),
    Probe("relay: exact ownership", "kept parts", "bytes", retained_memory, (2000, 6000, 18000), 1),
    Probe("core: a beat of leases", "proxies", "us", lease_time, (60, 160, 330), 1e6),
    Probe("core: a change offered and acknowledged", "proxies", "us", announcement_time, (60, 160, 330), 1e6),
    Probe("core: the list as one image", "replicas", "bytes", list_bytes, (60, 240, 920), 1),
    Probe("core: a step of the list", "replicas", "bytes", change_bytes, (60, 240, 920), 1),
    Probe("relay: told in a tick", "replicas", "bytes", published_bytes, (30, 100, 300, 900), 1),
    Probe("digest: loads told to a member in a tick", "replicas", "bytes", member_bytes, (30, 100, 300, 900), 1),
    Probe("digest: a frame passed on", "members", "us", fanout_time, (4, 14, 28), 1e6),
)

"""Slopes of each role's work, measured on hollow nodes in one process, and what they come to at a size: docs/CAPACITY.md.

    python3 -m ploverward.simulation.capacity            measures and prints tables
    python3 -m ploverward.simulation.capacity --json     the same for machines

Hollow: the real code of sources, sums, relay, mirrors, choice, grants and frames, without sockets, HTTP and traffic.
Processor time is this process's own; bytes are those of packed frames.
"""

import argparse
import json
import random
import time
import tracemalloc

from ploverward.common.identifiers import Version
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import publisher as desks
from ploverward.control_plane.quotas import rate_slots
from ploverward.control_plane.quotas import share_leases
from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.load_balancing import replica_subset
from ploverward.data_plane.load_balancing import replica_table
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
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import row_codec

TURNS = 3
# The operators' target, from their page: sizes only, no constant of any code.
TARGET = {
    "proxies": 330,
    "replicas": 920,
    "regions": 5,
    "zones": 12,
    "requests_s": 15000,
    "cores": 6,
    "changes_day": 4100,
    "restarts_day": 172,
    "cpu_part": 0.017,
    "memory_mb": 128,
    "bytes_s": 8000,
}
CURVED = 0.5  # a line that misses a point by more than this is none
TICK_S = 0.075  # contactMs / 80 at a contactMs of 6,000


class Frames(recording_connections.RecordingLink):
    """A link that only counts bytes."""

    def __init__(self):
        super().__init__()
        self.bytes = 0

    def send_bytes(self, data):
        self.bytes += len(data)


def fit(points) -> tuple:
    """(slope, intercept, largest part that a point is off) of a straight line through the points."""
    count = len(points)
    mean_x = sum(x for x, _y in points) / count
    mean_y = sum(y for _x, y in points) / count
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _y in points)
    base = mean_y - slope * mean_x
    off = max(abs(y - slope * x - base) / max(abs(y), 1e-12) for x, y in points)
    return slope, base, off


def fit_square(points) -> tuple:
    """(of the square, slope, base): the curve through three points, for what grows with the square."""
    (x1, y1), (x2, y2), (x3, y3) = points[0], points[len(points) // 2], points[-1]
    square = ((y3 - y1) / (x3 - x1) - (y2 - y1) / (x2 - x1)) / (x3 - x2)
    slope = (y2 - y1) / (x2 - x1) - square * (x1 + x2)
    return square, slope, y1 - square * x1 * x1 - slope * x1


def clocked(callback, *, repeats: int) -> float:
    """Seconds of processor time for one act: the least of some turns."""
    best = None
    for _index in range(TURNS):
        began = time.process_time()
        for _ in range(repeats):
            callback()
        took = (time.process_time() - began) / repeats
        best = took if best is None else min(best, took)
    return best


def rows(count: int) -> list:
    return [
        {
            "id": f"i-{number:08x}",
            "service": "llm",
            "address": f"10.9.{number // 250}.{number % 250}:8080",
            "zone": "za",
            "berths": 16,
            "is_clearing": False,
            "cold_ms": 0.0,
            "left_ms": None,
            "models": ["m"],
        }
        for number in range(count)
    ]


class Loop:
    now = staticmethod(time.monotonic)

    def command(self, *, callback):
        callback()


def chain(chance, *, parts=3):
    return tuple((f"{chance.getrandbits(32):x}", 500) for _ in range(parts))


def choice_time(count: int) -> float:
    """One choice among so many replicas."""
    regions = len(set(loopback_proxy.settings().zones.values()))
    share = TARGET["regions"] / TARGET["proxies"] / regions  # the table takes it for a region of so many proxies
    table = replica_table.Table(loop=Loop(), settings=loopback_proxy.settings(), share=lambda: share)
    table.install_services({"llm": {"models": ("m",), "cache_tokens": 200000, "max_conns": 500}})
    table.install_list(rows(count))
    quota = shared_limits.SharedLimits(now=time.monotonic, settings=loopback_proxy.settings())
    region = mirror.RegionMirror(now=time.monotonic, trust_s=5.0)
    host = relay(count)
    link = recording_connections.RecordingLink()
    host.subscribe(link, region="north")
    for message in link.messages:
        region.handle_publication(message)
    chooser = replica_chooser.Chooser(
        table=table, settings=loopback_proxy.settings(), regions={"north": region}, quota=quota, now=time.monotonic
    )
    prompt = cuckoo_filter.chain(model="m", parts=chain(random.Random(1)))
    return clocked(
        lambda: chooser.choose(service="llm", permitted=None, model="m", chain=prompt, prompt_tokens=1500, avoid=set()),
        repeats=20,
    )


def relay(count: int):
    host = hosts.Host(region="north", epoch=1, now=time.monotonic, suspicion_s=1.0)
    host.sync(
        services={"llm": {"models": ("m",), "cache_tokens": 200000}},
        replicas=[{"id": row["id"], "service": "llm", "region": "north", "models": ["m"]} for row in rows(count)],
    )
    feeder = Frames()
    host.subscribe(feeder, region="north")
    host.handle_aggregates(
        feeder,
        recording_connections.aggregates_message(
            1, loads=[recording_connections.load_row(row["id"], running=1) for row in rows(count)]
        ),
    )
    host.feeder = feeder
    return host


def reads_time(count: int) -> tuple:
    """(seconds, bytes to a subscriber) of one tick at the relay with so many new prompts read."""
    host = relay(200)
    chance = random.Random(2)
    reader = Frames()
    host.subscribe(reader, region="north")
    names = [row["id"] for row in rows(200)]
    number = [1]

    def tick():
        number[0] += 1
        host.handle_aggregates(
            host.feeder,
            recording_connections.aggregates_message(
                number[0],
                reads=[
                    recording_connections.read_row(chance.choice(names), ("all", 500), *chain(chance, parts=2))
                    for _ in range(count)
                ],
            ),
        )
        host.tick()

    tick()
    before = reader.bytes
    took = clocked(tick, repeats=4)
    return took, (reader.bytes - before) / (4 * TURNS)


def published_bytes(count: int) -> float:
    """What a subscriber in the region is told in a tick, where all of so many replicas changed and many prompts were read."""
    host = relay(count)
    chance = random.Random(5)
    reader = Frames()
    host.subscribe(reader, region="north")
    names = [row["id"] for row in rows(count)]
    number = 1
    for _ in range(20):
        number += 1
        loads = [recording_connections.load_row(name, running=chance.randint(1, 50)) for name in names]
        reads = [
            recording_connections.read_row(chance.choice(names), ("all", 500), *chain(chance, parts=2))
            for _ in range(40)
        ]
        if number == 12:
            before = reader.bytes
        host.handle_aggregates(host.feeder, recording_connections.aggregates_message(number, loads=loads, reads=reads))
        host.tick()
    return (reader.bytes - before) / 10


def member_bytes(count: int) -> float:
    """What a digest tells one member in a tick of a region of so many replicas, of which the member follows its subset."""
    keys = [row_codec.key_of(row["id"]) for row in rows(count)]
    fanout = fanouts.Fanout()
    member = Frames()
    fanout.admit(member, address="p")
    fanout.follow(member, keys=frozenset(keys[: replica_subset.MIN_NEAR_REPLICAS]))
    chance = random.Random(6)
    for _ in range(20):
        sent = chance.sample(keys, min(count, max(hosts.MIN_LOAD_ROWS, int(count * hosts.ROWS_SHARE))))
        message = messages.ReplicaLoads(1, False, b"".join(load_feed.Load(running=3).pack(key) for key in sent))
        fanout.forward_publication(region="north", frame=frames.pack(message), message=message)
    return member.bytes / 20


def fanout_time(members: int) -> float:
    """A digest passes a load frame of a sixteenth of 920 replicas on to so many members that follow a subset each."""
    keys = [row_codec.key_of(row["id"]) for row in rows(920)]
    chance = random.Random(7)
    fanout = fanouts.Fanout()
    for number in range(members):
        member = Frames()
        fanout.admit(member, address=f"p{number}")
        fanout.follow(member, keys=frozenset(chance.sample(keys, replica_subset.MIN_NEAR_REPLICAS)))
    message = messages.ReplicaLoads(1, False, b"".join(load_feed.Load(running=3).pack(key) for key in keys[:58]))
    frame = frames.pack(message)
    return clocked(lambda: fanout.forward_publication(region="north", frame=frame, message=message), repeats=20)


def change_bytes(count: int) -> float:
    """One replica of so many changes: the step of the list."""
    sent = endpoint_list.from_rows(rows=rows(count), read_at=0.0)
    changed = [{**row, "is_clearing": row["id"].endswith("7")} for row in rows(count)[:8]] + rows(count)[8:]
    change = sent.delta_to(rows=changed, read_at=1.0, is_same_clock=True)
    return len(frames.pack(("changes", "list", 1, 1, ((1, 2, change.pack()),))))


def aggregates_time(count: int) -> float:
    """One cut with so many changed replicas, taken and published at the relay."""
    host = relay(count)
    number, running = [1], [1]

    def tick():
        number[0] += 1
        running[0] = running[0] % 50 + 1
        host.handle_aggregates(
            host.feeder,
            recording_connections.aggregates_message(
                number[0], loads=[recording_connections.load_row(row["id"], running=running[0]) for row in listed]
            ),
        )
        host.tick()

    listed = rows(count)
    return clocked(tick, repeats=5)


def digest_time(members: int, changed: int = 4) -> float:
    """One tick of a digest: so many members report a few changed replicas each, one cut."""
    retained = aggregates.LoadAggregates(regions=("north",))
    chance = random.Random(3)
    names = [row["id"] for row in rows(200)]
    reports = [
        b"".join(
            recording_connections.load_row(name, running=chance.randint(1, 9)) for name in chance.sample(names, changed)
        )
        for _ in range(members)
    ]
    number = [0]

    def tick():
        number[0] += 1
        for member, report in enumerate(reports):
            retained.handle_report(member, messages.LoadReport(number[0], report, b""))
        retained.acknowledge(region="north", number=retained.next_batch(region="north").number)

    return clocked(tick, repeats=10)


def install_time(count: int) -> float:
    """A proxy takes a load frame of so many rows, passed on by its digest."""
    region = mirror.RegionMirror(now=time.monotonic, trust_s=5.0)
    region.handle_publication(messages.Catalogue(1, ()))
    data = b"".join(row_codec.LOAD.pack(row_codec.key_of(row["id"]), 3, 500, 0, 0) for row in rows(count))
    frame = frames.pack(messages.RelayedFrame("north", frames.pack(messages.ReplicaLoads(1, False, data))))
    return clocked(lambda: region.handle_publication(frames.unpack(frames.unpack(frame).frame)), repeats=20)


def report_time(count: int) -> float:
    """A proxy's report of so many changed replicas."""
    table = replica_table.Table(loop=Loop(), settings=loopback_proxy.settings(), share=lambda: 1.0)
    table.install_list(rows(count))
    source = report_source.ReportSource(now=time.monotonic, regions=("north",), suspicion_s=1.0)

    def tick():
        for replica in table.replicas.values():
            replica.running += 1
            source.record(replica=replica, kind=report_source.SENT)
        report = source.next_report()
        frames.pack(report)
        source.credit(region="north", number=report.number)

    return clocked(tick, repeats=10)


def lease_time(count: int) -> float:
    """A core node's beat: an entry for each of so many proxies."""
    share_table = share_leases.ShareTable(now=time.monotonic, lease_s=1.5, window_s=10.0, withheld_until=0.0)
    slots = rate_slots.RateSlots(now=time.monotonic, reserved_s=3.0)
    names = [f"10.1.0.{number}" for number in range(count)]

    def send_heartbeats():
        for name in names:
            frames.pack(
                (
                    "entry",
                    share_table.renew(node=name, owned_share=0.2, live_nodes=count),
                    0.0,
                    1.5,
                    0.2,
                    *slots.renew(node=name),
                    0,
                )
            )

    return clocked(send_heartbeats, repeats=1)


def list_bytes(count: int) -> float:
    return len(frames.pack(("image", "list", 1, 1, endpoint_list.from_rows(rows=rows(count), read_at=0.0).pack())))


def announcement_time(count: int) -> float:
    """A core node's work to offer one change to so many proxies and to take what they have."""
    publisher = desks.Publisher()
    links = [Frames() for _ in range(count)]
    for link in links:
        publisher.join(link)
    number = [0]

    def change():
        number[0] += 1
        publisher.publish(topic="spec", version=Version(0, number[0]), data=b"")
        for link in links:
            publisher.handle_acknowledgement(link, frames.unpack(frames.pack(("have", (("spec", 0, number[0]),)))))

    return clocked(change, repeats=3)


def retained_memory(count: int) -> float:
    """Bytes of a relay's exact ownership of so many parts."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    host = relay(20)
    chance = random.Random(4)
    names = [row["id"] for row in rows(20)]
    for number in range(2, count // 100 + 2):
        host.handle_aggregates(
            host.feeder,
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


PROBES = (
    ("proxy: a choice", "replicas", "us", choice_time, (60, 240, 920), 1e6),
    ("proxy: a report", "changed replicas", "us", report_time, (5, 20, 80), 1e6),
    ("proxy: a load frame", "rows", "us", install_time, (10, 40, 160), 1e6),
    ("digest: a tick", "members", "us", digest_time, (5, 15, 45), 1e6),
    ("relay: a cut with loads", "changed replicas", "us", aggregates_time, (50, 100, 200), 1e6),
    ("relay: reads in a tick", "prompts read", "us", lambda count: reads_time(count)[0], (5, 20, 80), 1e6),
    ("relay: published for reads", "prompts read", "bytes", lambda count: reads_time(count)[1], (5, 20, 80), 1),
    ("relay: exact ownership", "kept parts", "bytes", retained_memory, (2000, 6000, 18000), 1),
    ("core: a beat of leases", "proxies", "us", lease_time, (60, 160, 330), 1e6),
    ("core: a change offered and acknowledged", "proxies", "us", announcement_time, (60, 160, 330), 1e6),
    ("core: the list as one image", "replicas", "bytes", list_bytes, (60, 240, 920), 1),
    ("core: a step of the list", "replicas", "bytes", change_bytes, (60, 240, 920), 1),
    ("relay: told in a tick", "replicas", "bytes", published_bytes, (30, 100, 300, 900), 1),
    ("digest: loads told to a member in a tick", "replicas", "bytes", member_bytes, (30, 100, 300, 900), 1),
    ("digest: a frame passed on", "members", "us", fanout_time, (4, 14, 28), 1e6),
)


def measure() -> dict:
    found = {}
    for name, of, unit, callback, sizes, scale in PROBES:
        points = [(size, callback(size) * scale) for size in sizes]
        slope, base, off = fit(points)
        square = 0.0
        if off > CURVED:
            square, slope, base = fit_square(points)
            off = 0.0
        found[name] = {
            "of": of,
            "square": round(square, 5),
            "unit": unit,
            "points": [[size, round(value, 1)] for size, value in points],
            "slope": round(slope, 3),
            "base": round(base, 1),
            "off": round(off, 3),
        }
    return found


def extrapolate(found: dict) -> list:
    """(role, what, figure, limit, verdict) at the target; straight lines carried on past what was measured."""
    size = TARGET

    def at(name, count):
        return found[name]["square"] * count * count + found[name]["slope"] * count + found[name]["base"]

    pace = 2  # of a zone with two digests, as a zone of the target has
    ticks = 1 / TICK_S / pace
    by_region = size["replicas"] / size["regions"]
    per_proxy = size["requests_s"] / size["proxies"]
    members = min(singleton_roles.PROXIES_PER_DIGEST, size["proxies"] / size["zones"])
    cells = pace * size["zones"] / size["regions"]
    per_tick = size["requests_s"] / size["regions"] / ticks
    changed = min(by_region, 3 * per_tick)
    near_bytes = at("relay: told in a tick", by_region) * ticks
    far_bytes = (size["regions"] - 1) * near_bytes / hosts.FAR_TICKS
    proxy_bytes = near_bytes + far_bytes
    lists_s = size["restarts_day"] * 3 / 86400
    lines = [
        (
            "proxy",
            "choices, part of a core",
            per_proxy * at("proxy: a choice", size["replicas"]) / 1e6,
            size["cpu_part"],
        ),
        (
            "proxy",
            "reports, part of a core",
            ticks * at("proxy: a report", min(3 * per_proxy * TICK_S, by_region)) / 1e6,
            size["cpu_part"],
        ),
        (
            "proxy",
            "load frames, part of a core",
            ticks * size["regions"] * at("proxy: a load frame", hosts.MIN_LOAD_ROWS) / 1e6,
            size["cpu_part"],
        ),
        ("proxy", "loads and buckets of all regions, at most, bytes a second", proxy_bytes, size["bytes_s"]),
        (
            "digest",
            "reports of its members, part of a core",
            ticks * at("digest: a tick", members) / 1e6,
            size["cpu_part"],
        ),
        (
            "digest",
            "frames passed on, part of a core",
            ticks * size["regions"] * at("digest: a frame passed on", members) / 1e6,
            size["cpu_part"],
        ),
        ("digest", "passed on to members, at most, bytes a second", proxy_bytes * members, size["bytes_s"]),
        (
            "relay",
            "sums of the region's digests and gateways, part of a core",
            ticks * (cells + size["regions"] - 1) * at("relay: a cut with loads", changed / cells) / 1e6,
            size["cpu_part"],
        ),
        ("relay", "reads, part of a core", ticks * at("relay: reads in a tick", per_tick) / 1e6, size["cpu_part"]),
        (
            "gateway",
            "passed on to the region's digests, at most, bytes a second",
            far_bytes * cells,
            size["bytes_s"],
        ),
        ("relay", "exact ownership, MB", at("relay: exact ownership", by_region * 200) / 1e6, size["memory_mb"]),
        ("core", "leases, part of a core", at("core: a beat of leases", size["proxies"]) / 1e6 / 0.4, size["cpu_part"]),
        (
            "core",
            "changes offered, part of a core",
            at("core: a change offered and acknowledged", size["proxies"]) / 1e6 * size["changes_day"] / 86400,
            size["cpu_part"],
        ),
        (
            "core",
            "the list told, bytes a second to each proxy",
            at("core: a step of the list", size["replicas"]) * lists_s,
            size["bytes_s"],
        ),
    ]
    return [
        (role, what, value, limit, "fits" if value <= limit else "does not fit") for role, what, value, limit in lines
    ]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    found = measure()
    lines = extrapolate(found)
    if args.json:
        print(json.dumps({"slopes": found, "target": TARGET, "extrapolated": lines}, indent=2))
        return
    print("| measured | sizes and values | slope | base | off the line by |\n| --- | --- | --- | --- | --- |")
    for name, row in found.items():
        points = ", ".join(f"{size}: {value:,.0f}" for size, value in row["points"])
        curve = f"{row['square']:,} a square and " if row["square"] else ""
        print(
            f"| {name} ({row['unit']}) | {points} | {curve}{row['slope']:,} a {row['of']} | {row['base']:,} | {row['off']:.0%} |"
        )
    print("\n| role | what, extrapolated | at the target | limit | verdict |\n| --- | --- | --- | --- | --- |")
    for role, what, value, limit, verdict in lines:
        print(f"| {role} | {what} | {value:,.4g} | {limit:,} | {verdict} |")


if __name__ == "__main__":
    main()

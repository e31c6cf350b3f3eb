"""Tests of aggregates in random histories of reports, batches and credits, compared with an independent count.

The histories include loss, delay, restarts and two owners of a digest at a time.
"""

import pytest

from ploverward.common import errors
from ploverward.data_plane.load_reports import aggregates
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.relay import host as hosts
from ploverward.data_plane.relay import mirror
from ploverward.simulation import recording_connections
from ploverward.simulation import simulated_world
from ploverward.transport import frames
from ploverward.transport import messages
from ploverward.transport import row_codec

REGIONS = ("north", "south")


class Replica:
    """A replica as one proxy's table has it."""

    def __init__(self, name, region):
        self.id = name
        self.key = row_codec.replica_key(name)
        self.region = region
        self.running = 0
        self.prefill_tokens = {}


class LinkDirection:
    """One direction of a link, which delivers in order after random delays, and nothing once the link is closed."""

    def __init__(self, *, world, deliver):
        self.world = world
        self.deliver = deliver
        self.is_open = True
        self.last = 0.0

    def send(self, *message):
        self.last = max(self.last + 1e-6, self.world.time + self.world.chance.uniform(0.001, 0.2))
        self.world.later(self.last - self.world.time, lambda: self.deliver(*message) if self.is_open else None)


class RelayLink:
    """A digest's link to a relay, which the relay uses as the connection of a subscriber."""

    def __init__(self, *, owner, region):
        self.owner = owner
        self.region = region
        self.is_open = True
        self.up = LinkDirection(world=owner.scene.world, deliver=self._handle_aggregates)
        self.down = LinkDirection(
            world=owner.scene.world, deliver=lambda data: owner.handle_message(self, frames.unpack(data))
        )
        self.host = owner.scene.hosts[region]
        self.host.subscribe(self, region=owner.region, zone="z", zone_epoch=owner.epoch)

    def _handle_aggregates(self, message):
        self.host.handle_aggregates(self, message)

    def send(self, message):
        self.send_bytes(frames.pack(message))

    def send_bytes(self, data):
        self.down.send(data)

    def queued(self):
        return 0

    def close(self, *, reason=""):
        if self.is_open:
            self.is_open = self.up.is_open = self.down.is_open = False
            self.host.remove(self)
            self.owner.handle_close(self)


class DigestOwner:
    """A digest with its streams to both relays; it serves several members or, under epoch 0, one proxy alone."""

    def __init__(self, *, scene, epoch):
        self.scene = scene
        self.epoch = epoch
        self.region = "north"
        self.aggregates = aggregates.LoadAggregates(regions=REGIONS)
        self.links = {}
        self.members = {}  # the link direction to each member
        self.is_up = True
        for region in REGIONS:
            self.connect(region)

    def connect(self, region):
        if self.is_up:
            link = RelayLink(owner=self, region=region)
            if link.is_open:
                self.links[region] = link
                link.up.send(self.aggregates.checkpoint(region=region))

    def handle_close(self, link):
        if self.links.get(link.region) is link:
            del self.links[link.region]
            for down in self.members.values():
                down.send(messages.RegionLost(link.region))
            if self.is_up:
                self.scene.world.later(0.3, lambda: self.connect(link.region))

    def handle_message(self, link, message):
        if isinstance(message, messages.AggregatesCounted):
            for member, number in self.aggregates.acknowledge(region=link.region, number=message.number).items():
                if member in self.members:
                    self.members[member].send(messages.ReportCredited(link.region, number))
        elif isinstance(message, messages.Catalogue | messages.ReplicaLoads):
            for down in self.members.values():
                down.send(messages.RelayedFrame(link.region, frames.pack(message)))

    def tick(self):
        for region, link in list(self.links.items()):
            batch = self.aggregates.next_batch(region=region)
            if batch is not None:
                link.up.send(batch)

    def stop(self):
        self.is_up = False
        for link in list(self.links.values()):
            link.close()


class Member:
    """A proxy that begins and ends attempts, and reports to one digest at a time."""

    def __init__(self, *, scene, name):
        self.scene = scene
        self.name = name
        self.replicas = {name: Replica(name, region) for name, region in scene.replica_regions.items()}
        self.source = report_source.ReportSource(now=scene.world.now, regions=REGIONS, suspicion_s=0.5)
        self.mirrors = {region: mirror.RegionMirror(now=scene.world.now, trust_s=5.0) for region in REGIONS}
        self.owner = None
        self.up = self.down = None

    def join(self, owner):
        if self.owner is not None:
            self.up.is_open = self.down.is_open = False
            self.owner.members.pop(self, None)
            self.owner.aggregates.remove(self)
        self.owner = owner
        for region in REGIONS:
            self.mirrors[region] = mirror.RegionMirror(now=self.scene.world.now, trust_s=5.0)
            self.source.mark_lost(region=region)
        self.up = LinkDirection(
            world=self.scene.world, deliver=lambda report: owner.aggregates.handle_report(self, report)
        )
        self.down = LinkDirection(world=self.scene.world, deliver=self.handle_message)
        owner.members[self] = self.down
        for region, link in owner.links.items():
            host = link.host  # the relay's present state stands in for the digest's own mirror
            loads = b"".join(host._load_of(key).pack(key) for key in host.totals())
            for message in (messages.Catalogue(host.epoch, ()), messages.ReplicaLoads(host.epoch, True, loads)):
                self.down.send(messages.RelayedFrame(region, frames.pack(message)))
        self.up.send(self.source.checkpoint(replicas=list(self.replicas.values())))

    def handle_message(self, message):
        if isinstance(message, messages.RegionLost):
            self.source.mark_lost(region=message.region)
            self.mirrors[message.region].mark_broken()
        elif isinstance(message, messages.ReportCredited):
            self.source.credit(region=message.region, number=message.number)
        else:
            self.mirrors[message.region].handle_publication(frames.unpack(message.frame))

    def begin_or_end_attempt(self, chance):
        replica = chance.choice(list(self.replicas.values()))
        if replica.running and chance.random() < 0.5:
            replica.running -= 1
            if replica.prefill_tokens:
                replica.prefill_tokens.popitem()
            kind = chance.choice((report_source.DONE, report_source.FAILED, report_source.BROKEN))
        else:
            replica.running += 1
            replica.prefill_tokens[chance.random()] = chance.randint(1, 5000)
            kind = report_source.SENT
        self.source.record_attempt(replica=replica, kind=kind)

    def tick(self):
        report = self.source.next_report()
        if report is not None:
            self.up.send(report)


class Scene:
    """Proxies, digests and both regions' relays in simulated time, with random faults."""

    def __init__(self, *, seed, member_count=5):
        self.world = simulated_world.World(seed=seed)
        self.chance = self.world.chance
        self.replica_regions = {f"i{number}": REGIONS[number % 2] for number in range(6)}
        self.epochs = {region: 1 for region in REGIONS}
        self.hosts = {}
        for region in REGIONS:
            self.start_host(region)
        self.epoch = 1
        self.owners = [DigestOwner(scene=self, epoch=1)]
        self.members = [Member(scene=self, name=f"p{number}") for number in range(member_count)]
        for member in self.members:
            member.join(self.owners[0])
        self.is_acting = True
        self.tick()

    def start_host(self, region):
        former = self.hosts.get(region)
        self.hosts[region] = hosts.RelayHost(
            region=region, epoch=self.epochs[region], now=self.world.now, suspicion_s=1.0
        )
        self.epochs[region] += 1
        self.hosts[region].sync(
            services={},
            replicas=[
                {"id": name, "service": "llm", "region": region_name, "models": []}
                for name, region_name in self.replica_regions.items()
            ],
        )
        if former is not None:
            for link in list(former.subscribers):
                link.close()

    def tick(self):
        for member in self.members:
            if self.is_acting and self.chance.random() < 0.7:
                member.begin_or_end_attempt(self.chance)
            member.tick()
        for owner in self.owners:
            owner.tick()
        for host in self.hosts.values():
            host.tick()
        self.world.later(0.05, self.tick)

    def inject_fault(self):
        kind = self.chance.choice(("digest", "second_digest", "relay", "stream", "member", "direct"))
        if kind in ("digest", "second_digest"):
            former = [owner for owner in self.owners if owner.epoch]
            if kind == "digest":
                for owner in former:
                    owner.stop()
                    self.owners.remove(owner)
            self.epoch += 1
            # With "second_digest" the former owner goes on until it is fenced.
            successor = DigestOwner(scene=self, epoch=self.epoch)
            self.owners.append(successor)
            for member in self.members:
                if kind == "digest" or self.chance.random() < 0.6:
                    member.join(successor)
        elif kind == "relay":
            self.start_host(self.chance.choice(REGIONS))
        elif kind == "stream":
            owner = self.chance.choice(self.owners)
            for link in list(owner.links.values())[:1]:
                link.close()
        elif kind == "member":
            number = self.chance.randrange(len(self.members))
            old_member = self.members[number]  # the proxy restarts, and nothing of its former process goes on
            old_member.up.is_open = old_member.down.is_open = False
            old_member.owner.members.pop(old_member, None)
            old_member.owner.aggregates.remove(old_member)
            self.members[number] = Member(scene=self, name=old_member.name)
            self.members[number].join(self.chance.choice([owner for owner in self.owners if owner.is_up]))
        else:
            own = DigestOwner(scene=self, epoch=0)
            self.owners.append(own)
            self.chance.choice(self.members).join(own)

    def converge(self):
        """Moves members of older digests to the newest one, fences the older ones, and waits without new attempts."""
        newest = max(owner.epoch for owner in self.owners)
        for member in self.members:
            if 0 < member.owner.epoch < newest or not member.owner.is_up:
                member.join(next(owner for owner in self.owners if owner.epoch == newest))
        for owner in list(self.owners):
            if 0 < owner.epoch < newest:
                owner.stop()
                self.owners.remove(owner)
        self.is_acting = False
        self.world.run(until=self.world.time + 5.0)


def count_actual_loads(scene):
    """Returns the load by replica as (running, tokens), counted from the proxies' own attempts."""
    return {
        name: (
            sum(member.replicas[name].running for member in scene.members),
            sum(sum(member.replicas[name].prefill_tokens.values()) for member in scene.members),
        )
        for name in scene.replica_regions
    }


def check_convergence(scene):
    """Asserts that the relays' totals, and the loads that each proxy computes from them, equal the actual loads."""
    actual_loads = count_actual_loads(scene)
    for name, region in scene.replica_regions.items():
        key = row_codec.replica_key(name)
        assert scene.hosts[region].total(key)[:2] == actual_loads[name], name
        for member in scene.members:
            total = member.mirrors[region].load.get(key, (0, 0, 0, 0))
            credited = member.source.counted(member.replicas[name])
            own = (member.replicas[name].running, sum(member.replicas[name].prefill_tokens.values()))
            assert credited[:2] == own
            assert (total[0] - credited[0] + own[0], total[1] - credited[1] + own[1]) == actual_loads[name]


@pytest.mark.parametrize("seed", range(40))
def test_aggregates_converge_to_actual_load_after_random_faults(seed):
    scene = Scene(seed=seed)
    for _ in range(12):
        scene.world.run(until=scene.world.time + scene.chance.uniform(0.2, 2.0))
        scene.inject_fault()
    scene.converge()
    assert any(running for running, _tokens in count_actual_loads(scene).values())
    check_convergence(scene)


@pytest.mark.parametrize("seed", range(10))
def test_visible_load_error_is_bounded_by_recent_changes(seed):
    """Without faults, a proxy sees for the others' load a value that it had a moment ago (docs/digest.md 3)."""
    scene = Scene(seed=seed)
    history = []
    for _ in range(100):
        scene.world.run(until=scene.world.time + 0.05)
        history.append(
            [{name: member.replicas[name].running for name in scene.replica_regions} for member in scene.members]
        )
        if len(history) < 40:
            continue
        for index, member in enumerate(scene.members):
            for name, region in scene.replica_regions.items():
                total = member.mirrors[region].load.get(row_codec.replica_key(name), (0, 0, 0, 0))
                visible = total[0] - member.source.counted(member.replicas[name])[0]
                recent = history[-20:]
                lower_bound = sum(min(row[other][name] for row in recent) for other in range(5) if other != index)
                upper_bound = sum(max(row[other][name] for row in recent) for other in range(5) if other != index)
                # The proxy's own part may be of a newer or older report than the one that the credit names.
                slack = max(row[index][name] for row in recent) - min(row[index][name] for row in recent)
                assert lower_bound - slack <= visible <= upper_bound + slack


def test_convergence_check_detects_load_that_does_not_run():
    scene = Scene(seed=1)
    scene.world.run(until=2.0)
    scene.converge()
    check_convergence(scene)
    owner = scene.owners[0]
    report = messages.LoadReport(1, recording_connections.load_row("i0", running=1), b"")
    owner.aggregates.handle_report("unknown member", report)
    scene.world.run(until=scene.world.time + 2.0)
    with pytest.raises(AssertionError):
        check_convergence(scene)


def test_malformed_and_repeated_reports_are_refused_without_effect():
    sums = aggregates.LoadAggregates(regions=REGIONS)
    sums.handle_report("p1", messages.LoadReport(1, recording_connections.load_row("i0", running=2, tokens=9), b""))
    key = row_codec.replica_key("i0")
    for number, loads, reads in (
        (2, b"xx", b""),
        (2, recording_connections.load_row("i0", running=7), b"\x01"),
        (1, recording_connections.load_row("i0", running=7), b""),
    ):
        with pytest.raises(errors.FrameError):
            sums.handle_report("p1", messages.LoadReport(number, loads, reads))
        assert sums.total(region="north", key=key) == (2, 9, 0)
    sums.handle_report(
        "p1", messages.LoadReport(2, recording_connections.load_row("i0", running=3, region=99), b"")
    )  # an unknown region
    sums.handle_report("p1", messages.LoadReport(3, recording_connections.load_row("i0", running=1), b""))
    assert sums.total(region="north", key=key) == (1, 0, 0)


def test_repeated_prefill_of_same_chain_at_same_replica_is_forwarded_once():
    sums = aggregates.LoadAggregates(regions=REGIONS)
    read = recording_connections.read_row("i0", ("doc", 100))
    sums.handle_report(
        "p1", messages.LoadReport(1, b"", read + recording_connections.read_row("i0", ("doc", 100), ("own", 5)))
    )
    sums.handle_report("p2", messages.LoadReport(1, b"", read))
    _number, loads, reads = sums.next_batch(region="north")
    assert loads == b"" and len(row_codec.split_reads(data=reads)) == 2
    assert sums.next_batch(region="north") is None


def test_batch_has_one_row_per_changed_replica():
    sums = aggregates.LoadAggregates(regions=REGIONS)
    for member in range(20):
        rows = b"".join(recording_connections.load_row(f"i{number}", running=member + 1) for number in range(3))
        sums.handle_report(member, messages.LoadReport(1, rows, b""))
    _number, loads, _reads = sums.next_batch(region="north")
    assert len(row_codec.rows(shape=row_codec.REPORTED_LOAD_ROW, data=loads)) == 3
    assert sums.acknowledge(region="north", number=10) == {member: 1 for member in range(20)}


def test_discard_drops_reads_and_outcomes_and_keeps_loads():
    sums = aggregates.LoadAggregates(regions=REGIONS)
    for number in range(1, 50):
        load = recording_connections.load_row("i0", running=number, ended=1)
        read = recording_connections.read_row("i0", (f"p{number}", 5))
        sums.handle_report("p1", messages.LoadReport(number, load, read))
        sums.discard_reads_and_outcomes(region="north")
    _number, loads, reads = sums.checkpoint(region="north")
    (row,) = row_codec.rows(shape=row_codec.REPORTED_LOAD_ROW, data=loads)
    assert row[2] == 49 and row[5:] == (0, 0) and reads == b""

"""Digests: random histories of reports, aggregates and credits, compared with an independent count.

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
    def __init__(self, name, region):
        self.id = name
        self.key = row_codec.replica_key(name)
        self.region = region
        self.running = 0
        self.prefill_tokens = {}


class LinkDirection:
    """One way of a link: in order, delayed, gone when the link ends."""

    def __init__(self, *, world, act):
        self.world = world
        self.act = act
        self.is_open = True
        self.last = 0.0

    def send(self, *message):
        self.last = max(self.last + 1e-6, self.world.time + self.world.chance.uniform(0.001, 0.2))
        self.world.later(self.last - self.world.time, lambda: self.act(*message) if self.is_open else None)


class RelayLink:
    """A relay's end of a digest's link."""

    def __init__(self, *, owner, region):
        self.owner = owner
        self.region = region
        self.is_open = True
        self.up = LinkDirection(world=owner.scene.world, act=self._take)
        self.down = LinkDirection(world=owner.scene.world, act=lambda data: owner.heard(self, frames.unpack(data)))
        self.host = owner.scene.hosts[region]
        self.host.subscribe(self, region=owner.region, zone="z", zone_epoch=owner.epoch)

    def _take(self, message):
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
            self.owner.lost(self)


class DigestOwner:
    """A digest with its streams to both relays: of several members, or of one proxy alone."""

    def __init__(self, *, scene, epoch):
        self.scene = scene
        self.epoch = epoch
        self.region = "north"
        self.aggregates = aggregates.LoadAggregates(regions=REGIONS)
        self.links = {}
        self.members = {}  # member: lane down
        self.is_up = True
        for region in REGIONS:
            self.dial(region)

    def dial(self, region):
        if self.is_up:
            link = RelayLink(owner=self, region=region)
            if link.is_open:
                self.links[region] = link
                link.up.send(self.aggregates.checkpoint(region=region))

    def lost(self, link):
        if self.links.get(link.region) is link:
            del self.links[link.region]
            for down in self.members.values():
                down.send(messages.RegionLost(link.region))
            if self.is_up:
                self.scene.world.later(0.3, lambda: self.dial(link.region))

    def heard(self, link, message):
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
    """A proxy: attempts begin and end; it reports to one holder at a time and reads what comes back."""

    def __init__(self, *, scene, name):
        self.scene = scene
        self.name = name
        self.own = {name: Replica(name, region) for name, region in scene.places.items()}
        self.source = report_source.ReportSource(now=scene.world.now, regions=REGIONS, suspicion_s=0.5)
        self.views = {region: mirror.RegionMirror(now=scene.world.now, trust_s=5.0) for region in REGIONS}
        self.owner = None
        self.up = self.down = None

    def join(self, owner):
        if self.owner is not None:
            self.up.is_open = self.down.is_open = False
            self.owner.members.pop(self, None)
            self.owner.aggregates.remove(self)
        self.owner = owner
        for region in REGIONS:
            self.views[region] = mirror.RegionMirror(now=self.scene.world.now, trust_s=5.0)
            self.source.mark_lost(region=region)
        self.up = LinkDirection(world=self.scene.world, act=lambda report: owner.aggregates.handle_report(self, report))
        self.down = LinkDirection(world=self.scene.world, act=self.heard)
        owner.members[self] = self.down
        for region, link in owner.links.items():
            host = link.host  # the relay's state as of now stands in for the holder's own mirror
            loads = b"".join(host._load_of(key).pack(key) for key in host.totals())
            for message in (messages.Catalogue(host.epoch, ()), messages.ReplicaLoads(host.epoch, True, loads)):
                self.down.send(messages.RelayedFrame(region, frames.pack(message)))
        self.up.send(self.source.checkpoint(replicas=list(self.own.values())))

    def heard(self, message):
        if isinstance(message, messages.RegionLost):
            self.source.mark_lost(region=message.region)
            self.views[message.region].fail()
        elif isinstance(message, messages.ReportCredited):
            self.source.credit(region=message.region, number=message.number)
        else:
            self.views[message.region].handle_publication(frames.unpack(message.frame))

    def act(self, chance):
        replica = chance.choice(list(self.own.values()))
        if replica.running and chance.random() < 0.5:
            replica.running -= 1
            if replica.prefill_tokens:
                replica.prefill_tokens.popitem()
            kind = chance.choice((report_source.DONE, report_source.FAILED, report_source.BROKEN))
        else:
            replica.running += 1
            replica.prefill_tokens[chance.random()] = chance.randint(1, 5000)
            kind = report_source.SENT
        self.source.record(replica=replica, kind=kind)

    def tick(self):
        report = self.source.next_report()
        if report is not None:
            self.up.send(report)


class Scene:
    def __init__(self, *, seed, count=5):
        self.world = simulated_world.World(seed=seed)
        self.chance = self.world.chance
        self.places = {f"i{number}": REGIONS[number % 2] for number in range(6)}
        self.epochs = {region: 1 for region in REGIONS}
        self.hosts = {}
        for region in REGIONS:
            self.start_host(region)
        self.epoch = 1
        self.owners = [DigestOwner(scene=self, epoch=1)]
        self.members = [Member(scene=self, name=f"p{number}") for number in range(count)]
        for member in self.members:
            member.join(self.owners[0])
        self.is_acting = True
        self.tick()

    def start_host(self, region):
        former = self.hosts.get(region)
        self.hosts[region] = hosts.Host(region=region, epoch=self.epochs[region], now=self.world.now, suspicion_s=1.0)
        self.epochs[region] += 1
        self.hosts[region].sync(
            services={},
            replicas=[
                {"id": name, "service": "llm", "region": region_name, "models": []}
                for name, region_name in self.places.items()
            ],
        )
        if former is not None:
            for link in list(former.subscribers):
                link.close()

    def tick(self):
        for member in self.members:
            if self.is_acting and self.chance.random() < 0.7:
                member.act(self.chance)
            member.tick()
        for owner in self.owners:
            owner.tick()
        for host in self.hosts.values():
            host.tick()
        self.world.later(0.05, self.tick)

    def inject_fault(self):
        kind = self.chance.choice(("holder", "two", "relay", "stream", "member", "alone"))
        if kind in ("holder", "two"):
            former = [owner for owner in self.owners if owner.epoch]
            if kind == "holder":
                for owner in former:
                    owner.stop()
                    self.owners.remove(owner)
            self.epoch += 1
            fresh = DigestOwner(scene=self, epoch=self.epoch)  # "two": the former one goes on until it is fenced
            self.owners.append(fresh)
            for member in self.members:
                if kind == "holder" or self.chance.random() < 0.6:
                    member.join(fresh)
        elif kind == "relay":
            self.start_host(self.chance.choice(REGIONS))
        elif kind == "stream":
            owner = self.chance.choice(self.owners)
            for link in list(owner.links.values())[:1]:
                link.close()
        elif kind == "member":
            number = self.chance.randrange(len(self.members))
            gone = self.members[number]  # a new life: nothing of the old one runs on
            gone.up.is_open = gone.down.is_open = False
            gone.owner.members.pop(gone, None)
            gone.owner.aggregates.remove(gone)
            self.members[number] = Member(scene=self, name=gone.name)
            self.members[number].join(self.chance.choice([owner for owner in self.owners if owner.is_up]))
        else:
            own = DigestOwner(scene=self, epoch=0)
            self.owners.append(own)
            self.chance.choice(self.members).join(own)

    def converge(self):
        """All members at the newest holder or alone; older holders are fenced; then nothing happens for a while."""
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


def count(scene):
    """What runs, counted from the proxies' own attempts: {replica: (running, tokens)}."""
    return {
        name: (
            sum(member.own[name].running for member in scene.members),
            sum(sum(member.own[name].prefill_tokens.values()) for member in scene.members),
        )
        for name in scene.places
    }


def check_converged(scene):
    """The sums at the relays, and what each proxy makes of them, are what runs."""
    truth = count(scene)
    for name, region in scene.places.items():
        key = row_codec.replica_key(name)
        assert scene.hosts[region].total(key)[:2] == truth[name], name
        for member in scene.members:
            total = member.views[region].load.get(key, (0, 0, 0, 0))
            sums = member.source.counted(member.own[name])
            own = (member.own[name].running, sum(member.own[name].prefill_tokens.values()))
            assert sums[:2] == own
            assert (total[0] - sums[0] + own[0], total[1] - sums[1] + own[1]) == truth[name]


@pytest.mark.parametrize("seed", range(40))
def test_aggregates_converge_to_what_runs_whatever_went_before(seed):
    scene = Scene(seed=seed)
    for _ in range(12):
        scene.world.run(until=scene.world.time + scene.chance.uniform(0.2, 2.0))
        scene.inject_fault()
    scene.converge()
    assert any(running for running, _tokens in count(scene).values())
    check_converged(scene)


@pytest.mark.parametrize("seed", range(10))
def test_the_shown_load_is_off_by_no_more_than_what_is_in_flight(seed):
    """Invariant (docs/digest.md 3): without faults, what a proxy takes for others' load was their load a moment ago."""
    scene = Scene(seed=seed)
    history = []
    for _ in range(100):
        scene.world.run(until=scene.world.time + 0.05)
        history.append([{name: member.own[name].running for name in scene.places} for member in scene.members])
        if len(history) < 40:
            continue
        for index, member in enumerate(scene.members):
            for name, region in scene.places.items():
                total = member.views[region].load.get(row_codec.replica_key(name), (0, 0, 0, 0))
                shown = total[0] - member.source.counted(member.own[name])[0]
                lately = history[-20:]
                least = sum(min(row[other][name] for row in lately) for other in range(5) if other != index)
                most = sum(max(row[other][name] for row in lately) for other in range(5) if other != index)
                # Our own part may be a report newer or older than the credit that names it.
                slack = max(row[index][name] for row in lately) - min(row[index][name] for row in lately)
                assert least - slack <= shown <= most + slack


def test_the_checker_sees_a_report_that_counts_twice():
    scene = Scene(seed=1)
    scene.world.run(until=2.0)
    scene.converge()
    check_converged(scene)
    owner = scene.owners[0]
    report = messages.LoadReport(1, recording_connections.load_row("i0", running=1), b"")
    owner.aggregates.handle_report("stranger", report)
    scene.world.run(until=scene.world.time + 2.0)
    with pytest.raises(AssertionError):
        check_converged(scene)


def test_reports_that_are_malformed_or_come_twice_change_nothing():
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
    )  # a region that nobody knows
    sums.handle_report("p1", messages.LoadReport(3, recording_connections.load_row("i0", running=1), b""))
    assert sums.total(region="north", key=key) == (1, 0, 0)


def test_the_same_chain_prefilled_at_the_same_replica_is_forwarded_once():
    sums = aggregates.LoadAggregates(regions=REGIONS)
    read = recording_connections.read_row("i0", ("doc", 100))
    sums.handle_report(
        "p1", messages.LoadReport(1, b"", read + recording_connections.read_row("i0", ("doc", 100), ("own", 5)))
    )
    sums.handle_report("p2", messages.LoadReport(1, b"", read))
    _number, loads, reads = sums.next_batch(region="north")
    assert loads == b"" and len(row_codec.split_reads(data=reads)) == 2
    assert sums.next_batch(region="north") is None


def test_a_digest_sends_a_row_for_each_changed_replica_and_not_for_each_request():
    sums = aggregates.LoadAggregates(regions=REGIONS)
    for member in range(20):
        rows = b"".join(recording_connections.load_row(f"i{number}", running=member + 1) for number in range(3))
        sums.handle_report(member, messages.LoadReport(1, rows, b""))
    _number, loads, _reads = sums.next_batch(region="north")
    assert len(row_codec.rows(shape=row_codec.REPORTED_LOAD_ROW, data=loads)) == 3
    assert sums.acknowledge(region="north", number=10) == {member: 1 for member in range(20)}


def test_without_a_relay_reads_and_outcomes_are_dropped_and_loads_stay():
    sums = aggregates.LoadAggregates(regions=REGIONS)
    for number in range(1, 50):
        load = recording_connections.load_row("i0", running=number, ended=1)
        read = recording_connections.read_row("i0", (f"p{number}", 5))
        sums.handle_report("p1", messages.LoadReport(number, load, read))
        sums.discard(region="north")
    _number, loads, reads = sums.checkpoint(region="north")
    (row,) = row_codec.rows(shape=row_codec.REPORTED_LOAD_ROW, data=loads)
    assert row[2] == 49 and row[5:] == (0, 0) and reads == b""

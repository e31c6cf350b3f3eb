"""The zone's digest and the relay among several proxies on real sockets: duties change, holders end, freeze or are cut off;
what each proxy takes for the load is compared with what runs."""

import dataclasses
import random
import socket

import pytest

from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.load_reports import fanout
from ploverward.data_plane.load_reports import relay_client
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.quotas import shared_limits
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.transport import frames
from ploverward.transport import messages

ROWS = [
    {
        "id": f"i{number}",
        "service": "llm",
        "address": "127.0.0.1:9",
        "zone": zone,
        "berths": 8,
        "is_clearing": False,
        "cold_ms": 0,
        "left_ms": None,
        "models": ["m"],
    }
    for number, zone in enumerate(("za", "za", "zb"))
]


def address(number: int) -> str:
    """Of the proxy with this number."""
    return loopback.own_address(host=number)


class Node:
    """A proxy without its traffic and without the core: singleton roles are handed to it."""

    def __init__(self, *, loop, ip, zone, ports, incarnation):
        zones = {"za": "north", "zc": "north", "zb": "south"}
        self.settings = dataclasses.replace(
            loopback_proxy.settings(), ip=ip, zone=zone, region=zones[zone], zones=zones, inner_ports=ports
        )
        self.loop = Pausable(loop=loop)
        self.incarnation = incarnation
        self.passages = set()
        self.quota = shared_limits.SharedLimits(now=loop.now, settings=self.settings)
        self.table = replica_table.Table(loop=loop, settings=self.settings, share=self.quota.rate_share)
        self.table.services = {"llm": {"cache_tokens": 1000, "models": ("m",)}}
        self.table.install_list(ROWS)
        self.client = relay_client.RelayClient(
            loop=self.loop,
            settings=lambda: self.settings,
            incarnation=incarnation,
            contact_s=1.0,
            peer_timeout_s=0.25,
            table=self.table,
            adapters=adapter_counts.Counter(now=loop.now, window_s=6.0, trust_s=0.5),
            replicas_in_use=lambda: {handler.replica for handler in self.passages},
            near_core=lambda: None,
        )
        self.regions = self.client.regions
        self.chooser = replica_chooser.Chooser(
            table=self.table,
            settings=self.settings,
            regions=self.regions,
            quota=self.quota,
            now=loop.now,
            counted=self.client.source.counted,
        )
        self.tick()
        self.loop.every(interval_s=0.25 / 3, callback=self.client.send_heartbeats)

    @property
    def digest(self):
        return self.client.zone_digest.digest

    @property
    def relay(self):
        return self.client.relay_role.host

    @property
    def gateway(self):
        return self.client.relay_role.gateway

    @property
    def is_member(self):
        return self.client.zone_digest.is_joined

    @property
    def digest_connector(self):
        return self.client.zone_digest.membership.connection.connector

    def tick(self):
        self.client.tick()
        self.loop.after(delay=self.client.report_interval_s(), callback=self.tick)

    def begin(self, name):
        replica = self.table.replicas[name]
        replica.running += 1
        self.passages.add(RequestHandler(replica))
        self.client.source.record(replica=replica, kind=report_source.SENT)

    def end(self, name):
        replica = self.table.replicas[name]
        replica.running -= 1
        self.passages.discard(next(one for one in self.passages if one.attempt.replica is replica))
        self.client.source.record(replica=replica, kind=report_source.DONE)

    def sees(self, name):
        return self.chooser.load(self.table.replicas[name])[0]


class RequestHandler:
    def __init__(self, replica):
        self.attempt = self
        self.replica = replica


class Pausable:
    """One node's view of the loop that all nodes of a test share: it can freeze, or end."""

    def __init__(self, *, loop):
        self._loop = loop
        self.is_frozen = False
        self._deferred = []

    def _guard(self, callback):
        def run(*args):
            if self.is_frozen:
                self._deferred.append((callback, args))
            else:
                callback(*args)

        return run

    def thaw(self):
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for callback, args in deferred[-200:]:
            callback(*args)

    def now(self):
        return self._loop.now()

    def after(self, *, delay, callback):
        return self._loop.after(delay=delay, callback=self._guard(callback))

    def at(self, *, when, callback):
        return self._loop.at(when=when, callback=self._guard(callback))

    def every(self, *, interval_s, callback):
        self._loop.every(interval_s=interval_s, callback=lambda: None if self.is_frozen else callback())

    def cancel(self, *, timer):
        self._loop.cancel(timer=timer)

    def watch(self, *, sock, mask, callback):
        self._loop.watch(sock=sock, mask=mask, callback=lambda ready: None if self.is_frozen else callback(ready))

    def rewatch(self, *, sock, mask, callback):
        self._loop.rewatch(sock=sock, mask=mask, callback=lambda ready: None if self.is_frozen else callback(ready))

    def unwatch(self, *, sock):
        self._loop.unwatch(sock=sock)

    def command(self, *, callback):
        self._loop.command(callback=callback)


class Zones:
    """Five proxies of one zone, one of another; duties as the watch would name them."""

    def __init__(self, *, more=()):
        self.loop = loopback.new_loop()
        with socket.socket() as probe:
            probe.bind((loopback.own_address(), 0))
            port = probe.getsockname()[1]
        ports = (port, port + 2)
        self.places = {address(number): "za" for number in range(1, 6)} | {address(9): "zb"} | dict(more)
        self.nodes = {
            ip: Node(loop=self.loop, ip=ip, zone=zone, ports=ports, incarnation=f"l{ip}")
            for ip, zone in self.places.items()
        }
        self.singleton_roles = {}
        self.live = set(self.nodes)
        self.assign_roles()

    def assign_roles(self):
        listed = [
            (ip, node.incarnation, node.settings.zone, node.settings.region)
            for ip, node in self.nodes.items()
            if ip in self.live
        ]
        rows = singleton_roles.named(
            proxies=listed, find_role=lambda name: tuple(self.singleton_roles.get(name, (0, "", "")))
        )
        for name, (seen, owner, incarnation) in rows.items():
            self.singleton_roles[name] = (seen + 1, owner, incarnation)
        for ip in self.live:
            self.announce(ip)

    def announce(self, ip):
        self.nodes[ip].client.update_roles(dict(self.singleton_roles))

    def truth(self, name):
        return sum(self.nodes[ip].table.replicas[name].running for ip in self.live)

    def agree(self):
        return all(self.nodes[ip].sees(row["id"]) == self.truth(row["id"]) for ip in self.live for row in ROWS)

    def converge(self):
        assert loopback.until(self.loop, self.agree), {
            ip: [(self.nodes[ip].sees(row["id"]), self.truth(row["id"])) for row in ROWS] for ip in self.live
        }

    def stop(self, ip):
        node = self.nodes[ip]
        self.live.discard(ip)
        node.digest.stop()
        if node.client.zone_digest.membership is not None:
            node.digest_connector.stop()
        if node.gateway is not None:
            node.gateway.stop()
        for link in [*node.digest.fanout.members, *(node.relay.subscribers if node.relay is not None else ())]:
            link.close()
        node.loop.unwatch(sock=node.client.listener._sock)
        node.client.listener._sock.close()
        node.loop.is_frozen = True

    def digest(self):
        return self.singleton_roles["digest/za"][1]

    def work(self, *, seed):
        chance = random.Random(seed)
        for ip in self.live:
            for _ in range(4):
                self.nodes[ip].begin(chance.choice(ROWS)["id"])


def test_members_report_to_the_digest_and_all_see_what_runs():
    zones = Zones()
    zones.work(seed=1)
    zones.converge()
    owner = zones.nodes[zones.digest()]
    assert loopback.until(zones.loop, lambda: len(owner.digest.fanout.members) == 4)
    for _ip, node in zones.nodes.items():
        if node.settings.zone == "za" and node is not owner:
            assert node.is_member and not node.digest.is_connected
    assert len(zones.nodes[zones.singleton_roles["relay/north"][1]].relay.subscribers) == 2  # one for each zone
    zones.nodes[address(1)].end(
        next(name for name in ("i0", "i1", "i2") if zones.nodes[address(1)].table.replicas[name].running)
    )
    zones.converge()


def test_a_digest_that_ends_leaves_its_members_on_their_own_and_the_next_one_takes_them():
    zones = Zones()
    zones.work(seed=2)
    zones.converge()
    former = zones.digest()
    zones.stop(former)
    zones.converge()  # before anybody named another one: each is its own digest
    assert all(node.digest.is_connected for ip, node in zones.nodes.items() if ip in zones.live)
    zones.assign_roles()
    assert zones.digest() != former
    zones.work(seed=3)
    zones.converge()
    assert loopback.until(zones.loop, lambda: len(zones.nodes[zones.digest()].digest.fanout.members) == 3)
    zones.converge()


def test_a_frozen_digest_stops_nobody_and_receives_nothing_twice_when_it_thaws():
    zones = Zones()
    zones.work(seed=4)
    zones.converge()
    former = zones.nodes[zones.digest()]
    former.loop.is_frozen = True
    zones.live.discard(former.settings.ip)
    zones.converge()
    zones.assign_roles()
    zones.work(seed=5)
    zones.converge()
    former.loop.thaw()
    relay = zones.nodes[zones.singleton_roles["relay/north"][1]].relay
    epochs = []

    def refused():
        epochs.extend(known.zone_epoch for known in relay.subscribers.values() if known.zone == "digest/za")
        return any(
            link is None or not link.is_open
            for link in [connector.link for connector in former.digest.streams().values()]
        )

    assert loopback.until(zones.loop, refused)
    zones.converge()  # it still takes itself for the holder; the relays refuse it under its old epoch
    assert 1 not in epochs
    zones.live.add(former.settings.ip)
    zones.announce(former.settings.ip)
    zones.converge()
    assert former.client.zone_digest.role == "" and loopback.until(zones.loop, lambda: former.is_member)
    zones.converge()


def test_relay_and_digest_lost_together():
    zones = Zones()
    zones.work(seed=6)
    zones.converge()
    for ip in {zones.digest(), zones.singleton_roles["relay/north"][1]}:
        zones.stop(ip)
    zones.assign_roles()
    zones.work(seed=7)
    zones.converge()


def test_an_entire_zone_is_lost_and_its_load_with_it():
    zones = Zones()
    zones.work(seed=8)
    zones.converge()
    for ip in [ip for ip in zones.live if zones.places[ip] == "za"]:
        zones.stop(ip)
    zones.assign_roles()
    zones.converge()
    assert [ip for ip in zones.live] == [address(9)]


def test_a_member_that_sends_nonsense_is_closed_and_changes_nothing():
    zones = Zones()
    zones.work(seed=9)
    zones.converge()
    owner = zones.nodes[zones.digest()]
    member = next(node for node in zones.nodes.values() if node.is_member)
    link = member.digest_connector.link
    link.send_bytes(frames.pack(messages.LoadReport(10**6, b"nonsense", b"")))
    assert loopback.until(zones.loop, lambda: not link.is_open)
    zones.converge()  # and it comes back with its whole state
    assert loopback.until(zones.loop, lambda: len(owner.digest.fanout.members) == 4)
    zones.converge()


def test_a_slow_member_loses_its_own_stream_only():
    zones = Zones()
    zones.work(seed=10)
    zones.converge()
    owner = zones.nodes[zones.digest()]
    slow, *others = owner.digest.fanout.members
    slow.queued = lambda: 10**9
    zones.work(seed=11)
    assert loopback.until(zones.loop, lambda: not slow.is_open)
    assert all(link.is_open for link in others)
    zones.converge()


def test_a_region_read_anew_reaches_the_members_with_cut_and_sequence():
    zones = Zones()
    zones.work(seed=12)
    zones.converge()
    node = zones.nodes[address(9)]
    chain = (("doc", 100), ("own", 10))
    node.client.source.record_read(replica=node.table.replicas["i0"], service="llm", model="m", parts=chain)

    def kept(one):
        from ploverward.data_plane.relay import cuckoo_filter

        return one.regions["north"].kept(
            service="llm", model="m", chain=cuckoo_filter.chain(model="m", parts=chain), replicas=("i0", "i1")
        )

    assert loopback.until(zones.loop, lambda: all(kept(one) == {"i0": 110, "i1": 0} for one in zones.nodes.values()))
    late = max(ip for ip in zones.live if zones.places[ip] == "za" and ip != zones.digest())
    zones.nodes[late].digest_connector.link.close(reason="test")  # it comes back and is given a cut of its own
    assert loopback.until(
        zones.loop, lambda: zones.nodes[late].is_member and kept(zones.nodes[late]) == {"i0": 110, "i1": 0}
    )


@pytest.mark.parametrize("count, is_there", [(1, False), (3, False), (4, True), (30, True)])
def test_a_zone_of_few_proxies_has_no_digest(count, is_there):
    listed = [(f"10.0.0.{number}", "l", "za", "north") for number in range(count)]
    rows = singleton_roles.named(proxies=listed, find_role=lambda name: (0, "", ""))
    assert ("digest/za" in rows) == is_there and "relay/north" in rows
    if is_there:
        assert rows["digest/za"][1] != rows["relay/north"][1]
        deferred = {name: (epoch + 1, owner, incarnation) for name, (epoch, owner, incarnation) in rows.items()}
        assert singleton_roles.named(proxies=listed, find_role=lambda name: deferred.get(name, (0, "", ""))) == {}
        left = [row for row in listed if row[0] != rows["digest/za"][1]]
        again = singleton_roles.named(proxies=left, find_role=lambda name: deferred.get(name, (0, "", "")))
        assert ("digest/za" in again) == (count - 1 > singleton_roles.MAX_PROXIES_WITHOUT_DIGEST)


class Gates(Zones):
    """A second zone of the north: two digests share the gateway beside the north's relay."""

    def __init__(self, *, more=()):
        super().__init__(more={address(number): "zc" for number in range(20, 25)} | dict(more))

    def relay(self, region):
        return self.nodes[self.singleton_roles[f"relay/{region}"][1]]

    def far_subscribers(self):
        """Duties whose streams the south's relay serves."""
        return sorted(known.zone for known in self.relay("south").relay.subscribers.values())


def test_one_stream_runs_to_the_other_region_however_many_digests_there_are():
    zones = Gates()
    zones.work(seed=20)
    zones.converge()
    gateway = zones.relay("north").gateway
    assert loopback.until(zones.loop, lambda: len(gateway.digest.fanout.members) == 2)
    assert loopback.until(zones.loop, lambda: zones.far_subscribers() == ["relay/north", "zb"])
    assert not zones.relay("south").gateway.digest.is_connected  # without members it keeps no streams
    zones.work(seed=21)
    zones.converge()


def test_a_gateway_that_ends_takes_its_streams_along_and_its_successor_counts_nothing_twice():
    zones = Gates()
    zones.work(seed=22)
    zones.converge()
    zones.stop(zones.singleton_roles["relay/north"][1])
    zones.work(seed=23)
    zones.assign_roles()
    zones.work(seed=24)
    zones.converge()
    gateway = zones.relay("north").gateway
    assert loopback.until(zones.loop, lambda: len(gateway.digest.fanout.members) == 2)
    zones.converge()


def test_a_frozen_gateway_is_refused_when_it_thaws():
    zones = Gates()
    zones.work(seed=25)
    zones.converge()
    former = zones.relay("north")
    former.loop.is_frozen = True
    zones.live.discard(former.settings.ip)
    zones.assign_roles()
    zones.work(seed=26)
    zones.converge()
    former.loop.thaw()
    zones.converge()  # it takes itself for the gateway still; the south's relay refuses its older epoch
    assert loopback.until(zones.loop, lambda: zones.far_subscribers() == ["relay/north", "zb"])
    epochs = [known.zone_epoch for known in zones.relay("south").relay.subscribers.values() if known.zone_epoch]
    assert epochs == [2]


def test_a_lost_far_relay_is_read_anew_through_the_gateway():
    zones = Gates(more={address(8): "zb"})
    zones.work(seed=27)
    zones.converge()
    former = zones.singleton_roles["relay/south"][1]
    zones.stop(former)
    zones.work(seed=28)
    assert loopback.until(
        zones.loop, lambda: all(zones.nodes[ip].regions["south"].broken_at is not None for ip in zones.live)
    )
    zones.assign_roles()
    assert zones.singleton_roles["relay/south"][1] != former
    zones.converge()


def test_nonsense_from_a_gateway_closes_its_link_and_changes_nothing():
    zones = Gates()
    zones.work(seed=28)
    zones.converge()
    gateway = zones.relay("north").gateway
    assert loopback.until(zones.loop, lambda: len(gateway.digest.fanout.members) == 2)
    link = next(iter(gateway.digest.fanout.members))
    before = {ip: dict(zones.nodes[ip].regions["south"].load) for ip in zones.live}
    loads = messages.ReplicaLoads(gateway.digest.mirrors["south"].epoch, False, b"nonsense")
    link.send(messages.RelayedFrame("south", frames.pack(loads)))
    assert loopback.until(zones.loop, lambda: not link.is_open)
    assert {ip: dict(zones.nodes[ip].regions["south"].load) for ip in zones.live} == before
    zones.converge()  # and the digest comes back with its whole state


def test_a_digest_of_an_older_epoch_is_not_admitted_by_the_gateway():
    zones = Gates()
    zones.work(seed=29)
    zones.converge()
    gateway = zones.relay("north").gateway
    assert loopback.until(zones.loop, lambda: len(gateway.digest.fanout.members) == 2)

    class Late:
        is_open = True

        def close(self, *, reason=""):
            self.is_open = False

    late = Late()
    gateway.join(late, messages.JoinGateway(epoch=1, digest="digest/za", digest_epoch=0))
    assert not late.is_open and late not in gateway.digest.fanout.members


def test_members_that_follow_some_replicas_see_those_exactly():
    zones = Gates()
    member = zones.nodes[address(1)]
    assert loopback.until(zones.loop, lambda: member.is_member)
    member.table.followed_keys = lambda: frozenset([member.table.replicas["i1"].key])
    zones.work(seed=30)
    assert loopback.until(zones.loop, lambda: all(member.sees("i1") == zones.truth("i1") for _ in (0,)))
    others = [node for ip, node in zones.nodes.items() if ip != address(1)]
    assert loopback.until(
        zones.loop, lambda: all(node.sees(row["id"]) == zones.truth(row["id"]) for node in others for row in ROWS)
    )
    assert member.sees("i1") == zones.truth("i1")


def test_a_connection_that_ends_at_a_heartbeat_harms_no_other():
    zones = Gates()
    zones.converge()
    node = zones.relay("north")
    assert loopback.until(zones.loop, lambda: len(node.relay.subscribers) == 3)
    links = [*node.relay.subscribers, *node.digest.fanout.members, *node.gateway.digest.fanout.members]
    for link in links:
        link.send = lambda message, link=link: link.close(reason="ended as it was written to")
    node.client.send_heartbeats()
    assert not any(link.is_open for link in links)
    zones.converge()


def test_cuts_go_to_members_a_bounded_number_of_bytes_at_a_time():
    zones = Zones()
    zones.converge()
    owner = zones.nodes[zones.digest()]
    assert loopback.until(zones.loop, lambda: len(owner.digest.fanout.members) == 4)
    node = zones.nodes[address(9)]
    node.begin("i0")
    zones.converge()
    for number in range(600):
        parts = ((f"doc{number}", 100), (f"own{number}", 10))
        node.client.source.record_read(replica=node.table.replicas["i0"], service="llm", model="m", parts=parts)
    assert loopback.until(zones.loop, lambda: owner.regions["north"].pools)
    sent = []
    send_bytes = type(next(iter(owner.digest.fanout.members))).send_bytes
    for link in owner.digest.fanout.members:
        link.send_bytes = lambda data, link=link: (
            sent.append((id(link), frames.unpack(data))),
            send_bytes(link, data),
        )
    for link in owner.digest.fanout.members:
        for name in owner.regions["north"].pools:
            owner.digest.cuts.add(link, "north", name)
    owner.digest.cuts.budget_bytes = -fanout.MAX_CUT_BYTES_PER_TICK  # a large one was sent just before
    owner.digest.cuts.send()
    assert not sent and len(owner.digest.cuts.pending) == 4
    zones.work(seed=40)
    zones.converge()
    assert loopback.until(zones.loop, lambda: not owner.digest.cuts.pending)  # also of pools that the work began
    kinds = {}
    for link, message in sent:
        if isinstance(message, messages.RelayedFrame) and message.region == "north":
            kinds.setdefault(link, []).append(type(frames.unpack(message.frame)))
    for sent_kinds in kinds.values():
        # Nothing that builds on the cut comes before it.
        assert messages.PoolCut in sent_kinds
        assert messages.PoolDelta not in sent_kinds[: sent_kinds.index(messages.PoolCut)]

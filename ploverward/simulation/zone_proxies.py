"""Proxies of two regions on real sockets, without traffic and without the core: singleton roles are handed to them."""

import dataclasses
import random
import socket
import types
import typing
from collections.abc import Callable
from collections.abc import Mapping

from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.load_balancing import replica_chooser
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.load_reports import digest as digests
from ploverward.data_plane.load_reports import relay_client
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.quotas import shared_limits
from ploverward.data_plane.relay import gateway as gateways
from ploverward.data_plane.relay import host as hosts
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.transport import event_loop
from ploverward.transport import interfaces
from ploverward.transport import peer_connection

ROWS: list[dict[str, typing.Any]] = [
    loopback_proxy.replica_row(f"i{number}", zone=zone) for number, zone in enumerate(("za", "za", "zb"))
]


def address(number: int) -> str:
    """The address of the proxy with this number."""
    return loopback.own_address(host=number)


class RequestInFlight:
    """One attempt at a replica."""

    def __init__(self, replica: replica_table.Replica) -> None:
        self.replica = replica


class Node:
    """A proxy without its traffic and without the core: singleton roles are handed to it."""

    def __init__(self, *, loop: event_loop.Loop, ip: str, zone: str, ports: tuple[int, int], incarnation: str) -> None:
        zones = {"za": "north", "zc": "north", "zb": "south"}
        self.settings = dataclasses.replace(
            loopback_proxy.settings(), ip=ip, zone=zone, region=zones[zone], zones=zones, inner_ports=ports
        )
        self.loop = Pausable(loop=loop)
        self.incarnation = incarnation
        self.requests: set[RequestInFlight] = set()
        self.quota = shared_limits.SharedLimits(now=loop.now, settings=self.settings)
        self.table = replica_table.ReplicaTable(loop=loop, settings=self.settings, share=self.quota.rate_share)
        self.table.services = {"llm": {"cache_tokens": 1000, "models": ("m",)}}
        self.table.install_list(ROWS)
        self.client = relay_client.RelayClient(
            loop=typing.cast(event_loop.Loop, self.loop),
            settings=lambda: self.settings,
            incarnation=incarnation,
            contact_s=1.0,
            peer_timeout_s=0.25,
            table=self.table,
            adapters=adapter_counts.AdapterCounter(now=loop.now, window_s=6.0, trust_s=0.5),
            replicas_in_use=lambda: {handler.replica for handler in self.requests},
            nearest_core=lambda: None,
        )
        self.regions = self.client.regions
        self.chooser = replica_chooser.ReplicaChooser(
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
    def digest(self) -> digests.Digest:
        """Its own digest."""
        return self.client.zone_digest.digest

    @property
    def relay(self) -> hosts.RelayHost | None:
        """The relay of its region, where it owns the role."""
        return self.client.relay_role.host

    @property
    def gateway(self) -> gateways.Gateway | None:
        """The gateway of its region, where it owns the role."""
        return self.client.relay_role.gateway

    @property
    def is_member(self) -> bool:
        """Whether it joined another proxy's digest."""
        return self.client.zone_digest.is_joined

    @property
    def digest_connector(self) -> peer_connection.Connector:
        """To the digest that it joins."""
        membership = self.client.zone_digest.membership
        if membership is None:
            raise RuntimeError(f"{self.settings.ip} joined no digest")
        return membership.connection.connector

    def tick(self) -> None:
        """Reports and publishes, again and again."""
        self.client.tick()
        self.loop.after(delay=self.client.report_interval_s(), callback=self.tick)

    def begin(self, name: str) -> None:
        """An attempt at this replica begins."""
        replica = self.table.replicas[name]
        replica.running += 1
        self.requests.add(RequestInFlight(replica))
        self.client.source.record_attempt(replica=replica, kind=report_source.SENT)

    def end(self, name: str) -> None:
        """An attempt at this replica is done."""
        replica = self.table.replicas[name]
        replica.running -= 1
        self.requests.discard(next(one for one in self.requests if one.replica is replica))
        self.client.source.record_attempt(replica=replica, kind=report_source.DONE)

    def known_load(self, name: str) -> int:
        """How many attempts of all proxies it takes to be running there."""
        return self.chooser.load(self.table.replicas[name])[0]


class Pausable:
    """One node's view of the loop that all nodes of a test share: it can freeze, or end."""

    def __init__(self, *, loop: event_loop.Loop) -> None:
        self._loop = loop
        self.work = None
        self.is_frozen = False
        self._deferred: list[tuple[Callable, tuple]] = []

    def _guard(self, callback: Callable) -> Callable:
        def run(*args: object) -> None:
            if self.is_frozen:
                self._deferred.append((callback, args))
            else:
                callback(*args)

        return run

    def thaw(self) -> None:
        """Goes on, with the newest of the calls that came meanwhile."""
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for callback, args in deferred[-200:]:
            callback(*args)

    def now(self) -> float:
        """As `event_loop.Loop` does."""
        return self._loop.now()

    def after(self, *, delay: float, callback: Callable) -> interfaces.Timer:
        """As `event_loop.Loop` does."""
        return self._loop.after(delay=delay, callback=self._guard(callback))

    def at(self, *, when: float, callback: Callable) -> interfaces.Timer:
        """As `event_loop.Loop` does."""
        return self._loop.at(when=when, callback=self._guard(callback))

    def every(self, *, interval_s: float, callback: Callable) -> event_loop.RepeatingCall:
        """As `event_loop.Loop` does."""
        return self._loop.every(interval_s=interval_s, callback=lambda: None if self.is_frozen else callback())

    def cancel(self, *, timer: interfaces.Timer | None) -> None:
        """As `event_loop.Loop` does."""
        self._loop.cancel(timer=timer)

    def watch(self, *, sock: socket.socket, mask: int, callback: Callable) -> None:
        """As `event_loop.Loop` does."""
        self._loop.watch(sock=sock, mask=mask, callback=lambda ready: None if self.is_frozen else callback(ready))

    def rewatch(self, *, sock: socket.socket, mask: int, callback: Callable) -> None:
        """As `event_loop.Loop` does."""
        self._loop.rewatch(sock=sock, mask=mask, callback=lambda ready: None if self.is_frozen else callback(ready))

    def unwatch(self, *, sock: socket.socket) -> None:
        """As `event_loop.Loop` does."""
        self._loop.unwatch(sock=sock)

    def at_end_of_step(self, *, callback: Callable) -> None:
        """As `event_loop.Loop` does; what was sent goes out even if the node freezes in the same step."""
        self._loop.at_end_of_step(callback=callback)

    def call_soon_threadsafe(self, *, callback: Callable) -> None:
        """As `event_loop.Loop` does."""
        self._loop.call_soon_threadsafe(callback=callback)


class ProxyCluster:
    """Five proxies of one zone, one of another; singleton roles as the cluster coordinator would assign them."""

    def __init__(self, *, more: Mapping[str, str] = types.MappingProxyType({})) -> None:
        self.loop = loopback.new_loop()
        with socket.socket() as probe:
            probe.bind((loopback.own_address(), 0))
            port = probe.getsockname()[1]
        ports = (port, port + 2)
        self.zone_by_ip = {address(number): "za" for number in range(1, 6)} | {address(9): "zb"} | dict(more)
        self.nodes = {
            ip: Node(loop=self.loop, ip=ip, zone=zone, ports=ports, incarnation=f"l{ip}")
            for ip, zone in self.zone_by_ip.items()
        }
        self.singleton_roles: dict[str, tuple[int, str, str]] = {}  # epoch, owner, its incarnation
        self.live = set(self.nodes)
        self.assign_roles()

    def assign_roles(self) -> None:
        """Gives roles whose owners are gone to live proxies, and has all live ones know."""
        listed = [
            (ip, node.incarnation, node.settings.zone, node.settings.region)
            for ip, node in self.nodes.items()
            if ip in self.live
        ]
        rows = singleton_roles.role_changes(
            proxies=listed, find_role=lambda name: self.singleton_roles.get(name, (0, "", ""))
        )
        for name, (seen, owner, incarnation) in rows.items():
            self.singleton_roles[name] = (seen + 1, owner, incarnation)
        for ip in self.live:
            self.announce(ip)

    def announce(self, ip: str) -> None:
        """Has one proxy know the owners of roles."""
        self.nodes[ip].client.update_roles(dict(self.singleton_roles))

    def actual_load(self, name: str) -> int:
        """How many attempts run at a replica."""
        return sum(self.nodes[ip].table.replicas[name].running for ip in self.live)

    def agree(self) -> bool:
        """Whether every live proxy sees what runs."""
        return all(
            self.nodes[ip].known_load(row["id"]) == self.actual_load(row["id"]) for ip in self.live for row in ROWS
        )

    def assert_converges(self) -> None:
        """Fails unless all live proxies come to see what runs."""
        assert loopback.until(self.loop, self.agree), {
            ip: [(self.nodes[ip].known_load(row["id"]), self.actual_load(row["id"])) for row in ROWS]
            for ip in self.live
        }

    def stop(self, ip: str) -> None:
        """A proxy ends: all its connections close."""
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

    def digest(self) -> str:
        """The address of the owner of the zone's first digest."""
        return self.singleton_roles["digest/za"][1]

    def start_attempts(self, *, seed: int) -> None:
        """Every live proxy begins four attempts."""
        chance = random.Random(seed)
        for ip in self.live:
            for _ in range(4):
                self.nodes[ip].begin(chance.choice(ROWS)["id"])


class GatewayCluster(ProxyCluster):
    """A second zone of the north: two digests share the gateway beside the north's relay."""

    def __init__(self, *, more: Mapping[str, str] = types.MappingProxyType({})) -> None:
        super().__init__(more={address(number): "zc" for number in range(20, 25)} | dict(more))

    def relay(self, region: str) -> Node:
        """The owner of a region's relay."""
        return self.nodes[self.singleton_roles[f"relay/{region}"][1]]

    def far_subscribers(self) -> list[str]:
        """Zones and singleton roles whose streams the south's relay serves."""
        relay = self.relay("south").relay
        if relay is None:
            raise RuntimeError("the owner of the south's relay does not run it")
        return sorted(known.zone for known in relay.subscribers.values())

"""Proxies of two regions on real sockets, without client traffic and core nodes; tests assign the singleton roles."""

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
    """Returns the IP address of the proxy with this number."""
    return loopback.own_address(host=number)


class RequestInFlight:
    """One attempt at a replica."""

    def __init__(self, replica: replica_table.Replica) -> None:
        self.replica = replica


class ZoneProxy:
    """A proxy without client traffic and core nodes; it gets its singleton roles by `ProxyCluster.announce`."""

    def __init__(self, *, loop: event_loop.Loop, ip: str, zone: str, ports: tuple[int, int], incarnation: str) -> None:
        zones = {"za": "north", "zc": "north", "zb": "south"}
        self.settings = dataclasses.replace(
            loopback_proxy.settings(), ip=ip, zone=zone, region=zones[zone], zones=zones, inner_ports=ports
        )
        self.loop = PausableLoop(loop=loop)
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
        """The digest that this proxy runs."""
        return self.client.zone_digest.digest

    @property
    def relay(self) -> hosts.RelayHost | None:
        """The relay of its region, or None if another proxy owns that role."""
        return self.client.relay_role.host

    @property
    def gateway(self) -> gateways.Gateway | None:
        """The gateway of its region, or None if another proxy owns that role."""
        return self.client.relay_role.gateway

    @property
    def is_member(self) -> bool:
        """Whether it is a member of another proxy's digest."""
        return self.client.zone_digest.is_joined

    @property
    def digest_connector(self) -> peer_connection.Connector:
        """The connector to the digest that this proxy joins.

        Raises:
            RuntimeError: It joins no digest.
        """
        membership = self.client.zone_digest.membership
        if membership is None:
            raise RuntimeError(f"{self.settings.ip} joins no digest")
        return membership.connection.connector

    def tick(self) -> None:
        """Reports and publishes load, and schedules the next tick."""
        self.client.tick()
        self.loop.after(delay=self.client.report_interval_s(), callback=self.tick)

    def begin(self, name: str) -> None:
        """Starts an attempt at a replica."""
        replica = self.table.replicas[name]
        replica.running += 1
        self.requests.add(RequestInFlight(replica))
        self.client.source.record_attempt(replica=replica, kind=report_source.SENT)

    def end(self, name: str) -> None:
        """Ends an attempt at a replica."""
        replica = self.table.replicas[name]
        replica.running -= 1
        self.requests.discard(next(one for one in self.requests if one.replica is replica))
        self.client.source.record_attempt(replica=replica, kind=report_source.DONE)

    def known_load(self, name: str) -> int:
        """Returns how many attempts of all proxies run at a replica, as far as this proxy knows."""
        return self.chooser.load(self.table.replicas[name])[0]


class PausableLoop:
    """One node's view of the event loop that all nodes of a test share.

    Setting `is_frozen` stops the callbacks of this node alone: its timers are deferred until `thaw`, and its socket
    events and repeating calls are skipped. A node that has ended stays frozen.
    """

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
        """Resumes, and runs the newest 200 of the timer callbacks that were deferred."""
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
        """As `event_loop.Loop` does; not deferred: sent data is written even if the node freezes in the same step."""
        self._loop.at_end_of_step(callback=callback)

    def continue_later(self, *, callback: Callable) -> None:
        """As `event_loop.Loop` does."""
        self._loop.continue_later(callback=self._guard(callback))

    def call_soon_threadsafe(self, *, callback: Callable) -> None:
        """As `event_loop.Loop` does."""
        self._loop.call_soon_threadsafe(callback=callback)


class ProxyCluster:
    """Five proxies of the zone za and one of zb, with singleton roles as the cluster coordinator would assign them.

    Args:
        more_zones: The zones of further proxies, by address.

    Attributes:
        zone_by_ip: The zone of each proxy, by address.
        nodes: All proxies, by address.
        singleton_roles: The epoch, owner and owner's incarnation of each role, by its name.
        live: The addresses of the proxies that run; tests take frozen ones out.
    """

    def __init__(self, *, more_zones: Mapping[str, str] = types.MappingProxyType({})) -> None:
        self.loop = loopback.new_loop()
        with socket.socket() as probe:
            probe.bind((loopback.own_address(), 0))
            port = probe.getsockname()[1]
        ports = (port, port + 2)
        self.zone_by_ip = {address(number): "za" for number in range(1, 6)} | {address(9): "zb"} | dict(more_zones)
        self.nodes = {
            ip: ZoneProxy(loop=self.loop, ip=ip, zone=zone, ports=ports, incarnation=f"l{ip}")
            for ip, zone in self.zone_by_ip.items()
        }
        self.singleton_roles: dict[str, tuple[int, str, str]] = {}
        self.live = set(self.nodes)
        self.assign_roles()

    def assign_roles(self) -> None:
        """Assigns roles without a live owner to live proxies, and announces all owners to all live proxies."""
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
        """Sends one proxy the owners of all roles."""
        self.nodes[ip].client.update_roles(dict(self.singleton_roles))

    def actual_load(self, name: str) -> int:
        """Returns how many attempts of live proxies run at a replica."""
        return sum(self.nodes[ip].table.replicas[name].running for ip in self.live)

    def has_converged(self) -> bool:
        """Returns whether every live proxy knows the actual load of every replica."""
        return all(
            self.nodes[ip].known_load(row["id"]) == self.actual_load(row["id"]) for ip in self.live for row in ROWS
        )

    def assert_converges(self) -> None:
        """Steps the loop until every live proxy knows the actual load of every replica.

        Raises:
            AssertionError: That takes too long; the message has the known and the actual loads by proxy.
        """
        assert loopback.until(self.loop, self.has_converged), {
            ip: [(self.nodes[ip].known_load(row["id"]), self.actual_load(row["id"])) for row in ROWS]
            for ip in self.live
        }

    def stop(self, ip: str) -> None:
        """Ends a proxy, which closes all of its connections."""
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
        """Returns the address of the owner of the digest of the zone za."""
        return self.singleton_roles["digest/za"][1]

    def start_attempts(self, *, seed: int) -> None:
        """Starts four attempts of every live proxy, at replicas drawn by `seed`."""
        generator = random.Random(seed)
        for ip in self.live:
            for _ in range(4):
                self.nodes[ip].begin(generator.choice(ROWS)["id"])


class GatewayCluster(ProxyCluster):
    """A cluster with a second zone in the region north, whose two digests share the gateway at the north's relay."""

    def __init__(self, *, more_zones: Mapping[str, str] = types.MappingProxyType({})) -> None:
        super().__init__(more_zones={address(number): "zc" for number in range(20, 25)} | dict(more_zones))

    def relay(self, region: str) -> ZoneProxy:
        """Returns the proxy that owns a region's relay."""
        return self.nodes[self.singleton_roles[f"relay/{region}"][1]]

    def far_subscribers(self) -> list[str]:
        """Returns the sorted zones and singleton roles whose streams the south's relay serves.

        Raises:
            RuntimeError: The owner of the relay does not run it.
        """
        relay = self.relay("south").relay
        if relay is None:
            raise RuntimeError(f"{self.singleton_roles['relay/south'][1]} owns the south's relay but does not run it")
        return sorted(known.zone for known in relay.subscribers.values())

"""A model of a proxy's control client, with the real classes for versions and share leases (docs/simulate.md).

It follows ploverward/data_plane/control_client but serves no traffic: it records distributed values and does not
install them. Its state is what the checks of versions and of share leases examine.
"""

from collections.abc import Callable

from ploverward.common import settings as settings_files
from ploverward.common.identifiers import Version
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import subscriber as subscribers
from ploverward.data_plane import proxy_node
from ploverward.data_plane.control_client import core_sessions
from ploverward.data_plane.control_client import serving_gate
from ploverward.data_plane.control_client import share_renewals
from ploverward.data_plane.quotas import shared_limits
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import share_checks
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_network
from ploverward.simulation.control_plane import simulated_peers
from ploverward.simulation.control_plane import value_checks
from ploverward.transport import messages


class Proxy:
    """One incarnation of a model proxy.

    Attributes:
        machine: The machine on which it runs.
        process: The process in which it runs, which may be stopped, frozen or slowed.
        settings: The settings of the node.
        host: Address of the machine.
        incarnation: Random identifier of this start.
        is_serving: Whether the serving gate is open.
        members: The addresses of the newest core set that it received, or of the seeds before that.
        quota: The shares that core nodes leased to it.
        subscriber: Keeps track of the versions that it has.
        edition: Edition of the newest configuration that it received; set by `ValueChecks`.
        versions: Newest version of each topic; set by `ValueChecks`.
    """

    def __init__(
        self,
        *,
        network: simulated_network.Network,
        machine: machines.Machine,
        process: machines.Program,
        node_settings: settings_files.Settings,
        values: value_checks.ValueChecks,
        shares: share_checks.ShareChecks,
    ) -> None:
        """Starts the model; it reports installed values to `values` and each change of its shares to `shares`."""
        self.machine = machine
        self.process = process
        self.settings = node_settings
        self.host = machine.host
        self.incarnation = f"{network.clock.chance.getrandbits(48):012x}"
        self.network = network
        self._value_checks = values
        self._share_checks = shares
        self.edition = 0
        self.versions: dict[str, Version] = {}
        self.loop = simulated_clock.Loop(process=process, on_stop=lambda: None)
        contact_s = node_settings.bound_s(name="contactMs")
        self._peer_timeout_s = contact_s / proxy_node.PEER_TIMEOUTS_PER_CONTACT
        self.quota = shared_limits.SharedLimits(now=self.loop.now, settings=node_settings)
        self._gate = serving_gate.ServingGate()
        self._renewals = share_renewals.RenewalLog(now=self.loop.now)
        self._list = b""  # the packed list of endpoints that this proxy has
        self.subscriber = subscribers.Subscriber(
            now=self.loop.now,
            fetch_timeout_s=contact_s / core_sessions.FETCHES_PER_CONTACT,
            on_snapshot=self._install_snapshot,
            on_delta=self._install_delta,
            delta_topics=(endpoint_list.TOPIC,),
        )
        self._handlers: dict[type, Callable] = {
            messages.Announcement: self._handle_announcement,
            messages.Snapshot: self._handle_snapshot,
            messages.Deltas: self._handle_deltas,
            messages.MinimumVersions: self._handle_minimum_versions,
            messages.ShareLease: self._handle_share_lease,
        }
        self._seeds = tuple(sorted({host for host, _port in node_settings.seeds}))
        self.members = self._seeds
        self.connectors: dict[str, simulated_peers.Connector] = {}
        self._connect()
        interval_s = self._peer_timeout_s / proxy_node.HEARTBEATS_PER_PEER_TIMEOUT
        self.loop.every(interval_s=interval_s, callback=self._on_heartbeat_tick)

    @property
    def is_serving(self) -> bool:
        """Whether the serving gate is open."""
        return self._gate.is_open

    def chance(self) -> float:
        """Returns a random number from the only generator of the run."""
        return self.network.clock.chance.random()

    def _connect(self) -> None:
        wanted = set(self.members) | set(self._seeds)
        for host in sorted(wanted - self.connectors.keys()):
            self.connectors[host] = self._make_connector(host)
        for host in sorted(self.connectors.keys() - wanted):
            self.connectors.pop(host).stop()

    def _make_connector(self, host: str) -> simulated_peers.Connector:
        return simulated_peers.Connector(
            runtime=self,
            loop=self.loop,
            address=(host, machines.INNER_PORT),
            on_up=self._send_handshake,
            on_message=lambda link, message: self._handle_message(host, link, message),
            on_end=lambda link, _reason: self.subscriber.remove_connection(link),
            peer_timeout_s=self._peer_timeout_s,
        )

    def _send_handshake(self, link: simulated_peers.PeerConnection) -> None:
        link.send(
            messages.Handshake(
                role="proxy",
                address=self.settings.ip,
                zone=self.settings.zone,
                region=self.settings.region,
                incarnation=self.incarnation,
                public_address=f"{self.host}:8082",
            )
        )
        link.send(messages.NodeState(is_ready=self.is_serving, is_draining=False))

    def _broadcast(self, message: tuple) -> None:
        for connector in self.connectors.values():
            if connector.link is not None and connector.link.is_up:
                connector.link.send(message)

    def _on_heartbeat_tick(self) -> None:
        self._broadcast(messages.RenewShares(number=self._renewals.start_renewal(), usage_rows=b""))
        self.subscriber.tick()

    def _handle_message(self, host: str, link: simulated_peers.PeerConnection, message: tuple) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(host, link, message)

    def _handle_announcement(
        self, _host: str, link: simulated_peers.PeerConnection, message: messages.Announcement
    ) -> None:
        self.subscriber.handle_announcement(link, message)

    def _handle_snapshot(self, _host: str, link: simulated_peers.PeerConnection, message: messages.Snapshot) -> None:
        if self.subscriber.handle_snapshot(link, message):
            self._acknowledge(message.topic)

    def _handle_deltas(self, _host: str, link: simulated_peers.PeerConnection, message: messages.Deltas) -> None:
        if self.subscriber.handle_deltas(link, message):
            self._acknowledge(message.topic)

    def _acknowledge(self, topic: str) -> None:
        installed = messages.TopicVersion(topic=topic, version=self.subscriber.versions[topic])
        self._broadcast(messages.Acknowledgement(versions=(installed,)))

    def _handle_minimum_versions(
        self, host: str, _link: simulated_peers.PeerConnection, message: messages.MinimumVersions
    ) -> None:
        self._gate.handle_minimum_versions(host, message)
        self._check_serving()

    def _handle_share_lease(
        self, host: str, _link: simulated_peers.PeerConnection, message: messages.ShareLease
    ) -> None:
        sent_at = self._renewals.sent_at(message.number)
        if sent_at is not None:
            self.quota.handle_share_lease(host, message, sent_at=sent_at)
            self._share_checks.handle_lease(self)

    def _check_serving(self) -> None:
        if self._gate.open_if_ready(members=self.members, versions=self.subscriber.versions):
            self._broadcast(messages.NodeState(is_ready=True, is_draining=False))

    def _install_snapshot(self, snapshot: messages.Snapshot) -> None:
        self._value_checks.check_installed(self, snapshot.topic, snapshot.version, snapshot.data)
        if snapshot.topic == register_names.CORE_SET:
            self.members = ballots.unpack(snapshot.data)[0]
            self.loop.call_soon_threadsafe(callback=self._connect)
        elif snapshot.topic == endpoint_list.TOPIC:
            endpoint_list.unpack_list(snapshot.data)  # raises on a malformed list, as a real proxy does
            self._list = snapshot.data
        self.loop.call_soon_threadsafe(callback=self._check_serving)

    def _install_delta(self, topic: str, delta: messages.Delta) -> None:
        """Applies a delta; the resulting list is checked against the complete list that a core node published."""
        published = endpoint_list.unpack_list(self._list).apply(endpoint_list.unpack_delta(delta.data))
        self._install_snapshot(messages.Snapshot(topic=topic, version=delta.version, data=published.pack()))


def start_proxy(
    *,
    network: simulated_network.Network,
    machine: machines.Machine,
    node_settings: settings_files.Settings,
    on_failure: Callable,
    values: value_checks.ValueChecks,
    shares: share_checks.ShareChecks,
) -> Proxy | None:
    """Switches the machine on and starts a proxy in a new process; returns None if the start raised an exception."""
    machine.is_powered = True
    process = machine.process = machines.Program(clock=network.clock, name=machine.host, on_failure=on_failure)
    made: list[Proxy] = []
    process.guard(
        lambda: made.append(
            Proxy(
                network=network,
                machine=machine,
                process=process,
                node_settings=node_settings,
                values=values,
                shares=shares,
            )
        )
    )
    machine.proxy = made[0] if made else None
    return machine.proxy

"""A model of a proxy's control side: news, floors, acknowledgements and grant entries, with the real Follower and Quota.

It follows ploverward/data_plane/control_client/core_sessions.py, without the traffic. What it holds is what the checks of news and grants look at.
"""

from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import subscriber
from ploverward.data_plane.control_client import core_sessions
from ploverward.data_plane.quotas import shared_limits
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_network
from ploverward.transport import legacy_messages
from ploverward.transport import messages


class Proxy:
    """One life of a model proxy. `recorder` is told of what it applies and of its shares."""

    def __init__(self, *, network, machine, process, node_settings, recorder):
        self.machine = machine
        self.process = process
        self.settings = node_settings
        self.host = machine.host
        self.incarnation = f"{network.clock.chance.getrandbits(48):012x}"
        self.network = network
        self.is_serving = False
        self.is_draining = False
        self.edition = 0
        self.versions = {}
        self._recorder = recorder
        self.loop = simulated_clock.Loop(process=process, on_stop=lambda: None)
        self._contact_s = node_settings.bound_s(name="contactMs")
        self._peer_timeout_s = self._contact_s / 5
        self.quota = shared_limits.SharedLimits(now=self.loop.now, settings=node_settings)
        self._list = None  # packed, as this proxy has it
        self.subscriber = subscriber.Subscriber(
            now=self.loop.now,
            fetch_timeout_s=self._contact_s / 12,
            on_snapshot=self._on_snapshot,
            on_delta=self._on_delta,
            delta_topics=("list",),
        )
        self._minimum_versions = {}
        self._renewal = 0
        self._renewed_at = {}
        self._seeds = tuple(sorted({host for host, _port in node_settings.seeds}))
        self.members = self._seeds
        self.connectors = {}
        self._dial()
        self.loop.every(interval_s=self._peer_timeout_s / 3, callback=self._tick)

    def chance(self) -> float:
        return self.network.clock.chance.random()

    def _dial(self) -> None:
        wanted = set(self.members) | set(self._seeds)
        for host in sorted(wanted - self.connectors.keys()):
            self.connectors[host] = simulated_network.Connector(
                runtime=self,
                loop=self.loop,
                address=(host, machines.INNER_PORT),
                on_up=self._send_handshake,
                on_message=lambda link, message, host=host: self._handle_message(host, link, message),
                on_end=lambda link, _reason: self.subscriber.drop(link),
                peer_timeout_s=self._peer_timeout_s,
            )
        for host in sorted(self.connectors.keys() - wanted):
            self.connectors.pop(host).stop()

    def _send_handshake(self, link) -> None:
        about = (self.settings.ip, self.settings.zone, self.settings.region, self.incarnation, f"{self.host}:8082")
        link.send(("hello", "proxy", *about))
        link.send(("state", self.is_serving and not self.is_draining, self.is_draining))

    def _send_to_cores(self, message: tuple) -> None:
        for connector in self.connectors.values():
            if connector.link is not None and connector.link.is_up:
                connector.link.send(message)

    def _tick(self) -> None:
        self._renewal += 1
        self._renewed_at[self._renewal] = self.loop.now()
        self._renewed_at.pop(self._renewal - core_sessions.MAX_PENDING_RENEWALS, None)
        self._send_to_cores(("renew", self._renewal, b""))
        self.subscriber.tick()

    def _handle_message(self, host: str, link, message: tuple) -> None:
        kind = message[0]
        if kind == "offer":
            self.subscriber.handle_announcement(link, legacy_messages.to_typed(message))
        elif kind in ("image", "changes"):
            take = self.subscriber.handle_snapshot if kind == "image" else self.subscriber.handle_deltas
            if take(link, legacy_messages.to_typed(message)):
                topic = message[1]
                self._send_to_cores(("have", ((topic, *self.subscriber.versions[topic]),)))
        elif kind == "floor":
            self._minimum_versions[host] = dict(message[1])
            self._check_serving()
        elif kind == "entry":
            self._handle_share_lease(host, message)

    def _handle_share_lease(self, host: str, message: tuple) -> None:
        lease = legacy_messages.to_typed(message)
        sent_at = self._renewed_at.get(lease.number)
        if sent_at is not None:
            self.quota.handle_share_lease(host, lease, sent_at=sent_at)
            self._recorder.shares(self)

    def _check_serving(self) -> None:
        if self.is_serving or not ballots.has_majority(of=self.members, among=self._minimum_versions):
            return
        versions = self.subscriber.versions
        for name in register_names.MINIMUM_VERSION_REGISTERS:
            minimum_version = max(minimum_versions.get(name, 0) for minimum_versions in self._minimum_versions.values())
            if versions.get(name, (0, 0))[1] < minimum_version:
                return
        if versions.get("spec", (0, 0))[1] < 1 or "list" not in versions or "cores" not in versions:
            return
        self.is_serving = True
        self._send_to_cores(("state", True, self.is_draining))

    def _on_snapshot(self, snapshot: messages.Snapshot) -> None:
        topic, version, data = snapshot
        self._recorder.applied(self, topic, *version, data)
        if topic == "cores":
            self.members = ballots.unpack(data)[0]
            self.loop.command(callback=self._dial)
        elif topic == "list":
            endpoint_list.unpack_list(data)
            self._list = data
        self.loop.command(callback=self._check_serving)

    def _on_delta(self, topic: str, delta: messages.Delta) -> None:
        """A step of the list: what it makes of the list held is checked against what a core node told whole."""
        current = endpoint_list.unpack_list(self._list)
        published = current.apply(endpoint_list.unpack_delta(delta.data))
        self._on_snapshot(messages.Snapshot(topic=topic, version=delta.version, data=published.pack()))


def start_proxy(*, network, machine, node_settings, on_failure, recorder) -> Proxy:
    machine.is_powered = True
    machine.process = machines.Program(clock=network.clock, name=machine.host, on_failure=on_failure)
    made = []
    machine.process.guard(
        lambda: made.append(
            Proxy(
                network=network,
                machine=machine,
                process=machine.process,
                node_settings=node_settings,
                recorder=recorder,
            )
        )
    )
    machine.program = made[0] if made else None
    return machine.program

"""Tests of a complete proxy on loopback addresses: start, serving once values are installed, end after SIGTERM.

The core node is scripted and runs on the proxy's event loop.
"""

import dataclasses
import signal
import socket

import pytest

from ploverward.common import settings as settings_files
from ploverward.common.identifiers import Version
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.distribution import endpoint_list
from ploverward.data_plane import proxy_node
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.transport import messages
from ploverward.transport import peer_connection

CORE_HOST, PROXY_HOST = 11, 12


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class ScriptedCore:
    """The only core node: records the proxy's messages, and responds to handshakes, fetches and renewals."""

    def __init__(self, *, loop, address, values):
        self.values = values  # topic: Snapshot
        self.received = []
        self.connection = None
        peer_connection.PeerListener(
            loop=loop,
            address=address,
            on_connection=lambda connection: None,
            on_message=self._handle_message,
            on_end=lambda connection, _reason: None,
            peer_timeout_s=5.0,
        )

    def _handle_message(self, connection, message):
        self.received.append(message)
        if isinstance(message, messages.Handshake):
            self.connection = connection
            connection.send(messages.Handshake("core", "c", "za", "north", "i", ""))
            revisions = (messages.RegisterRevision(register="spec", revision=self.values["spec"].version.number),)
            connection.send(messages.MinimumVersions(revisions=revisions))
            versions = tuple(messages.TopicVersion(topic, value.version) for topic, value in self.values.items())
            connection.send(messages.Announcement(versions=versions))
        elif isinstance(message, messages.Fetch):
            connection.send(self.values[message.topic])
        elif isinstance(message, messages.RenewShares):
            connection.send(messages.ShareLease(0.5, 0.25, 1000.0, 1.0, 0, 8, message.number))
            connection.send(messages.QuotaStatus(message.number, 1, 0.0, 1, b""))

    def types(self):
        return [type(message) for message in self.received]


@pytest.fixture
def signals():
    """Restores the signal handlers that a proxy replaces."""
    former = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGHUP)}
    yield
    for number, handler in former.items():
        signal.signal(number, handler)


class Scene:
    def __init__(self, tmp_path, monkeypatch):
        path = tmp_path / "boot.conf"
        path.write_text(loopback_proxy.SETTINGS)
        monkeypatch.setenv(settings_files.PATH_VARIABLE, str(path))
        core_host, host = loopback.own_address(host=CORE_HOST), loopback.own_address(host=PROXY_HOST)
        port = free_port(core_host)
        self.settings = dataclasses.replace(
            loopback_proxy.settings(),
            ip=host,
            inner_ports=(port, port + 2),
            seeds=((core_host, port),),
            bindings={"counter": (host, free_port(host)), "readiness": (host, free_port(host))},
            bounds={**loopback_proxy.settings().bounds, "graceS": 1.0, "contactMs": 1000.0},
        )
        # A stall of the process would close the link to the core node, and the proxy would announce itself again.
        monkeypatch.setattr(proxy_node.event_loop, "Loop", loopback.SkippingLoop)
        self.node = proxy_node.ProxyNode(settings=self.settings)
        rows = [{"id": "i0", "service": "llm", "address": f"{host}:9", "zone": "za", "berths": 8}]
        rows[0] |= {"is_clearing": False, "cold_ms": 0, "left_ms": None, "models": ["m"]}
        self.core = ScriptedCore(
            loop=self.node.loop,
            address=(core_host, port),
            values={
                "spec": self.register("spec", {"body": loopback_proxy.CONFIGURATION}, core_host),
                "cores": self.register("cores", {}, core_host),
                "list": messages.Snapshot(
                    "list", Version(1, 1), endpoint_list.from_rows(rows=rows, read_at=1.0).pack()
                ),
            },
        )

    def register(self, topic, payload, core_host):
        return messages.Snapshot(topic, Version(0, 1), ballots.pack(members=(core_host,), payload=payload))

    def run(self, *, for_s, then=lambda: None):
        self.node.loop.after(delay=for_s, callback=then)
        return self.node.run()


def test_proxy_announces_itself_serves_and_shuts_down_gracefully(tmp_path, monkeypatch, signals):
    scene = Scene(tmp_path, monkeypatch)
    node = scene.node
    seen = []

    def terminate():
        signal.raise_signal(signal.SIGTERM)
        seen.append((node.is_serving, node.routes.edition, len(node.table.replicas)))
        seen.append(node.quota.rate_share())
        seen.append(node.configuration_age_s())

    assert scene.run(for_s=0.4, then=terminate) == 0
    assert seen[:2] == [(True, loopback_proxy.CONFIGURATION["edition"], 1), 0.25]
    assert 0.0 <= seen[2] < 1.0
    received = scene.core.received
    assert scene.core.types()[:2] == [messages.Handshake, messages.NodeState]
    assert received[0].role == "proxy" and received[0].address == scene.settings.ip
    node_states = [message for message in received if isinstance(message, messages.NodeState)]
    assert node_states == [(False, False), (True, False), (False, True)]
    acknowledged = [message.versions[0] for message in received if isinstance(message, messages.Acknowledgement)]
    assert sorted(acknowledged) == [("cores", (0, 1)), ("list", (1, 1)), ("spec", (0, 1))]
    renewals = [message.number for message in received if isinstance(message, messages.RenewShares)]
    assert len(renewals) > 10 and renewals == list(range(renewals[0], renewals[0] + len(renewals)))
    batches = [message for message in received if isinstance(message, messages.CustodyTrails)]
    assert [batch.is_last for batch in batches] == [True]


def test_proxy_does_not_serve_without_endpoint_list(tmp_path, monkeypatch, signals):
    scene = Scene(tmp_path, monkeypatch)
    del scene.core.values["list"]
    assert scene.run(for_s=0.3, then=lambda: signal.raise_signal(signal.SIGTERM)) == 0
    node_states = [message for message in scene.core.received if isinstance(message, messages.NodeState)]
    assert node_states == [(False, False), (False, True)] and not scene.node.is_serving

"""Tests of peer sessions and of the message router."""

import types

import pytest

from ploverward.control_plane import node_status
from ploverward.control_plane.cluster import message_router
from ploverward.control_plane.cluster import peer_sessions
from ploverward.transport import messages

OWN = "10.0.0.1"
OTHER = "10.0.0.2"


class FakeConnection:
    """Connection that records the messages sent on it."""

    def __init__(self, on_end):
        self.is_up, self.has_received = True, False
        self.sent = []
        self._on_end = on_end

    def send(self, message):
        self.sent.append(message)

    def close(self, *, reason):
        self._on_end(self, reason)


class FakeRuntime:
    """Creates connectors whose connections are open at once."""

    def __init__(self):
        self.connectors = {}
        self.stopped = []

    def peer_listener(self, **_arguments):
        return object()

    def connector(self, *, address, on_end, **_arguments):
        host, _port = address
        connector = types.SimpleNamespace(link=FakeConnection(on_end), stop=lambda: self.stopped.append(host))
        self.connectors[host] = connector
        return connector


class SessionsFixture:
    """Peer sessions of one core node, with a record of the callbacks that they made."""

    def __init__(self, *, seeds=()):
        self.runtime = FakeRuntime()
        self.members = ()
        self.joined, self.ended, self.dialed = [], [], []
        self.status = node_status.NodeStatus()
        settings = types.SimpleNamespace(
            ip=OWN, core_port=7, zone="za", region="north", seeds=[(host, 7) for host in seeds]
        )
        self.sessions = peer_sessions.PeerSessions(
            runtime=self.runtime,
            loop=None,
            settings=types.SimpleNamespace(current=settings),
            status=self.status,
            incarnation="i1",
            peer_timeout_s=1.0,
            members=lambda: self.members,
            on_message=lambda _connection, _message: None,
            on_joined=self.joined.append,
            on_dialed=lambda: self.dialed.append(1),
            on_ended=lambda connection, peer: self.ended.append((connection, peer)),
        )
        self.sessions.connect_to_cores()

    def accept(self, *, role, address):
        connection = FakeConnection(self.sessions._handle_end)
        self.sessions.handle_handshake(
            connection,
            messages.Handshake(
                role=role, address=address, zone="zb", region="south", incarnation="i2", public_address=""
            ),
        )
        return connection


def test_core_node_that_accepts_connections_but_sends_nothing_is_not_live():
    """A frozen machine: its kernel accepts connections, its process never answers (docs/incidents/frozen-holder.md)."""
    node = SessionsFixture(seeds=[OTHER])
    connection = node.runtime.connectors[OTHER].link
    assert not node.sessions.is_core_live(OTHER)
    connection.has_received = True
    assert node.sessions.is_core_live(OTHER)
    connection.is_up = False
    assert not node.sessions.is_core_live(OTHER)
    assert not node.sessions.is_core_live("10.0.0.3")
    assert node.sessions.is_core_live(OWN)


def test_connectors_exist_for_members_seeds_and_connected_core_nodes():
    node = SessionsFixture(seeds=[OTHER, OWN])
    assert set(node.runtime.connectors) == {OTHER}
    node.members = ("10.0.0.3",)
    connection = node.accept(role="core", address="10.0.0.4")
    assert set(node.runtime.connectors) == {OTHER, "10.0.0.3", "10.0.0.4"}
    node.members = ()
    connection.close(reason="closed")
    node.sessions.connect_to_cores()
    assert sorted(node.runtime.stopped) == ["10.0.0.3", "10.0.0.4"]


def test_a_newer_connection_of_a_node_closes_the_older_one():
    node = SessionsFixture()
    older = node.accept(role="proxy", address=OTHER)
    newer = node.accept(role="proxy", address=OTHER)
    assert [connection for connection, _peer in node.ended] == [older]
    assert [peer.connection for peer in node.sessions.proxies(serving_only=False)] == [newer]
    assert node.sessions.proxy_count == 1


def test_proxies_returns_only_ready_and_not_draining_by_default():
    node = SessionsFixture()
    connection = node.accept(role="proxy", address=OTHER)
    assert node.sessions.proxies() == []
    node.sessions.handle_state(connection, messages.NodeState(is_ready=True, is_draining=False))
    assert [peer.address for peer in node.sessions.proxies()] == [OTHER]
    node.sessions.handle_state(connection, messages.NodeState(is_ready=True, is_draining=True))
    assert node.sessions.proxies() == []
    assert node.sessions.proxy_count == 1


def test_disconnected_proxy_is_no_longer_counted():
    node = SessionsFixture()
    connection = node.accept(role="proxy", address=OTHER)
    assert node.sessions.proxy_of(connection) is node.joined[0]
    connection.close(reason="closed")
    assert node.sessions.proxy_count == 0 and node.sessions.proxy_of(connection) is None
    assert node.ended == [(connection, node.joined[0])]


def test_core_address_of_uses_handshake_or_dialed_address():
    node = SessionsFixture(seeds=[OTHER])
    assert node.sessions.core_address_of(node.runtime.connectors[OTHER].link) == OTHER
    assert node.sessions.core_address_of(node.accept(role="core", address="10.0.0.3")) == "10.0.0.3"
    assert node.sessions.core_address_of(node.accept(role="proxy", address="10.0.0.4")) == ""
    assert node.sessions.core_address_of(object()) == ""


def test_peer_of_unknown_role_is_neither_core_nor_proxy():
    node = SessionsFixture()
    node.accept(role="another", address=OTHER)
    assert [peer.role for peer in node.sessions.peers()] == [peer_sessions.NodeRole.UNKNOWN]
    assert node.sessions.cores() == [] and node.sessions.proxies(serving_only=False) == []


def test_draining_node_sends_its_state_after_handshake():
    node = SessionsFixture()
    connection = FakeConnection(None)
    node.sessions.send_handshake(connection)
    node.status.is_draining = True
    node.sessions.send_handshake(connection)
    handshake = messages.Handshake(
        role="core", address=OWN, zone="za", region="north", incarnation="i1", public_address=""
    )
    assert connection.sent == [handshake, handshake, messages.NodeState(is_ready=False, is_draining=True)]


def test_broadcast_skips_connecting_links_and_send_to_core_queues_on_them():
    node = SessionsFixture(seeds=[OTHER, "10.0.0.3"])
    node.runtime.connectors[OTHER].link.is_up = False
    message = messages.KeepAlive(number=0)
    node.sessions.broadcast_to_cores(message)
    node.sessions.send_to_core(OTHER, message)
    node.sessions.send_to_core("10.0.0.9", message)
    assert node.runtime.connectors[OTHER].link.sent == [message]
    assert node.runtime.connectors["10.0.0.3"].link.sent == [message]


def test_message_router_dispatches_by_type_and_rejects_second_handler():
    router = message_router.MessageRouter()
    received = []
    router.add({messages.KeepAlive: lambda connection, message: received.append((connection, message))})
    router.handle("c", messages.KeepAlive(number=4))
    router.handle("c", messages.NodeState(is_ready=True, is_draining=False))  # no handler: ignored
    assert received == [("c", messages.KeepAlive(number=4))]
    with pytest.raises(ValueError, match="message type KeepAlive already has a handler"):
        router.add({messages.KeepAlive: print})

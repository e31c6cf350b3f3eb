"""Tests of the sessions with core nodes: dispatch of messages, acknowledgements and announcement of readiness."""

import types

from ploverward.common.identifiers import Version
from ploverward.data_plane.control_client import core_sessions
from ploverward.data_plane.control_client import serving_gate
from ploverward.transport import messages


class Connection:
    """A fake connection to a core node that records sent messages."""

    is_open = True

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class Scene:
    """`CoreSessions` with fake connections and fake message handlers."""

    def __init__(self):
        self.broadcasts, self.installed, self.handled, self.commands = [], [], [], []
        self.endpoint_changes = 0
        self.connections = types.SimpleNamespace(
            members=("a", "b", "c"),
            is_near=lambda _connection: True,
            handle_handshake=self._handle,
            broadcast=self.broadcasts.append,
            send_state=self.broadcasts.append,
        )
        self.gate = serving_gate.ServingGate()
        self.sessions = core_sessions.CoreSessions(
            loop=types.SimpleNamespace(
                now=lambda: 0.0, call_soon_threadsafe=lambda *, callback: self.commands.append(callback)
            ),
            contact_s=4.0,
            connections=self.connections,
            gate=self.gate,
            installer=types.SimpleNamespace(
                install=self.installed.append,
                install_delta=self.installed.append,
                routes=types.SimpleNamespace(edition=1),
            ),
            renewals=types.SimpleNamespace(handle_share_lease=self._handle, handle_quota_status=self._handle),
            rollout_reports=types.SimpleNamespace(handle_leases=self._handle),
            find_cache_owners=lambda message: messages.CacheOwners(number=message.number, owners=()),
            is_draining=lambda: False,
            on_endpoints_changed=self._count_change,
        )

    def _handle(self, _host, _connection, message):
        self.handled.append(type(message))

    def _count_change(self):
        self.endpoint_changes += 1

    def receive(self, message, *, host="a"):
        connection = Connection()
        self.sessions.handle_message(host, connection, message)
        return connection

    def run_commands(self):
        while self.commands:
            self.commands.pop(0)()


def snapshot(topic, version):
    return messages.Snapshot(topic=topic, version=version, data=b"")


def acknowledgement(topic, version):
    return messages.Acknowledgement(versions=(messages.TopicVersion(topic=topic, version=version),))


def test_proxy_announces_readiness_once_gate_opens():
    scene = Scene()
    for topic in ("spec", "list", "cores"):
        scene.receive(snapshot(topic, Version(1, 1)))
    scene.run_commands()
    assert [type(message) for message in scene.broadcasts] == [messages.Acknowledgement] * 3
    scene.broadcasts.clear()
    revisions = (messages.RegisterRevision(register="spec", revision=1),)
    for host in ("a", "b", "c"):
        scene.receive(messages.MinimumVersions(revisions=revisions), host=host)
        assert scene.gate.is_open == (host != "a")
    assert scene.broadcasts == [messages.NodeState(is_ready=True, is_draining=False)]


def test_gate_opens_after_last_required_topic_is_installed():
    scene = Scene()
    for host in ("a", "b"):
        scene.receive(messages.MinimumVersions(revisions=()), host=host)
    for topic in ("spec", "list", "cores"):
        assert not scene.gate.is_open
        scene.receive(snapshot(topic, Version(1, 1)))
        scene.run_commands()
    assert scene.gate.is_open


def test_snapshots_and_deltas_are_installed_once_and_acknowledged_to_all_core_nodes():
    scene = Scene()
    for version in (Version(1, 2), Version(1, 1), Version(1, 2)):
        scene.receive(snapshot("list", version))
    delta = messages.Delta(version=Version(1, 3), data=b"")
    scene.receive(messages.Deltas(topic="list", base=Version(1, 2), deltas=(delta,)))
    assert scene.installed == [snapshot("list", Version(1, 2)), delta] and scene.endpoint_changes == 2
    assert scene.broadcasts == [acknowledgement("list", Version(1, 2)), acknowledgement("list", Version(1, 3))]


def test_messages_are_dispatched_by_type_and_other_types_ignored():
    scene = Scene()
    found = scene.receive(messages.FindCacheOwners(number=7, service="llm", model="m", hashes=()))
    assert found.sent == [messages.CacheOwners(number=7, owners=())]
    scene.receive(messages.QuotaStatus(1, 1, 0.0, 1, b""))
    scene.receive(messages.RolloutLeases(1, 1.0, 1, b"[]"))
    scene.receive(messages.ShareLease(1.0, 1.0, 1.0, 1.0, 0, 0, 1))
    scene.receive(messages.ReportCredited(region="north", number=1))
    assert scene.handled == [messages.QuotaStatus, messages.RolloutLeases, messages.ShareLease]

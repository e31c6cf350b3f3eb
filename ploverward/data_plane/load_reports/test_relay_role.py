"""Tests that a region's relay and gateway run exactly while this node owns the singleton role under one epoch."""

import types

from ploverward.data_plane.load_reports import digest_connection
from ploverward.data_plane.load_reports import relay_role
from ploverward.simulation import loopback_proxy
from ploverward.simulation import recording_connections
from ploverward.transport import event_loop
from ploverward.transport import messages


def make_relay_role():
    loop = event_loop.Loop()
    settings = loopback_proxy.settings()
    return relay_role.RelayRole(
        settings=lambda: settings,
        incarnation="l1",
        region_names=("north", "south"),
        connector_factory=digest_connection.ConnectorFactory(loop=loop, port=settings.proxy_port, peer_timeout_s=0.8),
        now=loop.now,
        contact_s=4.0,
        table=types.SimpleNamespace(replicas={}, services={}),
    )


def test_relay_restarts_under_new_epoch_and_ends_if_another_incarnation_owns_role():
    role = make_relay_role()
    role.update(epoch=1, address="127.0.0.1", incarnation="l1")
    former_host = role.host
    assert former_host.epoch == 1
    role.update(epoch=1, address="127.0.0.1", incarnation="l1")
    assert role.host is former_host
    role.update(epoch=2, address="127.0.0.1", incarnation="l1")
    assert role.host is not former_host and role.host.epoch == 2
    role.update(epoch=3, address="127.0.0.1", incarnation="an earlier process at this address")
    assert role.host is None


def test_losing_role_ends_relay_and_gateway_and_closes_subscribers():
    role = make_relay_role()
    subscriber = recording_connections.RecordingLink()
    subscribe = messages.Subscribe(epoch=1, region="north", zone="za", zone_epoch=0)
    assert not role.admit(subscriber, subscribe)
    role.update(epoch=1, address="127.0.0.1", incarnation="l1")
    assert role.admit(subscriber, subscribe) and subscriber in role.host.subscribers
    assert not role.admit(recording_connections.RecordingLink(), subscribe._replace(epoch=2))
    role.update(epoch=2, address="127.0.0.2", incarnation="l2")
    assert not subscriber.is_open and role.host is None and role.gateway is None

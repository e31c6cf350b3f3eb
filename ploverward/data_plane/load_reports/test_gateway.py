"""Tests of the gateway through which a region's digests share one stream to each other region's relay.

Processes end and freeze; the load that each proxy sees is compared with the actual load.
"""

from ploverward.simulation import loopback
from ploverward.simulation import zone_proxies
from ploverward.transport import frames
from ploverward.transport import messages


def test_digests_of_region_share_one_stream_to_other_region():
    zones = zone_proxies.GatewayCluster()
    zones.start_attempts(seed=20)
    zones.assert_converges()
    gateway = zones.relay("north").gateway
    assert loopback.until(zones.loop, lambda: len(gateway.digest.fanout.members) == 2)
    assert loopback.until(zones.loop, lambda: zones.far_subscribers() == ["relay/north", "zb"])
    assert not zones.relay("south").gateway.digest.has_relay_streams  # without members it keeps no streams
    zones.start_attempts(seed=21)
    zones.assert_converges()


def test_successor_of_ended_gateway_counts_no_load_twice():
    zones = zone_proxies.GatewayCluster()
    zones.start_attempts(seed=22)
    zones.assert_converges()
    zones.stop(zones.singleton_roles["relay/north"][1])
    zones.start_attempts(seed=23)
    zones.assign_roles()
    zones.start_attempts(seed=24)
    zones.assert_converges()
    gateway = zones.relay("north").gateway
    assert loopback.until(zones.loop, lambda: len(gateway.digest.fanout.members) == 2)
    zones.assert_converges()


def test_frozen_gateway_is_refused_under_old_epoch_after_thaw():
    zones = zone_proxies.GatewayCluster()
    zones.start_attempts(seed=25)
    zones.assert_converges()
    former = zones.relay("north")
    former.loop.is_frozen = True
    zones.live.discard(former.settings.ip)
    zones.assign_roles()
    zones.start_attempts(seed=26)
    zones.assert_converges()
    former.loop.thaw()
    zones.assert_converges()  # it still acts as the gateway, and the south's relay refuses its older epoch
    assert loopback.until(zones.loop, lambda: zones.far_subscribers() == ["relay/north", "zb"])
    epochs = [
        subscriber.zone_epoch for subscriber in zones.relay("south").relay.subscribers.values() if subscriber.zone_epoch
    ]
    assert epochs == [2]


def test_mirrors_of_remote_region_recover_through_gateway_after_its_relay_is_lost():
    zones = zone_proxies.GatewayCluster(more_zones={zone_proxies.address(8): "zb"})
    zones.start_attempts(seed=27)
    zones.assert_converges()
    former = zones.singleton_roles["relay/south"][1]
    zones.stop(former)
    zones.start_attempts(seed=28)
    assert loopback.until(
        zones.loop, lambda: all(zones.nodes[ip].regions["south"].broken_at is not None for ip in zones.live)
    )
    zones.assign_roles()
    assert zones.singleton_roles["relay/south"][1] != former
    zones.assert_converges()


def test_malformed_frame_from_gateway_closes_connection_and_changes_no_load():
    zones = zone_proxies.GatewayCluster()
    zones.start_attempts(seed=28)
    zones.assert_converges()
    gateway = zones.relay("north").gateway
    assert loopback.until(zones.loop, lambda: len(gateway.digest.fanout.members) == 2)
    link = next(iter(gateway.digest.fanout.members))
    before = {ip: dict(zones.nodes[ip].regions["south"].load) for ip in zones.live}
    loads = messages.ReplicaLoads(gateway.digest.mirrors["south"].epoch, False, b"malformed")
    link.send(messages.RelayedFrame("south", frames.pack(loads)))
    assert loopback.until(zones.loop, lambda: not link.is_open)
    assert {ip: dict(zones.nodes[ip].regions["south"].load) for ip in zones.live} == before
    zones.assert_converges()  # the digest joins again with its complete state


def test_gateway_refuses_digest_of_older_epoch():
    zones = zone_proxies.GatewayCluster()
    zones.start_attempts(seed=29)
    zones.assert_converges()
    gateway = zones.relay("north").gateway
    assert loopback.until(zones.loop, lambda: len(gateway.digest.fanout.members) == 2)

    class StaleConnection:
        is_open = True

        def close(self, *, reason=""):
            self.is_open = False

    stale = StaleConnection()
    gateway.join(stale, messages.JoinGateway(epoch=1, digest="digest/za", digest_epoch=0))
    assert not stale.is_open and stale not in gateway.digest.fanout.members


def test_selective_member_sees_exact_load_of_followed_replicas():
    zones = zone_proxies.GatewayCluster()
    member = zones.nodes[zone_proxies.address(1)]
    assert loopback.until(zones.loop, lambda: member.is_member)
    member.table.followed_keys = lambda: frozenset([member.table.replicas["i1"].key])
    zones.start_attempts(seed=30)
    assert loopback.until(zones.loop, lambda: all(member.known_load("i1") == zones.actual_load("i1") for _ in (0,)))
    others = [node for ip, node in zones.nodes.items() if ip != zone_proxies.address(1)]
    assert loopback.until(
        zones.loop,
        lambda: all(
            node.known_load(row["id"]) == zones.actual_load(row["id"]) for node in others for row in zone_proxies.ROWS
        ),
    )
    assert member.known_load("i1") == zones.actual_load("i1")


def test_heartbeats_reach_all_connections_if_some_close_meanwhile():
    zones = zone_proxies.GatewayCluster()
    zones.assert_converges()
    node = zones.relay("north")
    assert loopback.until(zones.loop, lambda: len(node.relay.subscribers) == 3)
    links = [*node.relay.subscribers, *node.digest.fanout.members, *node.gateway.digest.fanout.members]
    for link in links:
        link.keep_alive = lambda link=link: link.close(reason="closed during a heartbeat")
    node.client.send_heartbeats()
    assert not any(link.is_open for link in links)
    zones.assert_converges()

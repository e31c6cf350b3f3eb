"""Tests of a zone's digest and the region's relay with several proxies on real sockets.

Singleton roles change, and owners end or freeze, alone or together; the load that each proxy sees is compared with the
actual load.
"""

import pytest

from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.load_reports import fanout
from ploverward.simulation import loopback
from ploverward.simulation import zone_proxies
from ploverward.transport import frames
from ploverward.transport import messages


def test_members_report_through_digest_and_every_proxy_sees_actual_load():
    zones = zone_proxies.ProxyCluster()
    zones.start_attempts(seed=1)
    zones.assert_converges()
    owner = zones.nodes[zones.digest()]
    assert loopback.until(zones.loop, lambda: len(owner.digest.fanout.members) == 4)
    for _ip, node in zones.nodes.items():
        if node.settings.zone == "za" and node is not owner:
            assert node.is_member and not node.digest.has_relay_streams
    assert len(zones.nodes[zones.singleton_roles["relay/north"][1]].relay.subscribers) == 2  # one for each zone
    zones.nodes[zone_proxies.address(1)].end(
        next(name for name in ("i0", "i1", "i2") if zones.nodes[zone_proxies.address(1)].table.replicas[name].running)
    )
    zones.assert_converges()


def test_members_report_directly_after_digest_ends_and_join_its_successor():
    zones = zone_proxies.ProxyCluster()
    zones.start_attempts(seed=2)
    zones.assert_converges()
    former = zones.digest()
    zones.stop(former)
    zones.assert_converges()  # until another owner is assigned, each proxy is its own digest
    assert all(node.digest.has_relay_streams for ip, node in zones.nodes.items() if ip in zones.live)
    zones.assign_roles()
    assert zones.digest() != former
    zones.start_attempts(seed=3)
    zones.assert_converges()
    assert loopback.until(zones.loop, lambda: len(zones.nodes[zones.digest()].digest.fanout.members) == 3)
    zones.assert_converges()


def test_frozen_digest_is_replaced_and_refused_under_old_epoch_after_thaw():
    zones = zone_proxies.ProxyCluster()
    zones.start_attempts(seed=4)
    zones.assert_converges()
    former = zones.nodes[zones.digest()]
    former.loop.is_frozen = True
    zones.live.discard(former.settings.ip)
    zones.assert_converges()
    zones.assign_roles()
    zones.start_attempts(seed=5)
    zones.assert_converges()
    former.loop.thaw()
    relay = zones.nodes[zones.singleton_roles["relay/north"][1]].relay
    epochs = []

    def is_any_stream_closed():
        # Also collects the epochs of the digest at the relay, for the check below.
        epochs.extend(
            subscriber.zone_epoch for subscriber in relay.subscribers.values() if subscriber.zone == "digest/za"
        )
        return any(
            link is None or not link.is_open
            for link in [connector.link for connector in former.digest.relay_connectors().values()]
        )

    assert loopback.until(zones.loop, is_any_stream_closed)
    zones.assert_converges()  # it still acts as the owner, and the relays refuse it under its old epoch
    assert 1 not in epochs
    zones.live.add(former.settings.ip)
    zones.announce(former.settings.ip)
    zones.assert_converges()
    assert former.client.zone_digest.role == "" and loopback.until(zones.loop, lambda: former.is_member)
    zones.assert_converges()


def test_loads_converge_after_relay_and_digest_fail_together():
    zones = zone_proxies.ProxyCluster()
    zones.start_attempts(seed=6)
    zones.assert_converges()
    for ip in {zones.digest(), zones.singleton_roles["relay/north"][1]}:
        zones.stop(ip)
    zones.assign_roles()
    zones.start_attempts(seed=7)
    zones.assert_converges()


def test_load_of_lost_zone_is_withdrawn():
    zones = zone_proxies.ProxyCluster()
    zones.start_attempts(seed=8)
    zones.assert_converges()
    for ip in [ip for ip in zones.live if zones.zone_by_ip[ip] == "za"]:
        zones.stop(ip)
    zones.assign_roles()
    zones.assert_converges()
    assert [ip for ip in zones.live] == [zone_proxies.address(9)]


def test_malformed_report_closes_member_connection_and_changes_no_load():
    zones = zone_proxies.ProxyCluster()
    zones.start_attempts(seed=9)
    zones.assert_converges()
    owner = zones.nodes[zones.digest()]
    member = next(node for node in zones.nodes.values() if node.is_member)
    link = member.digest_connector.link
    link.send_bytes(frames.pack(messages.LoadReport(10**6, b"malformed", b"")))
    assert loopback.until(zones.loop, lambda: not link.is_open)
    zones.assert_converges()  # the member joins again with its complete state
    assert loopback.until(zones.loop, lambda: len(owner.digest.fanout.members) == 4)
    zones.assert_converges()


def test_slow_member_is_disconnected_alone():
    zones = zone_proxies.ProxyCluster()
    zones.start_attempts(seed=10)
    zones.assert_converges()
    owner = zones.nodes[zones.digest()]
    slow, *others = owner.digest.fanout.members
    slow.queued = lambda: 10**9
    zones.start_attempts(seed=11)
    assert loopback.until(zones.loop, lambda: not slow.is_open)
    assert all(link.is_open for link in others)
    zones.assert_converges()


def test_cached_prompts_reach_present_members_and_one_that_reconnects():
    zones = zone_proxies.ProxyCluster()
    zones.start_attempts(seed=12)
    zones.assert_converges()
    node = zones.nodes[zone_proxies.address(9)]
    chain = (("doc", 100), ("own", 10))
    node.client.source.record_prefill(replica=node.table.replicas["i0"], service="llm", model="m", parts=chain)

    def cached_tokens(proxy):
        from ploverward.data_plane.relay import cuckoo_filter

        return proxy.regions["north"].cached_tokens(
            service="llm", model="m", chain=cuckoo_filter.chain(model="m", parts=chain), replicas=("i0", "i1")
        )

    assert loopback.until(
        zones.loop, lambda: all(cached_tokens(proxy) == {"i0": 110, "i1": 0} for proxy in zones.nodes.values())
    )
    reconnecting = max(ip for ip in zones.live if zones.zone_by_ip[ip] == "za" and ip != zones.digest())
    assert loopback.until(zones.loop, lambda: zones.nodes[reconnecting].is_member)
    zones.nodes[reconnecting].digest_connector.link.close(reason="test")  # it reconnects and is sent a cut
    assert loopback.until(
        zones.loop,
        lambda: (
            zones.nodes[reconnecting].is_member and cached_tokens(zones.nodes[reconnecting]) == {"i0": 110, "i1": 0}
        ),
    )


@pytest.mark.parametrize("count, has_digest", [(1, False), (3, False), (4, True), (30, True)])
def test_only_zones_above_minimum_size_have_digest(count, has_digest):
    proxies = [(f"10.0.0.{number}", "l", "za", "north") for number in range(count)]
    rows = singleton_roles.role_changes(proxies=proxies, find_role=lambda name: (0, "", ""))
    assert ("digest/za" in rows) == has_digest and "relay/north" in rows
    if has_digest:
        assert rows["digest/za"][1] != rows["relay/north"][1]
        assigned = {name: (epoch + 1, owner, incarnation) for name, (epoch, owner, incarnation) in rows.items()}
        assert (
            singleton_roles.role_changes(proxies=proxies, find_role=lambda name: assigned.get(name, (0, "", ""))) == {}
        )
        remaining = [row for row in proxies if row[0] != rows["digest/za"][1]]
        later_rows = singleton_roles.role_changes(
            proxies=remaining, find_role=lambda name: assigned.get(name, (0, "", ""))
        )
        assert ("digest/za" in later_rows) == (count - 1 > singleton_roles.MAX_PROXIES_WITHOUT_DIGEST)


def test_cuts_to_members_are_limited_per_tick_and_precede_their_deltas():
    zones = zone_proxies.ProxyCluster()
    zones.assert_converges()
    owner = zones.nodes[zones.digest()]
    assert loopback.until(zones.loop, lambda: len(owner.digest.fanout.members) == 4)
    node = zones.nodes[zone_proxies.address(9)]
    node.begin("i0")
    zones.assert_converges()
    for number in range(600):
        parts = ((f"doc{number}", 100), (f"own{number}", 10))
        node.client.source.record_prefill(replica=node.table.replicas["i0"], service="llm", model="m", parts=parts)
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
    owner.digest.cuts.budget_bytes = -fanout.MAX_CUT_BYTES_PER_TICK  # a large cut was sent just before
    owner.digest.cuts.send()
    assert not sent and len(owner.digest.cuts.pending) == 4
    zones.start_attempts(seed=40)
    zones.assert_converges()
    # The queue also has cuts of pools that the work created.
    assert loopback.until(zones.loop, lambda: not owner.digest.cuts.pending)
    kinds = {}
    for link, message in sent:
        if isinstance(message, messages.RelayedFrame) and message.region == "north":
            kinds.setdefault(link, []).append(type(frames.unpack(message.frame)))
    for sent_kinds in kinds.values():
        # A delta is sent only after the cut that it is based on.
        assert messages.PoolCut in sent_kinds
        assert messages.PoolDelta not in sent_kinds[: sent_kinds.index(messages.PoolCut)]

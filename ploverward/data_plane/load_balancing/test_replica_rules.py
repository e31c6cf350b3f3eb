"""Suspicion, slow start, latencies and the bound on connections, without a socket."""

import types

import pytest

from ploverward.data_plane.load_balancing import connection_pool
from ploverward.data_plane.load_balancing import network_latency
from ploverward.data_plane.load_balancing import outlier_detection
from ploverward.data_plane.load_balancing import replica as replicas
from ploverward.data_plane.load_balancing import slow_start
from ploverward.simulation import loopback_proxy

CONTACT_S = 4.0


def made(name="i1", *, zone="za"):
    row = {"id": name, "service": "llm", "zone": zone, "berths": 8, "models": ["m"], "is_clearing": False}
    return replicas.Replica(row=row, endpoint=("127.0.0.1", 9), region="north", now=0.0)


class Detection:
    """An outlier detection over replicas, with connections that are only noted."""

    def __init__(self, *rows, now=10.0):
        self.replicas = {one.id: one for one in rows}
        self.by_service = {"llm": list(rows)}
        self.opened = []
        self.commands = []
        loop = types.SimpleNamespace(now=lambda: now, command=lambda *, callback: self.commands.append(callback))
        pool = types.SimpleNamespace(connection=lambda *, replica: self.opened.append(replica.id), open=self._open)
        self.rules = outlier_detection.OutlierDetection(loop=loop, table=self, pool=pool, contact_s=CONTACT_S)

    def _open(self, one):
        self.opened.append(one.id)
        return types.SimpleNamespace(is_open=True, is_up=False)

    def subset(self, service):
        return self.by_service[service]

    def is_in_service(self, one):
        return not one.is_draining


def test_second_suspected_replica_makes_its_whole_zone_suspected():
    first, second, third, other = made("i1"), made("i2"), made("i3"), made("i4", zone="zb")
    scene = Detection(first, second, third, other)
    scene.rules.mark_suspected(first)
    assert [one.is_suspected for one in (first, second, third, other)] == [True, False, False, False]
    scene.rules.mark_suspected(second)
    assert [one.is_suspected for one in (first, second, third, other)] == [True, True, True, False]
    assert not third.is_probe_failed  # it is suspected for its zone's sake alone


def test_recently_active_replica_is_not_suspected_with_its_zone():
    first, second, third = made("i1"), made("i2"), made("i3")
    third.last_received_at = 9.9
    scene = Detection(first, second, third)
    scene.rules.mark_suspected(first)
    scene.rules.mark_suspected(second)
    assert not third.is_suspected


def test_check_suspected_skips_draining_replicas_and_those_with_connections():
    first, second, third = made("i1"), made("i2", zone="zb"), made("i3", zone="zc")
    scene = Detection(first, second, third)
    for one in (first, second, third):
        scene.rules.mark_suspected(one)
    assert not scene.opened and len(scene.commands) == 3
    second.connections.add("under way")
    third.is_draining = True
    scene.commands[0]()
    assert scene.opened == ["i1"]


def test_probe_opens_no_second_connection_while_one_is_pending():
    one = made()
    scene = Detection(one)
    scene.rules.probe(one)
    scene.rules.probe(one)
    assert scene.opened == ["i1"]
    one.probe_connection.is_up = True
    scene.rules.probe(one)
    assert scene.opened == ["i1", "i1"]


def test_slow_start_is_never_shortened():
    one = made()
    slow_start.begin(one, service={"warmup_s": 5.0}, now=10.0)
    slow_start.follow_list(one, left_ms=2000, now=10.0)
    assert one.warming_up_until == 15.0
    slow_start.follow_list(one, left_ms=7000, now=10.0)
    assert one.warming_up_until == 17.0
    slow_start.begin(one, service={}, now=11.0)
    assert one.warming_up_until == 17.0


def test_latency_estimate_is_a_decaying_minimum_and_serves_its_zone():
    latencies = network_latency.NetworkLatencies()
    one, peer, stranger = made("i1"), made("i2"), made("i3", zone="zb")
    latencies.record(one, took_s=0.010)
    latencies.record(one, took_s=0.500)
    assert latencies.estimate_s(one) == pytest.approx(0.011)
    assert latencies.estimate_s(peer) == pytest.approx(0.011) and latencies.estimate_s(stranger) is None


def test_recent_failures_expire_and_are_bounded():
    one = made()
    for number in range(replicas.MAX_RECENT_FAILURES + 2):
        one.note_failure(now=float(number), window_s=4.0)
    assert one.recent_failures(now=9.0) == 4 and one.recent_failures(now=20.0) == 0
    for _index in range(replicas.MAX_RECENT_FAILURES + 2):
        one.note_failure(now=30.0, window_s=4.0)
    assert one.recent_failures(now=30.0) == replicas.MAX_RECENT_FAILURES


def test_max_connections_follows_the_share_and_is_kept_without_a_lease():
    shares = [0.0, 0.5, 0.0, 0.001]
    pool = connection_pool.ConnectionPool(
        loop=None,
        settings=loopback_proxy.settings(),
        share=lambda: shares.pop(0),
        max_connections=lambda service: 300,
        may_use=lambda one: True,
        latencies=network_latency.NetworkLatencies(),
    )
    bounds = [pool.max_connections("llm") for _index in range(4)]
    assert bounds == [10, 135, 135, connection_pool.MIN_CONNECTIONS]

"""Tests of suspicion, slow start, network latencies and the connection limit, without sockets."""

import types

import pytest

from ploverward.data_plane.load_balancing import connection_pool
from ploverward.data_plane.load_balancing import network_latency
from ploverward.data_plane.load_balancing import outlier_detection
from ploverward.data_plane.load_balancing import replica as replicas
from ploverward.data_plane.load_balancing import slow_start
from ploverward.simulation import loopback_proxy

CONTACT_S = 4.0


def make_replica(name="i1", *, zone="za"):
    row = {"id": name, "service": "llm", "zone": zone, "berths": 8, "models": ["m"], "is_clearing": False}
    return replicas.Replica(row=row, endpoint=("127.0.0.1", 9), region="north", now=0.0)


class DetectionScene:
    """An outlier detection over the given replicas; connections are only recorded, and commands run on request."""

    def __init__(self, *rows, now=10.0):
        self.replicas = {replica.id: replica for replica in rows}
        self.by_service = {"llm": list(rows)}
        self.opened = []
        self.commands = []
        loop = types.SimpleNamespace(
            now=lambda: now, call_soon_threadsafe=lambda *, callback: self.commands.append(callback)
        )
        pool = types.SimpleNamespace(connection=lambda *, replica: self.opened.append(replica.id), open=self._open)
        self.detection = outlier_detection.OutlierDetection(loop=loop, table=self, pool=pool, contact_s=CONTACT_S)

    def _open(self, replica):
        self.opened.append(replica.id)
        return types.SimpleNamespace(is_open=True, is_up=False)

    def subset(self, service):
        return self.by_service[service]

    def is_in_service(self, replica):
        return not replica.is_draining


def test_second_suspected_replica_makes_its_whole_zone_suspected():
    first, second, third, other = (
        make_replica("i1"),
        make_replica("i2"),
        make_replica("i3"),
        make_replica("i4", zone="zb"),
    )
    scene = DetectionScene(first, second, third, other)
    scene.detection.mark_suspected(first)
    assert [replica.is_suspected for replica in (first, second, third, other)] == [True, False, False, False]
    scene.detection.mark_suspected(second)
    assert [replica.is_suspected for replica in (first, second, third, other)] == [True, True, True, False]
    assert not third.is_probe_failed  # it is suspected only because of its zone


def test_recently_active_replica_is_not_suspected_with_its_zone():
    first, second, third = make_replica("i1"), make_replica("i2"), make_replica("i3")
    third.last_received_at = 9.9
    scene = DetectionScene(first, second, third)
    scene.detection.mark_suspected(first)
    scene.detection.mark_suspected(second)
    assert not third.is_suspected


def test_check_suspected_skips_draining_replicas_and_those_with_connections():
    first, second, third = make_replica("i1"), make_replica("i2", zone="zb"), make_replica("i3", zone="zc")
    scene = DetectionScene(first, second, third)
    for replica in (first, second, third):
        scene.detection.mark_suspected(replica)
    assert not scene.opened and len(scene.commands) == 3
    second.connections.add("under way")
    third.is_draining = True
    scene.commands[0]()
    assert scene.opened == ["i1"]


def test_probe_opens_no_second_connection_while_one_is_pending():
    replica = make_replica()
    scene = DetectionScene(replica)
    scene.detection.probe(replica)
    scene.detection.probe(replica)
    assert scene.opened == ["i1"]
    replica.probe_connection.is_up = True
    scene.detection.probe(replica)
    assert scene.opened == ["i1", "i1"]


def test_slow_start_is_never_shortened():
    replica = make_replica()
    slow_start.begin(replica, service={"warmup_s": 5.0}, now=10.0)
    slow_start.follow_list(replica, left_ms=2000, now=10.0)
    assert replica.warming_up_until == 15.0
    slow_start.follow_list(replica, left_ms=7000, now=10.0)
    assert replica.warming_up_until == 17.0
    slow_start.begin(replica, service={}, now=11.0)
    assert replica.warming_up_until == 17.0


def test_latency_estimate_is_a_decaying_minimum_and_serves_its_zone():
    latencies = network_latency.NetworkLatencies()
    replica, zone_peer, other = make_replica("i1"), make_replica("i2"), make_replica("i3", zone="zb")
    latencies.record(replica, took_s=0.010)
    latencies.record(replica, took_s=0.500)
    assert latencies.estimate_s(replica) == pytest.approx(0.011)
    assert latencies.estimate_s(zone_peer) == pytest.approx(0.011) and latencies.estimate_s(other) is None


def test_recent_failures_expire_and_are_bounded():
    replica = make_replica()
    for number in range(replicas.MAX_RECENT_FAILURES + 2):
        replica.note_failure(now=float(number), window_s=4.0)
    assert replica.recent_failures(now=9.0) == 4 and replica.recent_failures(now=20.0) == 0
    for _index in range(replicas.MAX_RECENT_FAILURES + 2):
        replica.note_failure(now=30.0, window_s=4.0)
    assert replica.recent_failures(now=30.0) == replicas.MAX_RECENT_FAILURES


def test_max_connections_follows_the_share_and_is_kept_without_a_lease():
    shares = [0.0, 0.5, 0.0, 0.001]  # 0: no lease
    pool = connection_pool.ConnectionPool(
        loop=None,
        settings=loopback_proxy.settings(),
        share=lambda: shares.pop(0),
        max_connections=lambda service: 300,
        may_use=lambda replica: True,
        latencies=network_latency.NetworkLatencies(),
    )
    limits = [pool.max_connections("llm") for _index in range(4)]
    assert limits == [10, 135, 135, connection_pool.MIN_CONNECTIONS]

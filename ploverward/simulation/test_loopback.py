"""Tests of the event loop that tests with real sockets run on."""

import time

import pytest

from ploverward.simulation import loopback
from ploverward.simulation import request_scene
from ploverward.simulation import zone_proxies


class StalledClock:
    """The machine's clock, which runs ahead while the test process gets no processor time.

    Attributes:
        stalled_s: How far it has run ahead.
        reads_until_stall: At which read from now on the process stalls for a second; None for never.
    """

    def __init__(self, monkeypatch):
        self.stalled_s = 0.0
        self.reads_until_stall = None
        self._monotonic = time.monotonic
        monkeypatch.setattr(time, "monotonic", self.read)

    def read(self):
        if self.reads_until_stall is not None:
            self.reads_until_stall -= 1
            if self.reads_until_stall == 0:
                self.stalled_s += 1.0
        return self._monotonic() + self.stalled_s


def test_clock_does_not_count_a_stall_of_the_process(monkeypatch):
    clock = StalledClock(monkeypatch)
    loop = loopback.new_loop()
    before = loop.now()
    for _stall in range(3):
        clock.stalled_s += 60.0
        loop.call_soon_threadsafe(callback=lambda: None)  # no wait
        loop.step()
    assert before < loop.now() < before + 1.0


def test_clock_counts_waits_and_skips():
    loop = loopback.new_loop()
    before = loop.now()
    loop.after(delay=0.1, callback=lambda: None)
    loop.step()
    assert loop.now() >= before + 0.1
    loop.skip(seconds=5.0)
    assert loop.now() >= before + 5.1


@pytest.mark.parametrize("reads", range(5, 80, 5))
def test_stall_at_any_read_of_the_clock_lets_a_request_reach_its_replica(reads, monkeypatch):
    """Guards against tests whose requests end at their deadline, before they are sent, beside load."""
    clock = StalledClock(monkeypatch)
    scene = request_scene.Scene(request_scene.respond_ok)
    scene.request("unsafe", left_ms=300)
    clock.reads_until_stall = reads
    assert request_scene.wait_until_idle(scene)
    assert scene.arrivals() == 1
    assert request_scene.statuses(scene.client) == [200]


def test_nodes_of_a_stalled_test_process_do_not_take_each_other_for_silent(monkeypatch):
    """Guards against tests that fail beside load because all links of their nodes are closed at once."""
    clock = StalledClock(monkeypatch)
    zones = zone_proxies.ProxyCluster()
    zones.assert_converges()
    members = [node for ip, node in zones.nodes.items() if zones.zone_by_ip[ip] == "za" and ip != zones.digest()]
    assert loopback.until(zones.loop, lambda: all(node.is_member for node in members))
    assert loopback.until(zones.loop, lambda: not zones.loop._selector.select(0))  # no message is on its way
    links = [node.digest_connector.link for node in members]
    clock.stalled_s += 1.0
    for _step in range(5):
        zones.loop.call_soon_threadsafe(callback=lambda: None)
        zones.loop.step()
    assert all(link.is_open for link in links)

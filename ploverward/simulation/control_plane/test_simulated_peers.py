"""Tests that simulated connections between nodes behave as the real ones do where nodes depend on it."""

import pytest

from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_network
from ploverward.simulation.control_plane import simulated_peers
from ploverward.transport import frames
from ploverward.transport import messages

PEER_TIMEOUT_S = 0.8


class Node:
    """A process with a loop and a port, which records received messages and ended connections."""

    def __init__(self, *, network, host, failures):
        clock = network.clock
        self.network = network
        self.machine = machines.Machine(clock=clock, host=host, region=host)
        network.machines[host] = self.machine
        self.process = machines.Program(clock=clock, name=host, on_failure=lambda _process, text: failures.append(text))
        self.machine.process = self.process
        self.loop = simulated_clock.Loop(process=self.process, on_stop=lambda: None)
        self.received, self.ended = [], []
        self.links = []

    def chance(self) -> float:
        return self.network.clock.chance.random()

    def listen(self) -> None:
        simulated_peers.PeerListener(
            runtime=self,
            loop=self.loop,
            address=("", 7),
            on_connection=self.links.append,
            on_message=lambda _link, message: self.received.append((self.network.clock.time, message)),
            on_end=lambda _link, reason: self.ended.append((self.network.clock.time, reason)),
            peer_timeout_s=PEER_TIMEOUT_S,
        )

    def dial(self, host: str):
        return simulated_peers.Connector(
            runtime=self,
            loop=self.loop,
            address=(host, 7),
            on_up=self.links.append,
            on_message=lambda _link, message: self.received.append((self.network.clock.time, message)),
            on_end=lambda _link, reason: self.ended.append((self.network.clock.time, reason)),
            peer_timeout_s=PEER_TIMEOUT_S,
        )

    def send_heartbeats(self) -> None:
        for link in self.links:
            link.send(messages.KeepAlive(0))


@pytest.fixture
def pair():
    clock = simulated_clock.Clock(seed=1)
    network = simulated_network.Network(clock=clock)
    failures = []
    one, other = (Node(network=network, host=host, failures=failures) for host in ("a", "b"))
    other.listen()
    connector = one.dial("b")
    for node in (one, other):
        node.loop.every(interval_s=PEER_TIMEOUT_S / 3, callback=node.send_heartbeats)
    clock.run(until=1.0)
    assert connector.link.is_up and not failures
    yield clock, network, one, other, connector
    assert not failures


def received_topics(node) -> list:
    return [message.topic for _when, message in node.received]


def test_messages_keep_their_order_and_pass_the_codec(pair):
    clock, _network, _one, other, connector = pair
    for number in range(20):
        connector.link.send(messages.Fetch(f"t{number}", NO_VERSION))
    clock.run(until=2.0)
    assert received_topics(other) == [f"t{number}" for number in range(20)]


def test_a_partition_holds_messages_and_a_short_one_loses_none(pair):
    clock, network, _one, other, connector = pair
    network.partition(pairs=[("a", "b")], is_reset=False)
    connector.link.send(messages.Fetch("held", NO_VERSION))
    clock.run(until=1.3)
    assert received_topics(other) == []
    network.join(pairs=[("a", "b")])
    clock.run(until=2.0)
    assert received_topics(other) == ["held"] and not other.ended


def test_a_long_one_way_partition_closes_both_ends(pair):
    clock, network, one, other, _connector = pair
    network.partition(pairs=[("a", "b")], is_reset=False)
    clock.run(until=1.0 + 2.5 * PEER_TIMEOUT_S)
    assert [reason for _when, reason in other.ended] == ["silent"]
    # The end signal arrives in the direction that is not cut.
    assert [reason for _when, reason in one.ended][0] == "closed"


def test_sender_closes_connection_when_data_is_held_back_for_peer_timeout(pair):
    clock, network, one, _other, connector = pair
    network.partition(pairs=[("a", "b"), ("b", "a")], is_reset=False)
    connector.link.last_received_at += 100.0  # as if data from the other direction still arrived
    clock.run(until=1.0 + 2 * PEER_TIMEOUT_S)
    assert [reason for _when, reason in one.ended][0] == "ETIMEDOUT"


def test_a_connector_reconnects_after_a_reset(pair):
    clock, network, one, other, connector = pair
    network.reset(pairs=[("a", "b")])
    assert [reason for _when, reason in one.ended] == ["ECONNRESET"]
    assert [reason for _when, reason in other.ended] == ["ECONNRESET"]
    clock.run(until=2.0)
    assert connector.link is not None and connector.link.is_up


def test_killed_process_resets_its_connections(pair):
    clock, _network, one, other, _connector = pair
    machines.stop(machine=other.machine)
    clock.run(until=1.2)
    assert one.ended[0][1] == "ECONNRESET" and one.ended[0][0] < 1.2


def test_a_machine_without_power_is_silent(pair):
    clock, _network, one, other, _connector = pair
    machines.stop(machine=other.machine, is_power_lost=True)
    other.machine.is_powered = False
    clock.run(until=1.0 + PEER_TIMEOUT_S * 0.9)
    assert not one.ended
    clock.run(until=1.0 + PEER_TIMEOUT_S * 2)
    assert one.ended[0][1] == "silent"


def test_a_frozen_process_handles_data_before_timers_when_it_resumes(pair):
    clock, _network, _one, other, connector = pair
    order = []
    other.process.is_frozen = True
    other.loop.after(delay=0.05, callback=lambda: order.append("timer"))
    clock.run(until=1.1)
    connector.link.send(messages.Fetch("late", NO_VERSION))
    clock.run(until=1.5)
    before = other.loop.now()
    received = len(other.received)
    other.loop.call_soon_threadsafe(callback=lambda: order.append("command"))
    other.process.thaw()
    assert len(other.received) == received + 1
    assert order == ["timer"]  # the command was not deferred: its event is still in the clock's queue
    clock.run(until=1.6)
    assert order == ["timer", "command"] and other.loop.now() > before


def test_pack_cache_distinguishes_message_types_with_equal_fields():
    versions = (messages.TopicVersion(topic="list", version=Version(epoch=0, number=1)),)
    sent = [messages.Announcement(versions=versions), messages.Acknowledgement(versions=versions)]
    assert sent[0] == sent[1]  # equal as named tuples, so a cache of frames must also compare their types
    assert [frames.unpack(simulated_peers.pack(message)).__class__ for message in sent] == [
        messages.Announcement,
        messages.Acknowledgement,
    ]

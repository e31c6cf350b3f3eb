"""Tests of the apply barrier: when an accepted order is acknowledged."""

import types

from ploverward.common.identifiers import Version
from ploverward.control_plane.distribution import publisher as publisher_module
from ploverward.control_plane.operator_api import apply_barrier
from ploverward.control_plane.operator_api import pending_response
from ploverward.simulation import simulated_world
from ploverward.transport import messages

MAX_WAIT_S = 0.9


class FakeConnection:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class FakeCall:
    def __init__(self):
        self.answers = []

    def answer(self, *, status, body, headers=()):
        self.answers.append((status, body))


def acknowledgement(number):
    return messages.Acknowledgement(versions=(messages.TopicVersion(topic="spec", version=Version(0, number)),))


def make_barrier(links):
    loop = simulated_world.Loop(world=simulated_world.World(seed=1))
    publisher = publisher_module.Publisher()
    for link in links:
        publisher.add_connection(link)
    barrier = apply_barrier.ApplyBarrier(
        publisher=publisher,
        proxies=lambda *, serving_only=True: [types.SimpleNamespace(connection=link) for link in links],
    )
    call = FakeCall()
    response = pending_response.PendingResponse(loop=loop, call=call, limit_s=0.75, on_timeout=lambda response: None)
    barrier.wait(response=response, topic="spec", number=3, until=response.started_at + MAX_WAIT_S)
    return barrier, publisher, call, loop


def test_wait_acknowledges_once_all_connected_proxies_have_applied_the_change():
    links = [FakeConnection(), FakeConnection()]
    barrier, publisher, call, _loop = make_barrier(links)
    assert call.answers == []
    publisher.handle_acknowledgement(links[0], acknowledgement(3))
    barrier.check()
    assert call.answers == []
    publisher.handle_acknowledgement(links[1], acknowledgement(4))
    barrier.check()
    assert call.answers == [(200, {"serial": 3})]


def test_check_does_not_wait_for_disconnected_proxies():
    links = [FakeConnection(), FakeConnection()]
    barrier, publisher, call, _loop = make_barrier(links)
    publisher.handle_acknowledgement(links[0], acknowledgement(3))
    links.pop()  # the lease of this proxy ran out, so it is no longer listed
    barrier.check()
    assert len(call.answers) == 1


def test_wait_acknowledges_exactly_once_when_its_limit_is_reached():
    barrier, _publisher, call, loop = make_barrier([FakeConnection()])
    loop.world.run(until=MAX_WAIT_S - 0.01)
    assert call.answers == []
    loop.world.run(until=MAX_WAIT_S + 0.01)
    assert call.answers == [(200, {"serial": 3})]
    barrier.check()
    loop.world.run(until=5.0)
    assert len(call.answers) == 1

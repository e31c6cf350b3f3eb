"""Tests that a simulated HTTP call reaches the server of a node and ends exactly once, with or without an answer."""

import pytest

from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_http
from ploverward.simulation.control_plane import simulated_network

LIMIT_S = 1.0


class Node:
    """A process with a server that records the requests."""

    def __init__(self, *, network):
        self.network = network
        self.machine = network.machines["a"] = machines.Machine(clock=network.clock, host="a", region="north")
        self.failures = []
        self.process = self.machine.process = machines.Program(
            clock=network.clock, name="a", on_failure=lambda _process, text: self.failures.append(text)
        )
        self.requests = []
        self.server = simulated_http.HttpServer(
            runtime=self,
            loop=simulated_clock.Loop(process=self.process, on_stop=lambda: None),
            address=("a", machines.CONTROL_PORT),
            on_request=self.requests.append,
        )


@pytest.fixture
def node():
    node = Node(network=simulated_network.Network(clock=simulated_clock.Clock(seed=1)))
    yield node
    assert not node.failures


def call(node, **arguments) -> list:
    answers = []
    simulated_http.Caller(network=node.network, host="operators").call(
        host="a",
        port=machines.CONTROL_PORT,
        method="PUT",
        target="/x?y",
        headers=(("If-Match", "7"),),
        body=b"body",
        limit_s=LIMIT_S,
        done=answers.append,
        **arguments,
    )
    node.network.clock.run(until=0.5)
    return answers


def test_a_request_arrives_as_it_was_sent_and_its_answer_comes_back_once(node):
    answers = call(node)
    (request,) = node.requests
    assert (request.method, request.target, request.body) == (b"PUT", b"/x?y", b"body")
    assert request.text(b"if-match") == "7"
    request.reply(status=200, headers=[(b"ETag", b"8")], body=b"done")
    request.reply(status=500)
    node.network.clock.run(until=2.0)
    assert answers == [simulated_http.Answer(status=200, headers={"etag": "8"}, body=b"done")]


def test_a_request_that_is_aborted_ends_without_an_answer(node):
    answers = call(node)
    node.requests[0].abort()
    node.network.clock.run(until=0.9)
    assert answers == [None]


def test_node_is_notified_when_client_gives_up(node):
    answers, gone = call(node), []
    node.requests[0].on_disconnect = lambda: gone.append(node.network.clock.time)
    node.network.clock.run(until=2.0)
    assert answers == [None] and len(gone) == 1 and gone[0] > LIMIT_S


def test_a_lost_answer_is_reported_to_the_run_and_not_to_the_client(node):
    lost = []
    answers = call(node, on_lost=lost.append)
    node.requests[0].reply(status=200)
    node.network.clock.run(until=2.0)
    assert [answer.status for answer in lost] == [200] and answers == [None]


def test_no_answer_comes_over_a_partition(node):
    answers = call(node)
    node.network.partition(pairs=[("a", "operators")], is_reset=False)
    node.requests[0].reply(status=200)
    node.network.clock.run(until=2.0)
    assert answers == [None]


def test_a_port_without_a_server_ends_the_call_at_once(node):
    node.server.stop_listening()
    assert call(node) == [None] and not node.requests

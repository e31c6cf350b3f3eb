"""Compares responses of core nodes to operators and user agents with ploverward/command_line/golden/core_calls.json.

The core nodes are the real ones, on simulated machines. Values that depend on chance or the clock are compared by type.
The golden files define published interfaces: a change of one of them is a change of the protocol.
"""

import json
import pathlib
import re

import pytest

from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import state as rollout_states
from ploverward.simulation import loopback
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import scenario
from ploverward.simulation.control_plane import simulated_http
from ploverward.transport import http_server as http_servers
from ploverward.transport import messages

FOLDER = pathlib.Path(__file__).parent / "golden"
CALLS = json.loads((FOLDER / "core_calls.json").read_text(encoding="utf-8"))
WIRE = json.loads((FOLDER / "core_wire.json").read_text(encoding="utf-8"))
BY_TYPE = {"ageS", "age_s", "level", "life", "watch", "duties", "in_touch", "known", "on_disk"}  # keys
CORE_ADDRESS = re.compile(r"10\.0\.0\.\d+")
ANY_CORE = "CORE"
LIMIT_S = 3.0
PROXY = "10.0.9.1"
TRAIL = {
    "id": "a1",
    "homes": ["north"],
    "parts": ["0" * 16],
    "service": "llm",
    "model": "m",
    "goes": [],
    "arrived": 5.0,
    "status": 200,
}
WINDOW = {"rows": [["llm", "m", "drafts", "i-0", "r", 3, 6, 0, 2, 6, 5400, 1000, 6]], "over": 0}


# This section refers to names inside the program.


def routes(core) -> list:
    """Returns [method, path] of all routes of a core node, without HEAD, which comes with GET."""
    rules = core.operator_api._router._map.iter_rules()
    return sorted([method, rule.rule] for rule in rules for method in rule.methods - {"HEAD"})


def wire_parts(core) -> tuple:
    """Returns the handler of requests and the limits of the listener."""
    return core.operator_api._router.handle, core.operator_api._limits


class World:
    """Three core nodes and a proxy without faults, and the states in which calls are made."""

    def __init__(self):
        self.simulation = scenario.SimulationRun(
            plan=scenario.Plan(seed=3, machines=3, tolerated=1, disk=0, troubles=(), closing=())
        )
        self.simulation.fleet.proxy_hosts = [PROXY]
        self.simulation.build()
        self.core_client = simulated_http.Caller(network=self.simulation.network, host="operators")
        self.run(0.35)
        while not all(self.core(node).membership.has_majority_lease() for node in range(3)):
            self.run(0.05)  # founding the core set takes the seeds two rounds of messages

    def run(self, seconds: float) -> None:
        self.simulation.clock.run(until=self.simulation.clock.time + seconds)

    def core(self, node: int = 0):
        return self.simulation.fleet.slots[node].machine.core.core

    def call(self, *, node: int, method: str, target: str, headers, body: bytes):
        """Returns (status, {name: value}, body), or None if there is no response."""
        responses = []
        self.core_client.call(
            host=self.simulation.fleet.slots[node].machine.host,
            port=machines.CONTROL_PORT,
            method=method,
            target=target,
            headers=[(name.lower(), value) for name, value in headers.items()],
            body=body,
            limit_s=LIMIT_S,
            done=responses.append,
        )
        while not responses:
            self.run(0.05)
        return responses[0]

    # States, under the names that the golden file uses.
    def settled(self) -> None:
        self.run(8.0)

    def applied(self) -> None:
        self.run(2.0)

    def counted(self) -> None:
        """A proxy has reported the trail of a request and counts of an adapter."""
        operator_api = self.core().operator_api
        trails = (messages.CustodyTrail("a1", json.dumps(TRAIL).encode()),)
        self.core().custody.record(
            messages.CustodyTrails(node="n-p", incarnation="l1", number=0, is_last=False, trails=trails)
        )
        count = messages.AdapterCount(
            node="n-p",
            zone="znorth",
            region="north",
            incarnation="l1",
            window=0,
            number=1,
            counts=json.dumps(WINDOW).encode(),
        )
        operator_api.handle_adapter_counts(messages.AdapterCounts(counts=(count,)))

    def returned(self) -> None:
        """The roll-out of llm advances to its next stage and is then rolled back."""
        for stage in (rollout_states.Stage.PROMOTING, rollout_states.Stage.RETURNED):
            core = self.core()
            evidence = rollout_states.Evidence(
                stage=stage, age_s=1.5, reason="failed on r", sent=9, sent_new=4, routes={"r": [5, 0, 4, 3, 0]}
            )

            def edit(payload, evidence=evidence):
                row = rollout_states.rollouts_of(payload)["llm"]
                return orders.edit_to_stage(service="llm", seen=row, evidence=evidence)(payload)

            core.consensus.proposer.change(name=register_names.ROLLOUTS, edit=edit, done=lambda *_about: None)
            self.run(1.0)

    def just_cut_off(self) -> None:
        """The first node is partitioned from the others and has not detected it yet."""
        hosts = [slot.machine.host for slot in self.simulation.fleet.slots]
        pairs = {pair for other in hosts[1:] for pair in ((hosts[0], other), (other, hosts[0]))}
        self.simulation.network.partition(pairs=pairs, is_reset=False)

    def cut_off(self) -> None:
        self.run(3.0)


# From here on, only published interfaces are used.


def mask_varying_values(value, key: str = ""):
    """Returns the value with parts that depend on chance or the clock replaced by their type."""
    if isinstance(value, dict):
        return {name: mask_varying_values(held, key if key in BY_TYPE else name) for name, held in value.items()}
    if isinstance(value, list):
        return [mask_varying_values(held, key) for held in value]
    if key in BY_TYPE and value is not None:
        return "number" if isinstance(value, (int, float)) and not isinstance(value, bool) else type(value).__name__
    if key == "location" and isinstance(value, str):
        return CORE_ADDRESS.sub(ANY_CORE, value)
    return value


def run_calls(calls: list) -> list:
    """Makes the calls one after the other in one world and returns the responses."""
    world = World()
    found = []
    for call in calls:
        for state in call.get("before", ()):
            getattr(world, state)()
        body = call.get("body", "")
        answer = world.call(
            node=call.get("node", 0),
            method=call["method"],
            target=call["target"],
            headers=call.get("headers", {}),
            body=body.encode() if isinstance(body, str) else json.dumps(body).encode(),
        )
        assert answer is not None, call
        status, headers, data = answer
        normalized = {name: CORE_ADDRESS.sub(ANY_CORE, value) for name, value in headers.items()}
        found.append({"status": status, "headers": normalized, "body": mask_varying_values(json.loads(data))})
    return found


def send_raw(data: str) -> str:
    """Returns the first node's response to raw bytes on a connection, as sent on the wire."""
    take, limits = wire_parts(World().core())
    loop = loopback.new_loop()
    server = http_servers.HttpServer(
        loop=loop, address=("127.0.0.1", 0), on_request=take, limits=limits, peer_timeout_s=5.0
    )
    client = loopback.Client(loop=loop, address=server.address)
    client.send(data.encode("latin-1"))
    assert loopback.until(loop, lambda: is_complete(client.got))
    return client.got.decode()


def is_complete(received: bytes) -> bool:
    head, _end, body = received.partition(b"\r\n\r\n")
    length = re.search(rb"Content-Length: (\d+)", head)
    return length is not None and len(body) == int(length[1])


@pytest.fixture(scope="module")
def answers():
    return run_calls(CALLS["calls"])


@pytest.mark.parametrize("number", range(len(CALLS["calls"])))
def test_core_responses_match_the_golden_file(answers, number):
    call = CALLS["calls"][number]
    assert answers[number] == call["answer"], (call["method"], call["target"], call.get("before"))


def test_routes_match_the_golden_file_and_each_has_a_case():
    assert routes(World().core()) == CALLS["routes"]
    served = {
        (method, path)
        for method, path in CALLS["routes"]
        for call in CALLS["calls"]
        if call["method"] == method
        and call["answer"]["status"] == 200
        and re.fullmatch(re.sub(r"<[^>]+>", "[^/]+", path), call["target"].partition("?")[0])
    }
    assert served == {tuple(row) for row in CALLS["routes"]}


@pytest.mark.parametrize("number", range(len(WIRE)))
def test_bytes_on_the_wire_match_the_golden_file(number):
    assert send_raw(WIRE[number]["sent"]) == WIRE[number]["told"]

"""What core nodes answer to operators and user agents, call for call, as ploverward/command_line/golden/core_calls.json holds it.

The core nodes are the real ones on the model world's machines. Values that chance or the clock decides are compared by
type. The fixtures are what published interfaces promise: a change of one of them is a change of the protocol.
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


# What follows names parts of the program.


def routes(core) -> list:
    """[method, path] of all that a core node serves; HEAD comes with GET."""
    rules = core.operator_api._router._map.iter_rules()
    return sorted([method, rule.rule] for rule in rules for method in rule.methods - {"HEAD"})


def wire_parts(core) -> tuple:
    """Who takes a request, and the limits of the listener."""
    return core.operator_api._router.handle, core.operator_api._limits


class World:
    """Three core nodes and a proxy without troubles, and the states that calls are made in."""

    def __init__(self):
        self.day = scenario.SimulationRun(
            plan=scenario.Plan(seed=3, machines=3, tolerated=1, disk=0, troubles=(), closing=())
        )
        self.day.fleet.proxy_hosts = [PROXY]
        self.day.build()
        self.core_client = simulated_http.Caller(network=self.day.network, host="operators")
        self.run(0.35)
        while not all(self.core(node).membership.has_majority_lease() for node in range(3)):
            self.run(0.05)  # the seeds found their set together, which takes them two rounds of messages

    def run(self, seconds: float) -> None:
        self.day.clock.run(until=self.day.clock.time + seconds)

    def core(self, node: int = 0):
        return self.day.fleet.slots[node].machine.core.core

    def call(self, *, node: int, method: str, target: str, headers, body: bytes):
        """(status, {name: value}, body), or None where there is no answer."""
        told = []
        self.core_client.call(
            host=self.day.fleet.slots[node].machine.host,
            port=machines.CONTROL_PORT,
            method=method,
            target=target,
            headers=[(name.lower(), value) for name, value in headers.items()],
            body=body,
            limit_s=LIMIT_S,
            done=told.append,
        )
        while not told:
            self.run(0.05)
        return told[0]

    # States, by the names that the fixtures use.
    def settled(self) -> None:
        self.run(8.0)

    def applied(self) -> None:
        self.run(2.0)

    def counted(self) -> None:
        """A proxy has told of a request and of an adapter."""
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
        """The roll-out of llm goes to its next stage, and back."""
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
        """The first node has lost the others and does not know it yet."""
        hosts = [slot.machine.host for slot in self.day.fleet.slots]
        pairs = {pair for other in hosts[1:] for pair in ((hosts[0], other), (other, hosts[0]))}
        self.day.network.partition(pairs=pairs, is_reset=False)

    def cut_off(self) -> None:
        self.run(3.0)


# What follows knows the interfaces alone.


def as_told(value, key: str = ""):
    """The value with what chance and clock decide replaced by its type."""
    if isinstance(value, dict):
        return {name: as_told(held, key if key in BY_TYPE else name) for name, held in value.items()}
    if isinstance(value, list):
        return [as_told(held, key) for held in value]
    if key in BY_TYPE and value is not None:
        return "number" if isinstance(value, (int, float)) and not isinstance(value, bool) else type(value).__name__
    if key == "location" and isinstance(value, str):
        return CORE_ADDRESS.sub(ANY_CORE, value)
    return value


def run_simulation(calls: list) -> list:
    """The answers to these calls, one after the other at one world."""
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
        told = {name: CORE_ADDRESS.sub(ANY_CORE, value) for name, value in headers.items()}
        found.append({"status": status, "headers": told, "body": as_told(json.loads(data))})
    return found


def speak(data: str) -> str:
    """The first node's answer to bytes on a connection, as it stands on the wire."""
    take, limits = wire_parts(World().core())
    loop = loopback.new_loop()
    server = http_servers.HttpServer(
        loop=loop, address=("127.0.0.1", 0), on_request=take, limits=limits, peer_timeout_s=5.0
    )
    client = loopback.Client(loop=loop, address=server.address)
    client.send(data.encode("latin-1"))
    assert loopback.until(loop, lambda: is_complete(client.got))
    return client.got.decode()


def is_complete(told: bytes) -> bool:
    head, _end, body = told.partition(b"\r\n\r\n")
    length = re.search(rb"Content-Length: (\d+)", head)
    return length is not None and len(body) == int(length[1])


@pytest.fixture(scope="module")
def answers():
    return run_simulation(CALLS["calls"])


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
    assert speak(WIRE[number]["sent"]) == WIRE[number]["told"]

"""Simulated machines: what a core node runs on, and the settings files they start with."""

from __future__ import annotations

import dataclasses
import json

from ploverward.common import settings as settings_files
from ploverward.control_plane import core_node
from ploverward.control_plane import node_runtime
from ploverward.control_plane.discovery import endpoint_list_poller
from ploverward.control_plane.discovery.platform_connection import PlatformResponse
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_disk
from ploverward.simulation.control_plane import simulated_network

CONTROL_PORT, DIRECTORY_PORT, INNER_PORT = 8080, 8081, 7720
PLATFORM = "platform"
BOUNDS = {
    "contactMs": 4000,
    "receiptMs": 5000,
    "catchUpS": 4,
    "drainMs": 4000,
    "graceS": 8,
    "applyMs": 2500,
    "evacuateMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 50,
    "warmupExcess": 1.5,
    "warmupSlack": 5,
    "ttl_max_s": 5,
    "stretchMaxMs": 6000,
}
REGIONS = ("north", "south", "west")
ZONES = {f"z{region}": region for region in REGIONS}


def settings(*, host: str, region: str, seeds: tuple, is_first: bool, tolerated: int, is_core: bool = True):
    """A settings file as a machine gets it, read by the real reader."""
    lines = [
        f"node=n-{host}",
        f"role={'core' if is_core else 'proxy'}",
        f"ip={host}",
        f"zone=z{region}",
        f"region={region}",
        f"firstStart={'true' if is_first else 'false'}",
        f"innerPortRange={INNER_PORT},{INNER_PORT + 15}",
        f"cloudApi.address={PLATFORM}:80",
        "cloudApi.perS=10",
        "limits.diskMb=8",
        "counted=true",
        f"tolerate.machines={tolerated}",
        "seedNodes=" + ",".join(f"{seed}:{CONTROL_PORT}" for seed in seeds),
    ]
    lines += [f"zones.{zone}={name}" for zone, name in ZONES.items()]
    lines += [f"bounds.{name}={value}" for name, value in BOUNDS.items()]
    if is_core:
        lines += [f"bindings.control={host}:{CONTROL_PORT}", f"bindings.directory={host}:{DIRECTORY_PORT}"]
        lines += ["dataDir=/data"]
    return settings_files.check(text="\n".join(lines))


class Machine:
    """A machine with a disk, and the program that runs on it now."""

    def __init__(self, *, clock, host: str, region: str, speed_s: tuple = simulated_disk.SPEEDS_S[0]):
        self.host = host
        self.region = region
        self.disk = simulated_disk.Disk(clock=clock, speed_s=speed_s)
        self.ports = {}
        self.is_powered = True
        self.is_removed = False
        self.process = None
        self.program = None  # the Core or the model proxy

    @property
    def running_process(self) -> Program:
        """The process of a machine that was started."""
        assert self.process is not None
        return self.process


class Program(simulated_clock.Process):
    """A process with links."""

    def __init__(self, *, clock, name, on_failure):
        super().__init__(clock=clock, name=name, on_failure=on_failure)
        self.links = set()


def stop(*, machine: Machine, is_power_lost: bool = False) -> None:
    """The process ends at once. Its links are reset by the system, or go silent with the power."""
    process = machine.process
    if process is not None and process.is_alive:
        process.end()
        for link in sorted(process.links, key=lambda link: (link.peer, link.opened_at)):
            link.is_open = False
            if not is_power_lost:
                link.connection.left(link, item=simulated_network.RESET)
    machine.ports.clear()
    if is_power_lost:
        machine.disk.lose_power()
    else:
        machine.disk.kill()


class Platform:
    """The platform's list of replicas. Down, it is silent."""

    def __init__(self, *, network):
        self._network = network
        self._clock = network.clock
        self.is_up = True
        self.number = 0
        self.calls = 0

    def change(self) -> None:
        self.number += 1

    def body(self) -> bytes:
        row = {
            "id": f"i-{self.number}",
            "destination": "llm",
            "address": "10.9.0.1:8080",
            "zone": "znorth",
            "edition": "v1",
            "berths": 8,
            "condition": "accepting",
            "warmupLeftMs": 0,
            "models": [],
        }
        return json.dumps({"replicas": [row], "nextPage": None}).encode()


class SimulatedPlatformConnection:
    """Stands in for ploverward.control_plane.discovery.platform_connection.PlatformConnection."""

    def __init__(self, *, platform_model, machine, process):
        self._platform = platform_model
        self._machine = machine
        self._process = process
        self._clock = process.clock

    def get(self, *, url: str, limit_s: float, done) -> None:
        self._platform.calls += 1
        if self._platform.is_up:
            body = self._platform.body()
            delay = self._clock.chance.uniform(0.005, 0.05)
            self._clock.later(
                delay=delay, callback=lambda: done(PlatformResponse(status=200, body=body)), process=self._process
            )
        else:
            response = PlatformResponse(error=OSError("timed out"))
            self._clock.later(delay=limit_s, callback=lambda: done(response), process=self._process)


class NoFileWatch:
    def is_changed(self) -> bool:
        return False


class SimulatedRuntime(node_runtime.NodeRuntime):
    """Everything that a core node takes from its machine, simulated."""

    def __init__(self, *, network, machine, process, platform_model, node_settings, on_stop):
        self.network = network
        self.machine = machine
        self.process = process
        self.on_terminate = None
        self._clock = network.clock
        self._platform = platform_model
        self._settings = node_settings
        self._on_stop = on_stop

    def loop(self, *, on_fault=None):
        return simulated_clock.Loop(process=self.process, on_stop=self._on_stop, disk=self.machine.disk)

    def peer_listener(self, **about):
        return simulated_network.PeerListener(runtime=self, **about)

    def connector(self, **about):
        return simulated_network.Connector(runtime=self, **about)

    def http_server(self, **about):
        return simulated_network.HttpServer(runtime=self, **about)

    def disk(self, *, folder: str):
        return self.machine.disk

    def platform_watch(self, **about):
        connection = SimulatedPlatformConnection(
            platform_model=self._platform, machine=self.machine, process=self.process
        )
        return endpoint_list_poller.EndpointListPoller(connection=connection, **about)

    def file_watch(self):
        return NoFileWatch()

    def load_settings(self):
        return self._settings

    def chance(self) -> float:
        return self._clock.chance.random()

    def unique_id(self) -> str:
        return f"{self._clock.chance.getrandbits(48):012x}"

    def on_signals(self, *, loop, on_terminate, on_reread) -> None:
        self.on_terminate = on_terminate


@dataclasses.dataclass
class RunningNode:
    """A core node that runs, and what the world needs of it."""

    core: core_node.CoreNode
    runtime: SimulatedRuntime
    is_draining: bool = False


def start_core(*, network, machine, platform_model, node_settings, on_failure, on_stop, watcher) -> RunningNode:
    """Starts a core node on this machine; `watcher(core)` is called before it runs."""
    machine.is_powered = True
    process = Program(clock=network.clock, name=machine.host, on_failure=on_failure)
    machine.process = process
    runtime = SimulatedRuntime(
        network=network,
        machine=machine,
        process=process,
        platform_model=platform_model,
        node_settings=node_settings,
        on_stop=lambda: on_stop(machine, process),
    )
    running = []

    def begin():
        core = core_node.CoreNode(settings=node_settings, runtime=runtime)
        watcher(core)
        core.start()
        machine.disk.finish_now()
        running.append(core)

    process.guard(begin)
    if not running:
        return None
    machine.program = RunningNode(core=running[0], runtime=runtime)
    return machine.program

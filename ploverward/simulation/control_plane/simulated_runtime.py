"""What a core node takes from its machine, simulated, and how one is started (docs/simulate.md).

`SimulatedRuntime` is the twin of ploverward.control_plane.node_runtime.NodeRuntime; the node itself is the real one.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from ploverward.common import settings as settings_files
from ploverward.control_plane import core_node
from ploverward.control_plane import node_runtime
from ploverward.control_plane.discovery import endpoint_list_poller
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import platform_model
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_http
from ploverward.simulation.control_plane import simulated_network
from ploverward.simulation.control_plane import simulated_peers

ID_BITS = 48


class UnchangedFile:
    """The settings file of a machine, which nobody changes while its node runs."""

    def is_changed(self) -> bool:
        """Whether it changed: never."""
        return False


class SimulatedRuntime(node_runtime.NodeRuntime):
    """The runtime of one process on one machine.

    Attributes:
        network: Where the machine is.
        machine: On which the node runs.
        process: In which the node runs.
        on_terminate: What the node does at SIGTERM; None before it set that.
    """

    def __init__(
        self,
        *,
        network: simulated_network.Network,
        machine: machines.Machine,
        process: machines.Program,
        platform: platform_model.Platform,
        node_settings: settings_files.Settings,
        on_stop: Callable[[], object],
    ) -> None:
        """Makes the runtime of a node with these settings; `on_stop` is called when the node stops its loop."""
        self.network = network
        self.machine = machine
        self.process = process
        self.on_terminate: Callable[[], None] | None = None
        self._clock = network.clock
        self._platform = platform
        self._settings = node_settings
        self._on_stop = on_stop

    # The twins have the methods of the real classes and take their arguments, but none is a subclass of one.
    def loop(self, *, on_error: Callable[[BaseException], None] | None = None) -> Any:  # noqa: ANN401
        """Creates the event loop. Errors of its callbacks go to the process, as findings."""
        return simulated_clock.Loop(process=self.process, on_stop=self._on_stop, disk=self.machine.disk)

    def peer_listener(self, **arguments: Any) -> Any:  # noqa: ANN401
        """Accepts connections of other nodes."""
        return simulated_peers.PeerListener(runtime=self, **arguments)

    def connector(self, **arguments: Any) -> Any:  # noqa: ANN401
        """Keeps one connection to an address."""
        return simulated_peers.Connector(runtime=self, **arguments)

    def http_server(self, **arguments: Any) -> Any:  # noqa: ANN401
        """Listens for HTTP requests."""
        return simulated_http.HttpServer(runtime=self, **arguments)

    def disk(self, *, folder: str) -> Any:  # noqa: ANN401
        """Opens the machine's one folder."""
        return self.machine.disk

    def platform_poller(self, **arguments: Any) -> endpoint_list_poller.EndpointListPoller:  # noqa: ANN401
        """Reads the platform's list of replicas with the real poller."""
        connection = platform_model.SimulatedPlatformConnection(platform=self._platform, process=self.process)
        return endpoint_list_poller.EndpointListPoller(connection=connection, **arguments)

    def file_watch(self) -> Any:  # noqa: ANN401
        """Watches the settings file."""
        return UnchangedFile()

    def load_settings(self) -> settings_files.Settings:
        """Returns the settings with which the node was started."""
        return self._settings

    def chance(self) -> float:
        """Returns a random number from 0 to below 1, of the run's one generator."""
        return self._clock.chance.random()

    def wall_time(self) -> float:
        """Returns the simulated time: all machines agree on it."""
        return self._clock.time

    def unique_id(self) -> str:
        """Returns an identifier that no other call returns."""
        return f"{self._clock.chance.getrandbits(ID_BITS):012x}"

    def on_signals(self, *, loop: Any, on_terminate: Callable[[], None], on_reload: Callable[[], None]) -> None:  # noqa: ANN401
        """Notes what the node does at SIGTERM; no other signal comes."""
        self.on_terminate = on_terminate


@dataclasses.dataclass(frozen=True, slots=True)
class RunningNode:
    """A core node that runs.

    Attributes:
        core: The node.
        runtime: What it took from its machine.
    """

    core: core_node.CoreNode
    runtime: SimulatedRuntime


def start_core(
    *,
    network: simulated_network.Network,
    machine: machines.Machine,
    platform: platform_model.Platform,
    node_settings: settings_files.Settings,
    on_failure: Callable[[simulated_clock.Process, str], object],
    on_stop: Callable[[machines.Machine, machines.Program], object],
    watcher: Callable[[core_node.CoreNode], object],
) -> RunningNode | None:
    """Switches a machine on and starts a core node on it.

    Args:
        network: Where the machine is.
        machine: The machine.
        platform: The platform that the node reads.
        node_settings: The node's.
        on_failure: Called with the process and a traceback for each exception in one of its steps.
        on_stop: Called with the machine and the process when the node ends by itself.
        watcher: Called with the node before it runs.

    Returns:
        The node; None where its start failed.
    """
    machine.is_powered = True
    process = machine.process = machines.Program(clock=network.clock, name=machine.host, on_failure=on_failure)
    runtime = SimulatedRuntime(
        network=network,
        machine=machine,
        process=process,
        platform=platform,
        node_settings=node_settings,
        on_stop=lambda: on_stop(machine, process),
    )
    started: list[RunningNode] = []

    def start() -> None:
        core = core_node.CoreNode(settings=node_settings, runtime=runtime)
        watcher(core)
        core.start()
        machine.disk.finish_now()
        started.append(RunningNode(core=core, runtime=runtime))

    process.guard(start)
    if not started:
        return None
    machine.core = started[0]
    return machine.core

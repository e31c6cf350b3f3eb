"""The simulated runtime of a core node, and the start of a node on a simulated machine (docs/simulate.md).

`SimulatedRuntime` is the simulated counterpart of ploverward.control_plane.node_runtime.NodeRuntime: it provides what
a node takes from its machine. The code of the node itself is the real one.
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
    """The settings file of a machine, which is never changed while its node runs."""

    def is_changed(self) -> bool:
        """Returns False, because the file never changes."""
        return False


class SimulatedRuntime(node_runtime.NodeRuntime):
    """The runtime of one process on one machine.

    Attributes:
        network: The network that the machine belongs to.
        machine: The machine on which the node runs.
        process: The process in which the node runs.
        on_terminate: The node's handler of SIGTERM; None until the node sets it.
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
        """Creates the runtime of a node with these settings; `on_stop` is called when the node stops its loop."""
        self.network = network
        self.machine = machine
        self.process = process
        self.on_terminate: Callable[[], None] | None = None
        self._clock = network.clock
        self._platform = platform
        self._settings = node_settings
        self._on_stop = on_stop

    # The simulated classes have the methods and the arguments of the real ones, but don't inherit from them.
    def loop(self, *, on_error: Callable[[BaseException], None] | None = None) -> Any:  # noqa: ANN401
        """Creates the event loop. Ignores `on_error`: the process reports exceptions in callbacks as findings."""
        return simulated_clock.Loop(process=self.process, on_stop=self._on_stop, disk=self.machine.disk)

    def peer_listener(self, **arguments: Any) -> Any:  # noqa: ANN401
        """Creates a listener for connections of other nodes."""
        return simulated_peers.PeerListener(runtime=self, **arguments)

    def connector(self, **arguments: Any) -> Any:  # noqa: ANN401
        """Creates a connector, which keeps one connection to an address open."""
        return simulated_peers.Connector(runtime=self, **arguments)

    def http_server(self, **arguments: Any) -> Any:  # noqa: ANN401
        """Creates a server of HTTP requests."""
        return simulated_http.HttpServer(runtime=self, **arguments)

    def disk(self, *, folder: str) -> Any:  # noqa: ANN401
        """Returns the disk of the machine, which has only one folder."""
        return self.machine.disk

    def platform_poller(self, **arguments: Any) -> endpoint_list_poller.EndpointListPoller:  # noqa: ANN401
        """Creates the real poller of the platform's list of replicas, with a simulated connection."""
        connection = platform_model.SimulatedPlatformConnection(platform=self._platform, process=self.process)
        return endpoint_list_poller.EndpointListPoller(connection=connection, **arguments)

    def file_watch(self) -> Any:  # noqa: ANN401
        """Creates a watch of the settings file, which never changes."""
        return UnchangedFile()

    def load_settings(self) -> settings_files.Settings:
        """Returns the settings with which the node was started."""
        return self._settings

    def chance(self) -> float:
        """Returns a random number from 0.0 (inclusive) to 1.0 (exclusive), drawn from the only generator of the run."""
        return self._clock.chance.random()

    def wall_time(self) -> float:
        """Returns the simulated time, which is the same on all machines."""
        return self._clock.time

    def unique_id(self) -> str:
        """Returns an identifier that no other call returns."""
        return f"{self._clock.chance.getrandbits(ID_BITS):012x}"

    def on_signals(self, *, loop: Any, on_terminate: Callable[[], None], on_reload: Callable[[], None]) -> None:  # noqa: ANN401
        """Stores the node's handler of SIGTERM; the simulation sends no other signal."""
        self.on_terminate = on_terminate


@dataclasses.dataclass(frozen=True, slots=True)
class RunningNode:
    """A core node that was started, and its runtime.

    Attributes:
        core: The node.
        runtime: The simulated runtime of the node.
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
        network: The network that the machine belongs to.
        machine: The machine.
        platform: The platform whose list of replicas the node reads.
        node_settings: The settings of the node.
        on_failure: Called with the process and a traceback for each exception in one of its steps.
        on_stop: Called with the machine and the process when the node stops its own loop.
        watcher: Called with the node before it starts.

    Returns:
        The node; None if its start raised an exception.
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

"""Simulated machines, each with a disk and one running program, and their settings files (docs/simulate.md)."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import TYPE_CHECKING

from ploverward.common import settings as settings_files
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_disk
from ploverward.simulation.control_plane import simulated_network

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import proxies
    from ploverward.simulation.control_plane import simulated_http
    from ploverward.simulation.control_plane import simulated_peers
    from ploverward.simulation.control_plane import simulated_runtime

CONTROL_PORT, DIRECTORY_PORT, INNER_PORT = 8080, 8081, 7720
PLATFORM = "platform"
BOUNDS = {  # `bounds` of the settings file, short enough that they expire within a run of about a minute
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


def settings(
    *, host: str, region: str, seeds: Sequence[str], is_first: bool, tolerated: int, is_core: bool = True
) -> settings_files.Settings:
    """Returns the settings of a machine, as the product's own parser reads them from a settings file.

    Args:
        host: Address of the machine.
        region: Region of the machine.
        seeds: Addresses of the core nodes that the machine contacts first.
        is_first: Whether this is the first start of the whole system.
        tolerated: Number of core machines that may be lost at once.
        is_core: Whether the machine runs a core node rather than a proxy.
    """
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
    return settings_files.parse_settings(text="\n".join(lines))


class Program(simulated_clock.Process):
    """A process with connections to other nodes.

    Attributes:
        links: The open connections.
    """

    def __init__(
        self, *, clock: simulated_clock.Clock, name: str, on_failure: Callable[[simulated_clock.Process, str], object]
    ) -> None:
        super().__init__(clock=clock, name=name, on_failure=on_failure)
        self.links: set[simulated_peers.PeerConnection] = set()


class Machine:
    """A machine with its disk and the program that runs on it.

    Attributes:
        host: Address of the machine.
        region: Region of the machine.
        disk: The disk that holds the data folder.
        peer_listeners: Listeners for connections of other nodes, by port.
        http_servers: HTTP servers, by port.
        is_powered: Whether the operating system runs and answers.
        is_removed: Whether the machine was removed permanently or is being removed.
        process: The newest process of the program, also after its end; None before the first start.
        core: The last core node that started here; None if there was none.
        proxy: The newest model proxy; None if there was none or its start failed.
    """

    def __init__(
        self,
        *,
        clock: simulated_clock.Clock,
        host: str,
        region: str,
        speed_s: tuple[float, float] = simulated_disk.SPEEDS_S[0],
    ) -> None:
        """Creates a machine with an empty disk; `speed_s` is the shortest and the longest duration of a sync."""
        self.host = host
        self.region = region
        self.disk = simulated_disk.Disk(clock=clock, speed_s=speed_s)
        self.peer_listeners: dict[int, simulated_peers.PeerListener] = {}
        self.http_servers: dict[int, simulated_http.HttpServer] = {}
        self.is_powered = True
        self.is_removed = False
        self.process: Program | None = None
        self.core: simulated_runtime.RunningNode | None = None
        self.proxy: proxies.Proxy | None = None

    @property
    def running_process(self) -> Program:
        """The newest process; the machine must have been started before."""
        assert self.process is not None
        return self.process


def stop(*, machine: Machine, is_power_lost: bool = False) -> None:
    """Ends a machine's process at once.

    The operating system resets the connections of the process, unless the power is lost: then they go silent.
    """
    process = machine.process
    if process is not None and process.is_alive:
        process.end()
        for link in sorted(process.links, key=lambda link: (link.peer, link.opened_at)):
            link.is_open = False
            if not is_power_lost:
                link.wire.close(link, signal=simulated_network.Signal.RESET)
    machine.peer_listeners.clear()
    machine.http_servers.clear()
    if is_power_lost:
        machine.disk.lose_power()
    else:
        machine.disk.kill()

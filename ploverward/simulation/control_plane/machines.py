"""Simulated machines: hosts with a disk, on which one program runs at a time, and their settings (docs/simulate.md)."""

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
BOUNDS = {  # as in the settings file; short, so that a run of a minute shows what they bound
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
    """Makes a settings file as a machine gets it, read by the real reader.

    Args:
        host: The machine's.
        region: The machine's.
        seeds: Hosts of core nodes that it asks first.
        is_first: Whether this is the first start of the whole system.
        tolerated: How many core machines may be lost at once.
        is_core: Whether it runs a core node, or a proxy.
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
        links: The open ones.
    """

    def __init__(
        self, *, clock: simulated_clock.Clock, name: str, on_failure: Callable[[simulated_clock.Process, str], object]
    ) -> None:
        super().__init__(clock=clock, name=name, on_failure=on_failure)
        self.links: set[simulated_peers.PeerConnection] = set()


class Machine:
    """A machine with a disk, and the program that runs on it now.

    Attributes:
        host: Its address.
        region: Where it stands.
        disk: Its data folder.
        peer_listeners: What listens for nodes, by port.
        http_servers: What listens for HTTP, by port.
        is_powered: Whether its system answers.
        is_removed: Whether it is gone for good, or about to go.
        process: The program's newest life, also after its end; None before the first.
        core: The core node of that life, if it is one.
        proxy: The model proxy of that life, if it is one.
    """

    def __init__(
        self,
        *,
        clock: simulated_clock.Clock,
        host: str,
        region: str,
        speed_s: tuple[float, float] = simulated_disk.SPEEDS_S[0],
    ) -> None:
        """Makes a machine with an empty disk; `speed_s` bounds how long a sync takes."""
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
        """The newest process of a machine that was started."""
        assert self.process is not None
        return self.process


def stop(*, machine: Machine, is_power_lost: bool = False) -> None:
    """Ends the process at once. Its connections are reset by the system, or go silent with the power."""
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

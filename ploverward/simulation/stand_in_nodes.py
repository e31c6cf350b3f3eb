"""The nodes of the stand-in deployment: one core node and one proxy per region, each a process with a settings file."""

from __future__ import annotations

import os
import signal
import subprocess
import sys

from ploverward.simulation import stand_in_replicas

STOP_S = 12  # a node that has not ended so long after SIGTERM is killed
COUNTER_PORT, READINESS_PORT = 2, 3  # of a proxy; offsets from the deployment's first port
FIRST_INNER_PORT, LAST_INNER_PORT = 20, 35  # offsets from the deployment's first port
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "receiptMs": 5000,
    "catchUpS": 4,
    "drainMs": 4000,
    "graceS": 8,
    "lossSlackMs": 200,
    "applyMs": 2500,
    "revertSlackMs": 250,
    "stretchMaxMs": 6000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 50,
    "warmupExcess": 1.5,
    "warmupSlack": 5,
    "evacuateMs": 5000,
    "recoverS": 12,
    "passMs": 300,
    "ttl_max_s": 5,
    "exposureShare": 0.1,
    "exposureSlack": 50,
    "rollbackMs": 5000,
}


def core_host(index: int) -> str:
    """Returns the address of a region's core node."""
    return f"127.0.{index + 1}.1"


def proxy_host(index: int) -> str:
    """Returns the address of a region's proxy."""
    return f"127.0.{index + 1}.2"


class NodeProcesses:
    """The processes of all nodes, which run from construction until `stop`."""

    def __init__(self, *, folder: str, base_port: int, platform: str) -> None:
        """Starts all nodes.

        Args:
            folder: The folder for the settings files and the data folders.
            base_port: The deployment's first port.
            platform: ADDRESS:PORT of the platform.
        """
        self._folder = folder
        self._base_port = base_port
        self._platform = platform
        self._processes: list[subprocess.Popen[bytes]] = []
        for index, region in enumerate(stand_in_replicas.REGIONS):
            self._start("core", core_host(index), region)
            self._start("proxy", proxy_host(index), region)

    def _start(self, role: str, ip: str, region: str) -> None:
        path = os.path.join(self._folder, f"{role}-{region}.conf")
        with open(path, "w", encoding="utf-8") as handle:
            handle.write("\n".join(self._settings_lines(role, ip, region)) + "\n")
        environment = {**os.environ, "PLOVERWARD_NODE_FILE": path}
        self._processes.append(subprocess.Popen([sys.executable, "-m", "ploverward", role], env=environment))

    def _settings_lines(self, role: str, ip: str, region: str) -> list[str]:
        base = self._base_port
        regions = stand_in_replicas.REGIONS
        lines = [
            f"node={role}-{region}",
            f"role={role}",
            f"ip={ip}",
            f"zone=z{region}",
            f"region={region}",
            "firstStart=true",
            *(f"zones.z{name}={name}" for name in regions),
            f"innerPortRange={base + FIRST_INNER_PORT},{base + LAST_INNER_PORT}",
            f"cloudApi.address={self._platform}",
            "cloudApi.perS=40",
            "seedNodes=" + ",".join(f"{core_host(index)}:{base}" for index in range(len(regions))),
        ]
        if role == "core":
            lines += [
                f"bindings.control={ip}:{base}",
                f"bindings.directory={ip}:{base + 1}",
                f"dataDir={os.path.join(self._folder, f'data-{region}')}",
                "limits.diskMb=64",
            ]
        else:
            lines += [
                f"bindings.counter={ip}:{base + COUNTER_PORT}",
                f"bindings.readiness={ip}:{base + READINESS_PORT}",
            ]
        return lines + [f"bounds.{name}={value}" for name, value in BOUNDS.items()]

    def stop(self) -> None:
        """Sends SIGTERM to all nodes, and kills those that do not end within `STOP_S`."""
        for process in self._processes:
            process.send_signal(signal.SIGTERM)
        for process in self._processes:
            try:
                process.wait(timeout=STOP_S)
            except subprocess.TimeoutExpired:
                process.kill()

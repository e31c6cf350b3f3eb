"""A small deployment on the loopback range, for trying the programs by hand.

`python3 -m ploverward stand-in [--folder F] [--port N]` starts three regions, each with a core node, a proxy and two
stand-in replicas, a stand-in platform, and light traffic. It replaces a real platform and model replicas, and takes no
measurements. Ctrl-C ends it.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import tempfile
import urllib.request
import uuid

from ploverward.simulation import stand_in_nodes
from ploverward.simulation import stand_in_replicas
from ploverward.simulation import stand_in_versions
from ploverward.transport import event_loop
from ploverward.transport import interfaces

MAX_IN_FLIGHT = 12  # requests in progress
CONFIGURE_PAUSE_S, REQUEST_PAUSE_S = 0.2, 0.05  # between two attempts to configure, and two requests
CONFIGURE_TIMEOUT_S, REQUEST_TIMEOUT_S = 3, 4
CONFIGURATION = {
    "edition": 1,
    "routes": [
        {
            "name": "chat",
            "host": "club.example",
            "pathLead": "/chat/",
            "kind": "streaming",
            "expiryMs": 10000,
            "targetMs": 600,
            "urgency": 0,
            "destination": "tutor",
            "tries": 2,
            "sticky": True,
            "resume": True,
            "gapTargetMs": 600,
            "homeRegions": ["north", "south"],
        },
        {
            "name": "board",
            "host": "club.example",
            "pathLead": "/board/",
            "kind": "retry_safe",
            "expiryMs": 3000,
            "targetMs": 300,
            "urgency": 2,
            "destination": "tutor",
            "tries": 2,
            "sticky": False,
        },
    ],
    "destinations": [
        {
            "name": "tutor",
            "health": "/health",
            "maxConns": 200,
            "warmupS": 0,
            "warmupPerS": 0,
            "engine": {
                "berths": 16,
                "cacheTokens": 20000,
                "models": [{"name": "m", "adapters": ["drafts", "hearings", "moves", "coach"]}],
            },
        }
    ],
    "limits": {"labelBytes": 16384, "parcelBytes": 1000000, "labelMs": 3000, "idleMs": 15000},
}


class Traffic:
    """Configures the deployment once its core is up, then sends requests to its proxies."""

    def __init__(self, *, loop: event_loop.Loop, base_port: int, folder: str) -> None:
        """Starts configuring at once.

        Args:
            loop: The event loop.
            base_port: The deployment's first port.
            folder: The folder of the settings files, which is printed with the addresses of the core nodes.
        """
        self._loop = loop
        self._base_port = base_port
        self._folder = folder
        self._is_configured = False
        self._has_served = False  # whether any request succeeded
        self._in_flight = 0
        self._start_next()

    def _start_next(self) -> None:
        if not self._is_configured:
            if not self._in_flight:
                self._in_flight += 1
                self._loop.offload(work=self._configure, done=self._handle_configured)
        elif self._in_flight < MAX_IN_FLIGHT:
            self._in_flight += 1
            self._loop.offload(work=self._request, done=self._handle_requested)
        pause_s = REQUEST_PAUSE_S if self._is_configured else CONFIGURE_PAUSE_S
        self._loop.after(delay=pause_s, callback=self._start_next)

    def _configure(self) -> bool:
        request = urllib.request.Request(
            f"http://{stand_in_nodes.core_host(0)}:{self._base_port}/ploverward/configuration",
            method="PUT",
            data=json.dumps(CONFIGURATION).encode(),
            headers={"If-Match": "0", "Content-Type": "application/json"},
        )
        try:
            with urllib.request.urlopen(request, timeout=CONFIGURE_TIMEOUT_S) as reply:
                return reply.status == 200
        except OSError:
            return False  # the core is not up yet

    def _handle_configured(self, outcome: interfaces.Outcome) -> None:
        self._in_flight -= 1
        self._is_configured = outcome.result()
        if self._is_configured:
            cores = ",".join(
                f"{stand_in_nodes.core_host(index)}:{self._base_port}"
                for index in range(len(stand_in_replicas.REGIONS))
            )
            print(f"up: --core {cores}; settings in {self._folder}", flush=True)

    def _request(self) -> str | None:
        """Sends one request; returns its id, or None if it did not succeed."""
        request_id = uuid.uuid4().hex[:16]
        route = random.choice(("chat", "board"))
        host = stand_in_nodes.proxy_host(random.randrange(len(stand_in_replicas.REGIONS)))
        request = urllib.request.Request(
            f"http://{host}:{self._base_port + stand_in_nodes.COUNTER_PORT}/{route}/x",
            method="POST",
            data=b"hello",
            headers={
                "Host": "club.example",
                "X-Attempt-Id": request_id,
                "X-Model": random.choice(stand_in_replicas.ADAPTERS) if route == "chat" else "m",
                "X-Token-Count": "120,40",
                "X-Prompt-Lead": f"aa{random.randint(1, 5)}:80,{request_id[:8]}:40",
                "X-Time-Left-Ms": "3000",
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_S) as reply:
                reply.read()
                return request_id if reply.status == 200 else None
        except OSError:
            return None

    def _handle_requested(self, outcome: interfaces.Outcome) -> None:
        self._in_flight -= 1
        request_id = outcome.result()
        if request_id and not self._has_served:
            self._has_served = True
            print(f"first request served: {request_id}", flush=True)


class _StopSignal:
    """Records whether the process received SIGINT or SIGTERM.

    Attributes:
        is_received: Whether one of them was received.
    """

    def __init__(self) -> None:
        self.is_received = False
        signal.signal(signal.SIGINT, self._handle)
        signal.signal(signal.SIGTERM, self._handle)

    def _handle(self, *_signal: object) -> None:
        self.is_received = True


def main(arguments: list[str] | None = None) -> None:
    """Runs the deployment until it is interrupted or its time is over.

    Args:
        arguments: The command line arguments; those of the process by default.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument("--folder", default="")
    parser.add_argument("--port", type=int, default=18100)
    parser.add_argument("--for_s", type=float, default=0.0, help="end by itself after so long")
    args = parser.parse_args(arguments)
    folder = args.folder or tempfile.mkdtemp(prefix="ploverward-")
    os.makedirs(folder, exist_ok=True)
    loop = event_loop.Loop()
    replicas = stand_in_replicas.FakeReplicas(loop=loop, base_port=args.port)
    stand_in_versions.FakeVersions(
        loop=loop,
        core=f"{stand_in_nodes.core_host(0)}:{args.port}",
        service=stand_in_replicas.SERVICE,
        replicas=replicas,
    )
    nodes = stand_in_nodes.NodeProcesses(folder=folder, base_port=args.port, platform=replicas.platform)
    stop_signal = _StopSignal()
    Traffic(loop=loop, base_port=args.port, folder=folder)
    started_at = loop.now()
    while not stop_signal.is_received and not (args.for_s and loop.now() - started_at > args.for_s):
        loop.step()
    nodes.stop()


if __name__ == "__main__":
    main()

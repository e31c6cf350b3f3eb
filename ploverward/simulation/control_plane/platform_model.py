"""A model of the platform with its list of replicas, and the connection of core nodes to it (docs/simulate.md)."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from ploverward.control_plane.discovery.platform_connection import PlatformResponse

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import simulated_clock

ANSWER_S = (0.005, 0.05)  # bounds of the time that the platform takes to answer


class Platform:
    """The platform with a list of one replica. While it is down, it does not answer.

    Attributes:
        is_up: Whether it answers.
        number: Number of changes of the list; part of the replica's id.
        calls: Number of received requests.
    """

    def __init__(self) -> None:
        self.is_up = True
        self.number = 0
        self.calls = 0

    def change(self) -> None:
        """Replaces the listed replica by another one."""
        self.number += 1

    def body(self) -> bytes:
        """Returns the body of the response to a read of the list."""
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
    """The simulated counterpart of ploverward.control_plane.discovery.platform_connection.PlatformConnection."""

    def __init__(self, *, platform: Platform, process: simulated_clock.Process) -> None:
        """Creates the connection of a process to the platform."""
        self._platform = platform
        self._process = process
        self._clock = process.clock

    def get(self, *, url: str, timeout_s: float, done: Callable[[PlatformResponse], object]) -> None:
        """Reads the list, ignoring the URL; calls `done(response)` after at most `timeout_s` seconds."""
        self._platform.calls += 1
        if self._platform.is_up:
            response = PlatformResponse(status=200, body=self._platform.body())
            delay = self._clock.chance.uniform(*ANSWER_S)
        else:
            response = PlatformResponse(error=OSError("timed out"))
            delay = timeout_s
        self._clock.later(delay=delay, callback=lambda: done(response), process=self._process)

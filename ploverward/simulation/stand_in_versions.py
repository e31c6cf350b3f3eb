"""Roll-outs of the stand-in platform: starts and stops the replicas of versions as the core's roll-outs demand.

A version's name selects its behavior: `v2` is good, and `v2-errors`, `v2-slow`, `v2-route` (only on /chat/) and
`v2-late` (only from `LATE_S` after its start) send bad responses to half of the requests.
"""

from __future__ import annotations

import json
import urllib.request
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import Protocol

from ploverward.transport import interfaces

LATE_S = 3.0  # from the start of a `-late` version until its responses may be bad
BAD_SHARE = 0.5  # the share of bad responses of a bad version
SLOWDOWN = 8.0  # the factor by which a slow response takes longer
DRAIN_S = 4.0  # from listing a version as draining until it is stopped
POLL_S = 0.5  # between two reads of the roll-out
READ_TIMEOUT_S = 2


def is_bad(*, edition: str, target: bytes, age_s: float, chance: float) -> bool:
    """Returns whether a replica's response to one request is bad.

    Args:
        edition: The replica's version.
        target: The request target.
        age_s: Seconds since the replica was started.
        chance: A random number, at least 0 and below 1.
    """
    kind = edition.partition("-")[2]
    if not kind or chance >= BAD_SHARE:
        return False
    if kind == "route":
        return target.startswith(b"/chat/")
    return kind != "late" or age_s >= LATE_S


def is_slow(edition: str) -> bool:
    """Returns whether bad responses of this version are slow; otherwise they are errors."""
    return edition.endswith("-slow")


class VersionedReplicas(Protocol):
    """Interface to replicas that are started and stopped by their version."""

    def start_version(self, edition: str) -> None:
        """Starts the replicas of a version."""

    def drain_version(self, edition: str) -> None:
        """Lists the replicas of a version as draining."""

    def stop_versions(self, is_gone: Callable[[str], bool]) -> None:
        """Stops the replicas of all versions for which `is_gone(edition)` is true."""


class _RolloutState(NamedTuple):
    """The number and condition of the roll-out that was handled last."""

    number: int
    condition: str


class FakeVersions:
    """Polls the roll-outs of a service, and starts and stops its replicas like a platform."""

    def __init__(self, *, loop: interfaces.Loop, core: str, service: str, replicas: VersionedReplicas) -> None:
        """Starts polling.

        Args:
            loop: The event loop.
            core: ADDRESS:PORT of a core node's operator API.
            service: The name of the service.
            replicas: The replicas of the service.
        """
        self._loop = loop
        self._url = f"http://{core}/ploverward/rollouts/{service}"
        self._replicas = replicas
        self._handled = _RolloutState(number=0, condition="")
        self._loop.after(delay=POLL_S, callback=self._poll)

    def _poll(self) -> None:
        self._loop.offload(work=self._read, done=self._handle_outcome)

    def _read(self) -> dict[str, Any] | None:
        try:
            with urllib.request.urlopen(self._url, timeout=READ_TIMEOUT_S) as reply:
                return json.load(reply)
        except (OSError, ValueError):
            return None  # the core is not up yet, or the service never had a roll-out

    def _handle_outcome(self, outcome: interfaces.Outcome) -> None:
        self._loop.after(delay=POLL_S, callback=self._poll)
        row = outcome.result()
        if row is not None:
            self._apply(row)

    def _apply(self, row: dict[str, Any]) -> None:
        state = _RolloutState(number=row["number"], condition=row["condition"])
        if state == self._handled:
            return
        is_new = state.number != self._handled.number
        self._handled = state
        target = row["targetEdition"]
        if is_new and state.condition == "in_service":
            self._replicas.start_version(target)
        elif state.condition == "delivered":
            self._replicas.stop_versions(lambda edition: edition != target)
        elif state.condition == "returned":
            self._replicas.drain_version(target)
            self._loop.after(
                delay=DRAIN_S, callback=lambda: self._replicas.stop_versions(lambda edition: edition == target)
            )

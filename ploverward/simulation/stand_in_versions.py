"""The stand-in platform's side of roll-outs: starts and stops replicas of versions as the core orders it.

What a version does is in its name: `v2` is good; `v2-errors`, `v2-slow`, `v2-route` (on /chat/ alone) and `v2-late`
(from LATE_S after its start) are bad in half of their answers.
"""

from __future__ import annotations

import json
import urllib.request
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import Protocol

from ploverward.transport import interfaces

LATE_S = 3.0
BAD_SHARE = 0.5  # of the answers of a bad version
SLOW_TIMES = 8.0  # how many times longer a slow answer takes
DRAIN_S = 4.0  # from a version's draining to its stop
POLL_S = 0.5
READ_TIMEOUT_S = 2


def is_bad(*, edition: str, target: bytes, age_s: float, chance: float) -> bool:
    """Whether one answer of a replica is a bad one.

    Args:
        edition: The replica's version.
        target: Of the request.
        age_s: How long ago the version was started.
        chance: A random number from 0 to below 1.
    """
    kind = edition.partition("-")[2]
    if not kind or chance >= BAD_SHARE:
        return False
    if kind == "route":
        return target.startswith(b"/chat/")
    return kind != "late" or age_s >= LATE_S


def is_slow(edition: str) -> bool:
    """Whether a bad answer of this version comes slowly; else it fails."""
    return edition.endswith("-slow")


class VersionedReplicas(Protocol):
    """Replicas that are started and stopped by their version."""

    def start_version(self, edition: str) -> None:
        """Starts replicas of a version."""

    def drain_version(self, edition: str) -> None:
        """Lists the replicas of a version as draining."""

    def stop_versions(self, is_gone: Callable[[str], bool]) -> None:
        """Ends the replicas of the versions for which `is_gone(edition)`."""


class _OrderState(NamedTuple):
    """A roll-out's state that was acted on."""

    number: int
    condition: str


class FakeVersions:
    """Follows the roll-outs of a service, and starts and stops its replicas as a platform does."""

    def __init__(self, *, loop: interfaces.Loop, core: str, service: str, replicas: VersionedReplicas) -> None:
        """Begins to follow.

        Args:
            loop: The event loop.
            core: ADDRESS:PORT of a core node's operator API.
            service: Its name.
            replicas: Of the service.
        """
        self._loop = loop
        self._url = f"http://{core}/ploverward/rollouts/{service}"
        self._replicas = replicas
        self._seen = _OrderState(number=0, condition="")
        self._loop.after(delay=POLL_S, callback=self._poll)

    def _poll(self) -> None:
        self._loop.offload(work=self._read, done=self._handle_outcome)

    def _read(self) -> dict[str, Any] | None:
        try:
            with urllib.request.urlopen(self._url, timeout=READ_TIMEOUT_S) as reply:
                return json.load(reply)
        except (OSError, ValueError):
            return None  # the core is not up yet, or there was no roll-out

    def _handle_outcome(self, outcome: interfaces.Outcome) -> None:
        self._loop.after(delay=POLL_S, callback=self._poll)
        row = outcome.result()
        if row is not None:
            self._follow(row)

    def _follow(self, row: dict[str, Any]) -> None:
        state = _OrderState(number=row["number"], condition=row["condition"])
        if state == self._seen:
            return
        is_new = state.number != self._seen.number
        self._seen = state
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

"""Calls of duties to the platform: POST with a JSON body (docs/platform-duties.md 1)."""

import collections.abc
import json

from ploverward.control_plane.discovery import platform_connection
from ploverward.transport import event_loop


class PlatformCalls:
    """Sends calls to the platform; the connection is made at the first one.

    Args:
        loop: The event loop.
        address: ADDRESS:PORT of the platform.
    """

    def __init__(self, *, loop: event_loop.Loop, address: str) -> None:
        self._loop = loop
        self._address = address
        self._connection: platform_connection.PlatformConnection | None = None

    def __call__(
        self,
        *,
        path: str,
        headers: collections.abc.Collection[str],
        body: object,
        timeout_s: float,
        done: collections.abc.Callable[[platform_connection.PlatformResponse], None],
    ) -> None:
        """Sends a POST.

        Args:
            path: Of the call.
            headers: Further headers, each as a line.
            body: What is sent as JSON.
            timeout_s: Seconds until the call is given up; the platform may still carry it out.
            done: Called once with the outcome.
        """
        if self._connection is None:
            self._connection = platform_connection.PlatformConnection(loop=self._loop)
        self._connection.post(
            url=f"http://{self._address}{path}",
            headers=headers,
            body=json.dumps(body, separators=(",", ":")).encode(),
            timeout_s=timeout_s,
            done=done,
        )

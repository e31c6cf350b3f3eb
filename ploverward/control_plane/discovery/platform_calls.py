"""Sends duty calls to the platform: POST requests with a JSON body (docs/platform-duties.md 1)."""

import collections.abc
import json

from ploverward.control_plane.discovery import platform_connection
from ploverward.transport import event_loop


class PlatformCalls:
    """Sends calls to the platform. The connection is created at the first call.

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
        """Sends a POST with a JSON body.

        Args:
            path: Path of the URL.
            headers: Additional headers, each as a "Name: value" line.
            body: The object to send as JSON.
            timeout_s: Timeout of the call in seconds; the platform may still carry out a call that timed out.
            done: Called once with the response or the error.
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

"""The events that the event loop watches one socket for."""

from collections.abc import Callable
from typing import Any

from ploverward.transport.event_loop import Loop


def _do_nothing(_mask: int) -> None:
    """The callback of a socket that is no longer watched."""


class SocketWatch:
    """Watches one socket for a set of events that changes, and may be empty.

    Args:
        loop: The event loop.
        sock: The socket.
        callback: Called with the ready events, a bit mask as used by `selectors`.
    """

    __slots__ = ("_loop", "_sock", "_callback", "_mask")

    def __init__(self, *, loop: Loop, sock: Any, callback: Callable[[int], object]) -> None:  # noqa: ANN401  # as `Loop`
        self._loop = loop
        self._sock = sock
        self._callback = callback
        self._mask = 0

    def close(self) -> None:
        """Stops watching for good, and drops the callback, whose owner mostly owns the watch as well."""
        self.update(0)
        self._callback = _do_nothing

    def update(self, mask: int) -> None:
        """Watches the socket for these events from now on."""
        if mask == self._mask:
            return
        if not mask:
            self._loop.unwatch(sock=self._sock)
        elif not self._mask:
            self._loop.watch(sock=self._sock, mask=mask, callback=self._callback)
        else:
            self._loop.rewatch(sock=self._sock, mask=mask, callback=self._callback)
        self._mask = mask

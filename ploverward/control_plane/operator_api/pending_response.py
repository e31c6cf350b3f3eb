"""The answer to a call that is given later: exactly once, and at the latest when its time limit is over.

A consensus round and a time limit race for the answer. Both call `PendingResponse.claim`; only the first gets the call.
"""

import collections.abc

from ploverward.control_plane.operator_api.router import Call
from ploverward.transport.interfaces import Loop


class PendingResponse:
    """The answer that a caller waits for.

    Attributes:
        begun_at: when the call arrived, seconds on the loop's clock.
        is_over: whether the answer was claimed.

    Args:
        loop: the event loop.
        call: the call.
        limit_s: seconds until `on_timeout` is called.
        on_timeout: called with this object; it has to claim the answer.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        call: Call,
        limit_s: float,
        on_timeout: collections.abc.Callable[["PendingResponse"], None],
    ) -> None:
        self._loop = loop
        self._call = call
        self.begun_at = loop.now()
        self.is_over = False
        self._timer = loop.after(delay=limit_s, callback=lambda: on_timeout(self))

    def extend(self, *, until: float, on_timeout: collections.abc.Callable[["PendingResponse"], None]) -> None:
        """Replaces the time limit.

        Args:
            until: the new limit, seconds on the loop's clock.
            on_timeout: called at the new limit in place of the earlier one.
        """
        self._loop.cancel(timer=self._timer)
        delay = max(0.0, until - self._loop.now())
        self._timer = self._loop.after(delay=delay, callback=lambda: on_timeout(self))

    def claim(self) -> Call | None:
        """The call, which the caller of this method has to answer now; None where it was claimed before."""
        if self.is_over:
            return None
        self.is_over = True
        self._loop.cancel(timer=self._timer)
        return self._call

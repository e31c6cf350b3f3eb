"""The delayed response to a call: sent exactly once, and no later than its time limit.

A consensus round and the time limit race to answer the call. Both call `PendingResponse.claim`, and only the first of
them gets the call.
"""

import collections.abc

from ploverward.control_plane.operator_api.router import Call
from ploverward.transport.interfaces import Loop


class PendingResponse:
    """A response that a caller waits for.

    Attributes:
        started_at: when the handling of the call started, in seconds on the loop's clock.
        is_claimed: whether `claim` has returned the call.

    Args:
        loop: the event loop.
        call: the call to answer.
        limit_s: seconds until `on_timeout` is called.
        on_timeout: called with this object at the time limit; it has to claim the call and answer it.
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
        self.started_at = loop.now()
        self.is_claimed = False
        self._timer = loop.after(delay=limit_s, callback=lambda: on_timeout(self))

    def extend(self, *, until: float, on_timeout: collections.abc.Callable[["PendingResponse"], None]) -> None:
        """Replaces the time limit.

        Args:
            until: the new limit, in seconds on the loop's clock.
            on_timeout: called at the new limit, in place of the earlier callback.
        """
        self._loop.cancel(timer=self._timer)
        delay = max(0.0, until - self._loop.now())
        self._timer = self._loop.after(delay=delay, callback=lambda: on_timeout(self))

    def claim(self) -> Call | None:
        """Returns the call, which the claimant has to answer now, or None if it was claimed before."""
        if self.is_claimed:
            return None
        self.is_claimed = True
        self._loop.cancel(timer=self._timer)
        return self._call

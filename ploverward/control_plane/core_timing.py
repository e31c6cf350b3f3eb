"""Derives the durations of a core node from the bounds in its settings (design 4, docs/control.md 2)."""

import dataclasses

from ploverward.common import settings as node_settings

DEFAULT_RETRY_WINDOW_S = 10.0
DEFAULT_MAX_TTL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CoreTiming:
    """Durations of a core node, in seconds.

    Attributes:
        contact_s: `contactMs`: the time within which every node must notice the loss of a node.
        receipt_s: `receiptMs`: the time within which an operator's order is acknowledged.
        retry_window_s: `retryWindowS`: the window over which the retry slack is counted.
        max_ttl_s: `ttl_max_s`: the longest time for which clients may use the answer to a look-up.
        platform_poll_interval_s: Time between the starts of two readings of the platform's replica list.
    """

    contact_s: float
    receipt_s: float
    retry_window_s: float
    max_ttl_s: float
    platform_poll_interval_s: float

    @classmethod
    def from_settings(cls, settings: node_settings.Settings) -> "CoreTiming":
        """Reads the durations. They do not change while the process runs, also if the settings are reloaded."""
        return cls(
            contact_s=settings.bound_s(name="contactMs"),
            receipt_s=settings.bound_s(name="receiptMs"),
            retry_window_s=settings.bound(name="retryWindowS", default=DEFAULT_RETRY_WINDOW_S),
            max_ttl_s=settings.bound(name="ttl_max_s", default=DEFAULT_MAX_TTL_S),
            # Eight readings fit into drainMs. One reading may take four requests, whose rate cloud_per_s bounds.
            platform_poll_interval_s=max(settings.bound_s(name="drainMs") / 8, 4 / settings.cloud_per_s),
        )

    @property
    def peer_timeout_s(self) -> float:
        """Time without a received message after which a connection is closed."""
        return self.contact_s / 5

    @property
    def lease_s(self) -> float:
        """Validity of share leases and of the majority lease."""
        return self.peer_timeout_s * 1.5

    @property
    def heartbeat_interval_s(self) -> float:
        """Time between heartbeats: a third of the peer timeout, so that one lost heartbeat closes no connection."""
        return self.peer_timeout_s / 3

    @property
    def takeover_after_s(self) -> float:
        """Time for which the coordinator has to be disconnected before another node acquires its role."""
        return self.peer_timeout_s / 4

    @property
    def fetch_timeout_s(self) -> float:
        """Time without an answer after which a version of a topic is fetched from another node."""
        return self.contact_s / 12

    @property
    def platform_timeout_s(self) -> float:
        """Timeout of one request for the platform's replica list."""
        return self.contact_s / 4

    @property
    def ttl_s(self) -> int:
        """Time for which clients may use the answer to a look-up, in whole seconds and at least one."""
        return max(1, int(self.max_ttl_s * 0.2))

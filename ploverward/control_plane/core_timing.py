"""Durations of a core node, all derived from the bounds in its settings (design 4, docs/control.md 2)."""

import dataclasses

from ploverward.common import settings as node_settings

DEFAULT_RETRY_WINDOW_S = 10.0
DEFAULT_MAX_TTL_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CoreTiming:
    """Durations in seconds.

    Attributes:
        contact_s: contactMs: after which a lost node has to be noticed everywhere.
        receipt_s: receiptMs: within which an order is acknowledged.
        retry_window_s: retryWindowS: the window over which the retry slack is counted.
        max_ttl_s: ttl_max_s: for how long clients may use the answer to a look-up, at most.
        platform_gap_s: From the start of one reading of the platform's list to the start of the next.
    """

    contact_s: float
    receipt_s: float
    retry_window_s: float
    max_ttl_s: float
    platform_gap_s: float

    @classmethod
    def from_settings(cls, settings: node_settings.Settings) -> "CoreTiming":
        """Reads the durations; they stay as they were at the start of the process."""
        return cls(
            contact_s=settings.bound_s(name="contactMs"),
            receipt_s=settings.bound_s(name="receiptMs"),
            retry_window_s=settings.bound(name="retryWindowS", default=DEFAULT_RETRY_WINDOW_S),
            max_ttl_s=settings.bound(name="ttl_max_s", default=DEFAULT_MAX_TTL_S),
            # Eight readings within drainMs; one reading may take four requests, and cloud_per_s bounds them.
            platform_gap_s=max(settings.bound_s(name="drainMs") / 8, 4 / settings.cloud_per_s),
        )

    @property
    def peer_timeout_s(self) -> float:
        """After which a connection on which nothing arrives ends, in seconds."""
        return self.contact_s / 5

    @property
    def lease_s(self) -> float:
        """How long share leases and the majority lease are valid."""
        return self.peer_timeout_s * 1.5

    @property
    def heartbeat_interval_s(self) -> float:
        """Three heartbeats fit into a peer time-out, so that one lost heartbeat ends nothing."""
        return self.peer_timeout_s / 3

    @property
    def takeover_after_s(self) -> float:
        """For how long the coordinator is disconnected before another node acquires the role."""
        return self.peer_timeout_s / 4

    @property
    def fetch_timeout_s(self) -> float:
        """After which a version of a topic is fetched from another node."""
        return self.contact_s / 12

    @property
    def platform_limit_s(self) -> float:
        """How long one reading of the platform's list may take."""
        return self.contact_s / 4

    @property
    def ttl_s(self) -> int:
        """How long clients may use the answer to a look-up, in whole seconds."""
        return max(1, int(self.max_ttl_s * 0.2))

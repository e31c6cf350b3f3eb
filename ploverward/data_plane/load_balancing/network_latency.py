"""Network latencies to replicas, measured as the time to establish a connection (design 6)."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from ploverward.data_plane.load_balancing import replica as replicas

MAX_GROWTH_FACTOR = 1.1  # limit of the estimate's growth per measurement: one slow connection proves little


class NetworkLatencies:
    """Estimates of the network latency; owns those of zones, while `Replica` has its own.

    Attributes:
        by_zone: Round trip in seconds, by zone: for replicas to which no connection was established yet.
    """

    def __init__(self) -> None:
        self.by_zone: dict[str, float] = {}

    def record(self, replica: replicas.Replica, *, took_s: float) -> None:
        """Records the time to establish a connection; the estimates are decaying minima."""
        known_s = replica.network_latency_s
        replica.network_latency_s = took_s if known_s is None else min(took_s, known_s * MAX_GROWTH_FACTOR)
        self.by_zone[replica.zone] = min(took_s, self.by_zone.get(replica.zone, took_s) * MAX_GROWTH_FACTOR)

    def estimate_s(self, replica: replicas.Replica) -> float | None:
        """Returns the round trip to a replica in seconds, by its zone if need be; None if its zone has no estimate."""
        return replica.network_latency_s if replica.network_latency_s is not None else self.by_zone.get(replica.zone)

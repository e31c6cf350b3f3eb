"""Network latencies to replicas, measured as the time to establish connections (design 6)."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from ploverward.data_plane.load_balancing import replica

FADE = 1.1  # a longer time raises the estimate by a tenth at most: one slow connection proves little


class NetworkLatencies:
    """Owns the estimates by zone; those by replica are in `Replica`.

    Attributes:
        by_zone: Round trip in seconds, for replicas of a zone to which no connection was made yet.
    """

    def __init__(self) -> None:
        self.by_zone: dict[str, float] = {}

    def record(self, one: replica.Replica, *, took_s: float) -> None:
        """Records the time to establish a connection: a decaying minimum."""
        known_s = one.network_latency_s
        one.network_latency_s = took_s if known_s is None else min(took_s, known_s * FADE)
        self.by_zone[one.zone] = min(took_s, self.by_zone.get(one.zone, took_s) * FADE)

    def estimate_s(self, one: replica.Replica) -> float | None:
        """Returns the round trip in seconds, None where nothing is known of its zone either."""
        return one.network_latency_s if one.network_latency_s is not None else self.by_zone.get(one.zone)

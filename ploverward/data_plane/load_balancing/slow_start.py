"""Slow start: determines until when a replica is warming up (design 8).

All proxies together send a replica that is warming up requests at a limited rate, which `ploverward.data_plane.quotas`
enforces, and the score of such a replica is worse. A replica warms up after its start, and again when its zone returns
from an evacuation, as its caches are then outdated.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

    from ploverward.data_plane.load_balancing import replica as replicas


def begin(replica: replicas.Replica, *, service: Mapping[str, typing.Any], now: float) -> None:
    """Begins a slow start, which lasts at least the `warmup_s` of the replica's service."""
    replica.warming_up_until = max(replica.warming_up_until, now + service.get("warmup_s", 0.0))


def follow_list(replica: replicas.Replica, *, left_ms: float, now: float) -> None:
    """Extends the slow start to the remaining time that the endpoint list states; never shortens it."""
    if left_ms > 0:
        replica.warming_up_until = max(replica.warming_up_until, now + left_ms / 1000.0)

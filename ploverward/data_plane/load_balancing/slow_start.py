"""Slow start: from when until when a replica is warming up (design 8).

A replica that is warming up gets a lower rate from all proxies, which `ploverward.data_plane.quotas` bounds, and is
chosen last. It warms up after its start, and when its zone returns from an evacuation with outdated caches.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

    from ploverward.data_plane.load_balancing import replica


def begin(one: replica.Replica, *, service: Mapping[str, typing.Any], now: float) -> None:
    """A replica started during traffic, or its zone returned: it warms up for its service's time at least."""
    one.warming_up_until = max(one.warming_up_until, now + service.get("warmup_s", 0.0))


def follow_list(one: replica.Replica, *, left_ms: float, now: float) -> None:
    """Installs the remaining milliseconds of warm-up in the endpoint list; the longer time counts."""
    if left_ms > 0:
        one.warming_up_until = max(one.warming_up_until, now + left_ms / 1000.0)

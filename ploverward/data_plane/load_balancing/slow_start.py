"""Slow start: from when until when a replica is warming up (design 8).

A replica that is warming up bears a lower rate over all proxies, which `ploverward.data_plane.quotas` bounds, and is
chosen last. It is so after its start, and when its zone comes back from an evacuation with caches that are old.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

    from ploverward.data_plane.load_balancing import replica


def begin(one: replica.Replica, *, service: Mapping[str, typing.Any], now: float) -> None:
    """A replica came up during traffic, or its zone came back: it warms up for its service's time at least."""
    one.warming_up_until = max(one.warming_up_until, now + service.get("warmup_s", 0.0))


def follow_list(one: replica.Replica, *, left_ms: float, now: float) -> None:
    """The endpoint list says for how many milliseconds it is still warming up; the longer time counts."""
    if left_ms > 0:
        one.warming_up_until = max(one.warming_up_until, now + left_ms / 1000.0)

"""Parts of nodes without sockets, HTTP and traffic, and the clock, for the probes of the capacity model.

`ploverward.simulation.capacity_probes` measures with them (docs/CAPACITY.md).
"""

import math
import random
import time
import typing
from collections.abc import Callable

from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.relay import host as hosts
from ploverward.simulation import loopback_proxy
from ploverward.simulation import recording_connections
from ploverward.simulation.recording_connections import as_peer
from ploverward.transport import event_loop
from ploverward.transport import peer_connection

TURNS = 3  # of each measurement; the least counts
Value = typing.TypeVar("Value")


class CountingLink(recording_connections.RecordingLink):
    """A connection that only counts bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes = 0

    def send_bytes(self, data: bytes) -> None:
        """Counts."""
        self.bytes += len(data)


def clocked(callback: Callable[[], object], *, repeats: int) -> float:
    """Seconds of processor time for one call: the least of some turns."""
    best = math.inf
    for _turn in range(TURNS):
        began = time.process_time()
        for _ in range(repeats):
            callback()
        best = min(best, (time.process_time() - began) / repeats)
    return best


def present(value: Value | None) -> Value:
    """A value that the size of a measurement ensures."""
    if value is None:
        raise ValueError("nothing to measure at this size")
    return value


def rows_of(count: int) -> list[dict]:
    """Rows of the list for so many replicas."""
    return [
        {
            "id": f"i-{number:08x}",
            "service": "llm",
            "address": f"10.9.{number // 250}.{number % 250}:8080",
            "zone": "za",
            "berths": 16,
            "is_clearing": False,
            "cold_ms": 0.0,
            "left_ms": None,
            "models": ["m"],
        }
        for number in range(count)
    ]


class Loop:
    """As much of an event loop as a replica table needs."""

    now = staticmethod(time.monotonic)

    def command(self, *, callback: Callable[[], object]) -> None:
        """Calls back at once."""
        callback()


def make_table(share: float) -> replica_table.Table:
    """A replica table of a proxy with this share of the quotas."""
    loop = typing.cast(event_loop.Loop, Loop())
    return replica_table.Table(loop=loop, settings=loopback_proxy.settings(), share=lambda: share)


def new_chain(chance: random.Random, *, parts: int = 3) -> tuple[tuple[str, int], ...]:
    """A prompt of so many parts that nobody has."""
    return tuple((f"{chance.getrandbits(32):x}", 500) for _ in range(parts))


def make_relay(count: int) -> tuple[hosts.Host, peer_connection.PeerConnection]:
    """A relay of so many replicas, each of which was sent a request, and the digest that reported it."""
    host = hosts.Host(region="north", epoch=1, now=time.monotonic, suspicion_s=1.0)
    host.sync(
        services={"llm": {"models": ("m",), "cache_tokens": 200000}},
        replicas=[{"id": row["id"], "service": "llm", "region": "north", "models": ["m"]} for row in rows_of(count)],
    )
    feeder = as_peer(CountingLink())
    host.subscribe(feeder, region="north")
    host.handle_aggregates(
        feeder,
        recording_connections.aggregates_message(
            1, loads=[recording_connections.load_row(row["id"], running=1) for row in rows_of(count)]
        ),
    )
    return host, feeder

"""Relays without sockets, for tests: a host that is sent reports, and mirrors of what it publishes."""

from collections.abc import Iterable

from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import host as hosts
from ploverward.data_plane.relay import load_feed
from ploverward.data_plane.relay import mirror as mirrors
from ploverward.simulation import recording_connections

SERVICES = {"llm": {"models": ("m",), "cache_tokens": 1000}}


def rows(*names: str, tokens: int = 10) -> tuple[cuckoo_filter.HashedPart, ...]:
    """The chain of a prompt of these parts, for model m."""
    return cuckoo_filter.chain(model="m", parts=[(name, tokens) for name in names])


def replica(name: str, *, service: str = "llm", region: str = "north") -> dict:
    """A replica's row of the list."""
    return {"id": name, "service": service, "region": region, "models": ["m"]}


def make_host(*, epoch: int = 1) -> tuple[hosts.RelayHost, list[float]]:
    """A relay of two replicas, and its clock as a list of one number."""
    clock = [0.0]
    host = hosts.RelayHost(region="north", epoch=epoch, now=lambda: clock[0], suspicion_s=1.0)
    host.sync(services=SERVICES, replicas=[replica("r1"), replica("r2")])
    return host, clock


def send_report(
    host: hosts.RelayHost, wire: recording_connections.RecordingLink, *loads: bytes, reads: Iterable[bytes] = ()
) -> None:
    """The next batch of the digest at the other end of `wire`."""
    connection = recording_connections.as_peer(wire)
    if connection not in host.subscribers:
        host.subscribe(connection, region="north")
    number = host.subscribers[connection].newest_batch + 1
    host.handle_aggregates(connection, recording_connections.aggregates_message(number, loads=loads, reads=reads))


def report_attempt(host: hosts.RelayHost, name: str = "r1") -> recording_connections.RecordingLink:
    """One attempt at a replica began, reported by a digest that does nothing else."""
    source = recording_connections.RecordingLink()
    send_report(host, source, recording_connections.load_row(name, running=1, tokens=20))
    return source


def record_prompt(host: hosts.RelayHost, source: recording_connections.RecordingLink, name: str, *parts: str) -> None:
    """A replica processed a prompt of these parts."""
    send_report(host, source, reads=[recording_connections.read_row(name, *((part, 10) for part in parts))])


def apply_publications(region: mirrors.RegionMirror, wire: recording_connections.RecordingLink) -> None:
    """Hands a mirror all that a subscriber was sent."""
    for message in wire.messages:
        region.handle_publication(message)
    wire.clear()


def last_load(wire: recording_connections.RecordingLink) -> dict[bytes, load_feed.Load]:
    """The loads that a subscriber has after all that it was sent."""
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    apply_publications(region, wire)
    return region.load


def publish_all(host: hosts.RelayHost) -> None:
    """Ticks until all that changed is published."""
    for _ in range(2000):
        host.tick()
        if not any(hub.queued_bucket_count() for pool in host.registry.pools.values() for hub in pool.hubs.values()):
            return
    raise AssertionError("never published")

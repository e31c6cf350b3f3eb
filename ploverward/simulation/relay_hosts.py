"""Relays without sockets, for tests: a relay host that receives reports, and mirrors that apply its publications."""

from collections.abc import Iterable

from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import host as hosts
from ploverward.data_plane.relay import load_feed
from ploverward.data_plane.relay import mirror as mirrors
from ploverward.simulation import recording_connections

SERVICES = {"llm": {"models": ("m",), "cache_tokens": 1000}}


def rows(*names: str, tokens: int = 10) -> tuple[cuckoo_filter.HashedPart, ...]:
    """Returns the hash chain of a prompt of these parts, for model m."""
    return cuckoo_filter.chain(model="m", parts=[(name, tokens) for name in names])


def replica(name: str, *, service: str = "llm", region: str = "north") -> dict:
    """Returns a replica's row of the endpoint list."""
    return {"id": name, "service": service, "region": region, "models": ["m"]}


def make_host(*, epoch: int = 1) -> tuple[hosts.RelayHost, list[float]]:
    """Returns a relay with the replicas r1 and r2, and its clock.

    The clock is a list of one number, the current time in seconds, which tests change.
    """
    clock = [0.0]
    host = hosts.RelayHost(region="north", epoch=epoch, now=lambda: clock[0], suspicion_s=1.0)
    host.sync(services=SERVICES, replicas=[replica("r1"), replica("r2")])
    return host, clock


def send_report(
    host: hosts.RelayHost, wire: recording_connections.RecordingLink, *loads: bytes, reads: Iterable[bytes] = ()
) -> None:
    """Sends the host the next batch of the digest at the other end of `wire`, which is subscribed if needed."""
    connection = recording_connections.as_peer(wire)
    if connection not in host.subscribers:
        host.subscribe(connection, region="north")
    number = host.subscribers[connection].newest_batch + 1
    host.handle_aggregates(connection, recording_connections.aggregates_message(number, loads=loads, reads=reads))


def report_attempt(host: hosts.RelayHost, name: str = "r1") -> recording_connections.RecordingLink:
    """Reports the start of one attempt at a replica, from a new digest without other load.

    Returns:
        The connection of that digest.
    """
    source = recording_connections.RecordingLink()
    send_report(host, source, recording_connections.load_row(name, running=1, tokens=20))
    return source


def record_prompt(host: hosts.RelayHost, source: recording_connections.RecordingLink, name: str, *parts: str) -> None:
    """Reports that a replica processed a prompt of these parts."""
    send_report(host, source, reads=[recording_connections.read_row(name, *((part, 10) for part in parts))])


def apply_publications(region: mirrors.RegionMirror, wire: recording_connections.RecordingLink) -> None:
    """Applies all messages that a subscriber was sent to a mirror, and clears them."""
    for message in wire.messages:
        region.handle_publication(message)
    wire.clear()


def last_load(wire: recording_connections.RecordingLink) -> dict[bytes, load_feed.Load]:
    """Returns the loads that a subscriber knows after all messages that it was sent, and clears them."""
    region = mirrors.RegionMirror(now=lambda: 0.0, trust_s=5.0)
    apply_publications(region, wire)
    return region.load


def publish_all(host: hosts.RelayHost) -> None:
    """Ticks until all changes are published.

    Raises:
        AssertionError: Changes are still queued after 2000 ticks.
    """
    for _ in range(2000):
        host.tick()
        if not any(hub.queued_bucket_count() for pool in host.registry.pools.values() for hub in pool.hubs.values()):
            return
    raise AssertionError("some changes are still not published after 2000 ticks")

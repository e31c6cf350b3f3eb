"""Routes and services of the configuration in force (design 7), as the data plane uses them.

`Routes` owns the routes of one configuration version and is immutable: a new configuration is a new object. The
configuration's keys of routes and services are translated to the names of this code here (docs/glossary.md).
"""

from __future__ import annotations

import dataclasses
import typing

from ploverward.data_plane.quotas import tenant_directory

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

DEFAULT_MAX_CONNECTIONS = 64  # connections of all proxies together to one replica, for services without maxConns


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchLimits:
    """The limits of batch jobs on a route.

    Attributes:
        deadline_s: Seconds after the first submission of a job within which all its results are due.
        max_queued_tokens: The most tokens that a tenant may have queued; 0: no limit.
    """

    deadline_s: float
    max_queued_tokens: int

    @classmethod
    def of(cls, body: Mapping[str, typing.Any]) -> BatchLimits:
        """Creates the limits from a route of a validated configuration."""
        return cls(
            deadline_s=float(body.get("deadlineMs") or 0) / 1000.0,
            max_queued_tokens=int(body.get("maxQueuedTokens") or 0),
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A route of the configuration: which services handle its requests, and under which limits.

    Attributes:
        name: The name of the route.
        timeout_s: The longest time that a client may wait, in seconds.
        target_s: Latency target in seconds; 0 if the route has none.
        event_gap_target_s: Target for the longest pause between two events of a stream, in seconds; 0 if the route has
            none.
        priority: The priority of its requests; 0 is the most urgent.
        max_attempts: The maximum number of replicas that may receive a request.
        is_keyless: Whether requests need no API key.
        is_sticky: Whether prompt prefixes and models affect the choice of a replica.
        is_stream: Whether responses are event streams.
        is_resumable: Whether another replica may continue a stream.
        is_idempotent: Whether a request may run more than once.
        homes: Regions that may serve the route; empty: all.
        service_shares: (service, share) of each service that requests are distributed to.
        batch: The limits of its batch jobs; None if the route is not a batch route.
    """

    name: str
    timeout_s: float
    target_s: float
    event_gap_target_s: float
    priority: int
    max_attempts: int
    is_keyless: bool
    is_sticky: bool
    is_stream: bool
    is_resumable: bool
    is_idempotent: bool
    homes: tuple[str, ...]
    service_shares: tuple[tuple[str, float], ...]
    batch: BatchLimits | None = None

    @classmethod
    def of(cls, body: Mapping[str, typing.Any]) -> Route:
        """Creates a route from a validated configuration."""
        is_batch = body["kind"] == "batch"
        is_stream = is_batch or body["kind"] == "streaming"  # the items of a batch job run as streams
        is_resumable = is_batch or bool(body.get("resume"))
        if body.get("apportion") is not None:
            service_shares = tuple((part["destination"], float(part["share"])) for part in body["apportion"])
        else:
            service_shares = ((body["destination"], 1.0),)
        return cls(
            name=body["name"],
            timeout_s=float(body["expiryMs"]) / 1000.0,
            target_s=float(body.get("targetMs") or 0) / 1000.0,
            event_gap_target_s=float(body.get("gapTargetMs") or 0) / 1000.0,
            priority=int(body.get("urgency") or 0),
            max_attempts=int(body.get("tries") or 1),
            is_keyless=bool(body.get("keyless")),
            is_sticky=bool(body.get("sticky")),
            is_stream=is_stream,
            is_resumable=is_resumable,
            is_idempotent=body["kind"] == "retry_safe" or (is_stream and is_resumable),
            homes=tuple(body.get("homeRegions") or ()),
            service_shares=service_shares,
            batch=BatchLimits.of(body) if is_batch else None,
        )

    def pick_service(self, draw: float) -> str:
        """Returns one of the route's services by their shares; `draw`: a uniform random number from 0 to 1."""
        left = draw * sum(share for _name, share in self.service_shares)
        for name, share in self.service_shares:
            left -= share
            if left < 0:
                return name
        # Rounding errors may leave a remainder after the last share.
        return [name for name, share in self.service_shares if share > 0][-1]


class Routes:
    """All routes of one configuration, by host and path prefix.

    Args:
        body: A validated configuration; None before the first one has arrived.

    Attributes:
        edition: Version of the configuration; 0 before the first one.
        tenant_directory: The configuration's tenants by their API keys; None if no key is required.
        batch_services: The services that run items of batch jobs.
    """

    def __init__(self, *, body: Mapping[str, typing.Any] | None = None) -> None:
        self.edition: int = body["edition"] if body else 0
        self.tenant_directory = tenant_directory.build_tenant_directory(body)
        self._hosts: dict[str, dict[str, Route]] = {}  # by host, by path prefix
        for row in (body or {}).get("routes", ()):
            self._hosts.setdefault(row["host"].lower(), {})[row["pathLead"]] = Route.of(row)
        self._longest_prefix = max((len(prefix) for table in self._hosts.values() for prefix in table), default=0)
        routes = [route for table in self._hosts.values() for route in table.values()]
        self.batch_services = {
            name for route in routes if route.batch is not None for name, _share in route.service_shares
        }

    def homes(self) -> dict[str, tuple[str, ...]]:
        """Returns the home regions of each route."""
        return {route.name: route.homes for table in self._hosts.values() for route in table.values()}

    def tenant_homes(self) -> dict[str, tuple[str, ...]]:
        """Returns the home regions of each tenant."""
        tenants = self.tenant_directory.by_name if self.tenant_directory is not None else {}
        return {name: tenant.homes for name, tenant in tenants.items()}

    def find_batch_route(self, *, host: str, path: str = "") -> Route | None:
        """Returns the batch route of a host with the longest prefix of a path; None if there is none.

        Args:
            host: The host.
            path: The path; empty for any batch route of the host.
        """
        prefixes = self._prefixes_of(host)
        batch = {prefix: route for prefix, route in prefixes.items() if route.batch is not None}
        found = [prefix for prefix in batch if not path or path.startswith(prefix)]
        return batch[max(found, key=len)] if found else None

    def _prefixes_of(self, host: str) -> Mapping[str, Route]:
        """Returns the routes of a host, with or without a port, by path prefix."""
        return self._hosts.get(host.lower()) or self._hosts.get(host.lower().rpartition(":")[0]) or {}

    def find_by_name(self, name: str) -> Route | None:
        """Returns the route with this name; None if there is none."""
        return next((route for table in self._hosts.values() for route in table.values() if route.name == name), None)

    def host_and_prefix_of(self, name: str) -> tuple[str, str]:
        """Returns the host and the path prefix of the route with this name; both empty if there is none."""
        for host, table in self._hosts.items():
            for prefix, route in table.items():
                if route.name == name:
                    return host, prefix
        return "", ""

    def find(self, *, host: str, target: bytes) -> Route | None:
        """Returns the route with the longest prefix of a request's target; None if there is none.

        Prefixes end at a slash.
        """
        prefixes = self._prefixes_of(host)
        if not prefixes:
            return None
        path = target.decode("latin-1").partition("?")[0]
        if path.startswith("http://"):
            path = "/" + path[7:].partition("/")[2]
        end = min(len(path), self._longest_prefix)  # a longer path may have thousands of slashes
        while end >= 0:
            slash_offset = path.rfind("/", 0, end)
            if slash_offset < 0:
                return None
            route = prefixes.get(path[: slash_offset + 1])
            if route is not None:
                return route
            end = slash_offset
        return None


def _names(value: object) -> list[str]:
    return [name for name in value if isinstance(name, str)] if isinstance(value, list) else []


def services(*, body: Mapping[str, typing.Any]) -> dict[str, dict[str, typing.Any]]:
    """Returns the settings of each service that the data plane uses; times in seconds, rates in requests per second."""
    table: dict[str, dict[str, typing.Any]] = {}
    for row in body.get("destinations", ()):
        engine = row.get("engine") or {}
        table[row["name"]] = {
            "health": row.get("health", "/health"),
            "max_conns": int(row.get("maxConns") or DEFAULT_MAX_CONNECTIONS),
            "warmup_s": float(row.get("warmupS") or 0),
            "warmup_per_s": float(row.get("warmupPerS") or 0),
            "cache_tokens": int(engine.get("cacheTokens") or 0),
            "berths": int(engine.get("berths") or 0),
            "models": tuple(model["name"] for model in engine.get("models") or ()),
            "adapters": tuple(
                (model["name"], name) for model in engine.get("models") or () for name in _names(model.get("adapters"))
            ),
        }
    return table

"""Routes and services of the configuration in force (design 7), as the data plane uses them.

`Routes` owns the routes of one version and never changes: a new configuration is a new object. The keys that the
operators' pages give are read here, once (docs/glossary.md).
"""

from __future__ import annotations

import dataclasses
import typing

from ploverward.data_plane.quotas import tenant_directory

if typing.TYPE_CHECKING:
    from collections.abc import Mapping

DEFAULT_MAX_CONNECTIONS = 64  # to one replica, of all proxies together, where the service names none


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BatchTerms:
    """What lots of a route are bound by.

    Attributes:
        deadline_s: All results of a lot are due so long after it was sent first.
        max_queued_tokens: That a tenant may have waiting; 0: no limit.
    """

    deadline_s: float
    max_queued_tokens: int

    @classmethod
    def of(cls, body: Mapping[str, typing.Any]) -> BatchTerms:
        """Reads a route of a checked configuration."""
        return cls(
            deadline_s=float(body.get("deadlineMs") or 0) / 1000.0,
            max_queued_tokens=int(body.get("maxQueuedTokens") or 0),
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One route.

    Attributes:
        name: Of the route.
        timeout_s: Seconds that a client may wait, at most.
        target_s: Latency target in seconds, 0 where none is named.
        event_gap_target_s: The longest pause between events that is still in time, in seconds; 0 where none is named.
        priority: 0 first.
        max_attempts: Replicas that may receive a request, at most.
        is_keyless: Whether no key is wanted.
        is_sticky: Whether prompt prefixes and models count in the choice of a replica.
        is_stream: Whether its answers are streams of events.
        is_resumable: Whether another replica may continue a stream.
        is_idempotent: Whether a request may run more than once.
        homes: Regions that may serve it; empty: all.
        service_shares: (service, share) of each service that it picks from.
        batch: What lots of it are bound by, None where it takes requests.
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
    batch: BatchTerms | None = None

    @classmethod
    def of(cls, body: Mapping[str, typing.Any]) -> Route:
        """Reads a route of a checked configuration."""
        is_batch = body["kind"] == "batch"
        is_stream = is_batch or body["kind"] == "streaming"  # the items of a lot run as streams
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
            batch=BatchTerms.of(body) if is_batch else None,
        )

    def pick(self, chance: float) -> str:
        """Returns one of its services by their shares; `chance`: drawn evenly from 0 to 1."""
        left = chance * sum(share for _name, share in self.service_shares)
        for name, share in self.service_shares:
            left -= share
            if left < 0:
                return name
        return [name for name, share in self.service_shares if share > 0][
            -1
        ]  # a rounding error at the end of the shares


class Routes:
    """All routes of one configuration, by host and longest path prefix.

    Args:
        body: A checked configuration, None before the first one arrived.

    Attributes:
        edition: Version of the configuration, 0 before the first one.
        tenant_directory: Its tenants by their keys, None where no key is required.
        batch_services: The services that run items of lots.
    """

    def __init__(self, *, body: Mapping[str, typing.Any] | None = None) -> None:
        self.edition: int = body["edition"] if body else 0
        self.tenant_directory = tenant_directory.build_tenant_directory(body)
        self._hosts: dict[str, dict[str, Route]] = {}  # by host, by path prefix
        for row in (body or {}).get("routes", ()):
            self._hosts.setdefault(row["host"].lower(), {})[row["pathLead"]] = Route.of(row)
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

    def find_batch_route(self, host: str) -> Route | None:
        """Returns a route of this host that takes lots, None where none does."""
        routes = (self._hosts.get(host.lower()) or self._hosts.get(host.lower().rpartition(":")[0]) or {}).values()
        return next((route for route in routes if route.batch is not None), None)

    def find_by_name(self, name: str) -> Route | None:
        """Returns the route of a name, None where there is none."""
        return next((route for table in self._hosts.values() for route in table.values() if route.name == name), None)

    def host_and_prefix_of(self, name: str) -> tuple[str, str]:
        """Returns host and path prefix of a route; empty where there is none."""
        for host, table in self._hosts.items():
            for prefix, route in table.items():
                if route.name == name:
                    return host, prefix
        return "", ""

    def find(self, *, host: str, target: bytes) -> Route | None:
        """Returns the route of a request's target, None where there is none. Prefixes end at a slash."""
        prefixes = self._hosts.get(host.lower()) or self._hosts.get(host.lower().rpartition(":")[0])
        if not prefixes:
            return None
        path = target.decode("latin-1").partition("?")[0]
        if path.startswith("http://"):
            path = "/" + path[7:].partition("/")[2]
        end = len(path)
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
    """Returns what the data plane needs of each service; times in seconds, rates in requests a second."""
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

"""Operators' calls on tenants: limits, their usage and the digests of keys (docs/quotas.md, docs/keys.md)."""

import collections.abc
import http
import typing

from ploverward.common import tenant_usage
from ploverward.control_plane.operator_api.dependencies import Json
from ploverward.control_plane.operator_api.dependencies import TenantMeter
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import Rule


class TenantBody(typing.TypedDict):
    """A tenant. The last three fields are present if proxies have reported requests of this tenant."""

    keys: list[str]  # digests; the API never returns the keys themselves
    perS: float
    burst: float
    homeRegions: list[str]
    level: typing.NotRequired[float]
    depth: typing.NotRequired[float]
    wantsCredits: typing.NotRequired[bool]


class TenantsBody(typing.TypedDict):
    """All tenants, by name."""

    edition: int
    proxies: int
    tenants: dict[str, TenantBody]


class TenantHandlers:
    """Answers with the tenants of the configuration in force.

    Args:
        configuration: returns the newest configuration that this node knows to be chosen, or None.
        meter: tracks how much proxies admit for each tenant.
    """

    def __init__(self, *, configuration: collections.abc.Callable[[], Json | None], meter: TenantMeter) -> None:
        self._configuration = configuration
        self._meter = meter

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        return [Rule("GET", "/ploverward/tenants", self.handle_get)]

    def handle_get(self, call: Call) -> None:
        """Answers with all tenants, or 503 if no configuration is known yet."""
        configuration = self._configuration()
        if configuration is None:
            call.answer_unavailable(reason="no configuration is known yet")
            return
        buckets = self._meter.view()
        tenants = {row["name"]: _tenant_body(row, buckets) for row in configuration.get("senders") or ()}
        body = TenantsBody(edition=configuration["edition"], proxies=self._meter.proxy_count(), tenants=tenants)
        call.answer(status=http.HTTPStatus.OK, body=body)


def _tenant_body(row: Json, buckets: dict[str, Json]) -> TenantBody:
    body = TenantBody(
        keys=[tenant_usage.key_digest(key) for key in row.get("apiKeys") or ()],
        perS=row.get("perS") or 0,
        burst=row.get("burst") or 0,
        homeRegions=row.get("homeRegions") or [],
    )
    bucket = buckets.get(tenant_usage.tenant_key(row["name"]).hex())
    if bucket is not None:
        body["level"], body["depth"], body["wantsCredits"] = bucket["level"], bucket["depth"], bucket["scarce"]
    return body

"""Calls on tenants, for operators: limits, how far they are used, keys by digest (docs/quotas.md, docs/keys.md)."""

import collections.abc
import http
import typing

from ploverward.common import tenant_usage
from ploverward.control_plane.operator_api.dependencies import Json
from ploverward.control_plane.operator_api.dependencies import TenantMeter
from ploverward.control_plane.operator_api.router import Call
from ploverward.control_plane.operator_api.router import Rule


class TenantBody(typing.TypedDict):
    """One tenant. The last three fields are there where proxies reported requests of it."""

    keys: list[str]  # digests: a key itself is never answered
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
    """Reads the tenants of the configuration in force.

    Args:
        configuration: the newest configuration that this node knows to be chosen, or None.
        meter: counts what proxies admit.
    """

    def __init__(self, *, configuration: collections.abc.Callable[[], Json | None], meter: TenantMeter) -> None:
        self._configuration = configuration
        self._meter = meter

    def rules(self) -> list[Rule]:
        """The calls that are handled here."""
        return [Rule("GET", "/ploverward/tenants", self.handle_get)]

    def handle_get(self, call: Call) -> None:
        """Answers with all tenants."""
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

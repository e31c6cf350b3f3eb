"""What a core node tells operators of tenants: limits, how they stand, keys by digest (docs/quotas.md, docs/keys.md)."""

from ploverward.common import tenant_usage
from ploverward.control_plane.operator_api import router


class TenantViews:
    """`configuration()`: the body in force as far as known, or None; `meter` counts what proxies admit."""

    def __init__(self, *, configuration, meter):
        self._configuration = configuration
        self._meter = meter

    def rules(self) -> list:
        return [router.Rule("GET", "/ploverward/tenants", self._handle_list)]

    def _handle_list(self, call) -> None:
        body = self._configuration()
        if body is None:
            call.unavailable(why="no configuration is known yet")
            return
        buckets = self._meter.view()
        rows = {row["name"]: self._row(row, buckets) for row in body.get("senders") or ()}
        call.answer(
            status=200, body={"edition": body["edition"], "proxies": self._meter.proxy_count(), "tenants": rows}
        )

    def _row(self, row: dict, buckets: dict) -> dict:
        answer = {
            "keys": [tenant_usage.key_digest(key) for key in row.get("apiKeys") or ()],
            "perS": row.get("perS") or 0,
            "burst": row.get("burst") or 0,
            "homeRegions": row.get("homeRegions") or [],
        }
        bucket = buckets.get(tenant_usage.tenant_key(row["name"]).hex())
        if bucket is not None:
            answer.update(level=bucket["level"], depth=bucket["depth"], wantsCredits=bucket["scarce"])
        return answer

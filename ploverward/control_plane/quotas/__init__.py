"""Enforcement of global limits at a core node (design 8, docs/quotas.md).

`share_leases` leases the core node's own share of every limit to proxies, `rate_slots` numbers the proxies for rates
below one request per second per proxy, `quota_meter` and `token_bucket` enforce the quotas of tenants.
"""

"""Limits at a proxy: its leased shares of the limits over all machines, and the quotas and API keys of tenants.

`shared_limits` and `retry_budget` spend the leased shares (design 8). `quota_allowance` and `isolated_allowance` admit
requests of tenants (docs/quotas.md). `tenant_directory` finds the tenant of a key, and `credential_freshness` decides
whether this proxy's configuration is fresh enough to trust the result (docs/keys.md).
"""

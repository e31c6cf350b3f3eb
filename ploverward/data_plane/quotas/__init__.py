"""Limits at a proxy: its leased shares of the limits over all machines, and the quotas and keys of tenants.

`shared_limits` and `retry_budget` spend the leased shares (design 8); `quota_allowance` and `isolated_allowance` admit
requests of tenants (docs/quotas.md); `tenant_directory` and `credential_freshness` determine the tenant of a key and
whether this proxy's configuration is fresh enough to trust it (docs/keys.md).
"""

"""Load reports of proxies, their aggregation by digests, and the distribution of the relays' publications.

Each proxy reports its load to the digest of its zone. The digest sums the reports for the relays, and forwards what the
relays publish to the proxies.

`RelayClient` composes a proxy's components; docs/digest.md and docs/scale.md 3 describe the design.
"""

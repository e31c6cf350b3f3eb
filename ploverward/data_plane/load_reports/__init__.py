"""Load reports: from each proxy to the digest of its zone, summed to the relays, and the relays' publications back.

`RelayClient` composes a proxy's components; docs/digest.md and docs/scale.md 3 describe the design.
"""

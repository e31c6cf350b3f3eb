"""KV DC Relay: which replica has which prompt parts in its cache, and the load of each (docs/relay.md).

The relay has a `RelayHost` with its `PoolRegistry` of pools, each with an `Actor` and hubs. Every proxy has a
`RegionMirror` for each region. `Gateway` connects regions.
"""

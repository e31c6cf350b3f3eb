"""KV DC Relay: which replica has which prompt parts in its cache, and the load of each (docs/relay.md).

On the relay's side: `Host` with its `Registry` of pools, each with an `Actor` and hubs. On every proxy's side: `RegionMirror`.
Between regions: `Gateway`.
"""

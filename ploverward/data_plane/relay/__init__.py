"""KV DC Relay: records which replicas have which prompt parts in their KV caches, and the load of each replica.

The package implements the published design of that name (docs/relay.md). Proxies choose replicas by what it publishes.
Its terms:

- Digest: a node that combines the reports of several proxies, usually those of one zone, into numbered batches of
  aggregates for the relay, and forwards what the relay publishes to these proxies unchanged.
- Relay: the singleton of a region that receives these aggregates and publishes pools and loads to its subscribers:
  digests, and the gateways of other regions. `RelayHost` is one relay under one epoch of the singleton role.
- Pool: the replicas of one service and model in one region. `Actor` records which prompt parts they have in their
  caches, exactly and in a cuckoo filter, whose buckets are published; `PoolRegistry` holds all pools of a relay.
- Generation: a numbered life of a pool. A pool that is withdrawn, or whose filter needs another size, continues under a
  higher number, so messages of an earlier generation can be told apart and ignored.
- Catalogue: the list of live pools, each with its generation and the owner bits of its replicas.
- Hub: publishes the filter of one pool generation to subscribers in the same region, or to those in other regions.
- Cut: a complete snapshot of the published buckets, sent to a subscriber when it joins a hub.
- Delta: the buckets that changed since the previous publication, each with the next sequence number of that bucket.
- Fence: to end a generation or epoch for good, so that nothing is published or accepted under it any more. A hub is
  fenced when its generation is not the pool's; streams of a digest are fenced by a newer epoch of its role.
- Mirror: a copy of what one region's relay publishes, kept by every subscriber and proxy (`RegionMirror`, with a
  `PoolMirror` for each pool).

`Gateway` connects the digests of a region with the relays of all other regions.
"""

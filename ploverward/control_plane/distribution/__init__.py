"""Distribution of versioned topics from core nodes to each other and to proxies (docs/scale.md 2, docs/design.md 5).

`publisher` owns the newest value of each topic and the versions that each connection acknowledged. `subscriber` is the
receiving end. `endpoint_list`, the list of the platform's replicas, is the value of the only topic that has deltas.
"""

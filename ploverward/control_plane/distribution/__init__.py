"""Distribution of versioned topics from core nodes to each other and to proxies (docs/scale.md 2, docs/design.md 5).

`publisher` owns the newest value of each topic and what each connection acknowledged. `subscriber` is the receiving
end. `endpoint_list` is the value of the one topic that has deltas: the platform's replicas.
"""

"""Roll-outs of a service's software: canary, promotion, draining (docs/rollouts.md).

`state` and `orders` are the replicated state and its edits; `evidence_table`, `judge` and `canary_trial` evaluate the
canary; `planner`, `exposure` and `canary_replicas` decide on immutable views; `manager`, with `lease_granter` and
`version_admitter`, carries the decisions out at the coordinator; `leases` encodes the leases that proxies receive.
"""

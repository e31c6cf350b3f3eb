"""A proxy's side of the control plane: connections to core nodes, and what it installs (docs/design.md 5).

`core_connections` are the connections, `core_sessions` finds the handler of each message. `serving_gate` decides when
the proxy may serve, `configuration_installer` applies what is distributed, `residency_history` keeps the older homes
that still bind. `share_renewals` and `core_reports` are what the proxy sends by itself.
"""

"""A proxy's client of the control plane: connections to core nodes and installed configuration (docs/design.md 5).

`core_connections` maintains the connections; `core_sessions` dispatches each message to its handler. `serving_gate`
decides when the proxy may serve, `configuration_installer` applies distributed values, and `residency_history` keeps
the home regions of replaced configurations that still apply. `share_renewals` and `core_reports` send the proxy's
periodic messages.
"""

"""The operators' configuration: reading and checking it, and the register edits for configurations and evacuations.

Everything here is pure: no module keeps state, sends anything or reads a clock. The operator API
(`ploverward.control_plane.operator_api`) runs the edits; docs/orders.md explains why they are safe to repeat.
"""

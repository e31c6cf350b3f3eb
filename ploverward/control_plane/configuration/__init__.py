"""Parsing and validation of the operators' configuration, and the register edits for configurations and evacuations.

All functions are pure: no module keeps state, sends anything or reads a clock. The operator API
(`ploverward.control_plane.operator_api`) runs the edits. An edit may be repeated: it recognises an order that has taken
effect before (docs/orders.md).
"""

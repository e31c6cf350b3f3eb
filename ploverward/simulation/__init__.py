"""Simulations of the product's own code, and what they need: time, networks, disks, faults, checks of histories.

Only tests and the commands `simulate`, `simulate_rollouts` and `stand_in` import from here; a node does not.
"""

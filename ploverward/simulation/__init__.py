"""Simulations of the product's own code, with simulated time, networks, disks and faults, and checkers of histories.

Only tests and the commands `simulate`, `simulate_rollouts` and `stand_in` import this package; a node does not.
"""

"""Simulation of the batch tier's stores: faults, callers, and a model that answers are checked against."""

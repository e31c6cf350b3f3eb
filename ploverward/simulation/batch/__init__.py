"""The stores of the batch tier in simulated time: faults, callers, a model that answers are checked against."""

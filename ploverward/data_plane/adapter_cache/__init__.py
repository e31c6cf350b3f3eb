"""Counts of adapter loads at replicas, as one proxy sees them.

`adapter_counts` counts the arrivals that had to load their adapter and estimates load times for the choice of a
replica. `count_table` is the codec of the counts.
"""

"""Counts of adapter loads at replicas, as observed by one proxy.

`adapter_counts` counts the requests that had to wait for a load of their adapter and estimates load times for the
choice of a replica. `count_table` encodes and decodes the counts. `adapter_names` resolves the model and adapter that
a request names.
"""

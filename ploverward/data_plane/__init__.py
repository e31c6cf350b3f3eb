"""The proxy, which forwards requests of clients to replicas. `proxy_node` contains the program."""

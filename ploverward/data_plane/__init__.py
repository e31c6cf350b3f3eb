"""The proxy: it receives requests from clients and sends them to replicas. `proxy_node` is the program."""

"""The control plane: core nodes agree on configuration, divide limits into shares, and serve proxies and operators."""

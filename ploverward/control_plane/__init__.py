"""The control plane: core nodes agree on configuration, divide limits, and serve proxies and operators."""

"""The control plane: core nodes agree on configuration, share out limits and tell proxies and operators."""

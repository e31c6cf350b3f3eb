"""Suggests which adapters each replica should keep loaded, from the request counts that proxies report."""

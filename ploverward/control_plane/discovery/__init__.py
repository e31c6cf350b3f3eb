"""Discovery of replicas, through the platform's list, and of proxies, through look-ups by clients."""

"""What is where: the platform's list of replicas, read by one core node, and the proxies that clients are sent to."""

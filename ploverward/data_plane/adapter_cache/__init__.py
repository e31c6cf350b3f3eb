"""How often adapters arrive cold at replicas, as one proxy sees it, and what the choice of a replica expects of a load."""

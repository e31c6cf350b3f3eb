"""Which replicas should keep which adapters loaded: the counts that proxies report, and a suggestion made of them."""

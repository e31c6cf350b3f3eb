"""Parts that the cases of this review share: node processes, stand-ins and a client."""

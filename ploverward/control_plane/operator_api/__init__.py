"""The HTTP API of a core node for operators, their tools and the look-ups of clients.

`server.OperatorApi` wires everything. Each module `..._handlers` answers the calls on one resource. A call that needs
the replicated registers passes through three modules: `call_lifecycle` redirects it or answers it within the time limit
and maps errors to HTTP statuses, `pending_response` sends a delayed response exactly once, and `apply_barrier` holds an
acknowledgement back until the proxies have applied the change.
"""

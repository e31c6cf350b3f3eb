"""The HTTP interfaces of a core node for operators, their tools and clients' look-ups.

`server.OperatorApi` wires everything. A module `..._handlers` answers the calls on one resource. A call that needs the
registers goes through `call_lifecycle` (forwarded, answered in time, errors to statuses), `pending_response` (the
answer that is given later, once) and `apply_barrier` (an acknowledgement waits until proxies have applied the change).
"""

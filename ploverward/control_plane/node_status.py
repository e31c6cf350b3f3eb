"""Whether this node is shutting down: one fact that several parts of a core node read and one of them sets."""

import dataclasses


@dataclasses.dataclass(slots=True)
class NodeStatus:
    """How this node stands.

    Attributes:
        is_draining: Set once by `NodeShutdown`; it is never taken back.
    """

    is_draining: bool = False

"""Whether this node is shutting down: a flag that several components of a core node read and one of them sets."""

import dataclasses


@dataclasses.dataclass(slots=True)
class NodeStatus:
    """The status of this node.

    Attributes:
        is_draining: Set once by `NodeShutdown`, and never reset.
    """

    is_draining: bool = False

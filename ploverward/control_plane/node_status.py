"""The shutdown flag of a core node, which one component sets and several read."""

import dataclasses


@dataclasses.dataclass(slots=True)
class NodeStatus:
    """The status of a core node.

    Attributes:
        is_draining: Whether the node is shutting down. `NodeShutdown` sets it once; it is never reset.
    """

    is_draining: bool = False

"""Chooses the core node to which a node redirects calls that it can't answer (docs/orders.md 5)."""

import collections.abc


class Redirector:
    """Chooses among the other voting core nodes in turn.

    Args:
        own: the IP address of this node.
        port: the port of the operator API, which is the same on all nodes.
        members: returns the addresses of the voting core nodes.
        is_live: returns whether this node is connected to the node with a given address.
    """

    def __init__(
        self,
        *,
        own: str,
        port: int,
        members: collections.abc.Callable[[], collections.abc.Iterable[str]],
        is_live: collections.abc.Callable[[str], bool],
    ) -> None:
        self._own = own
        self._port = port
        self._members = members
        self._is_live = is_live
        self._rotation = 0

    def choose_address(self, *, is_isolated: bool) -> str | None:
        """Chooses a node.

        Args:
            is_isolated: whether this node is cut off from a majority. Nodes that are connected to it are then probably
                cut off as well, so a node that it is not connected to is preferred.

        Returns:
            ADDRESS:PORT of the node, or None if no other member is known.
        """
        others = [host for host in self._members() if host != self._own]
        preferred = [host for host in others if self._is_live(host) != is_isolated]
        candidates = preferred or others
        if not candidates:
            return None
        self._rotation += 1
        return f"{candidates[self._rotation % len(candidates)]}:{self._port}"

"""Chooses another core node for the callers of a node that can't answer them (docs/orders.md 5)."""

import collections.abc


class Redirector:
    """Names the other members in turn.

    Args:
        own: IP address of this node.
        port: the port of the operator API, which is the same on all nodes.
        members: addresses of the voting core nodes.
        is_live: whether this node is connected to the node with this address.
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
            is_isolated: whether this node is cut off from a majority. Nodes connected to it are then likely cut off as
                well, so one that it is not connected to is preferred.

        Returns:
            ADDRESS:PORT, or None where no other member is known.
        """
        others = [host for host in self._members() if host != self._own]
        preferred = [host for host in others if self._is_live(host) != is_isolated]
        candidates = preferred or others
        if not candidates:
            return None
        self._rotation += 1
        return f"{candidates[self._rotation % len(candidates)]}:{self._port}"

"""The register of singleton roles: who owns each role, under which epoch (docs/control.md 1).

Owns this node's copy of the register. Invariant: an epoch of a role belongs to one incarnation of one node. Whatever
an owner publishes carries its epoch, and receivers never go back to an older one, so the messages of an owner that
was replaced are ignored once one of its successor arrived.
"""

from collections.abc import Callable

from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.consensus import register_names


class SingletonRoleTable:
    """This node's copy of the register.

    Args:
        change: Starts a round of a register: (name, edit, done).

    Attributes:
        table: Role: [epoch, address of the owner, its incarnation], as the register stores it.
        is_acquiring: Whether a change of this node is in progress.
    """

    def __init__(self, *, change: Callable[..., None]) -> None:
        self._change = change
        self.table: dict[str, list] = {}
        self.is_acquiring = False

    def install(self, *, payload: dict[str, list] | None) -> None:
        """Installs a chosen value of the register."""
        self.table = payload or {}

    def owner(self, name: str) -> singleton_roles.RoleOwner:
        """Returns the owner of a role; a new incarnation of the same node needs a new epoch."""
        current = self.table.get(name)
        return singleton_roles.RoleOwner(*current) if current else singleton_roles.NO_OWNER

    def acquire(self, *, rows: dict[str, singleton_roles.RoleOwner]) -> None:
        """Assigns roles, all in one change.

        Args:
            rows: Role: its new owner, with the epoch that was seen. A role whose epoch has changed since stays.
        """
        self.is_acquiring = True

        def done(_error: object, _revision: int, _payload: object, _result: object) -> None:
            self.is_acquiring = False

        self._change(
            name=register_names.SINGLETON_ROLES,
            edit=lambda payload: (_with_roles(payload or {}, rows), None),
            done=done,
        )


def _with_roles(payload: dict[str, list], rows: dict[str, singleton_roles.RoleOwner]) -> dict[str, list]:
    new = {
        name: [seen + 1, owner, incarnation]
        for name, (seen, owner, incarnation) in rows.items()
        if payload.get(name, [0])[0] == seen
    }
    return {**payload, **new} if new else payload

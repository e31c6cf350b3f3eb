"""The register of singleton roles: the owner of each role and its epoch (docs/control.md 1).

Owns this node's copy of the register. Invariant: an epoch of a role belongs to one incarnation of one node. Everything
that an owner publishes carries its epoch, and receivers never go back to an older epoch, so messages from a replaced
owner are ignored once a message from its successor has been received.
"""

from collections.abc import Callable
from collections.abc import Mapping

from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.consensus import register_names

# Arguments: the register's value, the name of a role, its new owner.
Admits = Callable[[Mapping[str, list], str, singleton_roles.RoleOwner], bool]


def _admits_all(_payload: Mapping[str, list], _name: str, _row: singleton_roles.RoleOwner) -> bool:
    return True


class SingletonRoleTable:
    """This node's copy of the register of singleton roles.

    Args:
        change: Starts a consensus round that edits a register: (name, edit, done).

    Attributes:
        table: [epoch, address of the owner, its incarnation] by role, as the register stores it.
        is_acquiring: Whether a change that this node started is in progress.
    """

    def __init__(self, *, change: Callable[..., None]) -> None:
        self._change = change
        self.table: dict[str, list] = {}
        self.is_acquiring = False

    def install(self, *, payload: dict[str, list] | None) -> None:
        """Installs a value of the register that consensus has chosen; None stands for an empty register."""
        self.table = payload or {}

    def owner(self, name: str) -> singleton_roles.RoleOwner:
        """Returns the owner of a role: one incarnation of a node. A later incarnation needs a new epoch."""
        current = self.table.get(name)
        return singleton_roles.RoleOwner(*current) if current else singleton_roles.NO_OWNER

    def acquire(self, *, rows: dict[str, singleton_roles.RoleOwner], admits: Admits = _admits_all) -> None:
        """Assigns several roles to new owners in one change of the register.

        Args:
            rows: New owner of each role, with the epoch on which the assignment is based. A role whose epoch has
                changed since then keeps its owner.
            admits: Whether a role may get its new owner, given the register's value at the time of the change. A role
                that it rejects keeps its owner.
        """
        self.is_acquiring = True

        def done(_error: object, _revision: int, _payload: object, _result: object) -> None:
            self.is_acquiring = False

        self._change(
            name=register_names.SINGLETON_ROLES,
            edit=lambda payload: (_with_roles(payload or {}, rows, admits), None),
            done=done,
        )


def _with_roles(
    payload: dict[str, list], rows: dict[str, singleton_roles.RoleOwner], admits: Admits
) -> dict[str, list]:
    new = {
        name: [seen + 1, owner, incarnation]
        for name, (seen, owner, incarnation) in rows.items()
        if payload.get(name, [0])[0] == seen and admits(payload, name, rows[name])
    }
    return {**payload, **new} if new else payload

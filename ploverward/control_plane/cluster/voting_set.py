"""The core set: which machines vote, and how the set is changed by consensus (docs/control.md 1).

A new machine is a learner until its disk has every register. It then replaces a failed or draining member, or is added
to the set, in one change of each register. While the registers are moved, the first and the last one may be under
different sets for a moment, which is safe: each register is written at a majority of its old and of its new set. The
cluster coordinator makes the changes; a change that a former coordinator left incomplete is completed by the next one.
"""

import dataclasses
import logging
from collections.abc import Callable
from collections.abc import Collection

from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CoreSetView:
    """State of the core machines at one moment, as the cluster coordinator observes it.

    Attributes:
        members: The agreed set.
        learners: Connected machines outside the set that have every register, longest connected first.
        unresponsive: Members that have not failed long enough to count as `failed`, but have not replied since the
            newest learner connected. As many learners are held back to replace them.
        failed: Members that have failed long enough to be replaced by a learner, longest first.
        removable: Members that have failed long enough to be removed without a successor, longest first.
        draining: Connected core nodes in graceful shutdown.
    """

    members: tuple[str, ...]
    learners: tuple[str, ...]
    unresponsive: tuple[str, ...]
    failed: tuple[str, ...]
    removable: tuple[str, ...]
    draining: tuple[str, ...]


def next_set(*, view: CoreSetView, wanted: int) -> tuple[str, ...]:
    """Returns the core set that should be in force next, sorted; the present one if no change is needed.

    Args:
        view: State of the core machines.
        wanted: 2 t + 1 voters, where t machines may be lost at once. A removal never shrinks the set below this size.
    """
    replaceable = list(dict.fromkeys(member for member in (*view.draining, *view.failed) if member in view.members))
    replaced = replaceable[: len(view.learners)]
    successors = view.learners[: len(replaced)]
    added = view.learners[len(replaced) + len(view.unresponsive) :]
    target = (set(view.members) - set(replaced)) | {*successors, *added}
    for member in dict.fromkeys((*view.draining, *view.removable)):
        if len(target) > wanted:
            target.discard(member)
    return tuple(sorted(target))


def tolerated_losses(*, members: Collection[str], voting: Collection[str]) -> int:
    """Returns how many more members may be lost before the majority is; negative if there is no majority now.

    Args:
        members: The agreed set.
        voting: Core nodes that vote now; non-members among them are ignored.
    """
    return sum(1 for member in members if member in voting) - ballots.majority(members)


class CoreSetChanger:
    """Moves all registers to a core set concurrently; each move is safe by itself, and is retried if it fails.

    Args:
        change: Starts a consensus round of a register: (name, edit, done, next_set, is_wanted).
        known_set: Returns the core set that a register is known to be under.
    """

    def __init__(self, *, change: Callable[..., None], known_set: Callable[[str], tuple[str, ...]]) -> None:
        self._change = change
        self._known_set = known_set
        self._target: tuple[str, ...] = ()
        self._moving_registers: set[str] = set()

    @property
    def is_moving(self) -> bool:
        """Whether a move is in progress."""
        return bool(self._moving_registers)

    def needs_move(self, *, target: tuple[str, ...]) -> bool:
        """Returns whether any register is known to be under a set other than `target`."""
        return any(tuple(self._known_set(name)) != target for name in register_names.REGISTERS)

    def move(self, *, target: tuple[str, ...]) -> None:
        """Starts to move all registers to `target`; supersedes an older target that is not reached yet.

        If a round fails, the move is started again in the next heartbeat interval.
        """
        if self.is_moving and target == self._target:
            return
        _log.debug("core_set_moving", extra={"to": list(target)})
        self._target = target
        self._moving_registers = set(register_names.REGISTERS)
        for name in register_names.REGISTERS:
            self._move_register(name, target)

    def _move_register(self, name: str, target: tuple[str, ...]) -> None:
        def done(_error: object, _revision: int = 0, _payload: object = None, _result: object = None) -> None:
            if self._target == target:
                self._moving_registers.discard(name)

        self._change(
            name=name,
            edit=_edit_for(name),
            done=done,
            next_set=target,
            is_wanted=lambda: self._target == target,
        )


def _edit_for(name: str) -> Callable | None:
    """Returns the edit of the payload in a move; None keeps it.

    The payload of the core set's own register is a counter that has to change.
    """
    if name == register_names.CORE_SET:
        return lambda payload: ((payload or 0) + 1, None)
    return None

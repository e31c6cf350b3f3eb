"""The core set: which machines vote, and how the set is changed by agreement (docs/control.md 1).

A newcomer is a learner until its disk has every register. It is then swapped in for a member that is disconnected, or
added, in one change of each register. The first register that was moved and the last one may be under different sets
for a moment, which is safe: each register is written at a majority of its old and of its new set. The cluster
coordinator makes the changes; a change that a former coordinator left incomplete is finished by the next one.
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
    """What the cluster coordinator sees of the core machines at one moment.

    Attributes:
        members: The agreed set.
        learners: Connected machines outside the set that have every register, longest connected first.
        silent: Members not lost that have not replied since the newest learner connected; it may replace them.
        lost: Members disconnected long enough to be swapped for a learner, longest first.
        gone: Members disconnected long enough to be dropped without a successor, longest first.
        leaving: Members in graceful shutdown.
    """

    members: tuple[str, ...]
    learners: tuple[str, ...]
    silent: tuple[str, ...]
    lost: tuple[str, ...]
    gone: tuple[str, ...]
    leaving: tuple[str, ...]


def next_set(*, view: CoreSetView, wanted: int) -> tuple[str, ...]:
    """Returns the set that should be in force next, sorted; the present one where nothing is to be done.

    Args:
        view: What is seen of the core machines.
        wanted: 2 t + 1 voters, where t machines may be lost at once. The set never shrinks below that by choice.
    """
    replaceable = list(dict.fromkeys(member for member in (*view.leaving, *view.lost) if member in view.members))
    swapped_out = replaceable[: len(view.learners)]
    swapped_in = view.learners[: len(swapped_out)]
    added = view.learners[len(swapped_out) + len(view.silent) :]
    target = (set(view.members) - set(swapped_out)) | {*swapped_in, *added}
    for member in dict.fromkeys((*view.leaving, *view.gone)):
        if len(target) > wanted:
            target.discard(member)
    return tuple(sorted(target))


def tolerated_losses(*, members: Collection[str], voting: Collection[str]) -> int:
    """Returns how many further members may be lost now with a majority left; negative where there is none.

    Args:
        members: The agreed set.
        voting: Core nodes on whose vote a majority may count now; others may be among them.
    """
    return sum(1 for member in members if member in voting) - ballots.majority(members)


class CoreSetChanger:
    """Moves every register to a set, all at once. Each move is safe by itself; one that fails is made again.

    Args:
        change: Starts a round of a register: (name, edit, done, next_set, is_wanted).
        known_set: Returns the set that a register is known to be under.
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
        """Whether any register is known to be under another set than this one."""
        return any(tuple(self._known_set(name)) != target for name in register_names.REGISTERS)

    def move(self, *, target: tuple[str, ...]) -> None:
        """Starts to move all registers to `target`, in place of an older target that is not reached yet.

        Where a round fails, the next heartbeat interval starts again.
        """
        if self.is_moving and target == self._target:
            return
        _log.debug("core_set_moving", extra={"to": list(target)})
        self._target = target
        self._moving_registers = set(register_names.REGISTERS)
        for name in register_names.REGISTERS:
            self._move_one(name, target)

    def _move_one(self, name: str, target: tuple[str, ...]) -> None:
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
    """Returns the edit of a move: payloads stay, but the core set's own is a counter that has to differ."""
    if name == register_names.CORE_SET:
        return lambda payload: ((payload or 0) + 1, None)
    return None

"""The core set: which machines vote, and how the set is changed by agreement (docs/control.md 1).

A newcomer is a learner until it holds every register on its disk. It is then swapped in for a member that is out of
touch, or added, in one change of each register. The first register that was moved and the last one may stand under
different sets for a moment, which is safe: each register is written at a majority of its old and of its new set. The
holder of the watch duty makes the changes; a change that its former holder left half done is finished by the next one.
"""

import dataclasses
import logging

from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """What the holder of the watch duty sees of the core machines."""

    members: tuple  # the agreed set
    learners: tuple  # machines in touch outside the set that hold every register, longest in touch first
    silent: tuple  # members not lost that have not answered since the newest learner came: it waits for their place
    lost: tuple  # members out of touch long enough to be swapped for a learner, longest first
    gone: tuple  # members out of touch long enough to be dropped without a successor, longest first
    leaving: tuple  # members that are ending in order


def next_set(*, view: View, wanted: int) -> tuple:
    """The set that should stand next, sorted; the present one where nothing is to be done.

    `wanted` is 2 t + 1 voters, where t machines may be lost at once: the set never shrinks below that by choice.
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


def tolerated_losses(*, members: tuple, in_touch) -> int:
    """How many further members may be lost now with a majority left; -1 where there is none."""
    live = sum(1 for member in members if member in in_touch)
    return live - ballots.majority(members)


class CoreSetChanger:
    """Moves every register to a set, all at once. Each is safe by itself; one that fails is moved again."""

    def __init__(self, *, change, known_set):
        self._change = change  # (name, edit, done, next_set, is_wanted): a round of the register
        self._known_set = known_set  # (name) -> the set that the register is known to stand under
        self._target = ()
        self._moving_registers = set()  # registers

    @property
    def is_moving(self) -> bool:
        return bool(self._moving_registers)

    def needs_move(self, *, target: tuple) -> bool:
        """Whether any register is known to stand under another set than this one."""
        return any(tuple(self._known_set(name)) != target for name in register_names.REGISTERS)

    def move(self, *, target: tuple) -> None:
        """Starts to move all registers to `target`, in place of an older target that is not reached yet.

        Where a round fails, the next heartbeat begins again.
        """
        if self.is_moving and target == self._target:
            return
        _log.debug("core_set_moving", extra={"to": list(target)})
        self._target = target
        self._moving_registers = set(register_names.REGISTERS)
        for name in register_names.REGISTERS:
            self._move_one(name, target)

    def _move_one(self, name: str, target: tuple) -> None:
        def done(_failure, _revision=0, _payload=None, _result=None):
            if self._target == target:
                self._moving_registers.discard(name)

        self._change(
            name=name,
            edit=_edit_for(name),
            done=done,
            next_set=target,
            is_wanted=lambda: self._target == target,
        )


def _edit_for(name: str):
    if name == register_names.CORE_SET:
        return lambda payload: ((payload or 0) + 1, None)
    return lambda payload: (payload, None)

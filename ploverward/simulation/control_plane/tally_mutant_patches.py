"""Patches of the mutants of the tallies (docs/simulate.md); those of other mutants are in mutant_patches.py."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from collections.abc import Collection
from unittest import mock

from ploverward.control_plane.operator_api import router
from ploverward.control_plane.operator_api import tally_handlers
from ploverward.control_plane.tallies import add_waiters
from ploverward.control_plane.tallies import tally_folder
from ploverward.control_plane.tallies import tally_replicator
from ploverward.control_plane.tallies import tally_service
from ploverward.control_plane.tallies import tally_state
from ploverward.simulation.control_plane import mutant_patches
from ploverward.transport import messages

ADDS_PER_REFUSAL = 7  # one of this many adds is refused after it was made


def counted_by_node() -> mutant_patches.Patches:
    """An add that two nodes accepted is counted once for each of them."""
    index_occurrence = tally_state.TallyState._index_occurrence

    def _index_occurrence(
        self: tally_state.TallyState, occurrence: tally_state.Occurrence, add: messages.TallyAdd
    ) -> None:
        key = tally_state.AddKey(add.tally, add.add_id)
        known = self._known_adds.get(key)
        if known is not None and all(occurrence.log != other.log for other in known.occurrences):
            self._totals[add.tally] += add.amount
        index_occurrence(self, occurrence, add)

    return [mock.patch.object(tally_state.TallyState, "_index_occurrence", _index_occurrence)]


def acknowledged_before_sync() -> mutant_patches.Patches:
    """An add is acknowledged when it is in memory, before it is synced to any disk."""
    return [mock.patch.object(add_waiters, "may_be_acknowledged", lambda _occurrences, _view: True)]


def acknowledged_on_too_few_disks() -> mutant_patches.Patches:
    """An add is acknowledged one disk too early, when it is on only as many disks as may be lost."""

    def may_be_acknowledged(occurrences: Collection[tally_state.Occurrence], view: add_waiters.DurabilityView) -> bool:
        holders = [view.own, *view.peers.values()]
        return sum(add_waiters._covers(positions, occurrences) for positions in holders) >= view.wanted_copies - 1

    return [mock.patch.object(add_waiters, "may_be_acknowledged", may_be_acknowledged)]


def kept_after_refusal() -> mutant_patches.Patches:
    """Some adds are refused with 503 after they were written."""
    handle_add = tally_handlers.TallyHandlers.handle_add
    numbers = itertools.count()

    def handle(self: tally_handlers.TallyHandlers, call: router.Call, name: str) -> None:
        if next(numbers) % ADDS_PER_REFUSAL:
            handle_add(self, call, name)
            return
        add = tally_handlers._parse_add(name, call.body)
        self._tallies.add(add=add, answer=lambda: None)
        call.answer_unavailable(reason="planted")

    return [mock.patch.object(tally_handlers.TallyHandlers, "handle_add", handle)]


def nothing_relayed() -> mutant_patches.Patches:
    """A node sends only its own adds: a third node gets no adds from a node that has gone."""
    return [mock.patch.object(tally_replicator.TallyReplicator, "_relay", lambda _self, _address, _peer: None)]


def folded_too_soon() -> mutant_patches.Patches:
    """Ids are forgotten within a second, even if some members lack the adds."""
    return [
        mock.patch.object(tally_folder, "RETRY_HORIZON_S", 0.8),
        mock.patch.object(tally_folder, "CHECKPOINT_INTERVAL_S", 0.2),
        *folded_without_members(),
    ]


def folded_without_members() -> mutant_patches.Patches:
    """Old ids are forgotten even if a member lacks the adds: an add that it accepted meanwhile is counted again."""

    def _fold(self: tally_folder.FoldScheduler, old: tally_state.Positions) -> None:
        for log, position in old.items():
            self._state.fold(log=log, up_to=position)

    return [mock.patch.object(tally_folder.FoldScheduler, "_fold", _fold)]


def reused_log() -> mutant_patches.Patches:
    """A restarted node continues the log of its previous incarnation, even if its disk was lost."""
    make_log: Callable[[str, str], messages.TallyLogName] = messages.TallyLogName

    def own_log(origin: str, _incarnation: str) -> messages.TallyLogName:
        return make_log(origin, "")

    return [mock.patch.object(tally_service, "TallyLogName", own_log)]

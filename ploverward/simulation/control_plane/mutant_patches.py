"""Patches with which mutants change the product's code (docs/simulate.md).

Each function returns the patches of one mutant as context managers. They apply while they are entered, in this process
only. A patch whose target no longer exists raises an error and has to be moved to the code's new place.
"""

from __future__ import annotations

import dataclasses
import http
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Container
from collections.abc import Hashable
from collections.abc import Iterable
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

from ploverward.common.identifiers import NO_VERSION
from ploverward.control_plane.cluster import coordinator
from ploverward.control_plane.cluster import majority_lease
from ploverward.control_plane.cluster import share_lease_granter
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.cluster import voting_set
from ploverward.control_plane.configuration import order_archive
from ploverward.control_plane.configuration import orders
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import proposer
from ploverward.control_plane.consensus import write_ahead_log
from ploverward.control_plane.distribution import subscriber
from ploverward.control_plane.operator_api import call_lifecycle
from ploverward.control_plane.operator_api import router
from ploverward.control_plane.quotas import share_leases
from ploverward.transport import interfaces
from ploverward.transport import messages

Patches = list[AbstractContextManager[Any]]


def _found_set_on_empty_disk(*, is_always: bool) -> Patches:
    """Makes a node with an empty disk found a core set of its seeds at once.

    Args:
        is_always: Whether it does so on every start; otherwise only if its settings mark the start as the first one.
    """
    load = consensus_node.ConsensusNode._load

    def _load(
        self: consensus_node.ConsensusNode,
        store: acceptor_storage.AcceptorStorage,
        seeds: Iterable[str],
        is_first_start: bool,
    ) -> None:
        load(self, store, seeds, is_first_start)
        if self.proposer.is_learner and (is_always or is_first_start):
            self._start_from_image(
                acceptor_storage.AcceptorImage(incarnation=self._unique_id(), first_set=tuple(sorted(seeds)))
            )
            self.proposer.is_learner = False

    return [mock.patch.object(consensus_node.ConsensusNode, "_load", _load)]


def seeds_as_default_set() -> Patches:
    """Makes a node with an empty disk take the seeds of its settings for the current core set on every start."""
    return _found_set_on_empty_disk(is_always=True)


def founds_on_first_start() -> Patches:
    """Makes a node with an empty disk found a core set where its settings say that this is the first start."""
    return _found_set_on_empty_disk(is_always=False)


def votes_before_catch_up() -> Patches:
    """Makes an emptied node take a new incarnation and vote at once, without what it had promised or accepted."""
    load = consensus_node.ConsensusNode._load

    def _request_catch_up(self: Any) -> None:  # noqa: ANN401  # a ConsensusNode with the added attribute own_set
        self._start_from_image(acceptor_storage.AcceptorImage(incarnation=self._unique_id(), first_set=self.own_set))

    def _load(
        self: Any,  # noqa: ANN401
        store: acceptor_storage.AcceptorStorage,
        seeds: Iterable[str],
        is_first_start: bool,
    ) -> None:
        self.own_set = tuple(sorted(seeds))
        load(self, store, seeds, is_first_start)
        self.proposer.is_learner = False

    return [
        mock.patch.object(consensus_node.ConsensusNode, "_request_catch_up", _request_catch_up),
        mock.patch.object(consensus_node.ConsensusNode, "_load", _load),
    ]


def grant_without_lease() -> Patches:
    """Grants share leases without the majority lease."""
    handle = share_lease_granter.ShareLeaseGranter.handle_renewal

    def handle_renewal(
        self: share_lease_granter.ShareLeaseGranter, connection: interfaces.Connection, message: messages.RenewShares
    ) -> None:
        with mock.patch.object(self._membership, "has_majority_lease", lambda: True):
            handle(self, connection, message)

    return [mock.patch.object(share_lease_granter.ShareLeaseGranter, "handle_renewal", handle_renewal)]


def order_blamed_for_isolation() -> Patches:
    """Makes a node that has no contact with a majority refuse orders as stale, in place of sending callers on."""

    def _forward(self: call_lifecycle.CallLifecycle, call: router.Call, *, is_isolated: bool) -> None:
        del self, is_isolated
        call.answer(status=http.HTTPStatus.PRECONDITION_FAILED, body=router.ErrorBody(error="stale"))

    return [mock.patch.object(call_lifecycle.CallLifecycle, "_forward", _forward)]


def grown_share_used_at_once() -> Patches:
    """Makes a node whose share of the limits grew lease it out before the older leases have expired."""
    return [mock.patch.object(share_leases.OwnedShare, "value", lambda self: self._share)]


def quorum_read_ahead_of_disk() -> Patches:
    """Answers quorum reads from memory, even if the state is not on disk yet."""

    def get(self: Any) -> object:  # noqa: ANN401  # reads a private attribute
        return self._acceptor

    durable = property(get, lambda self, _value: None)
    return [mock.patch.object(write_ahead_log.WriteAheadLog, "durable", durable, create=True)]


def acknowledged_before_durable() -> Patches:
    """Sends responses before the state that they confirm is durable."""
    when_durable = write_ahead_log.WriteAheadLog.when_durable

    def early(self: write_ahead_log.WriteAheadLog, *, key: Hashable, callback: Callable[[], None]) -> None:
        callback()
        when_durable(self, key=key, callback=lambda: None)

    return [mock.patch.object(write_ahead_log.WriteAheadLog, "when_durable", early)]


def few_order_ids() -> Patches:
    """Keeps the identifiers of the last four accepted orders only."""
    return [
        mock.patch.object(orders, "trimmed", lambda *, rows, archived: rows[-4:]),
        mock.patch.object(order_archive, "contains", lambda *, payload, order_id: False),
    ]


def set_stops_at_four() -> Patches:
    """Makes the core set grow by one machine at a time and stop at four, one more than the three seeds."""
    choose = voting_set.next_set

    def next_set(*, view: voting_set.CoreSetView, wanted: int) -> tuple[str, ...]:
        target = choose(view=view, wanted=wanted)
        added = sorted(set(target) - set(view.members))
        if not added:
            return target
        if len(view.members) > 3:
            return tuple(sorted(view.members))
        return tuple(sorted({*view.members, added[0]}))

    return [mock.patch.object(voting_set, "next_set", next_set)]


def acknowledged_by_one() -> Patches:
    """Counts a change as chosen once a single member has accepted it."""
    handle = proposer.Proposer.handle_accepted

    def has_any(*, of: Collection[str], among: Container[str]) -> bool:
        return any(member in among for member in of)

    def handle_accepted(self: proposer.Proposer, member: str, reply: messages.Accepted) -> None:
        with mock.patch.object(ballots, "has_majority", has_any):
            handle(self, member, reply)

    return [mock.patch.object(proposer.Proposer, "handle_accepted", handle_accepted)]


def restarted_coordinator_keeps_epoch() -> Patches:
    """Makes a node that was the coordinator continue under the old epoch after a restart."""

    def is_owner(self: coordinator.ClusterCoordinator) -> bool:
        return self._role_table.owner(singleton_roles.COORDINATOR).address == self._own

    return [mock.patch.object(coordinator.ClusterCoordinator, "is_owner", property(is_owner))]


def lease_counted_from_answers() -> Patches:
    """Makes the majority lease end one lease duration from now, whatever answers arrived; it ignores newer sets."""

    def lease_until(
        self: majority_lease.MajorityLease,
        *,
        members: tuple[str, ...],
        version: int,
        is_supporting: bool = True,
    ) -> float:
        return self._now() + self._lease_s

    return [mock.patch.object(majority_lease.MajorityLease, "lease_until", lease_until)]


def versions_go_back() -> Patches:
    """Makes a subscriber install any snapshot that it receives, also of an older version."""

    def handle_snapshot(self: Any, _connection: interfaces.Connection, message: messages.Snapshot) -> bool:  # noqa: ANN401
        self._on_snapshot(message)
        self.versions[message.topic] = message.version
        self._fetches.pop(message.topic, None)
        return True

    def handle_announcement(self: Any, connection: interfaces.Connection, message: messages.Announcement) -> None:  # noqa: ANN401
        for topic, version in message.versions:
            self._announced.setdefault(topic, {})[connection] = version
            connection.send(messages.Fetch(topic=topic, known=NO_VERSION))

    return [
        mock.patch.object(subscriber.Subscriber, "handle_snapshot", handle_snapshot),
        mock.patch.object(subscriber.Subscriber, "handle_announcement", handle_announcement),
    ]


def stale_base_accepted() -> Patches:
    """Accepts an order whatever edition it builds on."""
    edit_for = orders.edit_for

    def unchecked_edit(*, order: orders.Order, archived: int) -> Callable[[Any], Any]:
        edit = edit_for(order=order, archived=archived)

        def accept(payload: Any) -> Any:  # noqa: ANN401  # the signature of orders.Edit
            base = orders.edition_of(payload)
            if order.candidate is not None and order.base != base and order.candidate.edition > base:
                return edit_for(order=dataclasses.replace(order, base=base), archived=archived)(payload)
            return edit(payload)

        return accept

    return [mock.patch.object(orders, "edit_for", unchecked_edit)]

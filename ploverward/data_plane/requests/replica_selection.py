"""Chooses the replica for the next attempt of a request.

`ReplicaSelection` owns the constraints of one request: the replicas that it has tried and the regions that are
permitted for it. `ploverward.data_plane.load_balancing` computes the scores.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Set

    from ploverward.data_plane.load_balancing import replica_table
    from ploverward.data_plane.requests import admission_filters
    from ploverward.data_plane.requests import handler_context
    from ploverward.data_plane.requests import route_table


class Selection(typing.NamedTuple):
    """The result of a choice.

    Attributes:
        replica: The replica, None if none can accept the request now.
        prefill_tokens: Tokens that it has to prefill.
        has_eligible_replica: Whether any replica may serve the request, even if it is full now.
    """

    replica: replica_table.Replica | None
    prefill_tokens: int
    has_eligible_replica: bool


class ReplicaSelection:
    """Chooses replicas for one request.

    Attributes:
        avoided: Ids of replicas to skip.
        permitted: Regions permitted for the next attempt, None for all.
    """

    __slots__ = ("avoided", "permitted", "_context", "_facts")

    def __init__(self, *, facts: admission_filters.RequestFacts, context: handler_context.HandlerContext) -> None:
        self.avoided: set[str] = set()
        self.permitted: frozenset[str] | None = None
        self._context = context
        self._facts = facts

    def refresh_permitted(self, route: route_table.Route) -> None:
        """Updates the permitted regions; called before each attempt, since a new configuration may narrow them."""
        self.permitted = self._context.permitted(
            route=route, first_homes=self._facts.first_homes, tenant=self._facts.tenant
        )

    def choose(self, *, route: route_table.Route, is_first: bool, avoided: Set[str] | None = None) -> Selection:
        """Returns the best replica of the service versions that the request may use.

        Args:
            route: The route in force for the request.
            is_first: Whether no attempt of the request has reached a replica yet, which decides which versions are
                allowed during a rollout (docs/rollouts.md).
            avoided: Ids of replicas to skip, in place of the attribute `avoided`.
        """
        facts = self._facts
        has_eligible_replica = False
        for pool in self._context.rollouts.pools(service=facts.service, is_first=is_first):
            replica, prefill_tokens, is_eligible = self._context.chooser.choose(
                pool=pool,
                service=facts.service,
                permitted=self.permitted,
                model=facts.model.name if route.is_sticky else "",
                chain=facts.prompt.chain,
                prompt_tokens=facts.prompt.tokens,
                avoid=self.avoided if avoided is None else avoided,
                latency_target_s=facts.latency_target_s,
                adapter_load_s=self._adapter_load_s if facts.model.adapter else None,
            )
            if replica is not None:
                return Selection(replica, prefill_tokens, True)
            has_eligible_replica = has_eligible_replica or is_eligible
        return Selection(None, 0, has_eligible_replica)

    def _adapter_load_s(self, replica: replica_table.Replica) -> float:
        model = self._facts.model
        return self._context.adapters.expected_load_s(replica=replica, model=model.name, adapter=model.adapter)

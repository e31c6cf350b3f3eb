"""The choice of the replica for a request's next attempt.

`ReplicaSelection` owns what narrows one request's choice: the replicas that it has tried and the regions that are
permitted for it. The scores themselves are `ploverward.data_plane.load_balancing`'s.
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
    """A choice.

    Attributes:
        replica: The replica, None if none can accept the request now.
        prefill_tokens: Tokens that it has to prefill.
        is_any_known: Whether any replica may serve the request at all; a full one is available again sooner.
    """

    replica: replica_table.Replica | None
    prefill_tokens: int
    is_any_known: bool


class ReplicaSelection:
    """The choices for one request.

    Attributes:
        avoided: Ids of replicas that are not to be chosen again.
        permitted: Regions permitted for the next attempt, None for all.
    """

    __slots__ = ("avoided", "permitted", "_context", "_facts")

    def __init__(self, *, facts: admission_filters.RequestFacts, context: handler_context.HandlerContext) -> None:
        self.avoided: set[str] = set()
        self.permitted: frozenset[str] | None = None
        self._context = context
        self._facts = facts

    def refresh_permitted(self, route: route_table.Route) -> None:
        """Computes the permitted regions again, before each attempt, since a new configuration may narrow them."""
        self.permitted = self._context.permitted(
            route=route, first_homes=self._facts.first_homes, tenant=self._facts.tenant
        )

    def choose(self, *, route: route_table.Route, is_first: bool, avoided: Set[str] | None = None) -> Selection:
        """Returns the best replica, of the versions that may be used.

        Args:
            route: The route in force for the request.
            is_first: No attempt of the request has reached a replica yet (docs/rollouts.md).
            avoided: Replicas to skip, instead of those that were tried.
        """
        facts = self._facts
        is_any_known = False
        for pool in self._context.rollouts.pools(service=facts.service, is_first=is_first):
            replica, prefill_tokens, is_known = self._context.chooser.choose(
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
            is_any_known = is_any_known or is_known
        return Selection(None, 0, is_any_known)

    def _adapter_load_s(self, replica: replica_table.Replica) -> float:
        model = self._facts.model
        return self._context.adapters.expected_load_s(replica=replica, model=model.name, adapter=model.adapter)

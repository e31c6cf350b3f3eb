"""Home regions of replaced configurations that still apply (docs/design.md 10).

While a configuration is being replaced, some proxies have the older and some the newer one. Until the older one is
replaced everywhere, a request may be sent only to regions that both permit. The history keeps the home regions of
each replaced configuration with the time until which they apply.
"""

import dataclasses
from collections.abc import Callable
from collections.abc import Collection

from ploverward.common import residency
from ploverward.data_plane.quotas import tenant_directory
from ploverward.data_plane.requests import route_table


@dataclasses.dataclass(frozen=True, slots=True)
class FormerHomes:
    """The home regions of a configuration that was replaced."""

    applies_until: float  # seconds on the node's clock
    by_route: dict[str, tuple[str, ...]]
    by_tenant: dict[str, tuple[str, ...]]


class ResidencyHistory:
    """Determines the regions to which a request may be sent."""

    def __init__(self, *, now: Callable[[], float], applies_for_s: Callable[[], float]) -> None:
        """Creates an empty history.

        Args:
            now: Returns seconds on a monotonic clock.
            applies_for_s: Returns for how many seconds other proxies may still use a configuration that is replaced
                here.
        """
        self._now = now
        self._applies_for_s = applies_for_s
        self._former: list[FormerHomes] = []

    def add_replaced(self, routes: route_table.Routes) -> None:
        """Records the routes of a configuration that is about to be replaced.

        The empty configuration with which a proxy starts adds no restriction.
        """
        now = self._now()
        self._former = [former for former in self._former if former.applies_until > now]
        if routes.edition:
            self._former.append(
                FormerHomes(
                    applies_until=now + self._applies_for_s(),
                    by_route=routes.homes(),
                    by_tenant=routes.tenant_homes(),
                )
            )

    def permitted(
        self,
        *,
        route: route_table.Route,
        first_homes: Collection[str],
        tenant: tenant_directory.Tenant | None = None,
    ) -> frozenset[str] | None:
        """Returns the regions to which a request may be sent; None for all.

        Args:
            route: The request's route in the current configuration.
            first_homes: The permitted regions when the request arrived; empty for all.
            tenant: The request's tenant, if tenants are configured.
        """
        now = self._now()
        restrictions: list[Collection[str]] = [first_homes]
        for former in self._former:
            if former.applies_until > now:
                restrictions.append(former.by_route.get(route.name, ()))
                if tenant is not None:
                    restrictions.append(former.by_tenant.get(tenant.name, ()))
        if tenant is not None:
            restrictions.append(tenant.homes)
        return residency.permitted(homes=route.homes, older_homes=tuple(restrictions))

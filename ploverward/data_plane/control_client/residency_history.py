"""Home regions of earlier configurations that still bind (docs/design.md 10).

While a configuration is being replaced, some proxies have the older and some the newer one. Until the older one is
replaced everywhere, a request may be sent only where both permit it. The state is the homes of each replaced
configuration with the time until which they bind.
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

    binds_until: float  # seconds on the node's clock
    by_route: dict[str, tuple[str, ...]]
    by_tenant: dict[str, tuple[str, ...]]


class ResidencyHistory:
    """Determines the regions to which a request may be sent."""

    def __init__(self, *, now: Callable[[], float], binds_for_s: Callable[[], float]) -> None:
        """Creates a history of nothing.

        Args:
            now: seconds on a monotonic clock.
            binds_for_s: how long a configuration may still be in force at other proxies once it is replaced here.
        """
        self._now = now
        self._binds_for_s = binds_for_s
        self._former: list[FormerHomes] = []

    def add_replaced(self, routes: route_table.Routes) -> None:
        """The configuration with these routes is about to be replaced; the empty one of a start binds nothing."""
        now = self._now()
        self._former = [former for former in self._former if former.binds_until > now]
        if routes.edition:
            self._former.append(
                FormerHomes(
                    binds_until=now + self._binds_for_s(),
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
        """The regions that a request may go to; None for all.

        Args:
            route: of the request, in the configuration in force.
            first_homes: the permitted regions when the request arrived; empty for all.
            tenant: whose request it is, where there are tenants.
        """
        now = self._now()
        binding: list[Collection[str]] = [first_homes]
        for former in self._former:
            if former.binds_until > now:
                binding.append(former.by_route.get(route.name, ()))
                if tenant is not None:
                    binding.append(former.by_tenant.get(tenant.name, ()))
        if tenant is not None:
            binding.append(tenant.homes)
        return residency.permitted(homes=route.homes, older=tuple(binding))

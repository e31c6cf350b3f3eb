"""Admission of the listed versions of services that have no roll-out in progress (docs/rollouts.md 2).

For a service that has no row yet, the versions of the first list are admitted. If none of a service's admitted versions
has been listed for a grace period, the listed versions are admitted instead, except those that were rolled back. This
covers operators who change the platform by hand. `VersionAdmitter` owns the times since which services have had no
admitted version on the list.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

from ploverward.control_plane.rollouts import state


class VersionAdmitter:
    """Decides which versions to admit.

    Args:
        now: Clock of this process, in seconds.
        grace_s: How long a service may be without a listed admitted version before the listed ones are admitted.
    """

    def __init__(self, *, now: Callable[[], float], grace_s: float) -> None:
        self._now = now
        self._grace_s = grace_s
        self._missing_since: dict[str, float] = {}  # by service

    def versions_to_admit(
        self,
        *,
        listed: Mapping[str, set[str]],
        rollouts: Mapping[str, state.Rollout],
        changing: Collection[str],
    ) -> dict[str, set[str]]:
        """Returns the versions to admit, by service.

        Args:
            listed: Listed versions, by service.
            rollouts: The rows of the register, by service.
            changing: Services whose row is being changed; they are omitted.
        """
        wanted = {}
        for service, versions in listed.items():
            rollout = rollouts.get(service, state.Rollout())
            candidates = versions - set(rollout.refused)
            if service in changing or rollout.is_in_progress or self._is_served(service, rollout, candidates):
                continue
            if candidates:
                wanted[service] = candidates
        return wanted

    def _is_served(self, service: str, rollout: state.Rollout, candidates: set[str]) -> bool:
        if not rollout.admitted:
            return False
        if candidates & set(rollout.admitted):
            self._missing_since.pop(service, None)
            return True
        since = self._missing_since.setdefault(service, self._now())
        return self._now() - since < self._grace_s

"""How fresh a proxy's configuration is, and whether a key may be trusted by it (docs/keys.md 2, 3).

`ConfigurationFreshness` owns what core nodes reported. All its times are on this proxy's clock and count from when a
core node was sent the request: a slow connection, a frozen process or a late reply never makes a configuration look
fresher (`test_no_proxy_trusts_a_key_after_the_revocation_bound`).
"""

import dataclasses
import enum
import math
import typing
from collections.abc import Callable

from ploverward.common import settings as node_settings
from ploverward.data_plane.quotas import tenant_directory

MAX_REFUSAL_AGE_SHARE = 0.25  # of contactMs: the configuration is so fresh where an unknown key is refused for good
MAX_KEY_AGE_SHARE = 0.96  # of revokeMs: with an older configuration no key is trusted
MAX_REPORTS = 16  # of different core nodes; the oldest is dropped first


class _Report(typing.NamedTuple):
    fresh_as_of: float  # on this proxy's clock
    version: int


class ConfigurationFreshness:
    """As of when nothing newer was acknowledged than the configuration that this proxy has.

    A core node in contact with a majority reports the newest version that it knows as chosen, and for how long there
    may have been a newer one.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._reports: dict[str, _Report] = {}  # by core node

    def record(self, *, core: str, version: int, sent_at: float, age_s: float) -> None:
        """Records a core node's report.

        Args:
            core: The core node.
            version: The newest version that it knows as chosen.
            sent_at: When it was sent the request, on this proxy's clock.
            age_s: For how many seconds before its reply a newer one may have been acknowledged.
        """
        self._reports[core] = _Report(fresh_as_of=sent_at - age_s, version=version)
        while len(self._reports) > MAX_REPORTS:
            self._reports.pop(next(iter(self._reports)))

    def age_s(self, *, version: int) -> float:
        """Seconds since a moment at which nothing newer than `version`, which this proxy has, was acknowledged."""
        fresh = [report.fresh_as_of for report in self._reports.values() if report.version <= version]
        return self._now() - max(fresh) if fresh else math.inf


class CredentialVerdict(enum.Enum):
    """What becomes of a request because of its key."""

    ADMITTED = "admitted"
    UNKNOWN = "unknown"  # 401: no configuration has this key
    UNSURE = "unsure"  # 503: this proxy may have an old configuration


@dataclasses.dataclass(frozen=True)
class CredentialFreshness:
    """How old this proxy's configuration may be.

    Attributes:
        max_refusal_age_s: To refuse an unknown key for good.
        max_key_age_s: To trust a key; 0: keys are not revoked strictly, any age will do.
    """

    max_refusal_age_s: float
    max_key_age_s: float

    @classmethod
    def from_settings(cls, settings: node_settings.Settings) -> "CredentialFreshness":
        """Reads contactMs, revokeMs and revocationStrict."""
        is_strict = settings.bound(name="revocationStrict") > 0
        return cls(
            max_refusal_age_s=settings.bound_s(name="contactMs") * MAX_REFUSAL_AGE_SHARE,
            max_key_age_s=settings.bound_s(name="revokeMs") * MAX_KEY_AGE_SHARE if is_strict else 0.0,
        )

    def verdict(self, *, tenant: tenant_directory.Tenant | None, has_key: bool, age_s: float) -> CredentialVerdict:
        """Judges a request.

        Args:
            tenant: Whose key it has, by this proxy's configuration.
            has_key: Whether it has a key at all: without one no configuration admits it.
            age_s: Age of the configuration.
        """
        if tenant is None:
            is_certain = not has_key or age_s <= self.max_refusal_age_s
            return CredentialVerdict.UNKNOWN if is_certain else CredentialVerdict.UNSURE
        if self.max_key_age_s and age_s >= self.max_key_age_s:
            return CredentialVerdict.UNSURE
        return CredentialVerdict.ADMITTED

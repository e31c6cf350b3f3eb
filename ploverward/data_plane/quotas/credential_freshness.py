"""Freshness of a proxy's configuration, and the decision whether it may be used to check a key (docs/keys.md 2, 3).

`ConfigurationFreshness` owns the core nodes' reports. All its times are on this proxy's clock and count from when the
request was sent to the core node, so a slow connection, a frozen process or a late reply never makes a configuration
look fresher (`test_no_proxy_trusts_a_key_after_the_revocation_bound`).
"""

import dataclasses
import enum
import math
import typing
from collections.abc import Callable

from ploverward.common import settings as node_settings
from ploverward.data_plane.quotas import tenant_directory

MAX_REFUSAL_AGE_SHARE = 0.25  # share of contactMs: maximum configuration age for rejecting an unknown key with 401
MAX_KEY_AGE_SHARE = 0.96  # share of revokeMs: with an older configuration no key is accepted
MAX_REPORTS = 16  # one per core node; the core node that reported first is dropped first


class _Report(typing.NamedTuple):
    fresh_as_of: float  # on this proxy's clock
    version: int


class ConfigurationFreshness:
    """The age of this proxy's configuration: how long ago it was certainly the newest acknowledged one.

    A core node in contact with a majority reports the newest version that it knows to be chosen, and for how long a
    newer one may have existed.
    """

    def __init__(self, *, now: Callable[[], float]) -> None:
        self._now = now
        self._reports: dict[str, _Report] = {}  # by core node

    def record(self, *, core: str, version: int, sent_at: float, age_s: float) -> None:
        """Records a core node's report.

        Args:
            core: The core node.
            version: The newest version that it knows to be chosen.
            sent_at: When the request was sent to the core node, on this proxy's clock.
            age_s: For how many seconds before its reply a newer version may have been acknowledged.
        """
        self._reports[core] = _Report(fresh_as_of=sent_at - age_s, version=version)
        while len(self._reports) > MAX_REPORTS:
            self._reports.pop(next(iter(self._reports)))

    def age_s(self, *, version: int) -> float:
        """Returns the seconds since a moment at which no version newer than `version` had been acknowledged.

        Args:
            version: The version that this proxy has.
        """
        fresh = [report.fresh_as_of for report in self._reports.values() if report.version <= version]
        return self._now() - max(fresh) if fresh else math.inf


class CredentialVerdict(enum.Enum):
    """The result of checking a request's key."""

    ADMITTED = "admitted"
    UNKNOWN = "unknown"  # 401: no configuration has this key
    UNSURE = "unsure"  # 503: this proxy's configuration may be out of date


@dataclasses.dataclass(frozen=True)
class CredentialFreshness:
    """The maximum age of a configuration that keys are checked against.

    Attributes:
        max_refusal_age_s: Maximum age for rejecting an unknown key with 401, which is final for the client.
        max_key_age_s: Maximum age for accepting a key; 0: revocation is not strict, and any age is accepted.
    """

    max_refusal_age_s: float
    max_key_age_s: float

    @classmethod
    def from_settings(cls, settings: node_settings.Settings) -> "CredentialFreshness":
        """Creates the limits from the bounds contactMs, revokeMs and revocationStrict."""
        is_strict = settings.bound(name="revocationStrict") > 0
        return cls(
            max_refusal_age_s=settings.bound_s(name="contactMs") * MAX_REFUSAL_AGE_SHARE,
            max_key_age_s=settings.bound_s(name="revokeMs") * MAX_KEY_AGE_SHARE if is_strict else 0.0,
        )

    def verdict(self, *, tenant: tenant_directory.Tenant | None, has_key: bool, age_s: float) -> CredentialVerdict:
        """Decides whether a request is admitted by its key.

        Args:
            tenant: The tenant that the key belongs to in this proxy's configuration; None if it has no such key.
            has_key: Whether the request has a key at all; without one no configuration admits it.
            age_s: Age of the configuration.
        """
        if tenant is None:
            is_certain = not has_key or age_s <= self.max_refusal_age_s
            return CredentialVerdict.UNKNOWN if is_certain else CredentialVerdict.UNSURE
        if self.max_key_age_s and age_s >= self.max_key_age_s:
            return CredentialVerdict.UNSURE
        return CredentialVerdict.ADMITTED

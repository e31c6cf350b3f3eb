"""The core set as this node knows it, and whether a majority of that set confirms it (docs/control.md 1, 2).

Owns the newest core set that this node knows as chosen. Invariant: a set that was merely accepted, here or elsewhere,
is never treated as agreed; it only ends this node's support for older sets.
"""

import dataclasses
from collections.abc import Callable

from ploverward.control_plane.cluster import majority_lease
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import publisher as publishers

MAX_CONFIGURATION_AGE_S = 1e6  # reported where the age is unknown; above every bound that is checked against it


@dataclasses.dataclass(frozen=True, slots=True)
class AgreedCoreSet:
    """The newest core set that this node knows as chosen.

    Attributes:
        members: Addresses of the core nodes that vote.
        version: Revision of the register; 0 for the seed nodes of the first start, which no round has chosen yet.
    """

    members: tuple[str, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationAge:
    """The newest configuration that this node knows, and how old that knowledge is.

    Attributes:
        version: The newest configuration known as chosen.
        age_s: Seconds since the latest moment at which no newer configuration had been acknowledged.
    """

    version: int
    age_s: float


class CoreMembership:
    """The core set as this node knows it.

    Args:
        now: The clock, in seconds.
        consensus: This node's acceptor and proposer.
        publisher: Holds the newest chosen revision of each register.
        lease: Records which members replied to this node's heartbeats.

    Attributes:
        chosen_members: The newest core set known as chosen; empty before this node knows one.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        consensus: consensus_node.ConsensusNode,
        publisher: publishers.Publisher,
        lease: majority_lease.MajorityLease,
    ) -> None:
        self._now = now
        self._consensus = consensus
        self._publisher = publisher
        self._lease = lease
        self.chosen_members: tuple[str, ...] = ()

    def install(self, members: tuple[str, ...]) -> None:
        """Installs a chosen core set."""
        self.chosen_members = members

    def members(self) -> tuple[str, ...]:
        """Returns the members that consensus rounds of the core set's register currently involve."""
        return self._consensus.proposer.members(register_names.CORE_SET)

    def agreed(self) -> AgreedCoreSet:
        """Returns the newest core set that this node knows as chosen, or the seed nodes before it knows one."""
        version = self.chosen_version(register_names.CORE_SET)
        return AgreedCoreSet(members=self.chosen_members if version else self.members(), version=version)

    def chosen_version(self, register: str) -> int:
        """Returns the newest revision of a register that this node knows as chosen; 0 for none."""
        return self._publisher.version(register).number

    def accepted_version(self, register: str) -> int:
        """Returns the newest revision of a register that this node has accepted, chosen or not."""
        return max(self._consensus.acceptor.get(register).revision, self.chosen_version(register))

    def has_majority_lease(self) -> bool:
        """Returns whether a majority of the agreed core set confirmed it within the lease (docs/control.md 2)."""
        agreed = self.agreed()
        return self._lease.has_majority(
            members=agreed.members, version=agreed.version, is_supporting=self._own_vote_supports(agreed)
        )

    def configuration_age(self) -> ConfigurationAge:
        """Returns the newest configuration known as chosen, and for how long a newer one may have existed unnoticed."""
        agreed = self.agreed()
        known_version = self.chosen_version(register_names.CONFIGURATION)
        as_of = self._lease.fresh_as_of(
            members=agreed.members,
            version=agreed.version,
            known_version=known_version,
            accepted_version=self.accepted_version(register_names.CONFIGURATION),
            is_supporting=self._own_vote_supports(agreed),
        )
        return ConfigurationAge(version=known_version, age_s=min(MAX_CONFIGURATION_AGE_S, self._now() - as_of))

    def _own_vote_supports(self, agreed: AgreedCoreSet) -> bool:
        """Returns whether this node's own vote counts for this set, by the same rule as a reply of another voter."""
        return self._consensus.is_voter and self.accepted_version(register_names.CORE_SET) <= agreed.version

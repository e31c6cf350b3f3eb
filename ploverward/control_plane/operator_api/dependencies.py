"""What the operator API needs of its node, as types; the node and the simulations provide it."""

import collections.abc
import dataclasses
import typing

from ploverward.common import settings as node_settings
from ploverward.common.identifiers import Version
from ploverward.control_plane.configuration.register_payloads import Edit
from ploverward.control_plane.configuration.register_payloads import Payload
from ploverward.transport import messages
from ploverward.transport.interfaces import Connection

Json: typing.TypeAlias = dict[str, typing.Any]

# Called once at the end of a consensus round: (error or None, version, payload, result of the edit).
RoundDone: typing.TypeAlias = collections.abc.Callable[[Exception | None, int, Payload, typing.Any], None]


class ChangeRegister(typing.Protocol):
    """Starts a consensus round that changes a register.

    Args:
        name: the register (`ploverward.control_plane.consensus.register_names`).
        edit: makes the new payload; it may run several times, and what it raises ends the round.
        done: called once with the outcome.
        is_wanted: a round for which it is False makes no further attempt.
    """

    def __call__(
        self,
        *,
        name: str,
        edit: Edit,
        done: RoundDone,
        is_wanted: collections.abc.Callable[[], bool] | None = None,
    ) -> None:
        """Starts the round."""


class ReadRegister(typing.Protocol):
    """Reads a register at a majority."""

    def __call__(self, *, name: str, done: RoundDone) -> None:
        """Starts the read."""


@dataclasses.dataclass(frozen=True)
class Registers:
    """Access to the replicated registers.

    Attributes:
        change: starts a round that changes one.
        read: starts a read of one.
    """

    change: ChangeRegister
    read: ReadRegister


class Proxy(typing.Protocol):
    """A proxy that is connected to this node."""

    connection: Connection
    address: str
    zone: str
    region: str
    incarnation: str
    public_address: str  # ADDRESS:PORT that clients reach
    is_ready: bool
    is_draining: bool


class ListProxies(typing.Protocol):
    """Lists the connected proxies."""

    def __call__(self, *, serving_only: bool = True) -> collections.abc.Sequence[Proxy]:
        """Those that may be named to clients (ready and not draining), or with `serving_only=False` all."""


class Publisher(typing.Protocol):
    """The publisher of distributed topics (`ploverward.control_plane.distribution.publisher`)."""

    def get(self, topic: str) -> messages.Snapshot | None:
        """The newest version."""

    def lagging_connections(self, *, topic: str, version: Version, connections: list[Connection]) -> list[Connection]:
        """Those of the connections that have not acknowledged this version."""


class TenantMeter(typing.Protocol):
    """Counts what proxies admit for tenants (`ploverward.control_plane.quotas.quota_meter`)."""

    def view(self) -> dict[str, Json]:
        """The bucket of each tenant, by the hexadecimal tenant key."""

    def proxy_count(self) -> int:
        """How many proxies may be admitting requests."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeState:
    """What the API reads of its node. The callables are called each time, as what they return changes.

    Attributes:
        own: IP address of this node.
        settings: the settings in force.
        members: addresses of the voting core nodes.
        is_core_live: whether this node is connected to the core node with this address.
        has_majority_contact: whether it is in contact with a majority of the voting nodes.
        is_voting: whether it knows the registers and votes.
        proxies: lists the connected proxies.
        configuration: the body of the newest configuration that this node knows to be chosen, or None.
        singleton_roles: the owner of each singleton role, as far as known.
        core_set: the status of the core set, for operators.
    """

    own: str
    settings: collections.abc.Callable[[], node_settings.Settings]
    members: collections.abc.Callable[[], tuple[str, ...]]
    is_core_live: collections.abc.Callable[[str], bool]
    has_majority_contact: collections.abc.Callable[[], bool]
    is_voting: collections.abc.Callable[[], bool]
    proxies: ListProxies
    configuration: collections.abc.Callable[[], Json | None]
    singleton_roles: collections.abc.Callable[[], Json]
    core_set: collections.abc.Callable[[], Json]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Durations from the node's settings.

    Attributes:
        ttl_s: how long a client may use the answer to a look-up.
        contact_s: `contactMs` of the settings, in seconds.
        receipt_s: `receiptMs` of the settings, in seconds.
    """

    ttl_s: int
    contact_s: float
    receipt_s: float

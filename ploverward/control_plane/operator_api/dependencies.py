"""Types of what the operator API needs from its node. The node and the simulations implement them."""

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
        edit: returns the new payload; it may run several times, and an exception that it raises ends the round.
        done: called once with the outcome.
        is_wanted: returns whether the round is still needed; if not, it makes no further attempt.
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
    """Reads a register from a majority of the voting nodes."""

    def __call__(self, *, name: str, done: RoundDone) -> None:
        """Starts the read."""


@dataclasses.dataclass(frozen=True)
class Registers:
    """Access to the replicated registers.

    Attributes:
        change: starts a round that changes a register.
        read: starts a read of a register.
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
        """Returns the proxies that clients may use (ready and not draining), or all if `serving_only` is False."""


class Publisher(typing.Protocol):
    """The publisher of distributed topics (`ploverward.control_plane.distribution.publisher`)."""

    def get(self, topic: str) -> messages.Snapshot | None:
        """Returns the newest version of a topic, or None if there is none yet."""

    def lagging_connections(self, *, topic: str, version: Version, connections: list[Connection]) -> list[Connection]:
        """Returns those of the connections that have not acknowledged this version."""


class TenantMeter(typing.Protocol):
    """Tracks how much proxies admit for each tenant (`ploverward.control_plane.quotas.quota_meter`)."""

    def view(self) -> dict[str, Json]:
        """Returns the token bucket of each tenant, by the hexadecimal tenant key."""

    def proxy_count(self) -> int:
        """Returns the number of proxies that may be admitting requests."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeState:
    """The state of the node as the API reads it.

    The callables are called for each read, as their results change.

    Attributes:
        own: the IP address of this node.
        settings: returns the settings in force.
        members: returns the addresses of the voting core nodes.
        is_core_live: returns whether this node is connected to the core node with a given address.
        has_majority_contact: returns whether this node is in contact with a majority of the voting nodes.
        is_voting: returns whether this node has the registers' values and votes.
        proxies: lists the connected proxies.
        configuration: returns the body of the newest configuration that this node knows to be chosen, or None.
        singleton_roles: returns the known owners of the singleton roles.
        core_set: returns the status of the core set, for operators.
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
        ttl_s: how many seconds a client may use the answer to a look-up.
        contact_s: `contactMs` of the settings, in seconds.
        receipt_s: `receiptMs` of the settings, in seconds.
    """

    ttl_s: int
    contact_s: float
    receipt_s: float

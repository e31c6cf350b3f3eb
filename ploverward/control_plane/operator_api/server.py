"""The HTTP servers of a core node and the handlers behind them (design 4, 5, 9, 10).

Messages from proxies that complete a call, or whose content is stored for later calls, also arrive here.
"""

import collections.abc
import typing

from ploverward.common import settings as node_settings
from ploverward.control_plane.audit import custody_service
from ploverward.control_plane.cluster import store_directory
from ploverward.control_plane.configuration.register_payloads import Payload
from ploverward.control_plane.discovery import directory
from ploverward.control_plane.operator_api.adapter_handlers import AdapterHandlers
from ploverward.control_plane.operator_api.apply_barrier import ApplyBarrier
from ploverward.control_plane.operator_api.configuration_handlers import MAX_CONFIGURATION_BYTES
from ploverward.control_plane.operator_api.custody_handlers import CustodyHandlers
from ploverward.control_plane.operator_api.dependencies import NodeState
from ploverward.control_plane.operator_api.dependencies import Publisher
from ploverward.control_plane.operator_api.dependencies import Registers
from ploverward.control_plane.operator_api.dependencies import TenantMeter
from ploverward.control_plane.operator_api.dependencies import Timing
from ploverward.control_plane.operator_api.lookup_handlers import LookupHandlers
from ploverward.control_plane.operator_api.node_handlers import NodeHandlers
from ploverward.control_plane.operator_api.order_api import OrderApi
from ploverward.control_plane.operator_api.redirector import Redirector
from ploverward.control_plane.operator_api.router import Router
from ploverward.control_plane.operator_api.tally_handlers import TallyHandlers
from ploverward.control_plane.operator_api.tenant_handlers import TenantHandlers
from ploverward.control_plane.tallies import tally_service
from ploverward.transport import http_request
from ploverward.transport import messages
from ploverward.transport.interfaces import Loop

MAX_HEAD_BYTES = 65536
IDLE_CONTACTS = 4  # how long a connection may be idle, in multiples of contactMs
MIN_CONNECTIONS = 200
SERVED_BINDINGS = ("control", "directory")  # bindings in the settings; each serves all calls


class OperatorApi:
    """The HTTP servers and call handlers of a core node.

    Args:
        loop: the event loop.
        make_http_server: creates a `ploverward.transport.http_server.HttpServer`, or its substitute in simulations.
        registers: the replicated registers.
        publisher: the publisher of distributed topics.
        meter: tracks how much proxies admit for each tenant.
        tallies: the tallies of this node.
        custody: the custody trails of this node.
        node: the state of this node.
        timing: durations from the settings.
        stores: the stores that this node knows; None in a deployment without stores.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        make_http_server: collections.abc.Callable[..., typing.Any],
        registers: Registers,
        publisher: Publisher,
        meter: TenantMeter,
        tallies: tally_service.TallyService,
        custody: custody_service.CustodyService,
        node: NodeState,
        timing: Timing,
        stores: store_directory.StoreDirectory | None = None,
    ) -> None:
        self._loop = loop
        self._make_http_server = make_http_server
        self._settings = node.settings
        self._contact_s = timing.contact_s
        self._servers: list[typing.Any] = []
        self._apply_barrier = ApplyBarrier(publisher=publisher, proxies=node.proxies)
        self._orders = OrderApi(
            loop=loop,
            registers=registers,
            apply_barrier=self._apply_barrier,
            redirector=Redirector(
                own=node.own, port=_control_port(node.settings()), members=node.members, is_live=node.is_core_live
            ),
            configuration=node.configuration,
            zones=lambda: node.settings().zones,
            receipt_s=timing.receipt_s,
            is_voting=node.is_voting,
            has_majority_contact=node.has_majority_contact,
            stores=stores,
            copies=node.settings().tolerated_machines + 1,
        )
        self._adapters = AdapterHandlers(loop=loop, publisher=publisher, node=node, contact_s=timing.contact_s)
        self._custody = CustodyHandlers(loop=loop, node=node, custody=custody, receipt_s=timing.receipt_s)
        self._tallies = TallyHandlers(tallies=tallies, node_name=lambda: node.settings().node)
        proxy_directory = directory.Directory(
            now=loop.now,
            members=node.members,
            is_core_live=node.is_core_live,
            proxies=node.proxies,
            configuration=node.configuration,
            zones=lambda: node.settings().zones,
            contact_s=timing.contact_s,
        )
        handlers = (
            self._orders,
            LookupHandlers(proxy_directory=proxy_directory, ttl_s=timing.ttl_s),
            NodeHandlers(publisher=publisher, node=node),
            self._adapters,
            self._custody,
            TenantHandlers(configuration=node.configuration, meter=meter),
            self._tallies,
        )
        self._router = Router(rules=[rule for handler in handlers for rule in handler.rules()])

    def listen(self) -> None:
        """Starts the servers on the bindings in the settings."""
        settings = self._settings()
        for name in SERVED_BINDINGS:
            if name in settings.bindings:
                server = self._make_http_server(
                    loop=self._loop,
                    address=settings.bindings[name],
                    on_request=self._router.handle,
                    limits=self._limits,
                    peer_timeout_s=self._contact_s,
                    max_connections=max(MIN_CONNECTIONS, settings.handles // 2),
                )
                self._servers.append(server)

    def shut_down(self) -> None:
        """Stops accepting connections.

        On the open connections, calls on the registers are redirected to other nodes and adds to tallies are refused.
        """
        self._orders.shut_down()
        self._tallies.shut_down()
        for server in self._servers:
            server.stop_listening()
            server.leave()

    def check_applied(self) -> None:
        """Sends the acknowledgements that are due. To be called when a proxy acknowledged a version or disconnected."""
        self._apply_barrier.check()

    def learn_archive(self, payload: Payload) -> None:
        """Records a chosen value of the archive register, which lists old orders."""
        self._orders.learn_archive(payload)

    def handle_adapter_counts(self, message: messages.AdapterCounts) -> None:
        """Stores the adapter counts that a proxy reported."""
        for count in message.counts:
            self._adapters.usage_store.record(count)

    def handle_cache_owners(self, message: messages.CacheOwners) -> None:
        """Handles a proxy's reply about the replicas that hold parts of a trail in their caches."""
        self._custody.handle_cache_owners(message)

    def _limits(self) -> http_request.Limits:
        return http_request.Limits(
            head_bytes=MAX_HEAD_BYTES,
            body_bytes=MAX_CONFIGURATION_BYTES,
            head_s=self._contact_s,
            idle_s=self._contact_s * IDLE_CONTACTS,
        )


def _control_port(settings: node_settings.Settings) -> int:
    """Returns the port of the operator API, which is the same on all machines; 0 if this machine does not serve it."""
    return settings.bindings["control"][1] if "control" in settings.bindings else 0

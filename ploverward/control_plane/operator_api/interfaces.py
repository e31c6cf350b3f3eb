"""The published interfaces of a core node, put together: dispatch, directory and what tools read (design 4, 5, 9, 10)."""

import dataclasses
import typing

from ploverward.control_plane.discovery import directory
from ploverward.control_plane.operator_api import order_handlers
from ploverward.control_plane.operator_api import reports
from ploverward.control_plane.operator_api import router
from ploverward.control_plane.operator_api import tenant_views
from ploverward.transport import http_server as http_servers

HEAD_BYTES = 65536
BODY_BYTES = 16 * 1024 * 1024
IDLE_CONTACTS = 4  # a connection may rest for so many contactMs
LEAST_CONNECTIONS = 200
SERVED = ("control", "directory")


@dataclasses.dataclass(frozen=True)
class Registers:
    """Access to the replicated registers: the arguments of the proposer's methods of the same names."""

    change: typing.Callable
    read: typing.Callable


class Interfaces:
    """Listeners and handlers. Inputs ending in `()` are called each time, as what they tell changes.

    `registers`: change and read of the replicated registers; `members()`, `is_core_live(host)`, `is_learned()`,
    `has_majority_contact()`: what this node knows of the core; `proxies(is_listed=)`: those in touch;
    `configuration()`: the body in force as far as known, or None.
    """

    def __init__(
        self,
        *,
        loop,
        make_http_server,
        settings,
        own: str,
        publisher,
        registers,
        members,
        is_core_live,
        is_learned,
        has_majority_contact,
        proxies,
        configuration,
        singleton_roles,
        votes,
        core_set,
        meter,
        ttl_s: int,
        contact_s: float,
        receipt_s: float,
    ):
        self.servers = []
        self.applying = order_handlers.Applying(publisher=publisher, proxies=proxies)
        self.dispatch = order_handlers.Dispatch(
            loop=loop,
            registers=registers,
            applying=self.applying,
            redirect=order_handlers.Redirect(
                own=own, port=_control_port(settings()), members=members, is_live=is_core_live
            ),
            applied=configuration,
            zones=lambda: settings().zones,
            receipt_s=receipt_s,
            is_learned=is_learned,
            has_majority_contact=has_majority_contact,
        )
        self.directory = directory.Directory(
            loop=loop,
            members=members,
            is_core_live=is_core_live,
            proxies=proxies,
            configuration=configuration,
            ttl_s=ttl_s,
            contact_s=contact_s,
        )
        self.views = directory.Views(
            publisher=publisher,
            proxies=proxies,
            settings=settings,
            votes=votes,
            members=members,
            singleton_roles=singleton_roles,
            core_set=core_set,
        )
        self.adapters = reports.Adapters(
            loop=loop, publisher=publisher, proxies=proxies, settings=settings, contact_s=contact_s
        )
        self.custody = reports.Custody(
            loop=loop, proxies=proxies, settings=settings, contact_s=contact_s, receipt_s=receipt_s
        )
        self.tenants = tenant_views.TenantViews(configuration=configuration, meter=meter)
        parts = (self.dispatch, self.directory, self.views, self.adapters, self.custody, self.tenants)
        self._router = router.Router(rules=[rule for part in parts for rule in part.rules()])
        self._loop = loop
        self._make_http_server = make_http_server
        self._settings = settings
        self._contact_s = contact_s

    def listen(self) -> None:
        settings = self._settings()
        for name in SERVED:
            if name in settings.bindings:
                server = self._make_http_server(
                    loop=self._loop,
                    address=settings.bindings[name],
                    on_request=self._router.handle,
                    limits=self._limits,
                    peer_timeout_s=self._contact_s,
                    max_connections=max(LEAST_CONNECTIONS, settings.handles // 2),
                )
                self.servers.append(server)

    def leave(self) -> None:
        """No new connections; calls on those that are open are sent on to other nodes."""
        self.dispatch.leave()
        for server in self.servers:
            server.stop_listening()
            server.leave()

    def _limits(self):
        return http_servers.Limits(
            head_bytes=HEAD_BYTES,
            body_bytes=BODY_BYTES,
            head_s=self._contact_s,
            idle_s=self._contact_s * IDLE_CONTACTS,
        )


def _control_port(settings) -> int:
    """Ports are alike on all machines."""
    return settings.bindings["control"][1] if "control" in settings.bindings else 0

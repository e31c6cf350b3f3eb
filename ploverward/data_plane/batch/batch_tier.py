"""The batch tier of one proxy: creates its components and connects them (docs/batch.md)."""

from __future__ import annotations

from collections.abc import Callable

from ploverward.data_plane.batch import batch_api
from ploverward.data_plane.batch import item_puller
from ploverward.data_plane.batch import store_client
from ploverward.data_plane.requests import handler_context
from ploverward.transport import http_request
from ploverward.transport import messages

ROLE = "proxy"


class BatchTier:
    """Handles API calls for batch jobs and runs items on this proxy.

    Args:
        node: The proxy.
        peer_timeout_s: Seconds without received data after which a connection to a store is closed.
        proxy_count: Returns the number of proxies.
        is_draining: Returns whether this proxy is shutting down.

    Attributes:
        stores: The client for the stores.
    """

    def __init__(
        self,
        *,
        node: handler_context.HandlerContext,
        peer_timeout_s: float,
        proxy_count: Callable[[], int],
        is_draining: Callable[[], bool],
    ) -> None:
        self.stores = store_client.StoreClient(
            loop=node.loop,
            port=node.settings.proxy_port,
            peer_timeout_s=peer_timeout_s,
            handshake=messages.Handshake(
                role=ROLE,
                address=node.settings.ip,
                zone=node.settings.zone,
                region=node.settings.region,
                incarnation=node.incarnation,
                public_address="",  # stores connect to no proxy
            ),
            on_up=self._handle_store_up,
        )
        self._api = batch_api.BatchApi(node=node, stores=self.stores)
        self._puller = item_puller.ItemPuller(
            node=node, stores=self.stores, proxy_count=proxy_count, is_draining=is_draining
        )

    def _handle_store_up(self, address: str) -> None:
        self._puller.renew_leases(address)

    @property
    def has_unconfirmed_reports(self) -> bool:
        """Whether a store still has to confirm what became of an item that this proxy ran."""
        return self._puller.has_unconfirmed_reports

    def start(self) -> None:
        """Starts to pull and run items."""
        self._puller.start()

    def handle(self, request: http_request.Request) -> bool:
        """Handles the request if it is an API call for batch jobs; returns whether it is."""
        return self._api.handle(request)

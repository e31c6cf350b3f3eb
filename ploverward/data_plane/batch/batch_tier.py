"""The batch tier of one proxy: its parts and their wiring (docs/batch.md)."""

from __future__ import annotations

from collections.abc import Callable

from ploverward.data_plane.batch import batch_api
from ploverward.data_plane.batch import item_puller
from ploverward.data_plane.batch import store_client
from ploverward.data_plane.requests import handler_context
from ploverward.transport import http_request


class BatchTier:
    """Calls on jobs, and the items that run here.

    Args:
        node: The proxy.
        peer_timeout_s: A connection to a store on which nothing arrives for so long is closed.
        proxy_count: Returns how many proxies there are.
        is_draining: Whether this proxy is shutting down.

    Attributes:
        stores: Calls stores.
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
            on_up=self._handle_store_up,
        )
        self._api = batch_api.BatchApi(node=node, stores=self.stores)
        self._puller = item_puller.ItemPuller(
            node=node, stores=self.stores, proxy_count=proxy_count, is_draining=is_draining
        )

    def _handle_store_up(self, address: str) -> None:
        self._puller.renew(address)

    def start(self) -> None:
        """Begins to run items."""
        self._puller.start()

    def handle(self, request: http_request.Request) -> bool:
        """Takes a call on jobs; returns whether it was one."""
        return self._api.handle(request)

"""Dispatches messages between nodes to handlers by message type.

The table is filled once, when the node is constructed (`ploverward.control_plane.core_node`). Messages of a type
without a handler are ignored: another version of the program may send messages that this one does not know.
"""

from collections.abc import Callable
from collections.abc import Mapping

from ploverward.transport import interfaces


class MessageRouter:
    """Table of handlers by message type."""

    def __init__(self) -> None:
        self._handlers: dict[type, Callable] = {}

    def add(self, handlers: Mapping[type, Callable]) -> None:
        """Adds handlers by message type; each is called with the connection and the message.

        Raises:
            ValueError: A message type has a handler already.
        """
        for message_type, handler in handlers.items():
            if message_type in self._handlers:
                raise ValueError(f"message type {message_type.__name__} already has a handler")
            self._handlers[message_type] = handler

    def handle(self, connection: interfaces.Connection, message: tuple) -> None:
        """Calls the handler for the type of this message, if there is one."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(connection, message)

"""Finds the handler of a message between nodes by its type.

The table is filled once, while a node is composed (`ploverward.control_plane.core_node`). A type without a handler
is ignored: another version of the program may send messages that this one does not know.
"""

from collections.abc import Callable
from collections.abc import Mapping

from ploverward.transport import interfaces


class MessageRouter:
    """A table from message type to handler."""

    def __init__(self) -> None:
        self._handlers: dict[type, Callable] = {}

    def add(self, handlers: Mapping[type, Callable]) -> None:
        """Adds handlers by message type; each is called with the connection and the message.

        Raises:
            ValueError: A type has a handler already.
        """
        for message_type, handler in handlers.items():
            if message_type in self._handlers:
                raise ValueError(f"{message_type.__name__} has a handler already")
            self._handlers[message_type] = handler

    def handle(self, connection: interfaces.Connection, message: tuple) -> None:
        """Calls the handler of this message."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(connection, message)

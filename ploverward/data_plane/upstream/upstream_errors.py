"""Errors that end a connection to a replica before its response is complete, classified by the side that caused them.

The text of an error is logged (`attempt_failed`). Neither class nor text decides whether the request may be retried:
that depends only on whether a byte of it was sent (`ploverward.data_plane.requests.retry_policy`).
"""

from ploverward.common import errors


class UpstreamError(errors.PloverwardError):
    """The base class: the connection ended, and with it the attempt that used it."""


class ConnectionFailedError(UpstreamError):
    """The connection was not established or was reset, by the network or the machine.

    The text is the operating system's, or "connect timeout".
    """


class ConnectionEndedError(UpstreamError):
    """The replica closed the connection before or within its response."""


class RemoteProtocolError(UpstreamError):
    """The replica sent something that is not a response to this request."""


class LocalError(UpstreamError):
    """A bug in this process: an event handler raised an exception.

    The data that it was handling is lost, so no later data of the response may be forwarded.
    """

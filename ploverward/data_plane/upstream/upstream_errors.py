"""Why a connection to a replica ended before its answer was complete: errors by the side that caused them.

The class names the side that caused the error; the text is logged (`attempt_failed`). Whether the request may be sent
again depends on neither, but only on whether a byte of it was sent (`ploverward.data_plane.requests.retry_policy`).
"""

from ploverward.common import errors


class UpstreamError(errors.PloverwardError):
    """The root: the connection ended, and with it the attempt that used it."""


class ConnectionFailedError(UpstreamError):
    """The network's or the machine's: the connection was not established, or was reset; the text is the system's."""


class ConnectionEndedError(UpstreamError):
    """The replica ended the connection in the middle of its answer, or before it."""


class RemoteProtocolError(UpstreamError):
    """The replica's: it sent something that is no answer to this request."""


class LocalError(UpstreamError):
    """A bug of this process: a step raised. The data that the step was handling is lost, so nothing may follow it."""

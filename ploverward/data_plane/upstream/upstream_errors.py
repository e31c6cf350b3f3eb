"""Why a connection to a replica ended before its answer was complete, by whose fault it was.

The class says whose fault it was; the text goes to the log (`attempt_failed`). Whether the request may be sent again
depends on neither, but only on whether a byte of it had left (`ploverward.data_plane.requests.retry_policy`).
"""

from ploverward.common import errors


class UpstreamError(errors.PloverwardError):
    """The root: the connection ended, and with it the attempt that used it."""


class ConnectionFailedError(UpstreamError):
    """The network's or the machine's: the connection did not come up, or was reset; the text is the system's."""


class ConnectionEndedError(UpstreamError):
    """The replica ended the connection in the middle of its answer, or before it."""


class RemoteProtocolError(UpstreamError):
    """The replica's: it sent what is no answer to this request."""


class LocalError(UpstreamError):
    """Our own: a step of this process raised. What the step had in hand is lost, so nothing may follow it."""

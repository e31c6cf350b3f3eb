"""A test double of a connection, which records what is sent."""

from ploverward.transport import frames
from ploverward.transport import messages


class RecordingConnection:
    """A test double of `PeerConnection`.

    Attributes:
        sent: the frames, oldest first; a frame names the type of its message, which a named tuple does not compare.
    """

    is_open = True

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, message: tuple) -> None:
        """Records the frame of the message."""
        self.sent.append(frames.pack(message))


def announcement(*versions: tuple) -> messages.Announcement:
    """Of (topic, version) pairs."""
    return messages.Announcement(versions=tuple(messages.TopicVersion(*pair) for pair in versions))

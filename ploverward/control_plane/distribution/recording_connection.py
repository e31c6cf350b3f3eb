"""A test double of a connection that records the messages sent on it."""

from ploverward.transport import frames
from ploverward.transport import messages


class RecordingConnection:
    """A test double of `PeerConnection`.

    Attributes:
        sent: The encoded frames, oldest first. Frames are compared instead of messages because a frame contains the
            type of its message, which the comparison of named tuples ignores.
    """

    is_open = True

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, message: tuple) -> None:
        """Records the frame of the message."""
        self.sent.append(frames.pack(message))


def announcement(*versions: tuple) -> messages.Announcement:
    """Returns an announcement of (topic, version) pairs."""
    return messages.Announcement(versions=tuple(messages.TopicVersion(*pair) for pair in versions))

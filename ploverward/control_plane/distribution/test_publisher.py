"""Topics are announced to all and sent on request."""

from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.control_plane.distribution import publisher as publishers
from ploverward.control_plane.distribution.recording_connection import RecordingConnection
from ploverward.control_plane.distribution.recording_connection import announcement
from ploverward.transport import frames
from ploverward.transport import messages


def test_publisher_announces_versions_and_sends_values_on_request():
    publisher = publishers.Publisher()
    link = RecordingConnection()
    publisher.add_connection(link)
    assert publisher.publish(topic="spec", version=Version(0, 3), data=b"v3")
    assert link.sent == [frames.pack(announcement(("spec", Version(0, 3))))]
    publisher.handle_fetch(link, messages.Fetch(topic="spec", known=NO_VERSION))
    assert link.sent[-1] == frames.pack(messages.Snapshot(topic="spec", version=Version(0, 3), data=b"v3"))
    assert publisher.lagging_connections(topic="spec", version=Version(0, 3), connections=[link]) == [link]
    publisher.handle_acknowledgement(
        link, messages.Acknowledgement(versions=(messages.TopicVersion("spec", Version(0, 3)),))
    )
    assert publisher.lagging_connections(topic="spec", version=Version(0, 3), connections=[link]) == []
    assert not publisher.publish(topic="spec", version=Version(0, 2), data=b"v2")

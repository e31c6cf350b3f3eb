"""Tests of the publisher: topics are announced on all connections and sent on request."""

from ploverward.common.identifiers import NO_VERSION
from ploverward.common.identifiers import Version
from ploverward.control_plane.distribution import publisher as publishers
from ploverward.control_plane.distribution.recording_connection import RecordingConnection
from ploverward.control_plane.distribution.recording_connection import announcement
from ploverward.transport import frames
from ploverward.transport import messages


def test_publisher_announces_versions_and_sends_values_on_request():
    publisher = publishers.Publisher()
    connection = RecordingConnection()
    publisher.add_connection(connection)
    assert publisher.publish(topic="spec", version=Version(0, 3), data=b"v3")
    assert connection.sent == [frames.pack(announcement(("spec", Version(0, 3))))]
    publisher.handle_fetch(connection, messages.Fetch(topic="spec", known=NO_VERSION))
    assert connection.sent[-1] == frames.pack(messages.Snapshot(topic="spec", version=Version(0, 3), data=b"v3"))
    assert publisher.lagging_connections(topic="spec", version=Version(0, 3), connections=[connection]) == [connection]
    publisher.handle_acknowledgement(
        connection, messages.Acknowledgement(versions=(messages.TopicVersion("spec", Version(0, 3)),))
    )
    assert publisher.lagging_connections(topic="spec", version=Version(0, 3), connections=[connection]) == []
    assert not publisher.publish(topic="spec", version=Version(0, 2), data=b"v2")

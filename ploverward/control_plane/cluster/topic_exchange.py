"""Exchange of topic versions with peers: announcements, fetches and acknowledgements (docs/scale.md 2).

Chosen register values and the endpoint list are topics. Versions from another core node are passed on by kind: register
values to consensus, the endpoint list to its publisher. Invariant: a version under the epoch of a coordinator that is
known as replaced is not forwarded.
"""

from collections.abc import Callable

from ploverward.control_plane.cluster import coordinator as coordinators
from ploverward.control_plane.cluster import endpoint_list_publisher
from ploverward.control_plane.cluster import peer_sessions
from ploverward.control_plane.consensus import consensus_node
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import publisher as publishers
from ploverward.control_plane.distribution import subscriber as subscribers
from ploverward.transport import interfaces
from ploverward.transport import messages


class TopicExchange:
    """Exchanges topic versions with the connected nodes.

    Args:
        now: The clock, in seconds.
        fetch_timeout_s: Time after which an unanswered fetch is sent to another node, in seconds.
        publisher: Holds the newest version of each topic.
        consensus: Installs chosen register values from other core nodes.
        coordinator: Decides which epochs are accepted.
        endpoint_lists: Applies deltas of the endpoint list.
        check_applied: Called when a node acknowledged a version or a proxy disconnected: orders wait until all
            connected proxies have applied their version.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        fetch_timeout_s: float,
        publisher: publishers.Publisher,
        consensus: consensus_node.ConsensusNode,
        coordinator: coordinators.ClusterCoordinator,
        endpoint_lists: endpoint_list_publisher.EndpointListPublisher,
        check_applied: Callable[[], None],
    ) -> None:
        self._publisher = publisher
        self._consensus = consensus
        self._coordinator = coordinator
        self._endpoint_lists = endpoint_lists
        self._check_applied = check_applied
        self._subscriber = subscribers.Subscriber(
            now=now,
            fetch_timeout_s=fetch_timeout_s,
            on_snapshot=self._install_snapshot,
            on_delta=self._install_delta,
            delta_topics=(endpoint_list.TOPIC,),
            installed_version=publisher.version,
        )

    def handlers(self) -> dict[type, Callable]:
        """Returns the handlers of topic messages by message type."""
        return {
            messages.Announcement: self._subscriber.handle_announcement,
            messages.Snapshot: self._subscriber.handle_snapshot,
            messages.Deltas: self._subscriber.handle_deltas,
            messages.Fetch: self._publisher.handle_fetch,
            messages.Acknowledgement: self._handle_acknowledgement,
        }

    def handle_joined(self, peer: peer_sessions.Peer) -> None:
        """Announces all topics to a newly connected node."""
        self._publisher.add_connection(peer.connection)

    def handle_ended(self, connection: interfaces.Connection, peer: peer_sessions.Peer | None) -> None:
        """Removes a connection that ended. Orders no longer wait for a proxy that disconnected."""
        self._publisher.remove_connection(connection)
        self._subscriber.remove_connection(connection)
        if peer is not None and peer.role is peer_sessions.NodeRole.PROXY:
            self._check_applied()

    def send_minimum_versions(self, connection: interfaces.Connection) -> None:
        """Sends a starting proxy the register versions on this node's disk, if this node votes (design 5).

        The proxy must reach the highest versions that a majority sent. A chosen value is on the disks of a majority, so
        every majority contains a node whose minimum version is not below it.
        """
        if self._consensus.write_ahead_log.durable.votes:
            connection.send(messages.MinimumVersions(revisions=self._consensus.minimum_versions()))

    def tick(self) -> None:
        """Retries fetches that were not answered in time."""
        self._subscriber.tick()

    def _handle_acknowledgement(self, connection: interfaces.Connection, message: messages.Acknowledgement) -> None:
        self._publisher.handle_acknowledgement(connection, message)
        self._check_applied()

    def _install_snapshot(self, snapshot: messages.Snapshot) -> None:
        """Passes a version from another core node to the registers or to the publisher."""
        if snapshot.topic in register_names.REGISTERS:
            self._consensus.publish(snapshot.topic, snapshot.version.number, snapshot.data)
        elif self._coordinator.accepts_epoch(epoch=snapshot.version.epoch):
            self._publisher.publish(topic=snapshot.topic, version=snapshot.version, data=snapshot.data)

    def _install_delta(self, _topic: str, delta: messages.Delta) -> None:
        """Applies a delta of the endpoint list from another core node."""
        if self._coordinator.accepts_epoch(epoch=delta.version.epoch):
            self._endpoint_lists.apply_delta(delta)

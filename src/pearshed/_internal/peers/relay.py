"""Relays the platform's feeds between peers, so that few processes read the platform."""

from collections.abc import Callable, Iterable

from pearshed._internal.configuration.feed import Feed, FeedName
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.timers import clock

_PULL_TIMEOUT_S = 2.0
_FRESHNESS_TOLERANCE_S = 2.0

SendFrame = Callable[[pb.Frame], None]


class FeedRelay:
    """Keeps the feeds of this process and of its peers in sync.

    A process sends its peers the state of its feeds on connecting and after each change;
    entries also send it periodically with a heartbeat. A process with an older revision pulls
    the documents that it lacks, and one with a newer state responds with it.
    """

    def __init__(self, feeds: Iterable[Feed]) -> None:
        self._feeds = {feed.name: feed for feed in feeds}
        self._peers: dict[int, SendFrame] = {}
        self._last_peer_id = 0
        self._announced_revisions = {name: feed.revision for name, feed in self._feeds.items()}
        self._reported_revisions: dict[SendFrame, dict[FeedName, int]] = {}
        self._pulls = 0
        self._pulled_at = {name: float("-inf") for name in self._feeds}

    @property
    def pulls(self) -> int:
        """Number of pulls sent to peers."""
        return self._pulls

    @property
    def compared_peers(self) -> int:
        """Number of connected peers that have reported all feeds and have none that is newer."""
        return sum(self._is_compared(send) for send in self._peers.values())

    def join(self, send: SendFrame) -> int:
        """Add a peer connection and send it the state of the feeds.

        :returns: the connection's id for ``leave``.
        """
        self._last_peer_id += 1
        self._peers[self._last_peer_id] = send
        for state in self.states():
            send(state)
        return self._last_peer_id

    def leave(self, peer_id: int) -> None:
        """Remove a peer connection."""
        send = self._peers.pop(peer_id, None)
        if send is not None:
            self._reported_revisions.pop(send, None)

    def states(self) -> list[pb.Frame]:
        """Return the frames with the state of each feed."""
        return [frames.feed_state(feed) for feed in self._feeds.values()]

    def announce_changes(self) -> None:
        """Send all peers the state of the feeds that have changed since the last call."""
        for name, feed in self._feeds.items():
            if feed.revision == self._announced_revisions[name]:
                continue
            self._announced_revisions[name] = feed.revision
            state = frames.feed_state(feed)
            for send in list(self._peers.values()):
                send(state)

    def handle(self, frame: pb.Frame, send: SendFrame) -> bool:
        """Handle a frame if it is one of the relay.

        :param send: sends a frame to the peer that sent this one.
        :returns: whether the frame was one of the relay.
        """
        if frame.HasField("feed_state"):
            self._handle_state(frame.feed_state, send)
        elif frame.HasField("feed_pull"):
            self._handle_pull(frame.feed_pull, send)
        elif frame.HasField("feed_update"):
            self._handle_update(frame.feed_update)
        else:
            return False
        return True

    def _is_compared(self, send: SendFrame) -> bool:
        reported = self._reported_revisions.get(send, {})
        return all(
            reported.get(name, feed.revision + 1) <= feed.revision
            for name, feed in self._feeds.items()
        )

    def _find_feed(self, wire_feed: pb.Feed) -> Feed | None:
        name = frames.feed_name(wire_feed)
        return self._feeds.get(name) if name is not None else None

    def _handle_state(self, state: pb.FeedState, send: SendFrame) -> None:
        feed = self._find_feed(state.feed)
        if feed is None:
            return
        self._reported_revisions.setdefault(send, {})[feed.name] = state.revision
        if state.revision > feed.revision:
            self._pull(feed, send)
        elif state.revision < feed.revision:
            send(frames.feed_state(feed))
        else:
            self._compare_freshness(feed, state.confirmed_ago_ms / 1000, send)

    def _compare_freshness(self, feed: Feed, peer_confirmed_ago_s: float, send: SendFrame) -> None:
        """Adopt the peer's confirmation time, or send ours when the peer's is clearly older."""
        if peer_confirmed_ago_s > feed.confirmed_ago_s + _FRESHNESS_TOLERANCE_S:
            send(frames.feed_state(feed))
        else:
            feed.confirm(feed.revision, peer_confirmed_ago_s)

    def _pull(self, feed: Feed, send: SendFrame) -> None:
        """Pull from one peer at a time: a starting process gets the same state from all peers."""
        if clock.now() - self._pulled_at[feed.name] < _PULL_TIMEOUT_S:
            return
        self._pulled_at[feed.name] = clock.now()
        self._pulls += 1
        send(frames.feed_pull(feed))

    def _handle_pull(self, pull: pb.FeedPull, send: SendFrame) -> None:
        feed = self._find_feed(pull.feed)
        if feed is not None and feed.revision > pull.after:
            send(frames.feed_update(feed, pull.after))

    def _handle_update(self, update: pb.FeedUpdate) -> None:
        feed = self._find_feed(update.feed)
        if feed is not None and update.revision > feed.revision:
            feed.apply(frames.feed_change(update))
            self._pulled_at[feed.name] = float("-inf")
            self.announce_changes()

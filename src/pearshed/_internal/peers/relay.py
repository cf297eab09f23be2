"""Relays the platform's feeds among peers, so that few processes read the platform."""

from collections.abc import Callable, Iterable

from pearshed._internal.configuration.feed import Feed
from pearshed._internal.peers import frames
from pearshed._internal.peers import peer_pb2 as pb
from pearshed._internal.timers import clock

_PULL_PATIENCE_S = 2.0
_FRESHNESS_STEP_S = 2.0

SendFrame = Callable[[pb.Frame], None]


class FeedRelay:
    """Keeps the feeds of this process and of its peers alike.

    A process tells its peers the revisions that it has, on connecting and after each change;
    entries also with a heartbeat now and then. Whoever is behind pulls just what it lacks, and
    whoever knows fresher news answers with it.
    """

    def __init__(self, feeds: Iterable[Feed]) -> None:
        self._feeds = {feed.name: feed for feed in feeds}
        self._peers: dict[int, SendFrame] = {}
        self._next_peer = 0
        self._announced = {name: feed.revision for name, feed in self._feeds.items()}
        self._pulls = 0
        self._pulled_at = {name: float("-inf") for name in self._feeds}

    @property
    def pulls(self) -> int:
        """Pulls sent to peers."""
        return self._pulls

    def join(self, send: SendFrame) -> int:
        """Add a connection.

        :returns: a number for ``leave``.
        """
        self._next_peer += 1
        self._peers[self._next_peer] = send
        for state in self.states():
            send(state)
        return self._next_peer

    def leave(self, peer: int) -> None:
        """Remove a connection."""
        self._peers.pop(peer, None)

    def states(self) -> list[pb.Frame]:
        """Make the frames that tell a peer what this process has."""
        return [frames.feed_state(feed) for feed in self._feeds.values()]

    def announce_changes(self) -> None:
        """Tell all peers of the feeds that have changed since the last call."""
        for name, feed in self._feeds.items():
            if feed.revision == self._announced[name]:
                continue
            self._announced[name] = feed.revision
            state = frames.feed_state(feed)
            for send in list(self._peers.values()):
                send(state)

    def handle(self, frame: pb.Frame, send: SendFrame) -> bool:
        """Handle a frame of the relay.

        :param send: sends to the peer that the frame came from.
        :returns: whether it was one.
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

    def _feed(self, wire: pb.Feed) -> Feed | None:
        name = frames.feed_name(wire)
        return self._feeds.get(name) if name is not None else None

    def _handle_state(self, state: pb.FeedState, send: SendFrame) -> None:
        feed = self._feed(state.feed)
        if feed is None:
            return
        if state.revision > feed.revision:
            self._pull(feed, send)
        elif state.revision < feed.revision:
            send(frames.feed_state(feed))
        else:
            self._compare_freshness(feed, state.confirmed_ago_ms / 1000, send)

    def _compare_freshness(self, feed: Feed, peer_ago_s: float, send: SendFrame) -> None:
        """Learn that the news is fresh from a peer that knows, or tell one that does not."""
        if peer_ago_s > feed.confirmed_ago_s + _FRESHNESS_STEP_S:
            send(frames.feed_state(feed))
        else:
            feed.confirm(feed.revision, peer_ago_s)

    def _pull(self, feed: Feed, send: SendFrame) -> None:
        """Ask one peer at a time: a starting process hears of the same news from all of them."""
        if clock.now() - self._pulled_at[feed.name] < _PULL_PATIENCE_S:
            return
        self._pulled_at[feed.name] = clock.now()
        self._pulls += 1
        send(frames.feed_pull(feed))

    def _handle_pull(self, pull: pb.FeedPull, send: SendFrame) -> None:
        feed = self._feed(pull.feed)
        if feed is not None and feed.revision > pull.after:
            send(frames.feed_update(feed, pull.after))

    def _handle_update(self, update: pb.FeedUpdate) -> None:
        feed = self._feed(update.feed)
        if feed is not None and update.revision > feed.revision:
            feed.apply(frames.feed_change(update))
            self._pulled_at[feed.name] = float("-inf")
            self.announce_changes()

"""When each peer was last served, for responses that are due only now and then."""

#: Peers that are remembered; more than the gateways of the largest fleet.
MAX_PEERS = 4096


class RecentPeers:
    """Peers that were served within an interval.

    :param interval_s: shortest time between two responses to a peer, seconds.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._served_at: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._served_at)

    def begin(self, peer: tuple[str, int], now: float) -> bool:
        """Return whether a response to a peer is due, and record that it gets one.

        :param now: clock reading, seconds.
        """
        if now - self._served_at.get(peer, float("-inf")) < self._interval_s:
            return False
        if len(self._served_at) >= MAX_PEERS and peer not in self._served_at:
            self._drop(now)
        self._served_at[peer] = now
        return True

    def _drop(self, now: float) -> None:
        """Forget the peers that are due anyway; all of them, if that frees nothing."""
        oldest = now - self._interval_s
        kept = {peer: at for peer, at in self._served_at.items() if at > oldest}
        self._served_at = kept if len(kept) < MAX_PEERS else {}

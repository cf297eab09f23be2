"""Accounts for callers' connections, which threads open, read and close."""

import threading

from pearshed._internal.resources.account import Holder, ResourceAccount

#: Connections beyond the limit that may be open while others are being ended.
_ENDING_SLACK = 64


class CallerRoom:
    """An account that threads may use at the same time.

    :param account: of callers' connections.
    :param max_connections: connections that may be open; beyond some slack new ones are dropped.
    """

    def __init__(self, account: ResourceAccount, max_connections: int) -> None:
        self._account = account
        self._max_open = max_connections + _ENDING_SLACK
        # Ending a connection may update the account.
        self._lock = threading.RLock()

    def open(self, holder: Holder) -> bool:
        """Add a connection; this may end others. Return whether it may stay open."""
        with self._lock:
            if self._account.connections >= self._max_open:
                return False
            self._account.open(holder)
            return True

    def update(self, holder: Holder) -> None:
        """Charge what a connection holds now; this may end it or others."""
        with self._lock:
            self._account.update(holder)

    def close(self, holder: Holder) -> None:
        """Remove a connection that is closed."""
        with self._lock:
            self._account.close(holder)

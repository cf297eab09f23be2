"""Socket options."""

import socket
import struct

_RESET = struct.pack("ii", 1, 0)
_DEFAULT = struct.pack("ii", 0, 0)


def set_reset_on_close(sock: socket.socket, reset: bool) -> None:
    """Set whether closing a socket resets its connection, also when the process is killed."""
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET if reset else _DEFAULT)

"""Socket options."""

import ctypes
import socket
import struct

_RESET = struct.pack("ii", 1, 0)
_DEFAULT = struct.pack("ii", 0, 0)
#: Time in which a handshake that has begun ends, seconds; callers are a few milliseconds away.
HANDSHAKE_S = 0.05
#: Option SO_ATTACH_FILTER of Linux, which Python doesn't name.
_ATTACH_FILTER = 26
#: Classic BPF that drops the first packet of a handshake, which has SYN and not ACK among the flags
#: of its TCP header: code, offset if true, offset if false, constant.
_DROP_SYN = (
    (0x30, 0, 0, 13),
    (0x45, 0, 2, 0x02),
    (0x45, 1, 0, 0x10),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)


def set_reset_on_close(sock: socket.socket, reset: bool) -> None:
    """Set whether closing a socket resets its connection, also when the process is killed."""
    if sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET if reset else _DEFAULT)


def drop_new_connections(sock: socket.socket) -> None:
    """Let a listening socket begin no more handshakes; those that have begun end as usual.

    Callers that come back at once would otherwise keep the last connection from being accepted.
    Their first packet is sent again after a second, when the socket is closed and refuses it.

    :raises OSError: when the socket isn't open.
    """
    code = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *step) for step in _DROP_SYN))
    program = struct.pack("HP", len(_DROP_SYN), ctypes.addressof(code))
    try:
        sock.setsockopt(socket.SOL_SOCKET, _ATTACH_FILTER, program)
    except OSError:
        # Without filters, the kernel at least establishes one connection at a time.
        sock.listen(0)

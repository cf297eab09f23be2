"""Transport settings of connections between processes."""

from grpclib.config import Configuration

_WINDOW_BYTES = 4 * 1024 * 1024


def connection_configuration() -> Configuration:
    """Make the configuration that both ends of a connection use.

    The default window of 64 KiB would hold all answers of a connection back behind one round
    trip for each 64 KiB.
    """
    return Configuration(
        http2_connection_window_size=_WINDOW_BYTES,
        http2_stream_window_size=_WINDOW_BYTES,
    )

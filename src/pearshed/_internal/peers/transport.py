"""HTTP/2 settings of connections between processes."""

from grpclib.config import Configuration

_WINDOW_BYTES = 4 * 1024 * 1024


def connection_configuration() -> Configuration:
    """Return the gRPC configuration for both ends of a connection.

    With the default flow control window of 64 KiB, all responses of a connection together would
    be limited to 64 KiB per round trip.
    """
    return Configuration(
        http2_connection_window_size=_WINDOW_BYTES,
        http2_stream_window_size=_WINDOW_BYTES,
    )

"""Engine stand-in scripts that send failed, malformed or unusual responses."""

from tests.lib.gateway_platform import EngineConnection, EngineRequest


async def fail_with_500(connection: EngineConnection, request: EngineRequest) -> None:
    """Run the request and fail."""
    connection.send_response(request, 500, b"failed")


async def fail_as_busy(connection: EngineConnection, request: EngineRequest) -> None:
    """Run the request and fail with the status of a rejection."""
    connection.send_response(request, 503, b"failed")


async def fail_as_limited(connection: EngineConnection, request: EngineRequest) -> None:
    """Run the request and fail with the status of a limit."""
    connection.send_response(request, 429, b"failed")


async def fail_as_too_late(connection: EngineConnection, request: EngineRequest) -> None:
    """Run the request and fail with the status of a timeout of the caller."""
    connection.send_response(request, 408, b"failed")


async def reject(connection: EngineConnection, request: EngineRequest) -> None:
    """Reject the request without running it."""
    connection.send_response(request, 503, b"", {"Pearshed-Not-Executed": "1"})


async def reset(connection: EngineConnection, request: EngineRequest) -> None:
    """Run the request, then reset the connection without a response."""
    del request
    connection.reset()


async def truncate(connection: EngineConnection, request: EngineRequest) -> None:
    """Close the connection in the middle of the response's body."""
    connection.send_response(request, body=b"half", headers={"Content-Length": "400"})
    connection.close()


async def respond_unsigned(connection: EngineConnection, request: EngineRequest) -> None:
    """Respond without a signature, as another server at the engine's address would."""
    connection.send_response(request, headers={"Pearshed-Response-Signature": ""})


async def respond_encoded(connection: EngineConnection, request: EngineRequest) -> None:
    """Respond with a content encoding, as an intermediary may add one."""
    connection.send_response(request, headers={"Content-Encoding": "gzip"})


async def respond_with_garbage(connection: EngineConnection, request: EngineRequest) -> None:
    """Send bytes that are not HTTP."""
    del request
    connection.send(b"\x00\x01 this is not HTTP\r\n\r\n")
    connection.close()


async def respond_unmatched_first(connection: EngineConnection, request: EngineRequest) -> None:
    """Send a late response to an earlier request before the right one."""
    connection.send_response(request, body=b"another caller's", request_id="earlier")
    connection.send_response(request, body=b"mine")


async def respond_twice(connection: EngineConnection, request: EngineRequest) -> None:
    """Send an extra response after the right one."""
    connection.send_response(request, body=b"mine")
    connection.send_response(request, body=b"mine again")


async def respond_without_length(connection: EngineConnection, request: EngineRequest) -> None:
    """Respond with a body that is delimited by the end of the connection."""
    connection.send_response(request, body=b"to the end", headers={"Content-Length": ""})
    connection.close()


async def misdirect(connection: EngineConnection, request: EngineRequest) -> None:
    """Respond as another engine that now has the address."""
    connection.send_response(request, 421, b"", {"Pearshed-Response-Signature": ""})

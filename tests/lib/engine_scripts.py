"""Ways in which an engine stand-in answers, sound and not."""

from tests.lib.gateway_platform import EngineConnection, EngineRequest


async def fail_with_500(connection: EngineConnection, request: EngineRequest) -> None:
    """Run the request and fail."""
    connection.send_response(request, 500, b"failed")


async def turn_away(connection: EngineConnection, request: EngineRequest) -> None:
    """Refuse to run the request."""
    connection.send_response(request, 503, b"", {"Pearshed-Not-Executed": "1"})


async def reset(connection: EngineConnection, request: EngineRequest) -> None:
    """Lose the answer of a request that has run."""
    del request
    connection.reset()


async def truncate(connection: EngineConnection, request: EngineRequest) -> None:
    """Break the answer's body off."""
    connection.send_response(request, body=b"half", headers={"Content-Length": "400"})
    connection.close()


async def answer_unsigned(connection: EngineConnection, request: EngineRequest) -> None:
    """Answer like something that isn't the engine."""
    connection.send_response(request, headers={"Pearshed-Response-Signature": ""})


async def answer_encoded(connection: EngineConnection, request: EngineRequest) -> None:
    """Answer with a body that something has encoded."""
    connection.send_response(request, headers={"Content-Encoding": "gzip"})


async def answer_noise(connection: EngineConnection, request: EngineRequest) -> None:
    """Send bytes that are no answer."""
    del request
    connection.send(b"\x00\x01 this is not HTTP\r\n\r\n")
    connection.close()


async def answer_foreign_first(connection: EngineConnection, request: EngineRequest) -> None:
    """Send a late answer to an earlier request before the right one."""
    connection.send_response(request, body=b"another caller's", request_id="earlier")
    connection.send_response(request, body=b"mine")


async def answer_twice(connection: EngineConnection, request: EngineRequest) -> None:
    """Send a second answer behind the right one."""
    connection.send_response(request, body=b"mine")
    connection.send_response(request, body=b"mine again")


async def answer_without_length(connection: EngineConnection, request: EngineRequest) -> None:
    """Answer with a body that ends with the connection."""
    connection.send_response(request, body=b"to the end", headers={"Content-Length": ""})
    connection.close()


async def misdirect(connection: EngineConnection, request: EngineRequest) -> None:
    """Answer as another engine at the address."""
    connection.send_response(request, 421, b"", {"Pearshed-Response-Signature": ""})

"""Asks an endpoint which run it is, on the connection that is to carry a request.

An endpoint may restart under its id, with another software version, before its entry in the store
says so. A connection belongs to one run, so what the run says on it holds for what follows on it.
"""

import asyncio

from pearshed._internal.gateway.header_codec import HeaderCodec
from pearshed._internal.http.endpoint_connection import EndKind, EndpointConnection, ResponseEnd
from pearshed._internal.http.messages import ResponseHead
from pearshed._internal.models.routing import EndpointEntry

#: Time for the answer, seconds; endpoints give it without a slot.
CHECK_TIMEOUT_S = 0.25
#: Larger answers are no report, bytes.
_MAX_REPORT_BYTES = 256 * 1024


async def is_listed_run(
    connection: EndpointConnection, codec: HeaderCodec, entry: EndpointEntry
) -> bool:
    """Return whether a connection leads to the run that an entry describes.

    An endpoint that doesn't say when it started counts as the listed one. The connection can be
    used afterwards if the result is true.
    """
    if connection.run_confirmed:
        return True
    # A response that names a request is a late one to that request.
    connection.send(
        codec.encode_report_request(entry), lambda head: not codec.decode_response(head).request_id
    )
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            report = await _read_report(connection)
    except TimeoutError:
        return False
    if report is None or not connection.finish():
        return False
    started_at_ms = codec.decode_report_start(report)
    if started_at_ms and entry.started_at_ms and started_at_ms != entry.started_at_ms:
        return False
    connection.run_confirmed = True
    return True


async def _read_report(connection: EndpointConnection) -> bytes | None:
    """Return the body of a response, empty for an error; ``None`` if it isn't whole."""
    status = 0
    body = b""
    while True:
        event = await connection.next_event()
        if isinstance(event, ResponseHead):
            status = event.status
        elif isinstance(event, ResponseEnd):
            return (body if status == 200 else b"") if event.kind is EndKind.COMPLETE else None
        else:
            body += event
            if len(body) > _MAX_REPORT_BYTES:
                return None

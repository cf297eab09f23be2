"""Crowds at the address of a gateway for callers; the gateway is a process of its own."""

import asyncio
import contextlib
from collections.abc import Iterable
from typing import Any

from parameterized import parameterized

from pearshed._internal.utils.addresses import Address
from tests.lib.crowd_fixture import (
    ENDLESS,
    FEW_FDS,
    MAX_BODY_BYTES,
    MAX_FDS,
    MAX_HEADER_BYTES,
    MEMORY_MB,
    RESERVED_FDS,
    GatewayCrowdTestCase,
    head,
)
from tests.lib.crowds import Crowd, CrowdRun, repeated
from tests.lib.crowds_of_requests import (
    SHORTEST_LINE,
    TRAILER,
    body,
    chunks,
    open_head,
    trailers,
    whole_head,
)
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import until
from tests.lib.gateway_store import send_endless
from tests.lib.platform_process import KIB, MIB

_SMALL_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
_ODD_LINE = b"a:\t \t \t\r\n"
_WITHOUT_BODY = "Content-Length: 0"


def _prompt_of_many_parts() -> bytes:
    parts = b",".join(b"%x:1" % number for number in range(1600))
    start = head(_WITHOUT_BODY, "Pearshed-Token-Usage: 4000,10")
    return start + b"Pearshed-Prefix-Hash: " + parts + b"\r\n\r\n"


def _endless_crowd(path: str, reads: bool) -> Crowd:
    """Requests whose answers have no end; callers read them, or not."""
    start = head("Content-Length: 0", path=path) + b"\r\n"
    return Crowd(f"{path}{'' if reads else '-not-read'}", 40, lambda: [start], reads=reads)


#: Crowds whose clients send, or make the gateway hold, more than they seem to.
CROWDS = [
    Crowd("trailers", 4, lambda: trailers(head(), TRAILER, 4 * MIB)),
    Crowd("long_trailer", 4, lambda: trailers(head(), b"a" * KIB, 40 * MIB)),
    Crowd("small_chunks", 20, lambda: chunks(head(), b"xx", 256 * KIB)),
    Crowd("whole_bodies", 60, lambda: body(head(), MAX_BODY_BYTES, MAX_BODY_BYTES)),
    Crowd("bodies_a_byte_short", 60, lambda: body(head(), MAX_BODY_BYTES, MAX_BODY_BYTES - 1)),
    Crowd("open_heads", 300, lambda: open_head(head(), SHORTEST_LINE, MAX_HEADER_BYTES)),
    Crowd(
        "whole_heads",
        300,
        lambda: [whole_head(head(_WITHOUT_BODY), SHORTEST_LINE, MAX_HEADER_BYTES)],
    ),
    Crowd("heads_of_odd_lines", 300, lambda: open_head(head(), _ODD_LINE, MAX_HEADER_BYTES)),
    Crowd("prompts_of_many_parts", 300, lambda: [_prompt_of_many_parts()]),
    Crowd("requests_sent_ahead", 20, lambda: repeated(_SMALL_REQUEST, 4 * MIB), reads=False),
    Crowd("answers_not_read", 60, lambda: [head(path="large") + b"\r\n"], reads=False),
    Crowd("trailers_of_engines", 20, lambda: [head(path="trailers") + b"\r\n"]),
    *(_endless_crowd(path, reads) for path in ENDLESS for reads in (True, False)),
]

#: Crowds that send so little that only the number of their connections counts.
DESCRIPTOR_CROWDS = [
    Crowd("silent", 900, list),
    Crowd("half_heads", 900, lambda: [head()]),
    Crowd("half_heads_that_come_back", 300, lambda: [head()], connections=4),
    Crowd("bodies_without_a_byte", 900, lambda: [head("Content-Length: 9") + b"\r\n"]),
    Crowd("refused", 900, lambda: [b"x\r\n\r\n"], reads=False),
]


class GatewayMemoryTest(GatewayCrowdTestCase):
    @parameterized.expand([(crowd.name, crowd) for crowd in CROWDS])
    async def test_memory_stays_below_that_of_the_machine(self, _: str, crowd: Crowd) -> None:
        await self.start_gateway(memoryMb=MEMORY_MB, maxFds=MAX_FDS)
        await self.endure(crowd)
        use = self.gateway.resource_use()
        self.assertLess(use.memory_mb, MEMORY_MB)
        self.assertLess(use.descriptors, MAX_FDS - RESERVED_FDS)


class GatewayDescriptorTest(GatewayCrowdTestCase):
    @parameterized.expand([(crowd.name, crowd) for crowd in DESCRIPTOR_CROWDS])
    async def test_descriptors_stay_below_those_of_the_machine(self, _: str, crowd: Crowd) -> None:
        await self.start_gateway(memoryMb=MEMORY_MB, maxFds=FEW_FDS)
        await self.endure(crowd)
        use = self.gateway.resource_use()
        self.assertLess(use.descriptors, FEW_FDS - RESERVED_FDS)
        self.assertLess(use.memory_mb, MEMORY_MB)


class LastingCrowdTest(GatewayCrowdTestCase):
    """Guards against a gateway that is busy with ending connections instead of serving."""

    @parameterized.expand([(88, 3075), (150, 4100), (552, 8192)])
    async def test_more_half_heads_than_there_is_room_for(
        self, memory_mb: int, descriptors: int
    ) -> None:
        await self.start_gateway(memoryMb=memory_mb, maxFds=descriptors)
        run = CrowdRun(Crowd("half_heads", 4300, lambda: [head()[:60]]), self.addresses["front"])
        self.addCleanup(run.stop)
        with self.gateway.sampled():
            await run.start()
            tries = 1
            while await self.ordinary_status() != 200:
                tries += 1
                self.assertLess(tries, 10)
        use = self.gateway.resource_use()
        self.assertTrue(self.gateway.alive, self.gateway.log_text[-2000:])
        self.assertNotIn("Exception in", self.gateway.log_text)
        self.assertLess(use.memory_mb, memory_mb)
        self.assertLess(use.descriptors, descriptors - RESERVED_FDS)


def _lookup(*lines: str) -> bytes:
    return head(*lines, path="lookup")


def _small_chunks(end: bytes) -> Iterable[bytes]:
    yield from chunks(_lookup(), b"x", 256 * KIB)
    yield end


class EndlessNewsTest(GatewayCrowdTestCase):
    """Guards against answers of the store and of other gateways that have no end."""

    async def test_memory_stays_below_that_of_the_machine(self) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                asked.append(writer)
                await send_endless(writer, 512 * MIB)

        asked: list[asyncio.StreamWriter] = []
        peer = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(peer.close)
        seed = Address("127.0.0.1", peer.sockets[0].getsockname()[1])
        await self.start_gateway([seed], memoryMb=MEMORY_MB, maxFds=MAX_FDS)
        calls = len(self.store.calls)
        with self.gateway.sampled():
            self.store.endless = 512 * MIB
            self.store.reset_connections()
            await until(lambda: len(asked) >= 3 and len(self.store.calls) >= calls + 4)
            self.store.endless = 0
            while await self.ordinary_status() != 200:
                await asyncio.sleep(0.05)
        self.assertTrue(self.gateway.alive, self.gateway.log_text[-2000:])
        self.assertLess(self.gateway.resource_use().memory_mb, MEMORY_MB)


class LegalRequestTest(GatewayCrowdTestCase):
    @parameterized.expand(
        [
            (
                "head_of_shortest_lines",
                lambda: [whole_head(_lookup(_WITHOUT_BODY), SHORTEST_LINE, MAX_HEADER_BYTES)],
            ),
            ("whole_body", lambda: body(_lookup(), MAX_BODY_BYTES, MAX_BODY_BYTES)),
            ("small_chunks", lambda: _small_chunks(b"0\r\n\r\n")),
            ("trailers", lambda: _small_chunks(b"0\r\n" + TRAILER * 3000 + b"\r\n")),
        ]
    )
    async def test_a_single_request_inside_the_limits_is_served(self, _: str, content: Any) -> None:
        await self.start_gateway(memoryMb=MEMORY_MB, maxFds=MAX_FDS)
        caller = await Caller.connect(self.addresses["front"])
        self.addCleanup(caller.close)
        for piece in content():
            caller.send_bytes(piece)
        async with asyncio.timeout(60.0):
            response = await caller.read_response()
        assert response is not None
        self.assertEqual((200, b"done"), (response.status, response.body))

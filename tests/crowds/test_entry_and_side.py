"""Crowds at the addresses of an entry and of a side: for callers, for peers and for operators."""

import asyncio
import unittest
from typing import Any

from parameterized import parameterized

from pearshed._internal.utils.addresses import Address
from tests.lib.crowds import Crowd, CrowdRun, repeated
from tests.lib.crowds_of_requests import (
    SHORTEST_LINE,
    TRAILER,
    body,
    chunks,
    open_head,
    trailers,
)
from tests.lib.fleet import Fleet, Node, SmallSite, chat_body
from tests.lib.platform_process import KIB, MIB, ProcessSampler

#: The least that the users' VMs have: memory, MB, and descriptors, 200 of them for files.
ENTRY_MEMORY_MB = 150
SIDE_MEMORY_MB = 232
RESERVED_FDS = 200
#: Descriptors of the tests in which connections are what there is too much of.
FEW_FDS = 700
_MAX_BODY_BYTES = 4 * MIB
_MAX_HEADER_BYTES = 64 * KIB

_POST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
_GET = b"GET /readyz HTTP/1.1\r\nHost: a\r\n"
_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

CALLERS = [
    Crowd("trailers", 4, lambda: trailers(_POST, TRAILER, 4 * MIB)),
    Crowd("small_chunks", 60, lambda: chunks(_POST, b"xx", 256 * KIB)),
    Crowd("whole_bodies", 60, lambda: body(_POST, _MAX_BODY_BYTES, _MAX_BODY_BYTES)),
    Crowd("bodies_a_byte_short", 60, lambda: body(_POST, _MAX_BODY_BYTES, _MAX_BODY_BYTES - 1)),
    Crowd("open_heads", 100, lambda: open_head(_POST, SHORTEST_LINE, _MAX_HEADER_BYTES)),
    Crowd("different_lines", 100, lambda: _different_lines(_POST, _MAX_HEADER_BYTES)),
    Crowd(
        "requests_sent_ahead",
        20,
        lambda: repeated(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 4 * MIB),
        reads=False,
    ),
]
CALLER_CONNECTIONS = [
    Crowd("silent", 900, list),
    Crowd("half_heads", 900, lambda: [_POST]),
    Crowd("bodies_without_a_byte", 900, lambda: [_POST + b"Content-Length: 9\r\n\r\n"]),
]
OPERATORS = [
    Crowd("trailers", 4, lambda: trailers(_GET, TRAILER, 4 * MIB)),
    Crowd("open_heads", 300, lambda: open_head(_GET, SHORTEST_LINE, 8 * KIB)),
    Crowd("endless_heads", 4, lambda: _different_lines(_GET, 4 * MIB)),
    Crowd(
        "pages_not_read",
        20,
        lambda: repeated(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 256 * KIB),
        reads=False,
    ),
    Crowd("silent", 900, list),
    Crowd("half_heads", 900, lambda: [_GET]),
]
PEERS = [
    Crowd("silent", 900, list),
    Crowd("prefaces", 900, lambda: [_PREFACE]),
]


def _different_lines(start: bytes, size: int) -> list[bytes]:
    lines = b"".join(b"%x:\r\n" % number for number in range(size // 7))
    return [start + lines]


class EntryAndSideTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    async def start(self) -> None:
        self.site = await asyncio.to_thread(
            SmallSite,
            self.fleet,
            endpoints=1,
            entries=1,
            side={"process": {"memory_mb": SIDE_MEMORY_MB, "max_descriptors": FEW_FDS}},
            process={"memory_mb": ENTRY_MEMORY_MB, "max_descriptors": FEW_FDS},
        )

    async def endure(self, crowd: Crowd, node: Node, port: int) -> ProcessSampler:
        """Let a crowd come to a port of a process, and make an ordinary call beside it."""
        sampler = ProcessSampler(node.process.pid)
        run = CrowdRun(crowd, Address("127.0.0.1", port))
        self.addCleanup(run.stop)
        with sampler.sampled():
            await run.start()
            status = await self.call_status()
            ready = await asyncio.to_thread(node.is_ready)
        self.assertIsNone(node.process.poll(), node.log_text()[-2000:])
        self.assertEqual((200, True), (status, ready))
        return sampler

    async def call_status(self) -> int:
        def call() -> Any:
            return self.fleet.call(self.site.entry, body=chat_body(stream=False)).status

        return int(await asyncio.to_thread(call))

    @parameterized.expand(
        [(crowd.name, crowd) for crowd in (*CALLERS, *CALLER_CONNECTIONS)],
        name_func=lambda func, _, p: f"{func.__name__}_{p.args[0]}",
    )
    async def test_an_entry_endures_its_callers(self, _: str, crowd: Crowd) -> None:
        await self.start()
        use = (await self.endure(crowd, self.site.entry, self.site.entry.port)).use
        self.assertLess(use.memory_mb, ENTRY_MEMORY_MB)
        self.assertLess(use.descriptors, FEW_FDS - RESERVED_FDS)

    @parameterized.expand(
        [
            (f"{process}_{crowd.name}", process, crowd)
            for process in ("entry", "side")
            for crowd in OPERATORS
        ],
        name_func=lambda func, _, p: f"{func.__name__}_{p.args[0]}",
    )
    async def test_pages_endure_their_clients(self, _: str, process: str, crowd: Crowd) -> None:
        await self.start()
        node = self.site.entry if process == "entry" else self.site.sides[0]
        use = (await self.endure(crowd, node, node.admin_port)).use
        limit_mb = ENTRY_MEMORY_MB if process == "entry" else SIDE_MEMORY_MB
        self.assertLess(use.memory_mb, limit_mb)
        self.assertLess(use.descriptors, FEW_FDS - RESERVED_FDS)

    @parameterized.expand(
        [(crowd.name, crowd) for crowd in PEERS],
        name_func=lambda func, _, p: f"{func.__name__}_{p.args[0]}",
    )
    async def test_a_side_endures_its_peers(self, _: str, crowd: Crowd) -> None:
        await self.start()
        side = self.site.sides[0]
        use = (await self.endure(crowd, side, side.port)).use
        self.assertLess(use.memory_mb, SIDE_MEMORY_MB)
        self.assertLess(use.descriptors, FEW_FDS - RESERVED_FDS)

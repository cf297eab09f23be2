"""Waits at endpoints that end early, and what is remembered of endpoints that have left."""

import asyncio
import dataclasses
import unittest

from parameterized import parameterized

from pearshed._internal.gateway.availability.departures import MAX_RUNS, Departures
from pearshed._internal.gateway.availability.interruptible_waits import InterruptibleWaits
from pearshed._internal.models.revisions import compose
from tests.lib.routed_calls import entry


class InterruptibleWaitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.waits: InterruptibleWaits[str] = InterruptibleWaits()
        self.cancelled = 0

    async def operation(self) -> str:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        return "done"

    async def test_only_the_waits_at_the_key_end_and_their_operations_are_cancelled(self) -> None:
        here = [asyncio.create_task(self.waits.wait("here", self.operation())) for _ in range(2)]
        there = asyncio.create_task(self.waits.wait("there", self.operation()))
        await asyncio.sleep(0)
        self.waits.interrupt("here")
        self.assertEqual([None, None], await asyncio.gather(*here))
        self.assertEqual((2, 2, False), (self.waits.interrupted, self.cancelled, there.done()))
        there.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await there
        self.assertEqual(2, self.waits.interrupted)

    async def test_a_result_is_returned_and_a_later_interruption_does_nothing(self) -> None:
        async def respond() -> str:
            return "done"

        self.assertEqual("done", await self.waits.wait("here", respond()))
        self.waits.interrupt("here")
        self.assertEqual(0, self.waits.interrupted)

    async def test_a_timeout_of_the_operation_is_no_interruption(self) -> None:
        async def time_out() -> None:
            async with asyncio.timeout(0.0):
                await self.operation()

        with self.assertRaises(TimeoutError):
            await self.waits.wait("here", time_out())


class DeparturesTest(unittest.TestCase):
    """Guards against engines that are back because a copy of the store lists them."""

    @parameterized.expand(
        [
            # end of the copy, revision of the entry, has left; it left at revision 4 of era 1
            ("never_restored", 0, compose(1, 5), False),
            ("in_the_copy", compose(2, 10), compose(2, 4), True),
            ("written_since", compose(2, 10), compose(2, 11), False),
        ]
    )
    def test_has_left(self, _: str, copied_until: int, revision: int, expected: bool) -> None:
        departures = Departures()
        departures.copied_until = copied_until
        departures.record(entry(1), compose(1, 4))
        self.assertEqual(expected, departures.has_left(entry(1), revision))
        self.assertFalse(departures.has_left(entry(2), revision))
        restarted = dataclasses.replace(entry(1), started_at_ms=entry(1).started_at_ms + 1)
        self.assertFalse(departures.has_left(restarted, revision))
        self.assertTrue(departures.take_back(entry(1)))
        self.assertFalse(departures.has_left(entry(1), revision))
        self.assertFalse(departures.take_back(entry(1)))

    def test_the_oldest_are_forgotten(self) -> None:
        departures = Departures()
        departures.copied_until = compose(2, 10)
        for number in range(MAX_RUNS + 1):
            one = dataclasses.replace(entry(1), identity=f"i-{number}")
            departures.record(one, compose(1, 4))
        first, last = (
            dataclasses.replace(entry(1), identity=f"i-{number}") for number in (0, MAX_RUNS)
        )
        self.assertEqual(
            (False, True),
            tuple(departures.has_left(one, compose(2, 1)) for one in (first, last)),
        )

"""Questions for admission, and a queue whose decisions are kept."""

import unittest

from pearshed._internal.engine_side.admission_queue import AdmissionQueue, Reservation
from pearshed._internal.engine_side.messages import AdmissionRequest
from pearshed._internal.engine_side.prompt_cache import PromptCache
from pearshed._internal.models.routing import PromptPart
from tests.lib.fakes import FakeClock


def ask(
    name: str, tokens: int, rank: int = 1, budget_ms: int = 1000, shared: str = ""
) -> AdmissionRequest:
    """Make a question for a prompt of one shared and one own part."""
    prompt = [PromptPart(f"own-{name}", tokens)]
    if shared:
        prompt.insert(0, PromptPart(shared, 10_000))
    return AdmissionRequest(f"{name}/1", rank, budget_ms, tuple(prompt), 50)


class QueueTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.granted: list[str] = []
        self.refused: list[str] = []
        self.cache = PromptCache()
        self.queue = AdmissionQueue(self.cache, self._grant, self._refuse)

    def _grant(self, reservation: Reservation) -> None:
        self.granted.append(reservation.request.reservation.partition("/")[0])

    def _refuse(self, reservation: Reservation, wait_s: float) -> None:
        self.assertGreaterEqual(wait_s, 0.0)
        self.refused.append(reservation.request.reservation.partition("/")[0])

    def ask(self, *asks: AdmissionRequest) -> None:
        for one in asks:
            self.queue.submit(one, lambda _: None)

    def read(self, name: str, after_s: float) -> None:
        """Let the engine read a prompt."""
        self.clock.advance(after_s)
        self.queue.record_prefill(f"{name}/1")

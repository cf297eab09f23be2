"""Admission requests for tests, and a test case that records an admission queue's decisions."""

import unittest

from pearshed._internal.engine_side.admission_queue import AdmissionQueue, Reservation
from pearshed._internal.engine_side.messages import AdmissionRequest, request_id_of
from pearshed._internal.engine_side.prompt_cache import PromptCache
from pearshed._internal.models.routing import PromptPart
from tests.lib.fakes import FakeClock


def admission_request(
    name: str, tokens: int, rank: int = 1, budget_ms: int = 1000, shared_prefix: str = ""
) -> AdmissionRequest:
    """Create an admission request; its prompt begins with the shared prefix if one is named."""
    prompt = [PromptPart(f"own-{name}", tokens)]
    if shared_prefix:
        prompt.insert(0, PromptPart(shared_prefix, 10_000))
    return AdmissionRequest(f"{name}/1", rank, budget_ms, tuple(prompt), 50)


class QueueTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock(self)
        self.granted: list[str] = []
        self.refused: list[str] = []
        self.cache = PromptCache()
        self.queue = AdmissionQueue(self.cache, self._grant, self._refuse)

    def _grant(self, reservation: Reservation) -> None:
        self.granted.append(request_id_of(reservation.request.reservation))

    def _refuse(self, reservation: Reservation, wait_s: float) -> None:
        self.assertGreaterEqual(wait_s, 0.0)
        self.refused.append(request_id_of(reservation.request.reservation))

    def submit(self, *requests: AdmissionRequest) -> None:
        for request in requests:
            self.queue.submit(request, lambda _: None)

    def prefill(self, name: str, after_s: float) -> None:
        """Let time pass, then record that the engine has prefilled a prompt."""
        self.clock.advance(after_s)
        self.queue.record_prefill(f"{name}/1")

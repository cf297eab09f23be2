"""Waits of a request at an endpoint, and why a request is withheld right before it is sent."""

from collections.abc import Coroutine
from typing import Any, TypeVar

from pearshed._internal.gateway.availability.evacuations import EvacuationTable
from pearshed._internal.gateway.availability.pauses import PauseTable
from pearshed._internal.gateway.endpoints import Endpoint

_Result = TypeVar("_Result")


class EndpointWaits:
    """Ends what a request does at an endpoint once that endpoint gets no more requests."""

    def __init__(self, evacuations: EvacuationTable, pauses: PauseTable) -> None:
        self._evacuations = evacuations
        self._pauses = pauses

    async def wait(
        self, endpoint: Endpoint, operation: Coroutine[Any, Any, _Result]
    ) -> _Result | None:
        """Wait for an operation while the endpoint is neither evacuated nor paused.

        :returns: its result, or ``None`` if it was cancelled for one of these reasons.
        """
        if endpoint.evacuated or endpoint.pause_s:
            operation.close()
            return None
        return await self._evacuations.wait_unless_evacuated(
            endpoint.entry.data_centre,
            self._pauses.wait_unless_paused(endpoint.entry, operation),
        )

    def withheld_reason(self, endpoint: Endpoint) -> str:
        """Return why a request must not be sent to an endpoint now; empty if it may."""
        if endpoint.evacuated:
            return "the data centre is evacuated"
        if endpoint.pause_s:
            return "the engine asks for a pause"
        return "" if self._evacuations.trusted else "the evacuations known are too old"

    def record_withheld(self, endpoint: Endpoint) -> None:
        """Count a request that was withheld."""
        if endpoint.pause_s and not endpoint.evacuated:
            self._pauses.record_withheld()
        else:
            self._evacuations.record_withheld()

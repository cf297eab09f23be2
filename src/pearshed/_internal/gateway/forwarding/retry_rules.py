"""Decides whether a request is sent to another endpoint after an attempt without a response."""

from collections.abc import Awaitable, Callable

from pearshed._internal.gateway.crash_detector import CrashDetector
from pearshed._internal.gateway.endpoints import Endpoint
from pearshed._internal.gateway.forwarding.endpoint_waits import EndpointWaits
from pearshed._internal.gateway.forwarding.progress import Progress
from pearshed._internal.gateway.routed_call import (
    AttemptOutcome,
    Failed,
    Interrupted,
    NotExecuted,
    OutOfTime,
    RoutedCall,
)

#: Rejections by endpoints after which a request may still be sent to another.
_MAX_REJECTIONS = 2
#: Connections that may fail to open for one request before it is refused.
_MAX_CONNECT_FAILURES = 4
#: An attempt with less time than this can't succeed.
_MIN_REMAINING_S = 0.05


class RetryRules:
    """Counts attempts and limits their number.

    :param try_spend: spends one retry for a service; returns whether its budget had one.
    """

    def __init__(
        self,
        try_spend: Callable[[str], Awaitable[bool]],
        crashes: CrashDetector,
        waits: EndpointWaits,
    ) -> None:
        self._try_spend = try_spend
        self._crashes = crashes
        self._waits = waits

    async def may_retry(
        self, call: RoutedCall, endpoint: Endpoint, outcome: AttemptOutcome, progress: Progress
    ) -> bool:
        """Count an attempt without a complete response; return whether to make another."""
        if isinstance(outcome, NotExecuted):
            if outcome.withheld:
                # Nothing was sent. The endpoint isn't chosen again for this request.
                self._waits.record_withheld(endpoint)
                return True
            if outcome.misdirected:
                endpoint.mark_misdirected()
            if not isinstance(progress.last_outcome, Failed):
                progress.last_outcome = outcome
            if not outcome.arrived:
                progress.connect_failures += 1
                return progress.connect_failures <= _MAX_CONNECT_FAILURES
            progress.rejections += 1
            return progress.rejections <= _MAX_REJECTIONS and await self._try_spend(call.service)
        progress.last_outcome = outcome
        progress.endpoints_run += not isinstance(outcome, OutOfTime) or outcome.sent
        return (
            isinstance(outcome, Failed | Interrupted)
            and call.route.retryable
            and progress.endpoints_run < call.route.max_endpoints
            and call.remaining_s > _MIN_REMAINING_S
            and self._crashes.may_retry(call)
            and await self._try_spend(call.service)
        )

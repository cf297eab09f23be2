"""Decides how long a request waits for admission, so that no urgent one gives up first."""

import collections

from pearshed._internal.decisions.useful_time import CallerNeeds, GenerationPace, useful_until
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.timers import clock

#: Share of a route's target that a request may wait for admission; the remainder is for its
#: prefill.
ADMISSION_WAIT_SHARE = 0.5
#: Share of the time until its deadline that a request may wait at most.
MAX_DEADLINE_SHARE = 0.5
#: Time for which a request counts as one that others may compete with, seconds.
COMPETITION_S = 10.0
#: Ranks and targets that are remembered for one service.
_MAX_KINDS = 256


class AdmissionWait:
    """Recent requests' targets by service and rank.

    A request whose route has a short target waits as long as any less urgent one of its service:
    otherwise the less urgent ones would be left to run when engines go on after a pause.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, collections.OrderedDict[tuple[int, int], float]] = {}
        self._pace = GenerationPace()

    def record_request(self, call: RoutedCall) -> None:
        """Record a request that competes for the engines of its service."""
        kinds = self._kinds.setdefault(call.service, collections.OrderedDict())
        kind = (call.rank, call.route.target_ms)
        kinds[kind] = clock.now()
        kinds.move_to_end(kind)
        if len(kinds) > _MAX_KINDS:
            kinds.popitem(last=False)

    def record_stream(self, call: RoutedCall, generation_s: float) -> None:
        """Record the end of a complete stream.

        :param generation_s: time from its first event to its last one, seconds.
        """
        tokens = call.metadata.expected_output_tokens
        self._pace.record_stream(call.route.name, tokens, generation_s)

    def needs(self, call: RoutedCall, waiting_since: float, returned: bool = False) -> CallerNeeds:
        """Return what the caller needs, for a service for which callers compete.

        :param waiting_since: clock reading of the arrival, or of the last event of a stream,
            seconds.
        :param returned: the caller has come back at the time that it was given with a refusal.
        """
        route = call.route
        tokens = call.metadata.expected_output_tokens
        until = useful_until(
            waiting_since,
            route.target_ms,
            route.gap_target_ms,
            call.deadline,
            self._pace.generation_s(route.name, tokens),
        )
        target_at = waiting_since + route.target_ms / clock.MILLISECONDS_PER_SECOND
        return CallerNeeds(target_at, until, call.customer, returned)

    def wait_s(self, call: RoutedCall, started_at: float) -> float:
        """Return how long a request may still wait, seconds.

        :param started_at: clock reading when its wait began, seconds.
        """
        target_s = self._longest_target_ms(call) / clock.MILLISECONDS_PER_SECOND
        own_s = call.route.target_ms / clock.MILLISECONDS_PER_SECOND * ADMISSION_WAIT_SHARE
        latest_s = (call.deadline - started_at) * MAX_DEADLINE_SHARE
        wait_s = max(own_s, min(target_s * ADMISSION_WAIT_SHARE, latest_s))
        return max(0.0, min(started_at + wait_s, call.deadline) - clock.now())

    def _longest_target_ms(self, call: RoutedCall) -> int:
        """Return the longest target of recent requests that are no more urgent."""
        oldest = clock.now() - COMPETITION_S
        return max(
            (
                target_ms
                for (rank, target_ms), requested_at in self._kinds.get(call.service, {}).items()
                if rank >= call.rank and requested_at >= oldest
            ),
            default=0,
        )

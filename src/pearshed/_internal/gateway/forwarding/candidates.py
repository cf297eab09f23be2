"""Finds the endpoints that a request may still be sent to, and says why there are none."""

from pearshed._internal.gateway.endpoints import Endpoint, EndpointTable
from pearshed._internal.gateway.forwarding.progress import Progress
from pearshed._internal.gateway.routed_call import RoutedCall
from pearshed._internal.models.routing import RouteKind


class CandidateFinder:
    """Finds candidates among the known endpoints."""

    def __init__(self, endpoints: EndpointTable) -> None:
        self._endpoints = endpoints

    def find(self, call: RoutedCall, progress: Progress) -> list[Endpoint]:
        """List the endpoints that may still get a request: at a stream, of its version only."""
        excluded = (*progress.tried, *progress.without_place)
        return [
            endpoint
            for endpoint in self._endpoints.of_service(call.service)
            if endpoint not in excluded and progress.may_use(endpoint)
        ]

    def has_alternative(self, call: RoutedCall, progress: Progress) -> bool:
        """Return whether another endpoint may be tried if the current one is slow."""
        return (
            call.route.kind is RouteKind.IDEMPOTENT
            and progress.endpoints_run + 1 < call.route.max_endpoints
            and bool(self.find(call, progress))
        )

    def exclusion_cause(self, call: RoutedCall, progress: Progress) -> str:
        """Return why evacuations or regions leave a request no endpoint; empty if they do not."""
        excluded = call.data_centres is not None or bool(
            self._endpoints.evacuated_of_service(call.service)
        )
        if not excluded or self.find(call, progress):
            return ""
        return self.describe_lack(call, progress)

    def pause_s(self, call: RoutedCall, progress: Progress) -> float:
        """Return the time until the first of its endpoints ends its pause, seconds.

        :returns: 0 if not all endpoints that may run the request pause.
        """
        if any(progress.may_use(one) for one in self._endpoints.of_service(call.service)):
            return 0.0
        paused = self._endpoints.paused_of_service(call.service)
        return min((one.pause_s for one in paused if progress.may_use(one)), default=0.0)

    def describe_lack(self, call: RoutedCall, progress: Progress) -> str:
        """Describe why no endpoint is left for a request."""
        if self.pause_s(call, progress):
            return "the engines ask for a pause"
        if call.competes and progress.admission_refusals:
            return "the engines are busy"
        if progress.silent:
            return "the engines are silent"
        listed = self._endpoints.of_service(call.service)
        evacuated = self._endpoints.evacuated_of_service(call.service)
        if evacuated and not any(call.may_run_in(one.entry.data_centre) for one in listed):
            return "the data centres of the service are evacuated"
        if call.data_centres is not None and not any(
            call.may_run_in(one.entry.data_centre) for one in (*listed, *evacuated)
        ):
            return "no endpoint is in an allowed region"
        if progress.origin is not None:
            return "no engine of the stream's software version is available"
        return "no endpoint is available"

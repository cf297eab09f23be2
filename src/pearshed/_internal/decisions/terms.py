"""What the caller of a request needs, as a gateway sends it to the side of an engine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """Times and fairness of a request that competes with others for an engine.

    :ivar target_left_ms: time until the first event must have come to be on time, milliseconds;
        negative if it is late already.
    :ivar useful_left_ms: time until a first event is of no more use to the caller, milliseconds.
    :ivar customer: name of the customer, for fair shares; empty on public routes.
    :ivar returned: the caller was refused before and has come back at the time that it was given.
    """

    target_left_ms: int
    useful_left_ms: int
    customer: str = ""
    returned: bool = False

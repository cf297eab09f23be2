"""Says whether a request may still be sent to an endpoint while the gateway stops.

Addresses planned stops under load: requests that have waited are sent in the last moments of the
grace, and are cut at its end, though another gateway could have served them in time.
"""

#: Least times that a plain request and a stream need, seconds.
_MIN_PLAIN_S = 0.5
_MIN_STREAM_S = 3.0
#: Multiple of its target that a request takes now and then.
_TARGETS = 4.0


#: Share of the grace in which requests are sent in any case.
_SENDING_SHARE = 0.5


def needs_s(target_s: float, streaming: bool, left_s: float, grace_s: float) -> float:
    """Return the time that must be left of the grace for a request to be sent, seconds.

    :param target_s: time within which its response, or a stream's first event, is on time.
    :param left_s: time until the request times out, in which it ends by itself.
    :param grace_s: length of the grace.
    """
    least_s = _MIN_STREAM_S if streaming else _MIN_PLAIN_S
    return min(left_s, grace_s * _SENDING_SHARE, max(least_s, _TARGETS * target_s))

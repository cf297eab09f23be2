"""Settings of a gateway, as checked frozen data."""

from collections.abc import Mapping
from dataclasses import dataclass

from pearshed._internal.utils.addresses import Address


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of a gateway.

    :ivar name: unique name of its VM.
    :ivar callers: address for callers.
    :ivar readiness: address at which the platform's balancer asks for readiness.
    :ivar control: address for other gateways and for operators; port 0 when not served.
    :ivar peers: address for messages to and from the sides of engines (UDP); sides use its port.
    :ivar seeds: control addresses of some gateways; they may be stale.
    :ivar store: address of the platform's store.
    :ivar keys_fail_closed: keys are refused when it isn't known in time whether they still hold.
    :ivar revocation_s: time after which a revoked key must not be accepted, seconds.
    :ivar grace_s: time between the request to stop and the kill, seconds.
    :ivar repeat_ratio: second sends allowed for each request, over all gateways.
    :ivar repeat_slack: second sends allowed besides in each window, over all gateways.
    :ivar repeat_window_s: length of that window, seconds.
    :ivar bounds: all bounds as published, for the dump.
    """

    name: str
    data_centre: str
    callers: Address
    readiness: Address
    control: Address
    peers: Address
    seeds: tuple[Address, ...]
    store: Address
    keys_fail_closed: bool
    revocation_s: float
    grace_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    bounds: Mapping[str, object]

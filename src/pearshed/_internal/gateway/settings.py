"""Validated, immutable settings of a gateway."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pearshed._internal.decisions.restored_items import DEFAULT_LEASE_S
from pearshed._internal.resources.limits import MachineLimits
from pearshed._internal.utils.addresses import Address


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of a gateway.

    :ivar name: unique name of its VM.
    :ivar callers: listen address for callers.
    :ivar readiness: listen address for the readiness checks of the platform's load balancer.
    :ivar control: listen address for other gateways and operators; port 0 when not served.
    :ivar peers: UDP address for messages with the sides of engines; they use its port.
    :ivar seeds: control addresses of some gateways; they may be stale.
    :ivar store: address of the platform's store.
    :ivar keys_fail_closed: refuse API keys while they can't be confirmed as still valid.
    :ivar revocation_s: time after which a revoked key must no longer be accepted, seconds.
    :ivar grace_s: time between the stop signal and the kill, seconds.
    :ivar repeat_ratio: retries allowed per request, over all gateways.
    :ivar repeat_slack: additional retries allowed in each window, over all gateways.
    :ivar repeat_window_s: length of that window, seconds.
    :ivar evacuation_bound_s: time after which nothing may reach an evacuated data centre, seconds;
        ``None`` if evacuations aren't used.
    :ivar regions: region of each data centre.
    :ivar cold_overshoot: a cold engine may get this many times what it takes in a second, and
        ``cold_slack`` requests more; ``None`` if cold engines are not limited.
    :ivar entry_lease_s: silence of an endpoint after which the store removes its entry, seconds.
    :ivar machine: memory and descriptors of the process.
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
    evacuation_bound_s: float | None = None
    regions: Mapping[str, str] = field(default_factory=dict)
    cold_overshoot: float | None = None
    cold_slack: float = 0.0
    entry_lease_s: float = DEFAULT_LEASE_S
    machine: MachineLimits = field(default_factory=MachineLimits.of_machine)

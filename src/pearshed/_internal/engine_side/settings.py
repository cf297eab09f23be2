"""Settings of the process beside an engine."""

from dataclasses import dataclass, field

from pearshed._internal.resources.limits import MachineLimits
from pearshed._internal.utils.addresses import Address


@dataclass(frozen=True)
class EngineSideSettings:
    """Settings of the process beside an engine.

    :ivar listen: address for datagrams of gateways (UDP) and for operators' pages (TCP).
    :ivar engine: address of the engine.
    :ivar machine: memory and descriptors of the process.
    """

    name: str
    data_centre: str
    listen: Address
    engine: Address
    machine: MachineLimits = field(default_factory=MachineLimits.of_machine)

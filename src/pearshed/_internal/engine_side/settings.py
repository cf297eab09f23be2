"""Settings of the process beside an engine."""

from dataclasses import dataclass

from pearshed._internal.utils.addresses import Address


@dataclass(frozen=True)
class EngineSideSettings:
    """Settings of the process beside an engine.

    :ivar listen: address for datagrams of gateways (UDP) and for operators' pages (TCP).
    :ivar engine: address of the engine.
    """

    name: str
    data_centre: str
    listen: Address
    engine: Address

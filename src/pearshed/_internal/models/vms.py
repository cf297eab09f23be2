"""VMs in the platform's list."""

import enum
from dataclasses import dataclass


class VMState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VMRole(enum.StrEnum):
    """Process of the system that runs on a VM."""

    ENTRY = "entry"
    SIDE = "side"


@dataclass(frozen=True, slots=True)
class VM:
    """One VM of the platform's list.

    :ivar name: for a side's VM, the name of its endpoint's record.
    :ivar revision: revision of the list at which this state was published.
    """

    name: str
    data_centre: str
    role: VMRole
    state: VMState
    revision: int

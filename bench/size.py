"""The size that the system has to carry, from the users' first letter."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400
BYTES_PER_MEBIBYTE = 1024 * 1024


@dataclass(frozen=True)
class FleetSize:
    """The fleet at its peak.

    :ivar platform_reads_per_s: calls that the platform takes from all readers together.
    :ivar control_core: part of a core that a node may spend on control.
    :ivar control_bytes_per_s: bytes a second that a node may send and receive for control.
    """

    nodes: int = 590
    engines: int = 5_500
    requests_per_s: float = 42_000.0
    tokens_per_s: float = 9_700_000.0
    customers: int = 5_900
    models: int = 5
    data_centres: int = 10
    changes_per_day: int = 3_200
    vm_changes_per_day: int = 850
    platform_reads_per_s: float = 2_000.0
    control_core: float = 0.018
    control_bytes: float = 128.0 * BYTES_PER_MEBIBYTE
    control_bytes_per_s: float = 6_000.0
    subset: int = 32

    @property
    def records(self) -> int:
        """Configuration records, a few dozen classes and tiers included."""
        return self.customers + self.engines + self.models + 40

    @property
    def node_requests_per_s(self) -> float:
        """Requests a second of one node."""
        return self.requests_per_s / self.nodes

    @property
    def node_tokens_per_s(self) -> float:
        """Tokens a second of one node."""
        return self.tokens_per_s / self.nodes

    @property
    def engine_requests_per_s(self) -> float:
        """Requests a second of one engine."""
        return self.requests_per_s / self.engines

    @property
    def engine_tokens_per_s(self) -> float:
        """Tokens a second of one engine."""
        return self.tokens_per_s / self.engines

    @property
    def entries_per_side(self) -> float:
        """Connections that a side holds."""
        return self.nodes * self.subset / self.engines

    @property
    def changes_per_s(self) -> float:
        """Changes of records and of the VM list a second, spread over the day."""
        return (self.changes_per_day + self.vm_changes_per_day) / SECONDS_PER_DAY

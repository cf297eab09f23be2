"""The fleet size and resource limits that the users require."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400
BYTES_PER_MEBIBYTE = 1024 * 1024


@dataclass(frozen=True)
class FleetSize:
    """The fleet at peak load.

    :ivar platform_reads_per_s: maximum calls that the platform accepts from all readers together.
    :ivar max_control_cores: CPU limit of a node's control plane, in cores.
    :ivar max_control_bytes: memory limit of a node's control plane.
    :ivar max_control_bytes_per_s: limit of a node's control traffic in both directions.
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
    max_control_cores: float = 0.018
    max_control_bytes: float = 128.0 * BYTES_PER_MEBIBYTE
    max_control_bytes_per_s: float = 6_000.0
    subset: int = 32

    @property
    def records(self) -> int:
        """Configuration records, including a few dozen classes and tiers."""
        return self.customers + self.engines + self.models + 40

    @property
    def node_requests_per_s(self) -> float:
        """Requests per second of one node."""
        return self.requests_per_s / self.nodes

    @property
    def node_tokens_per_s(self) -> float:
        """Tokens per second of one node."""
        return self.tokens_per_s / self.nodes

    @property
    def engine_requests_per_s(self) -> float:
        """Requests per second of one engine."""
        return self.requests_per_s / self.engines

    @property
    def engine_tokens_per_s(self) -> float:
        """Tokens per second of one engine."""
        return self.tokens_per_s / self.engines

    @property
    def entries_per_side(self) -> float:
        """Entries connected to a side."""
        return self.nodes * self.subset / self.engines

    @property
    def changes_per_s(self) -> float:
        """Mean changes of records and of the VM list per second."""
        return (self.changes_per_day + self.vm_changes_per_day) / SECONDS_PER_DAY

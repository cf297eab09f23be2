"""Predicts the cost of each role at the fleet's size from measured slopes."""

from collections.abc import Mapping
from dataclasses import dataclass

from bench.size import FleetSize
from bench.slopes import Slope

_BATCH_INTERVAL_S = 0.008


@dataclass(frozen=True)
class ControlCost:
    """Resource usage of the control plane in one process.

    :ivar bytes_per_s: traffic in both directions, packet headers included.
    """

    role: str
    cores: float
    memory_bytes: float
    bytes_per_s: float


@dataclass(frozen=True)
class DataCost:
    """Cores that one process uses for requests, tokens and the messages that contain them."""

    role: str
    requests: float
    tokens: float
    messages: float

    @property
    def total(self) -> float:
        """Cores in total."""
        return self.requests + self.tokens + self.messages


def entry_control(size: FleetSize, slopes: Mapping[str, Slope], links: int) -> ControlCost:
    """Return the control cost of an entry."""
    cores = slopes["entry idle cpu per link"].predict(links)
    cores += slopes["entry cpu per change"].per_unit * size.changes_per_s
    memory_bytes = slopes["entry memory per link"].predict(links)
    memory_bytes += slopes["entry memory per record"].per_unit * (size.records + size.engines)
    bytes_per_s = slopes["control traffic per link"].predict(links)
    bytes_per_s += slopes["traffic per change and process"].per_unit * size.changes_per_s
    return ControlCost(f"entry, {links} links", cores, memory_bytes, bytes_per_s)


def side_control(size: FleetSize, slopes: Mapping[str, Slope]) -> ControlCost:
    """Return the control cost of a side."""
    entries = size.entries_per_side
    cores = slopes["side idle cpu per entry"].predict(entries)
    cores += slopes["side cpu per change"].per_unit * size.changes_per_s
    memory_bytes = slopes["side memory per entry"].predict(entries)
    memory_bytes += slopes["side memory per record"].per_unit * (size.records + size.engines)
    bytes_per_s = slopes["control traffic per link"].per_unit * entries
    bytes_per_s += slopes["traffic per change and process"].per_unit * size.changes_per_s
    return ControlCost(f"side, {entries:.1f} entries", cores, memory_bytes, bytes_per_s)


def control_costs(size: FleetSize, slopes: Mapping[str, Slope]) -> list[ControlCost]:
    """Return the control cost of each role."""
    return [entry_control(size, slopes, size.subset), side_control(size, slopes)]


def data_costs(size: FleetSize, slopes: Mapping[str, Slope]) -> list[DataCost]:
    """Return the data-plane cost of each role.

    The token and request series were measured with two links, so their base includes the messages
    of these links; at the fleet's size the messages are counted separately.
    """
    costs = []
    for batch_interval_s in (0.004, _BATCH_INTERVAL_S, 0.016):
        messages = size.subset / batch_interval_s
        costs.append(
            DataCost(
                f"entry, {size.subset} links, batches of {batch_interval_s * 1000:.0f} ms",
                slopes["entry cpu per request"].per_unit * size.node_requests_per_s,
                slopes["entry cpu per token"].per_unit * size.node_tokens_per_s,
                slopes["entry cpu per message"].per_unit * messages,
            )
        )
    costs.append(
        DataCost(
            f"side, {size.entries_per_side:.1f} entries, "
            f"batches of {_BATCH_INTERVAL_S * 1000:.0f} ms",
            slopes["side cpu per request"].per_unit * size.engine_requests_per_s,
            slopes["side cpu per token"].per_unit * size.engine_tokens_per_s,
            slopes["side cpu per message"].per_unit * size.entries_per_side / _BATCH_INTERVAL_S,
        )
    )
    return costs

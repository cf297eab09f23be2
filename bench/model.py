"""What each role costs at the fleet's size, from measured slopes."""

from collections.abc import Mapping
from dataclasses import dataclass

from bench.size import FleetSize
from bench.slopes import Slope

_BATCH_S = 0.008


@dataclass(frozen=True)
class ControlCost:
    """What control costs one process.

    :ivar cores: part of a core.
    :ivar bytes_per_s: traffic in both directions, packet headers included.
    """

    role: str
    cores: float
    memory_bytes: float
    bytes_per_s: float


@dataclass(frozen=True)
class DataCost:
    """Cores that one process spends on requests, tokens and the messages that carry them."""

    role: str
    requests: float
    tokens: float
    messages: float

    @property
    def total(self) -> float:
        """All of them."""
        return self.requests + self.tokens + self.messages


def entry_control(size: FleetSize, slopes: Mapping[str, Slope], links: int) -> ControlCost:
    """Cost of an entry with a number of links."""
    cpu = slopes["entry idle cpu per link"].at(links)
    cpu += slopes["entry cpu per change"].per_unit * size.changes_per_s
    memory = slopes["entry memory per link"].at(links)
    memory += slopes["entry memory per record"].per_unit * (size.records + size.engines)
    traffic = slopes["control traffic per link"].at(links)
    traffic += slopes["traffic per change and process"].per_unit * size.changes_per_s
    return ControlCost(f"entry, {links} links", cpu, memory, traffic)


def side_control(size: FleetSize, slopes: Mapping[str, Slope]) -> ControlCost:
    """Cost of a side."""
    entries = size.entries_per_side
    cpu = slopes["side idle cpu per entry"].at(entries)
    cpu += slopes["side cpu per change"].per_unit * size.changes_per_s
    memory = slopes["side memory per entry"].at(entries)
    memory += slopes["side memory per record"].per_unit * (size.records + size.engines)
    traffic = slopes["control traffic per link"].per_unit * entries
    traffic += slopes["traffic per change and process"].per_unit * size.changes_per_s
    return ControlCost(f"side, {entries:.1f} entries", cpu, memory, traffic)


def control_costs(size: FleetSize, slopes: Mapping[str, Slope]) -> list[ControlCost]:
    """Cost of control for each role."""
    return [entry_control(size, slopes, size.subset), side_control(size, slopes)]


def data_costs(size: FleetSize, slopes: Mapping[str, Slope]) -> list[DataCost]:
    """Cost of the data plane for each role.

    The series of tokens and requests were taken with two links, whose messages are part of
    their bases; at the fleet's size the messages are a line of their own.
    """
    costs = []
    for batch_s in (0.004, _BATCH_S, 0.016):
        messages = size.subset / batch_s
        costs.append(
            DataCost(
                f"entry, {size.subset} links, batches of {batch_s * 1000:.0f} ms",
                slopes["entry cpu per request"].per_unit * size.node_requests_per_s,
                slopes["entry cpu per token"].per_unit * size.node_tokens_per_s,
                slopes["entry cpu per message"].per_unit * messages,
            )
        )
    costs.append(
        DataCost(
            f"side, {size.entries_per_side:.1f} entries, batches of {_BATCH_S * 1000:.0f} ms",
            slopes["side cpu per request"].per_unit * size.engine_requests_per_s,
            slopes["side cpu per token"].per_unit * size.engine_tokens_per_s,
            slopes["side cpu per message"].per_unit * size.entries_per_side / _BATCH_S,
        )
    )
    return costs

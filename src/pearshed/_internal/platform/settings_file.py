"""Reads the platform's JSON settings file into the settings of a gateway or an engine's side."""

import os
import pathlib
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import orjson
from returns.pipeline import is_successful

from pearshed._internal.decisions.restored_items import DEFAULT_LEASE_S, HEARTBEATS_OF_A_LEASE
from pearshed._internal.engine_side.settings import EngineSideSettings
from pearshed._internal.errors import FieldProblem, SettingsError
from pearshed._internal.gateway.settings import GatewaySettings
from pearshed._internal.platform import names
from pearshed._internal.resources.limits import MachineLimits
from pearshed._internal.timers.clock import MILLISECONDS_PER_SECOND
from pearshed._internal.utils.addresses import Address, parse_address

_Settings = TypeVar("_Settings")
_UNSET_ADDRESS = Address("127.0.0.1", 0)


def settings_path() -> pathlib.Path:
    """Return the path of the settings file from the environment.

    :raises SettingsError: when the environment variable is not set.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"the environment variable {names.SETTINGS_VARIABLE} is not set",
            hint="it holds the path of the platform's settings file; or use --settings FILE",
        )
    return pathlib.Path(path)


def load_gateway_settings(path: pathlib.Path) -> GatewaySettings:
    """Read and validate the settings of a gateway.

    Unknown fields are ignored, since the platform may add some at any time.

    :raises SettingsError: lists all invalid fields.
    """
    return _load(path, _read_gateway)


def load_engine_side_settings(path: pathlib.Path) -> EngineSideSettings:
    """Read and validate the settings of the process beside an engine.

    :raises SettingsError: lists all invalid fields.
    """
    return _load(path, _read_engine_side)


def _load(path: pathlib.Path, read: Callable[["_Reader"], _Settings]) -> _Settings:
    try:
        raw = orjson.loads(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"can't read the settings file {path}", context=[str(error)]) from error
    except orjson.JSONDecodeError as error:
        raise SettingsError(f"{path} is not JSON", context=[str(error)]) from error
    reader = _Reader(raw)
    settings = read(reader)
    if reader.problems:
        raise SettingsError(
            f"the settings in {path} are invalid",
            context=[str(problem) for problem in reader.problems],
            hint="docs/configuration.md lists the required fields",
        )
    return settings


def _read_engine_side(reader: "_Reader") -> EngineSideSettings:
    host = reader.text("ip")
    return EngineSideSettings(
        name=reader.text("node"),
        data_centre=reader.text("zone"),
        listen=Address(host, reader.first_peer_port()),
        engine=reader.address("", "app"),
        machine=_read_machine(reader),
    )


def _read_machine(reader: "_Reader") -> MachineLimits:
    descriptors = reader.optional_number("limits", "maxFds")
    return MachineLimits.of_machine(
        reader.optional_number("limits", "memoryMb"),
        int(descriptors) if descriptors is not None else None,
    )


def _read_gateway(reader: "_Reader") -> GatewaySettings:
    bounds = reader.mapping("bounds")
    seeds = reader.raw.get("seeds")
    parsed = [parse_address(str(seed)) for seed in seeds] if isinstance(seeds, list) else []
    return GatewaySettings(
        name=reader.text("node"),
        data_centre=reader.text("zone"),
        callers=reader.address("listen", "front"),
        readiness=reader.address("listen", "ready"),
        control=reader.address("listen", "control", required=False),
        seeds=tuple(seed.unwrap() for seed in parsed if is_successful(seed)),
        store=reader.address("provider", "address"),
        peers=Address(reader.text("ip"), reader.first_peer_port()),
        keys_fail_closed=bounds.get("failClosed") is True,
        revocation_s=reader.seconds("bounds", "revokeMs"),
        grace_s=reader.number("bounds", "graceS"),
        repeat_ratio=reader.number("bounds", "retryBudgetRatio"),
        repeat_slack=reader.number("bounds", "budgetSlack"),
        repeat_window_s=reader.number("bounds", "budgetWindowS"),
        evacuation_bound_s=(
            reader.seconds("bounds", "evacuateMs") if bounds.get("evacuateMs") is not None else None
        ),
        regions={
            name: region
            for name, region in reader.mapping("zones").items()
            if isinstance(region, str)
        },
        cold_overshoot=reader.optional_number("bounds", "coldOvershoot"),
        cold_slack=reader.optional_number("bounds", "coldSlack") or 0.0,
        machine=_read_machine(reader),
        entry_lease_s=_read_entry_lease(reader),
    )


def _read_entry_lease(reader: "_Reader") -> float:
    heartbeat_ms = reader.raw.get("heartbeatMs")
    if isinstance(heartbeat_ms, bool) or not isinstance(heartbeat_ms, int | float):
        return DEFAULT_LEASE_S
    return HEARTBEATS_OF_A_LEASE * heartbeat_ms / MILLISECONDS_PER_SECOND


class _Reader:
    """Reads fields of the file and collects the problems found."""

    def __init__(self, raw: Any) -> None:
        self.raw: Mapping[str, Any] = raw if isinstance(raw, dict) else {}
        self.problems: list[FieldProblem] = []
        if not isinstance(raw, dict):
            self.problems.append(FieldProblem((), "expected an object"))

    def mapping(self, name: str) -> Mapping[str, Any]:
        value = self.raw.get(name)
        return value if isinstance(value, dict) else {}

    def text(self, name: str) -> str:
        value = self.raw.get(name)
        if not isinstance(value, str) or not value:
            self.problems.append(FieldProblem((name,), f"expected text, found {value!r}"))
            return ""
        return value

    def number(self, section: str, name: str) -> float:
        value = self.mapping(section).get(name)
        if not isinstance(value, int | float) or isinstance(value, bool):
            self.problems.append(
                FieldProblem((section, name), f"expected a number, found {value!r}")
            )
            return 0.0
        return float(value)

    def optional_number(self, section: str, name: str) -> float | None:
        if self.mapping(section).get(name) is None:
            return None
        return self.number(section, name)

    def seconds(self, section: str, name: str) -> float:
        return self.number(section, name) / MILLISECONDS_PER_SECOND

    def address(self, section: str, name: str, *, required: bool = True) -> Address:
        value = (self.mapping(section) if section else self.raw).get(name)
        if value is None and not required:
            return _UNSET_ADDRESS
        parsed = parse_address(str(value))
        if not is_successful(parsed):
            self.problems.append(FieldProblem((section, name), parsed.failure()))
            return _UNSET_ADDRESS
        return parsed.unwrap()

    def first_peer_port(self) -> int:
        """Read the port for messages between the system's processes, the same on all VMs."""
        ports = self.raw.get("portRange")
        if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
            self.problems.append(FieldProblem(("portRange",), f"expected ports, found {ports!r}"))
            return 0
        return ports[0]

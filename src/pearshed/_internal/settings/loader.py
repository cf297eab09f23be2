"""Loads the settings files of entries and sides; errors name the file, line and field."""

import enum
import pathlib
from collections.abc import Mapping
from typing import Any, TypeVar

import yaml

from pearshed._internal.errors import FieldProblem, SettingsError
from pearshed._internal.resources.limits import MachineLimits
from pearshed._internal.settings.model import (
    EntrySettings,
    LogFormat,
    OrderName,
    PeerSettings,
    PlacementName,
    PlatformSettings,
    ProcessSettings,
    Settings,
    SideSettings,
    TlsFiles,
)
from pearshed._internal.utils.addresses import Address, parse_address
from pearshed._internal.utils.fields import FieldReader

_LOG_LEVELS = ("debug", "info", "warning", "error")
_MIB = 1024 * 1024
_PLACEHOLDER_ADDRESS = Address("127.0.0.1", 0)

_Choice = TypeVar("_Choice", bound=enum.StrEnum)
_Lines = Mapping[tuple[str, ...], int]


def load_settings(path: pathlib.Path) -> Settings:
    """Read and validate a settings file.

    :raises SettingsError: with file, line and field of every problem.
    """
    raw, lines = _read_yaml(path)
    problems: list[FieldProblem] = []
    reader = FieldReader(raw, problems)
    settings = _read_settings(reader)
    reader.finish()
    if problems:
        raise SettingsError(
            f"the settings in {path} are invalid",
            context=[
                f"{path}:{_find_line(problem.path, lines)}: {problem}" for problem in problems
            ],
            hint="docs/configuration.md describes every field and its unit",
        )
    return settings


def _read_yaml(path: pathlib.Path) -> tuple[Any, _Lines]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read the settings file {path}", context=[str(error)]) from error
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        raw = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(f"{path} is not YAML", context=str(error).splitlines()) from error
    lines: dict[tuple[str, ...], int] = {}
    if node is not None:
        _collect_lines(node, (), lines)
    return raw, lines


def _collect_lines(
    node: yaml.Node, path: tuple[str, ...], lines: dict[tuple[str, ...], int]
) -> None:
    if not isinstance(node, yaml.MappingNode):
        return
    for key, value in node.value:
        child_path = (*path, str(key.value))
        lines[child_path] = key.start_mark.line + 1
        _collect_lines(value, child_path, lines)


def _find_line(path: tuple[str, ...], lines: _Lines) -> int:
    """Find the line of a field, or of the nearest enclosing section if the field is missing."""
    for length in range(len(path), 0, -1):
        if path[:length] in lines:
            return lines[path[:length]]
    return 1


def _read_settings(reader: FieldReader) -> Settings:
    process = _read_process(reader)
    platform = _read_platform(reader.section("platform", required=True))
    peers = _read_peers(reader.section("peers"))
    tls = reader.section("tls")
    peer_tls = _read_tls(tls, "peers", authority=True)
    caller_tls = _read_tls(tls, "callers", authority=False)
    tls.finish()
    if reader.has("side"):
        return _read_side(reader.section("side"), process, platform, peers, peer_tls)
    section = reader.section("entry", required=True)
    return _read_entry(section, process, platform, peers, peer_tls, caller_tls)


def _read_tls(tls: FieldReader, name: str, *, authority: bool) -> TlsFiles | None:
    section = tls.section(name)
    if not tls.has(name):
        return None
    files = TlsFiles(
        certificate=section.text("certificate"),
        key=section.text("key"),
        authority=section.text("authority") if authority else "",
    )
    section.finish()
    return files


def _read_process(reader: FieldReader) -> ProcessSettings:
    section = reader.section("process", required=True)
    settings = ProcessSettings(
        name=section.text("name"),
        data_centre=section.text("data_centre"),
        admin=_read_address(section, "admin"),
        log_format=_read_choice(section, "log_format", LogFormat.PLAIN),
        log_level=section.text("log_level", "info", _LOG_LEVELS),
        machine=_read_machine(section),
    )
    section.finish()
    return settings


def _read_machine(section: FieldReader) -> MachineLimits:
    """Read limits that may be lower than those of the machine."""
    return MachineLimits.of_machine(
        _read_optional_integer(section, "memory_mb", minimum=64),
        _read_optional_integer(section, "max_descriptors", minimum=512),
    )


def _read_optional_integer(section: FieldReader, name: str, *, minimum: int) -> int | None:
    value = section.integer(name, minimum, minimum=minimum)
    return value if section.has(name) else None


def _read_choice(section: FieldReader, name: str, default: _Choice) -> _Choice:
    choices = {choice.value: choice for choice in type(default)}
    return choices.get(section.text(name, default.value, list(choices)), default)


def _read_platform(section: FieldReader) -> PlatformSettings:
    settings = PlatformSettings(
        url=section.text("url").rstrip("/"),
        watch_s=section.number("watch_s", 25.0, minimum=0.1, maximum=300.0),
        readers=section.integer("readers", 2, minimum=1, maximum=100),
    )
    section.finish()
    return settings


def _read_peers(section: FieldReader) -> PeerSettings:
    settings = PeerSettings(
        heartbeat_s=section.number("heartbeat_s", 1.0, minimum=0.05, maximum=60.0),
        silence_s=section.number("silence_s", 3.0, minimum=0.1, maximum=300.0),
        batch_ms=section.number("batch_ms", 4.0, minimum=0.0, maximum=1000.0),
    )
    section.finish()
    return settings


def _read_entry(
    section: FieldReader,
    process: ProcessSettings,
    platform: PlatformSettings,
    peers: PeerSettings,
    peer_tls: TlsFiles | None,
    caller_tls: TlsFiles | None,
) -> EntrySettings:
    settings = EntrySettings(
        process=process,
        platform=platform,
        peers=peers,
        peer_tls=peer_tls,
        caller_tls=caller_tls,
        listen=_read_address(section, "listen"),
        max_requests=section.integer("max_requests", 256, minimum=1, maximum=10_000),
        max_connections=section.integer("max_connections", 1024, minimum=1, maximum=100_000),
        max_body_bytes=section.integer("max_body_bytes", 4 * _MIB, minimum=1024),
        read_timeout_s=section.number("read_timeout_s", 10.0, minimum=0.1),
        write_timeout_s=section.number("write_timeout_s", 20.0, minimum=0.1),
        subset=section.integer("subset", 32, minimum=1),
        fanout=section.integer("fanout", 2, minimum=1, maximum=32),
        protected_fanout=section.integer("protected_fanout", 8, minimum=1, maximum=32),
        drain_s=section.number("drain_s", 3.0, minimum=0.0),
        placement=_read_choice(section, "placement", PlacementName.SAMPLED),
    )
    section.finish()
    return settings


def _read_side(
    section: FieldReader,
    process: ProcessSettings,
    platform: PlatformSettings,
    peers: PeerSettings,
    peer_tls: TlsFiles | None,
) -> SideSettings:
    settings = SideSettings(
        process=process,
        platform=platform,
        peers=peers,
        peer_tls=peer_tls,
        endpoint=section.text("endpoint"),
        listen=_read_address(section, "listen"),
        endpoint_address=_read_address(section, "endpoint_address"),
        lease_ms=section.integer("lease_ms", 500, minimum=10, maximum=60_000),
        key_retention_s=section.number("key_retention_s", 900.0, minimum=1.0),
        key_clock_skew_s=section.number("key_clock_skew_s", 5.0, minimum=0.0),
        connect_timeout_s=section.number("connect_timeout_s", 2.0, minimum=0.01),
        idle_timeout_s=section.number("idle_timeout_s", 60.0, minimum=0.1),
        order=_read_choice(section, "order", OrderName.TIERED),
    )
    section.finish()
    return settings


def _read_address(section: FieldReader, name: str) -> Address:
    text = section.text(name)
    if not text:
        return _PLACEHOLDER_ADDRESS
    parsed = parse_address(text)
    problem = parsed.swap().value_or("")
    if problem:
        section.report(name, problem)
    return parsed.value_or(_PLACEHOLDER_ADDRESS)

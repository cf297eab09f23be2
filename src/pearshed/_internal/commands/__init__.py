"""Table of the commands; a command's module is imported only when the command is run."""

import importlib
from collections.abc import Mapping
from dataclasses import dataclass

from pearshed._internal.commands.base import Command
from pearshed._internal.errors import InvariantBrokenError


@dataclass(frozen=True)
class CommandInfo:
    """Location and summary of a command.

    :ivar summary: one line, shown in the list of commands.
    """

    module: str
    class_name: str
    summary: str


COMMANDS: Mapping[str, CommandInfo] = {
    "entry": CommandInfo(
        "pearshed._internal.commands.entry", "EntryCommand", "Serve callers on an entry VM."
    ),
    "side": CommandInfo(
        "pearshed._internal.commands.side",
        "SideCommand",
        "Queue and forward requests for one endpoint.",
    ),
    "gateway": CommandInfo(
        "pearshed._internal.commands.gateway",
        "GatewayCommand",
        "Forward requests on the users' platform.",
    ),
    "engine-side": CommandInfo(
        "pearshed._internal.commands.engine_side",
        "EngineSideCommand",
        "Admit requests to the engine on this VM.",
    ),
    "check": CommandInfo(
        "pearshed._internal.commands.check",
        "CheckCommand",
        "Check settings files and records before they are used.",
    ),
    "dump": CommandInfo(
        "pearshed._internal.commands.dump",
        "DumpCommand",
        "Show the state of a running process.",
    ),
    "explain": CommandInfo(
        "pearshed._internal.commands.explain",
        "ExplainCommand",
        "Collect the log lines about one request.",
    ),
    "where": CommandInfo(
        "pearshed._internal.commands.where",
        "WhereCommand",
        "Say where a request would go now, and why.",
    ),
    "version": CommandInfo(
        "pearshed._internal.commands.version", "VersionCommand", "Show the version."
    ),
}


def create_command(name: str) -> Command:
    """Import a command's module and create the command."""
    info = COMMANDS[name]
    module = importlib.import_module(info.module)
    command = getattr(module, info.class_name)()
    if not isinstance(command, Command):
        raise InvariantBrokenError(f"{info.class_name} is not a command")
    return command

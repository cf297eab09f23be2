"""Base class of the ``entry`` and ``side`` commands, which run a process until a signal."""

import abc
import argparse
import asyncio
import pathlib

from pearshed._internal import logs
from pearshed._internal.cli import status_codes
from pearshed._internal.commands.base import Command
from pearshed._internal.errors import SettingsError
from pearshed._internal.processes.base import Process
from pearshed._internal.settings.loader import load_settings
from pearshed._internal.settings.model import Settings


class ProcessCommand(Command):
    """Loads the settings and runs the process."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""
        parser.add_argument(
            "--settings", type=pathlib.Path, required=True, metavar="FILE", help="settings in YAML"
        )

    def run(self, options: argparse.Namespace) -> int:
        """Run the process until SIGTERM or SIGINT, then finish the requests in flight."""
        settings = load_settings(options.settings)
        process = settings.process
        logs.configure(process.name, process.log_format, process.log_level)
        asyncio.run(self._run(settings, options.settings))
        return status_codes.SUCCESS

    async def _run(self, settings: Settings, path: pathlib.Path) -> None:
        await self._create(settings, path).run()

    @abc.abstractmethod
    def _create(self, settings: Settings, path: pathlib.Path) -> Process:
        """Create the process.

        :raises SettingsError: if the settings are for another kind of process.
        """


def wrong_section(path: pathlib.Path, section: str) -> SettingsError:
    """Create the error for a settings file of another kind of process."""
    return SettingsError(
        f"{path} has no section {section!r}",
        hint=f"'pearshed {section}' needs it; the file may be for another kind of process",
    )

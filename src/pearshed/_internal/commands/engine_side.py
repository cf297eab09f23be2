"""``pearshed engine-side``: admit requests to the engine on this VM."""

import argparse
import asyncio
import pathlib

from pearshed._internal import logs
from pearshed._internal.cli import status_codes
from pearshed._internal.commands.base import Command
from pearshed._internal.engine_side.process import EngineSideProcess
from pearshed._internal.engine_side.settings import EngineSideSettings
from pearshed._internal.platform.engine_client import PlatformEngineMonitor
from pearshed._internal.platform.settings_file import load_engine_side_settings, settings_path
from pearshed._internal.telemetry.log_stream import BoundedLogStream

_STDOUT_FD = 1


class EngineSideCommand(Command):
    """Runs the side process of an engine."""

    description = (
        "Admits requests to the engine on this VM: gateways send a request once it is granted. "
        "The platform provides the settings file."
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""
        parser.add_argument(
            "--settings", type=pathlib.Path, metavar="FILE", help="the platform's settings file"
        )

    def run(self, options: argparse.Namespace) -> int:
        """Run the process until SIGTERM or SIGINT, then finish the requests in flight."""
        settings = load_engine_side_settings(options.settings or settings_path())
        stream = BoundedLogStream(_STDOUT_FD)
        logs.configure_stream(settings.name, stream)
        asyncio.run(_run(settings, stream))
        return status_codes.SUCCESS


async def _run(settings: EngineSideSettings, stream: BoundedLogStream) -> None:
    await EngineSideProcess(settings, PlatformEngineMonitor(settings.engine), stream).run()

"""``pearshed gateway``: forward callers' requests on the users' platform."""

import argparse
import asyncio
import pathlib

from absl import logging

from pearshed._internal import logs
from pearshed._internal.cli import status_codes
from pearshed._internal.commands.base import Command
from pearshed._internal.errors import SettingsError
from pearshed._internal.gateway.process import GatewayProcess
from pearshed._internal.gateway.settings import GatewaySettings
from pearshed._internal.platform.documents import PlatformDocuments
from pearshed._internal.platform.headers import PlatformHeaders
from pearshed._internal.platform.settings_file import load_gateway_settings, settings_path
from pearshed._internal.platform.store_client import PlatformStore
from pearshed._internal.telemetry.log_stream import BoundedLogStream

_STDOUT_FD = 1


class GatewayCommand(Command):
    """Runs a gateway process."""

    description = (
        "Reads routes, customers and endpoints from the platform's store and forwards requests "
        "directly to endpoints. The platform provides the settings file. On SIGTERM, stops after "
        "every request in flight is answered."
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""
        parser.add_argument(
            "--settings", type=pathlib.Path, metavar="FILE", help="the platform's settings file"
        )

    def run(self, options: argparse.Namespace) -> int:
        """Run the process until SIGTERM or SIGINT, then finish the requests in flight."""
        path = options.settings or settings_path()
        settings = load_gateway_settings(path)
        stream = BoundedLogStream(_STDOUT_FD)
        logs.configure_stream(settings.name, stream)
        asyncio.run(
            GatewayProcess(
                settings,
                lambda: _reload_settings(path),
                PlatformStore(settings.store),
                PlatformDocuments(),
                PlatformHeaders(),
                stream,
            ).run()
        )
        return status_codes.SUCCESS


def _reload_settings(path: pathlib.Path) -> GatewaySettings | None:
    """Load changed settings; invalid ones are logged, and None keeps the current settings."""
    try:
        return load_gateway_settings(path)
    except SettingsError as error:
        logging.error("settings.refused", extra={"fields": {"reason": str(error)}})
        return None

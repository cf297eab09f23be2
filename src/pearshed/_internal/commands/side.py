"""``pearshed side``: queue and forward the requests for one endpoint."""

import pathlib

from pearshed._internal.commands.process import ProcessCommand, wrong_section
from pearshed._internal.processes.base import Process
from pearshed._internal.settings.model import Settings, SideSettings
from pearshed._internal.side.process import SideProcess


class SideCommand(ProcessCommand):
    """Runs a side process."""

    description = (
        "Queues requests for one endpoint, grants its slots by priority and keeps each response "
        "until its entry has received all of it. On SIGTERM, stops after every request in flight "
        "is answered. example: pearshed side --settings examples/side-1.yaml"
    )

    def _create(self, settings: Settings, path: pathlib.Path) -> Process:
        if not isinstance(settings, SideSettings):
            raise wrong_section(path, "side")
        return SideProcess(settings)

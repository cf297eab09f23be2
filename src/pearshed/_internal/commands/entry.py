"""``pearshed entry``: accept calls and dispatch them to sides."""

import pathlib

from pearshed._internal.commands.process import ProcessCommand, wrong_section
from pearshed._internal.entry.process import EntryProcess
from pearshed._internal.processes.base import Process
from pearshed._internal.settings.model import EntrySettings, Settings


class EntryCommand(ProcessCommand):
    """Runs an entry process."""

    description = (
        "Accepts calls of the OpenAI interface (/v1/chat/completions, /v1/completions, /v1/models) "
        "and plain calls (/services/SERVICE/PATH) and dispatches them to side processes by "
        "priority. On SIGTERM, stops after every request in flight is answered. "
        "example: pearshed entry --settings examples/entry-1.yaml"
    )

    def _create(self, settings: Settings, path: pathlib.Path) -> Process:
        if not isinstance(settings, EntrySettings):
            raise wrong_section(path, "entry")
        return EntryProcess(settings)

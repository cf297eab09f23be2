"""``pearshed entry``: serve callers."""

import pathlib

from pearshed._internal.commands.process import ProcessCommand, wrong_section
from pearshed._internal.entry.process import EntryProcess
from pearshed._internal.processes.base import Process
from pearshed._internal.settings.model import EntrySettings, Settings


class EntryCommand(ProcessCommand):
    """Runs an entry process."""

    description = (
        "Takes calls of the OpenAI interface (/v1/chat/completions, /v1/completions, /v1/models) "
        "and plain calls (/services/SERVICE/PATH) and has the side processes run them in order of "
        "urgency. Stops on SIGTERM once every request in flight is answered. "
        "example: pearshed entry --settings examples/entry-1.yaml"
    )

    def _create(self, settings: Settings, path: pathlib.Path) -> Process:
        if not isinstance(settings, EntrySettings):
            raise wrong_section(path, "entry")
        return EntryProcess(settings)

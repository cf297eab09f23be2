"""Errors of the command line and of process startup.

Each error states what happened, where, and what the operator can do about it.
Outcomes of requests are values, not exceptions: see ``models.outcomes``.
"""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class FieldProblem:
    """An invalid field of a settings file or a record.

    :ivar path: names of the enclosing sections and of the field, outermost first.
    :ivar message: description of the error, without the path.
    """

    path: tuple[str, ...]
    message: str

    def __str__(self) -> str:
        return f"{'.'.join(self.path) or '(top level)'}: {self.message}"


class PearshedError(Exception):
    """Base class of errors that end a command with a message for the operator.

    :ivar context: where the error occurred, one line per place.
    :ivar hint: what the operator can do, or an empty string.
    """

    def __init__(self, message: str, *, context: Sequence[str] = (), hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.context = tuple(context)
        self.hint = hint

    def __str__(self) -> str:
        lines = [self.message]
        lines.extend(f"  {line}" for line in self.context)
        if self.hint:
            lines.append(f"hint: {self.hint}")
        return "\n".join(lines)


class SettingsError(PearshedError):
    """A settings file can't be read or is invalid."""


class RecordsError(PearshedError):
    """A file of configuration records is invalid."""


class AddressInUseError(PearshedError):
    """A listening address can't be bound."""


class UnreachableProcessError(PearshedError):
    """A process did not respond at its admin address."""


class LogFileError(PearshedError):
    """A log file can't be read."""


class InvariantBrokenError(AssertionError):
    """The internal state is inconsistent; the process must stop."""

"""Errors of the command line and of the start of a process.

Each error says what happened, where, and what the operator can do about it.
Outcomes of requests are values, not exceptions: see ``models.outcomes``.
"""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class FieldProblem:
    """One field that a settings file or a record has wrong.

    :ivar path: names of the sections that lead to the field, outermost first.
    :ivar message: what is wrong, without the path.
    """

    path: tuple[str, ...]
    message: str

    def __str__(self) -> str:
        return f"{'.'.join(self.path) or '(top level)'}: {self.message}"


class PearshedError(Exception):
    """Base of all errors that end a command with a message for the operator.

    :ivar context: where it happened, one line each.
    :ivar hint: what to do next, or an empty string.
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
    """The settings file can't be read or has wrong fields."""


class RecordsError(PearshedError):
    """A file of configuration records was refused."""


class AddressInUseError(PearshedError):
    """A listening address can't be bound."""


class UnreachableProcessError(PearshedError):
    """A running process did not answer on its administration address."""


class LogFileError(PearshedError):
    """A log file can't be read."""


class InvariantBrokenError(AssertionError):
    """The program's own state is contradictory; the process must stop."""

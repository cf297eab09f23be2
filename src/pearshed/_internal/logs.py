"""Configures ``absl.logging``: plain text or one JSON object per line."""

import io
import json
import logging as standard_logging
import sys
import time
from typing import Any

from absl import flags, logging

from pearshed._internal.settings.model import LogFormat

_VERBOSE_LIBRARIES = ("asyncio", "grpclib", "h2", "hpack", "urllib3")

_MAX_FIELD_CHARACTERS = 512


class JsonFormatter(standard_logging.Formatter):
    """Formats a log record as a JSON object that includes the name of the process.

    Fields passed as ``extra={"fields": {...}}`` become members of the object.
    """

    def __init__(self, process: str) -> None:
        super().__init__()
        self._process = process

    def format(self, record: standard_logging.LogRecord) -> str:
        """Format the record."""
        document: dict[str, object] = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
            + f".{int(record.msecs):03d}Z",
            "level": record.levelname,
            "process": self._process,
            "message": record.getMessage(),
        }
        for name, value in getattr(record, "fields", {}).items():
            document[name] = _shorten(value)
        if record.exc_info:
            document["exception"] = self.formatException(record.exc_info)
        return json.dumps(document, separators=(",", ":"))


class PlainFormatter(standard_logging.Formatter):
    """Formats a log record as a line of text, followed by its extra fields."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Format the record."""
        timestamp = time.strftime("%H:%M:%S", time.gmtime(record.created))
        fields = " ".join(
            f"{name}={_shorten(value)}" for name, value in getattr(record, "fields", {}).items()
        )
        line = f"{timestamp}.{int(record.msecs):03d} {record.levelname[0]} {record.getMessage()}"
        if fields:
            line = f"{line} {fields}"
        if record.exc_info:
            line = f"{line}\n{self.formatException(record.exc_info)}"
        return line


def _shorten(value: object) -> object:
    """Cut a long text, which callers or endpoints may have chosen."""
    if isinstance(value, str) and len(value) > _MAX_FIELD_CHARACTERS:
        return value[:_MAX_FIELD_CHARACTERS] + "..."
    return value


def configure(process: str, log_format: LogFormat, verbosity: str) -> None:
    """Log to standard error in the given format.

    :param verbosity: ``debug``, ``info``, ``warning`` or ``error``.
    """
    formatter = JsonFormatter(process) if log_format is LogFormat.JSON else PlainFormatter()
    _configure(sys.stderr, formatter, verbosity)


def configure_stream(process: str, stream: io.TextIOBase, verbosity: str = "info") -> None:
    """Log to a stream, one JSON object per line.

    :param verbosity: ``debug``, ``info``, ``warning`` or ``error``.
    """
    _configure(stream, JsonFormatter(process), verbosity)


def _configure(stream: Any, formatter: standard_logging.Formatter, verbosity: str) -> None:
    handler = logging.get_absl_handler()
    handler.python_handler.stream = stream
    handler.setFormatter(formatter)
    if not flags.FLAGS.is_parsed():
        # argparse parses the command line; absl would warn that its own flags are not parsed.
        flags.FLAGS.mark_as_parsed()
    for name in _VERBOSE_LIBRARIES:
        standard_logging.getLogger(name).setLevel(standard_logging.WARNING)
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    # absl also writes records of this level and above to standard error by itself.
    logging.set_stderrthreshold(verbosity if stream is sys.stderr else "fatal")

"""``pearshed check``: validate settings and records before they are deployed or published."""

import argparse
import json
import pathlib
from collections.abc import Iterable
from typing import Any

from returns.pipeline import is_successful

from pearshed._internal.cli import status_codes
from pearshed._internal.commands.base import Command
from pearshed._internal.configuration.catalogue import build_catalogue
from pearshed._internal.configuration.parser import parse_record
from pearshed._internal.configuration.references import find_dangling
from pearshed._internal.errors import RecordsError, SettingsError
from pearshed._internal.models.records import Record
from pearshed._internal.settings.loader import load_settings


class CheckCommand(Command):
    """Validates settings files and files of records."""

    description = (
        "Reads each file as a process would and reports every error with file, line and field "
        "or with record and field. Starts nothing. "
        "example: pearshed check --settings entry.yaml --records records.json"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""
        parser.add_argument(
            "--settings",
            type=pathlib.Path,
            action="append",
            default=[],
            metavar="FILE",
            help="settings in YAML; may be given again",
        )
        parser.add_argument(
            "--records",
            type=pathlib.Path,
            action="append",
            default=[],
            metavar="FILE",
            help="a JSON list of records as the platform publishes them; may be given again",
        )

    def run(self, options: argparse.Namespace) -> int:
        """Validate the files."""
        if not options.settings and not options.records:
            print("nothing to check: give --settings or --records")
            return status_codes.USAGE
        for path in options.settings:
            load_settings(path)
            print(f"{path}: settings are good")
        for path in options.records:
            count = _check_records(path)
            print(f"{path}: {count} records are good")
        return status_codes.SUCCESS


def _check_records(path: pathlib.Path) -> int:
    try:
        raw = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(f"can't read the records in {path}", context=[str(error)]) from error
    if not isinstance(raw, list):
        raise RecordsError(f"{path} must contain a JSON list of records")
    records, problems = _parse_records(raw)
    problems.extend(find_dangling(build_catalogue(1, records)))
    if problems:
        raise RecordsError(
            f"the records in {path} are invalid",
            context=problems,
            hint="docs/configuration.md describes every field of every kind of record",
        )
    return len(records)


def _parse_records(raw: Iterable[Any]) -> tuple[list[Record], list[str]]:
    records: list[Record] = []
    problems: list[str] = []
    for item in raw:
        parsed = parse_record(item)
        if is_successful(parsed):
            records.append(parsed.unwrap())
        else:
            problems.append(str(parsed.failure()))
    return records, problems

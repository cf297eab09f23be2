"""Tests of the command line, the single-file program and the trial script."""

import contextlib
import io
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

from parameterized import parameterized

from pearshed._internal.cli import status_codes
from pearshed._internal.cli.main import main
from tests.lib import records
from tests.lib.fleet import ROOT, Fleet, SmallSite
from tests.lib.ports import free_port
from tools.build_binary import build

_EXAMPLES = ROOT / "examples"
_SETTINGS = str(_EXAMPLES / "entry-1.yaml")
_RECORDS = str(_EXAMPLES / "records.json")


class CommandLineTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("version", ["version"], status_codes.SUCCESS, "pearshed 0."),
            ("no_command", [], status_codes.USAGE, "commands:"),
            ("check", ["check", "--settings", _SETTINGS, "--records", _RECORDS], 0, "are good"),
            ("nothing", ["check"], status_codes.USAGE, "nothing to check"),
            ("no_file", ["check", "--settings", "/x"], status_codes.BAD_SETTINGS, "can't read"),
            ("not_yaml", ["check", "--settings", __file__], status_codes.BAD_SETTINGS, "not YAML"),
            ("not_records", ["check", "--records", __file__], status_codes.BAD_SETTINGS, "read"),
            ("other_kind", ["side", "--settings", _SETTINGS], status_codes.BAD_SETTINGS, "'side'"),
            ("unreachable", ["dump", "--admin", "127.0.0.1:1"], status_codes.UNREACHABLE, "hint:"),
        ]
    )
    def test_exit_codes(self, _: str, arguments: list[str], status: int, text: str) -> None:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            self.assertEqual(status, main(arguments))
        self.assertIn(text, output.getvalue())

    @parameterized.expand(["entry", "side", "check", "dump", "version", ""])
    def test_help_has_text(self, command: str) -> None:
        output = io.StringIO()
        arguments = [command, "--help"] if command else ["--help"]
        with contextlib.redirect_stdout(output), self.assertRaises(SystemExit) as caught:
            main(arguments)
        self.assertEqual(0, caught.exception.code)
        self.assertGreater(len(output.getvalue()), 60)

    def test_invalid_records_are_named(self) -> None:
        documents = [records.record("tier", "a", rank=-1), records.request_class("c", "none")]
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(documents, file)
            file.flush()
            output = io.StringIO()
            with contextlib.redirect_stderr(output):
                self.assertEqual(status_codes.BAD_RECORDS, main(["check", "--records", file.name]))
        self.assertIn("tier/a: spec.rank", output.getvalue())
        self.assertIn("class/c: tier: no tier 'none'", output.getvalue())

    def test_address_in_use_is_reported_with_a_hint(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1)
            second = fleet.start_side("second", "engine-1", 1, site.listen_ports[0])
            self.assertEqual(status_codes.ERROR, second.wait_exit())
            self.assertIn("can't listen on 127.0.0.1", second.log_text())
            self.assertIn("hint:", second.log_text())
            self.assertNotIn("Traceback", second.log_text())

    def test_json_logs_have_the_request_id(self) -> None:
        with Fleet() as fleet:
            site = SmallSite(fleet, endpoints=1, process={"log_format": "json"})
            fleet.set(site.engines[0], cut_after=0)
            response = fleet.call(site.entry, body={"model": "writer", "messages": []})
            lines = [json.loads(line) for line in site.entry.log_text().splitlines()]
            logged = [line for line in lines if "request_id" in line]
            self.assertEqual(response.headers["X-Request-Id"], logged[-1]["request_id"])


class BinaryTest(unittest.TestCase):
    def test_single_file_program_runs(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            target = pathlib.Path(directory) / "pearshed"
            build(target)
            result = subprocess.run(
                [sys.executable, str(target), "check", "--settings", _SETTINGS],
                env={"PATH": os.environ["PATH"], "SHIV_ROOT": directory},
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertEqual(
            (0, f"{_SETTINGS}: settings are good\n"), (result.returncode, result.stdout)
        )


class TrialTest(unittest.TestCase):
    def test_trial_prints_a_complete_streamed_response(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            copy = self.copy_with_free_ports(pathlib.Path(directory))
            result = subprocess.run(
                ["sh", str(copy / "trial.sh")],
                env={**os.environ, "PYTHON": sys.executable, "PYTHONPATH": f"{ROOT}:{ROOT}/src"},
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertIn("status 200, request id req-", result.stdout)
        self.assertIn("data: [DONE]", result.stdout)

    def copy_with_free_ports(self, directory: pathlib.Path) -> pathlib.Path:
        """Copy the examples and replace each port by a free one, so that runs don't collide."""
        target = directory / "examples"
        target.mkdir()
        ports = ("9000", "9101", "9201", "9202", "8080", "7001", "7002", "6001", "6002")
        free = {port: str(free_port()) for port in ports}
        for source in _EXAMPLES.iterdir():
            if source.is_file():
                pattern = "|".join(rf"(?<!\w){port}(?!\w)" for port in ports)
                text = re.sub(pattern, lambda match: free[match[0]], source.read_text())
                (target / source.name).write_text(text)
        return target


if __name__ == "__main__":
    unittest.main()

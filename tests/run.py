"""Runs the tests: ``python -m tests.run [PATTERN ...]``.

Tests listed in KNOWN-RED.txt are run and may fail; all others must pass. The result of each listed
test is printed, so that the entry of one that passes can be removed.
"""

import pathlib
import sys
import unittest
from collections.abc import Iterator, Sequence

ROOT = pathlib.Path(__file__).resolve().parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Read the ids of the tests that may fail, from the lines that start with ``test: ``.

    What was seen may follow the id on its line, after a semicolon.
    """
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    listed = (line.removeprefix("test: ") for line in lines if line.startswith("test: "))
    return {line.partition(";")[0].strip() for line in listed}


def all_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Iterate over the tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from all_tests(item)
        else:
            yield item


def main(patterns: Sequence[str]) -> int:
    """Run the tests whose id contains one of the patterns, or all tests.

    :returns: exit status; 0 if tests ran and only those listed in KNOWN-RED.txt failed.
    """
    loader = unittest.defaultTestLoader
    suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    selected = unittest.TestSuite(
        test
        for test in all_tests(suite)
        if not patterns or any(pattern in test.id() for pattern in patterns)
    )
    names = {test.id() for test in all_tests(selected)}
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(selected)
    failed = {test.id() for test, _ in (*result.failures, *result.errors)}
    listed = known_red()
    for name in sorted(listed & names):
        print(f"KNOWN RED {name}: {'failed' if name in failed else 'passed this time'}")
    unlisted = failed - listed
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"{passed} passed, {len(unlisted)} failed, {skipped} skipped")
    return 1 if unlisted or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

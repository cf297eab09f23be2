"""Runs the tests: ``python -m tests.run [PATTERN ...]``.

Tests listed in KNOWN-RED.txt may fail; they are run and printed. Everything else must pass, and
a listed test that passes is printed too, so that its entry can go.
"""

import pathlib
import sys
import unittest
from collections.abc import Iterator, Sequence

ROOT = pathlib.Path(__file__).resolve().parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> set[str]:
    """Read the ids of the tests that may fail: the lines that begin with ``test: ``."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")}


def all_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """List the tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from all_tests(item)
        else:
            yield item


def main(patterns: Sequence[str]) -> int:
    """Run the tests whose id contains one of the patterns, or all.

    :returns: 0 when nothing failed but what is listed.
    """
    loader = unittest.defaultTestLoader
    suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    chosen = unittest.TestSuite(
        test
        for test in all_tests(suite)
        if not patterns or any(pattern in test.id() for pattern in patterns)
    )
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(chosen)
    failed = {test.id() for test, _ in (*result.failures, *result.errors)}
    listed = known_red()
    for name in sorted(listed):
        print(f"KNOWN RED {name}: {'failed' if name in failed else 'passed this time'}")
    unlisted = failed - listed
    skipped = len(result.skipped)
    passed = result.testsRun - len(failed) - skipped
    print(f"{passed} passed, {len(unlisted)} failed, {skipped} skipped")
    return 1 if unlisted or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

"""What was written to a store that came back from a copy, and what the copy brings back."""

import unittest

from parameterized import parameterized

from pearshed._internal.decisions.restored_items import (
    EXPIRY_MARGIN_S,
    is_lease_over,
    is_written_since,
)
from pearshed._internal.models.revisions import compose, count_of, era_of


class WrittenSinceTest(unittest.TestCase):
    """Guards against items that stay ended although they were written again, and the reverse."""

    @parameterized.expand(
        [
            # name, end as (era, count), item, end of the copy, whether it was written afterwards
            ("before_the_end", (1, 40), (1, 39), (0, 0), False),
            ("the_end_itself", (1, 40), (1, 40), (0, 0), False),
            ("after_the_end", (1, 40), (1, 41), (0, 0), True),
            ("after_the_end_in_a_restored_store", (2, 40), (2, 41), (2, 50), True),
            ("of_an_earlier_era", (2, 40), (1, 90), (0, 0), False),
            ("in_the_copy", (1, 40), (2, 30), (2, 35), False),
            ("written_since_the_copy", (1, 40), (2, 36), (2, 35), True),
            ("copy_not_known", (1, 40), (2, 36), (0, 0), False),
            ("copy_of_an_earlier_era", (2, 40), (3, 36), (2, 35), False),
            # The copy may be of two eras before, whose counts went further.
            ("beyond_the_end_in_the_copy", (1, 40), (2, 41), (2, 50), False),
        ]
    )
    def test_is_written_since(
        self,
        _: str,
        end: tuple[int, int],
        item: tuple[int, int],
        copied_until: tuple[int, int],
        expected: bool,
    ) -> None:
        actual = is_written_since(compose(*item), compose(*end), compose(*copied_until))
        self.assertEqual(expected, actual)

    def test_a_revision_names_its_era_and_count(self) -> None:
        revision = compose(3, 17)
        self.assertEqual((3, 17), (era_of(revision), count_of(revision)))
        self.assertLess(compose(2, 2**40 - 1), revision)


class LeaseTest(unittest.TestCase):
    @parameterized.expand(
        [
            # name, confirmed after, whether the endpoint must be alive
            ("within_the_lease", 3.0, False),
            ("may_have_expired_just_now", 3.6, False),
            ("beyond_lease_and_margin", 3.7 + EXPIRY_MARGIN_S, True),
            ("confirmed_before_it_was_listed", -1.0, False),
        ]
    )
    def test_is_lease_over(self, _: str, after_s: float, expected: bool) -> None:
        self.assertEqual(expected, is_lease_over(100.0, 100.0 + after_s, 3.6))

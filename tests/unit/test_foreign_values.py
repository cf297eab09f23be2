"""Checks of values, and splitting of JSON texts, of documents that others write."""

import json
import unittest
from typing import Any

from parameterized import parameterized

from pearshed._internal.utils.foreign_values import (
    MAX_INTEGER,
    describe,
    is_encodable,
    parse_count,
    shorten,
    to_integer,
    to_number,
)
from pearshed._internal.utils.json_split import split_elements, split_members


class ForeignValueTest(unittest.TestCase):
    @parameterized.expand(
        [
            ("whole", 5, 5),
            ("fraction", 1.9, 1),
            ("negative", -3, -3),
            ("largest", MAX_INTEGER, MAX_INTEGER),
            ("too_large", MAX_INTEGER + 1, None),
            ("many_digits", 10**400, None),
            ("infinite", float("inf"), None),
            ("not_a_number", float("nan"), None),
            ("flag", True, None),
            ("text", "5", None),
            ("nothing", None, None),
        ]
    )
    def test_numbers(self, _: str, value: Any, expected: int | None) -> None:
        if expected is None:
            for convert in (to_integer, to_number):
                self.assertRaises(ValueError, convert, value)
        else:
            self.assertEqual(expected, to_integer(value))

    @parameterized.expand(
        [
            ("digits", b"042", 42),
            ("text", "7", 7),
            ("sign", b"-1", None),
            ("superscript", "\u00b2", None),
            ("arabic", "\u0663", None),
            ("many", b"9" * 5000, None),
            ("empty", b"", None),
        ]
    )
    def test_counts(self, _: str, text: bytes | str, expected: int | None) -> None:
        self.assertEqual(expected, parse_count(text))

    def test_descriptions_are_short_whatever_the_value(self) -> None:
        deep: list[Any] = []
        for _ in range(5000):
            deep = [deep]
        for value in (deep, {"a": deep}, "x" * 10_000, 10**4000, b"\xff" * 10_000, "\ud800"):
            self.assertLess(len(describe(value)), 200)
        self.assertEqual("name", shorten("name"))
        self.assertTrue(is_encodable(shorten("\ud800" * 3)))


class JsonSplitTest(unittest.TestCase):
    """Guards against one unreadable document that hides the others of its page."""

    @parameterized.expand(
        [
            ("empty", b"[]", []),
            ("numbers", b"[1, 2 ,3]", [b"1", b"2", b"3"]),
            ("nested", b'[{"a": [1, {"b": 2}]}, []]', [b'{"a": [1, {"b": 2}]}', b"[]"]),
            ("structure_in_text", b'["a,]}\\"[{", "\\\\"]', [b'"a,]}\\"[{"', b'"\\\\"']),
            ("deep", b"[" + b"[" * 5000 + b"]" * 5000 + b",1]", [b"[" * 5000 + b"]" * 5000, b"1"]),
        ]
    )
    def test_elements(self, _: str, text: bytes, elements: list[bytes]) -> None:
        self.assertEqual(elements, split_elements(text))

    def test_members(self) -> None:
        document = {"revision": 3, "records": [{"a": "b:c"}, 1], "x": "y"}
        members = dict(split_members(json.dumps(document).encode()))
        self.assertEqual(document, {key.decode(): json.loads(members[key]) for key in members})

    @parameterized.expand([("number", b"7"), ("nothing", b""), ("cut", b"[1, 2"), ("text", b'"a"')])
    def test_what_is_neither_list_nor_object(self, _: str, text: bytes) -> None:
        self.assertRaises(ValueError, split_elements, text)

"""Tests of reading JSON of which a part can't be read."""

import json
import math
import unittest

from nose2.tools import params

from dogwoodtack.jsontext import MAX_DEPTH, parse_json, parse_json_leniently

DEEP = b"[" * 100_000 + b"]" * 100_000
DEEP_OBJECT = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
LONG_NUMBER = b"9" * 5000


def depth_of(value):
    """Return how many lists and objects are nested, of the first ones in each."""
    depth = 0
    while isinstance(value, (dict, list)) and value:
        value = next(iter(value.values() if isinstance(value, dict) else value))
        depth += 1
    return depth


class ParseTest(unittest.TestCase):
    @params(
        (LONG_NUMBER, [math.nan]),
        (b"-" + LONG_NUMBER + b", 1", [math.nan, 1]),
        (b'"\xff\xfe"', ["\ufffd\ufffd"]),
        (b'"[{\\"9", ' + LONG_NUMBER, ['[{"9', math.nan]),
        (b'{"a": ' + LONG_NUMBER + b', "b": [3]}', [{"a": math.nan, "b": [3]}]),
        (
            b'{"a": "' + LONG_NUMBER + b'", "b": "\xff"}',
            [{"a": LONG_NUMBER.decode(), "b": "\ufffd"}],
        ),
    )
    def test_other_parts_are_read(self, raw, expected):
        """One such entry made the store's whole list unreadable."""
        data = b'{"items": [{"name": "a"}, [' + raw + b'], {"name": "b"}]}'
        for text in (data, bytearray(data)):
            first, odd, last = parse_json_leniently(text)["items"]
            self.assertEqual((first, last), ({"name": "a"}, {"name": "b"}))
            # Not-a-number differs from itself.
            self.assertEqual(repr(odd), repr(expected))

    @params(DEEP, DEEP_OBJECT, b"[" * 1000 + b"]" * 1000, b"[1, [" + DEEP + b"]]")
    def test_what_is_nested_deeply_is_left_out(self, raw):
        data = b'{"items": [{"name": "a"}, ' + raw + b', {"name": "b"}], "more": [1]}'
        found = parse_json_leniently(data)
        self.assertEqual(found["items"][0], {"name": "a"})
        self.assertEqual(found["items"][2], {"name": "b"})
        self.assertEqual(found["more"], [1])
        self.assertLess(depth_of(found["items"][1]), MAX_DEPTH)

    @params(1, MAX_DEPTH, 3 * MAX_DEPTH)
    def test_readable_text_is_read_whole(self, depth):
        data = b"[" * depth + b"1" + b"]" * depth
        self.assertEqual(parse_json_leniently(data), json.loads(data))

    @params(
        b"", b"[", b"[1]]", b'{"a": ', b"[" * 100_000, b'"', b"[}", LONG_NUMBER + b"["
    )
    def test_text_that_is_no_json(self, data):
        for parse in (parse_json, parse_json_leniently):
            with self.assertRaises(ValueError):
                parse(data)


if __name__ == "__main__":
    unittest.main()

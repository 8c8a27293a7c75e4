"""Services are validated field by field; routes are matched by whole segments."""

import unittest

from nose2.tools import params

from dogwoodtack.catalog import Catalog, parse_service
from dogwoodtack.errors import ErrorKind, RequestError

INSTANCE = {"name": "jt-1", "address": "127.0.0.1:9000", "slots": 2}


class ParseTest(unittest.TestCase):
    @params(
        ("jobtrack", [], "must be an object"),
        ("job track", {}, "letters, digits"),
        ("jobtrack", {"flor": 1}, "unknown field flor"),
        (
            "jobtrack",
            {"instances": [INSTANCE], "floor": 2},
            "floor must be from 0 to 1",
        ),
        ("jobtrack", {"instances": [INSTANCE, INSTANCE]}, "more than once"),
        ("jobtrack", {"instances": [{**INSTANCE, "slots": 0}]}, "slots must be"),
        ("jobtrack", {"instances": [{**INSTANCE, "address": "x"}]}, "address"),
        (
            "jobtrack",
            {"instances": [{**INSTANCE, "address": "no-such-host.example:80"}]},
            "address",
        ),
        ("jobtrack", {"routes": [{"host": "x", "prefix": "a"}]}, "start with /"),
        ("jobtrack", {"caution": 2}, "caution must be from"),
        ("jobtrack", {"caution": float("nan")}, "caution must be from"),
        ("jobtrack", {"shares": {"a": 0}}, "above 0"),
        ("jobtrack", {"keyless": "maybe"}, "one of run, refuse"),
    )
    def test_invalid_service_is_rejected(self, name, value, expected):
        with self.assertRaises(RequestError) as caught:
            parse_service(name, value)
        self.assertIs(caught.exception.kind, ErrorKind.INVALID_INTENT)
        self.assertIn(expected, caught.exception.detail)


class CatalogTest(unittest.TestCase):
    def setUp(self):
        self.catalog = Catalog()
        for name, prefix in (("jobtrack", "/"), ("certdocs", "/certs")):
            value = {"routes": [{"host": "Hanbit.example", "prefix": prefix}]}
            self.catalog.put(name, 1, value)

    def matched_service(self, host, path):
        match = self.catalog.match(host, path)
        return match.service.name if match else None

    @params(
        ("hanbit.example", "/racks", "jobtrack"),
        ("HANBIT.example", "/certs", "certdocs"),
        ("hanbit.example", "/certs/7?x=1", "certdocs"),
        ("hanbit.example", "/certs?x=1", "certdocs"),
        ("hanbit.example", "/certsheet", "jobtrack"),
        ("other.example", "/racks", None),
    )
    def test_longest_prefix_by_segments(self, host, path, expected):
        self.assertEqual(self.matched_service(host, path), expected)

    def test_removed_service_loses_its_routes(self):
        self.catalog.put("certdocs", 2, None)
        self.assertEqual(self.matched_service("hanbit.example", "/certs"), "jobtrack")

    def test_invalid_version_leaves_the_previous_one_in_force(self):
        self.catalog.put("certdocs", 2, {"routes": "none"})
        self.assertEqual(self.matched_service("hanbit.example", "/certs"), "certdocs")
        self.assertEqual(self.catalog.version("certdocs"), 1)

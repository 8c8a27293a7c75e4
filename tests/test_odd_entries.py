"""Entries of another writer among those of the instances, at a real entry host."""

import copy
import re

from nose2.tools import params

from tests.test_entry_host import EntryHostTest

MARKER = "(odd)"
FIELDS = (
    ("spec",),
    ("spec", "address"),
    ("spec", "born"),
    ("spec", "info"),
    ("spec", "info", "service"),
    ("spec", "info", "slots"),
    ("spec", "info", "version"),
    ("spec", "info", "zone"),
    ("status",),
    ("status", "sequence"),
    ("status", "state"),
    ("status", "warmupLeftS"),
)
ADDRESS = ("spec", "address")
DEEP = b"[" * 100_000 + b"]" * 100_000
REQUESTS = 12


class OddEntriesTest(EntryHostTest):
    def put_odd_entries(self, raw, fields):
        """Write one entry for each field, with the odd value there."""
        self.store.raw_values[MARKER] = raw
        for number, path in enumerate(fields):
            entry = copy.deepcopy(self.backends[0].directory_entry("jobs"))
            owner = entry
            for name in path[:-1]:
                owner = owner[name]
            owner[path[-1]] = MARKER
            self.store.put("servers", f"odd-{number}", **entry)

    def assert_followed(self):
        """Check that the host serves, and still follows the list of instances."""
        for number in range(REQUESTS):
            method, path = ("POST", "/book/") if number % 2 else ("GET", "/look/")
            answer, _ = self.call(method, f"{path}{number}", f"{number:016x}")
            self.assertEqual(answer.status, 200)
        entry = self.backends[0].directory_entry("jobs", "draining")
        self.store.put("servers", "i-0", **entry)
        self.wait_until(
            lambda: "instance=i-0 state=leaving" in self.log.read_text(),
            "the host learns that an instance leaves",
        )
        self.assertEqual(self.call("GET", "/look/last")[0].status, 200)
        self.assertIsNone(self.process.poll())
        log = self.log.read_text()
        self.assertEqual(re.findall(r"instance=odd-\d+ state=ready", log), [])
        for event in ("callback-failed", "request-failed", "store-lost"):
            self.assertNotIn(f"event={event}", log)

    @params(
        ("nested-list", DEEP),
        ("nested-object", b'{"a":' * 100_000 + b"1" + b"}" * 100_000),
        ("nested-a-little-less", b"[" * 900 + b"]" * 900),
        ("5000-digits", b"9" * 5000),
        ("400-digits", b"9" * 400),
        ("infinite", b"1e999"),
        ("not-a-number", b"NaN"),
        ("no-utf-8", b'"\xff\xfe\x80"'),
        ("lone-surrogate", b'"\\ud800"'),
        ("control-characters", b'"a\\r\\nb\\u0000"'),
        ("a-list", b"[1, 2]"),
        ("an-object", b'{"ready": "jobs"}'),
        ("boolean", b"true"),
        ("long-text", b'"' + b"x" * 300_000 + b'"'),
    )
    def test_odd_field(self, _name, raw):
        """The list could not be read any more, or no request could be placed."""
        self.put_odd_entries(raw, FIELDS[::2])
        self.serve()
        self.put_odd_entries(raw, FIELDS)
        self.assert_followed()

    @params(
        "127.0.0.1:70000",
        "127.0.0.1:0",
        "127.0.0.1:-80",
        "127.0.0.1:80.5",
        "127.0.0.1",
        ":80",
        "127.0.0.\ufffd:80",
        "no-such-host.example:80",
        "localhost:80",
        "0.0.0.0:80",
        "[::1]:80",
        "",
    )
    def test_odd_address(self, address):
        """Connecting to it raised an exception, or looked up a name."""
        for number in range(2):
            entry = self.backends[0].directory_entry("jobs")
            entry["spec"]["address"] = address
            self.store.put("servers", f"odd-{number}", **entry)
            if number == 0:
                self.serve()
        self.assert_followed()

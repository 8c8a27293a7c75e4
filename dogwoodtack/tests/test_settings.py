"""Errors in settings name the file, section, key and allowed values."""

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from dogwoodtack.errors import SettingsError
from dogwoodtack.misc import Address
from dogwoodtack.settings import load_settings

GOOD = """
[node]
name = entry-1
zone = zone-a
caller_address = 127.0.0.1:8080
peer_address = 127.0.0.1:8081
operator_address = 127.0.0.1:8082
[peers]
access_key = long-enough
seeds = 127.0.0.1:9001, 127.0.0.1:9002
[operators]
access_key = long-enough
[store]
address = 127.0.0.1:7000
"""


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "entry.ini"

    def load(self, text):
        self.path.write_text(text)
        return load_settings(str(self.path))

    def test_values_and_origins(self):
        settings = self.load(GOOD)
        self.assertEqual(settings.peers_seeds[1], Address("127.0.0.1", 9002))
        self.assertEqual(settings.origins["node_name"], str(self.path))
        self.assertEqual(settings.origins["store_timeout_s"], "default")
        self.assertEqual(settings.store_timeout_s, 2.0)

    @params(
        ("name = entry-1", "", "[node] name: missing"),
        ("name = entry-1", "name =", "[node] name: value"),
        ("127.0.0.1:7000", "127.0.0.1", "[store] address: value '127.0.0.1'"),
        ("127.0.0.1:7000", "127.0.0.1:99999", "host:port"),
        ("[store]", "[store]\ntimeout_s = 0", "allowed: 0.05 to 60"),
        ("[store]", "[store]\ntimeout_s = nan", "[store] timeout_s: value 'nan'"),
        ("[store]", "[store]\ntimout_s = 1", "[store] timout_s: unknown setting"),
        ("[store]", "[stores]", "[stores] address: unknown setting"),
        ("[store]", "store", "cannot be read"),
    )
    def test_error_names_the_invalid_setting(self, old, new, expected):
        with self.assertRaises(SettingsError) as caught:
            self.load(GOOD.replace(old, new, 1))
        text = str(caught.exception)
        self.assertIn(str(self.path), text)
        self.assertIn(expected, text)

    def test_error_hides_the_access_key(self):
        with self.assertRaises(SettingsError) as caught:
            self.load(GOOD.replace("long-enough", "short", 1))
        self.assertNotIn("short'", str(caught.exception))
        self.assertIn("***", str(caught.exception))

    def test_missing_file(self):
        with self.assertRaises(SettingsError):
            load_settings(str(self.path))

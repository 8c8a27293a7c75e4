"""The committed reference page matches the one generated from the code."""

import unittest

from lab.reference import PAGE, reference_text


class ReferenceTest(unittest.TestCase):
    def test_page_is_up_to_date(self):
        self.assertEqual(PAGE.read_text(), reference_text())

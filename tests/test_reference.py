"""The reference page says what the code says."""

import unittest

from lab.reference import PAGE, reference_text


class ReferenceTest(unittest.TestCase):
    def test_page_is_up_to_date(self):
        self.assertEqual(PAGE.read_text(), reference_text())

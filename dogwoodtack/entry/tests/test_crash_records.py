"""What the store remembers of requests that are held back."""

import unittest
from types import SimpleNamespace

from nose2.tools import params

from dogwoodtack.entry.crash_records import MAX_WRITES_PER_CHECK, CrashRecords
from dogwoodtack.errors import StoreError
from dogwoodtack.quarantine import Quarantine
from lab.virtual import VirtualLoop


class RecordStore:
    """The records of requests, of which a test lets calls fail."""

    def __init__(self):
        self.records = {}
        self.writes = 0
        self.failures = 0

    def _is_failing(self):
        self.failures -= 1
        return self.failures >= 0

    def read_crash_records(self, on_done):
        if self._is_failing():
            on_done(None, StoreError("status 503"))
        else:
            on_done(list(self.records.values()), None)

    def write_crash_record(self, name, record, on_done):
        self.writes += 1
        if self._is_failing():
            on_done(StoreError("status 503"))
        else:
            self.records[name] = record
            on_done(None)


class CrashRecordsTest(unittest.TestCase):
    def setUp(self):
        self.loop = VirtualLoop()
        self.store = RecordStore()
        self.quarantine, self.records = self.start_host()

    def start_host(self, is_gateway=True):
        quarantine = Quarantine()
        fleet = SimpleNamespace(is_zone_gateway=lambda: is_gateway)
        records = CrashRecords(self.loop, self.store, fleet, quarantine)
        records.begin()
        self.loop.run_for(0.1)
        return quarantine, records

    def crash(self, count, digest="d"):
        for number in range(count):
            self.quarantine.on_crash(digest, f"i-{number}/0", self.loop.clock.now)
        self.loop.run_for(1.5)

    def is_held_back_by_new_host(self):
        quarantine, _ = self.start_host(is_gateway=False)
        return quarantine.is_quarantined("d", self.loop.clock.now)

    @params((2, False), (3, True))
    def test_new_host_knows_what_is_held_back(self, crashes, is_held_back):
        self.crash(crashes)
        self.assertEqual(self.is_held_back_by_new_host(), is_held_back)

    def test_ages_go_on_in_the_store(self):
        self.crash(3)
        self.loop.run_for(1800.0)
        left_s = self.quarantine.time_left_s("d", self.loop.clock.now)
        quarantine, _ = self.start_host(is_gateway=False)
        found_s = quarantine.time_left_s("d", self.loop.clock.now)
        self.assertAlmostEqual(found_s, left_s, delta=0.2)

    def test_unchanged_records_are_written_once(self):
        self.crash(3)
        self.loop.run_for(60.0)
        self.assertEqual(self.store.writes, 1)

    def test_success_reaches_the_store(self):
        self.crash(3)
        self.quarantine.on_success("d", self.loop.clock.now)
        self.loop.run_for(1.5)
        self.assertFalse(self.is_held_back_by_new_host())

    @params(False, True)
    def test_store_that_fails_is_asked_again(self, has_succeeded):
        self.crash(3)
        self.store.failures = 3
        self.quarantine.on_crash("d", "i-9/0", self.loop.clock.now)
        if has_succeeded:
            self.quarantine.on_success("d", self.loop.clock.now)
        self.loop.run_for(6.0)
        self.assertEqual(self.is_held_back_by_new_host(), not has_succeeded)

    def test_store_that_fails_at_the_start(self):
        self.crash(3)
        self.store.failures = 2
        quarantine, _ = self.start_host(is_gateway=False)
        self.loop.run_for(3.0)
        self.assertTrue(quarantine.is_quarantined("d", self.loop.clock.now))

    def test_store_restored_from_an_older_copy(self):
        self.crash(3)
        self.store.records.clear()
        self.records.on_store_restored()
        self.loop.run_for(1.5)
        self.assertTrue(self.is_held_back_by_new_host())

    @params(
        (None,),
        ({},),
        ({"report": ["d"], "written": 1.0},),
        ({"report": ["d", 0, [["i-1/0", "soon", 0]]], "written": 1.0},),
    )
    def test_unusable_record_hides_no_other(self, record):
        self.crash(3)
        self.store.records["bad"] = record
        self.assertTrue(self.is_held_back_by_new_host())

    def test_writes_are_spread(self):
        for number in range(3 * MAX_WRITES_PER_CHECK):
            for crash in range(3):
                self.quarantine.on_crash(
                    f"d-{number}", f"i-{crash}/0", self.loop.clock.now
                )
        self.loop.run_for(1.0)
        self.assertEqual(self.store.writes, MAX_WRITES_PER_CHECK)
        self.loop.run_for(3.0)
        self.assertEqual(len(self.store.records), 3 * MAX_WRITES_PER_CHECK)


if __name__ == "__main__":
    unittest.main()

"""An instance writes the beginning of a refusal before a response."""

import itertools

from nose2.tools import params

from tests.scripted_instance import (
    ScriptedInstance,
    answer,
    message,
    wait_a_moment,
)
from tests.test_entry_host import EntryHostTest, configuration

REJECTION_STATUSES = (408, 421, 429, 503)
REQUESTS = 12


class PartialRefusalTest(EntryHostTest):
    instances = 0

    def register(self, name, part):
        def respond(instance, sock, request):
            instance.runs[request.id] += 1
            if not request.is_first:
                instance.written += 1
                sock.sendall(part)
                wait_a_moment()
            sock.sendall(answer(request))
            return True

        instance = ScriptedInstance(name, respond)
        instance.written = 0
        self.addCleanup(instance.close)
        self.store.put("servers", name, **instance.directory_entry("jobs"))
        return instance

    @params(
        b"HTTP/1.1 503 Busy\r\nX-Dogwoodtack-Not-Executed:",
        b"HTTP/1.1 503 Busy\r\nX-Dogwoodtack-Not-Executed: 1",
        b"HTTP/1.1 429 Busy\r\nX-Dogwoodtack-Not-Executed: 1\r\nX-Reason: fu",
        b"HTTP/1.1 429 Busy\r\nX-Dogwoodtack-Not-Executed: 1\r\n ",
        b"HTTP/1.1 421 ",
        b"HTTP/1.1 421 Misdirected Requ",
        b"HTTP/1.1 200 OK\r\nX-Dogwoodtack-Not-Executed: 1\r\nX-Reason:",
    )
    def test_request_after_part_of_a_refusal_runs_once(self, part):
        """A request ran twice, or its caller was told that it had not run."""
        instances = [self.register(f"i-{n}", part) for n in range(2)]
        self.store.put("config", "main", spec=configuration(7))
        self.wait_until(self.is_ready, "the host is ready")
        numbers = itertools.count(1)
        wrong = []
        for _ in range(REQUESTS):
            request_id = f"{next(numbers):016x}"
            found, _ = self.call("POST", "/book/1", request_id, b"x")
            runs = sum(one.runs[request_id.encode()] for one in instances)
            if runs > 1 or (runs and found.status in REJECTION_STATUSES):
                wrong.append((request_id, found.status, runs))
        self.assertGreater(sum(one.written for one in instances), 0)
        self.assertEqual(wrong, [], self.log.read_text()[-3000:])


class RepeatedIdTest(EntryHostTest):
    instances = 0

    def test_refusal_is_not_taken_for_a_later_request_with_its_id(self):
        """Callers gave two bookings one id, and one of them ran twice."""
        request_id = "00000000000000ab"
        fields = {
            b"X-Dogwoodtack-Not-Executed": b"1",
            b"X-Dogwoodtack-Request-Id": request_id.encode(),
        }
        refusal = message(503, fields)

        def respond(instance, sock, request):
            if request.is_first and request.target == b"/book/refused":
                sock.sendall(refusal)
                return True
            instance.runs[request.target] += 1
            if not request.is_first:
                sock.sendall(refusal)
                wait_a_moment()
            sock.sendall(answer(request))
            return True

        instances = [ScriptedInstance(f"i-{n}", respond) for n in range(2)]
        for one in instances:
            self.addCleanup(one.close)
            self.store.put("servers", one.name, **one.directory_entry("jobs"))
        self.store.put("config", "main", spec=configuration(7))
        self.wait_until(self.is_ready, "the host is ready")
        self.call("POST", "/book/refused", request_id, b"x")
        for number in range(4):
            target = f"/book/{number}"
            found, _ = self.call("POST", target, request_id, b"x")
            runs = sum(one.runs[target.encode()] for one in instances)
            self.assertEqual((found.status, runs), (200, 1), self.log.read_text())

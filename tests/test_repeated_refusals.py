"""An instance writes an earlier response once more on a kept connection."""

import itertools

from nose2.tools import params

from tests.scripted_instance import ScriptedInstance, answer, message, wait_a_moment
from tests.test_entry_host import EntryHostTest, configuration

# These statuses promise that the request has not run.
REJECTION_STATUSES = (408, 421, 429, 503)
REQUESTS = 8
EARLIER_ID = b"00000000000000ee"
# The request id in the earlier response, its framing, and its body.
FORMS = tuple(
    (earlier_id, framing, body)
    for earlier_id in (b"", EARLIER_ID)
    for framing, body in (
        ("length", b""),
        ("length", b"earlier"),
        ("chunked", b"earlier"),
        ("close", b"earlier"),
    )
)


class RepeatedRefusalTest(EntryHostTest):
    instances = 0

    def register(self, name, status, is_not_executed, form):
        earlier_id, framing, body = form
        fields = {b"X-Dogwoodtack-Not-Executed": b"1"} if is_not_executed else {}
        if earlier_id:
            fields[b"X-Dogwoodtack-Request-Id"] = earlier_id
        if status == 200:
            fields[b"X-Dogwoodtack-Response-Signature"] = b"earlier"
        earlier = message(status, fields, body, framing)

        def respond(instance, sock, request):
            instance.runs[request.id] += 1
            if not request.is_first:
                sock.sendall(earlier)
                if framing == "close":
                    return False
                wait_a_moment()
            sock.sendall(answer(request))
            return True

        instance = ScriptedInstance(name, respond)
        self.addCleanup(instance.close)
        self.store.put("servers", name, **instance.directory_entry("jobs"))
        return instance

    @params(
        # status of the earlier response, and whether it says that it was not executed
        (503, True),
        (429, True),
        (421, False),
        (421, True),
        (408, True),
        (400, True),
        (503, False),
        (404, False),
        (500, False),
        (200, False),
        (200, True),
    )
    def test_repeated_response_is_not_taken_for_another_request(
        self, status, is_not_executed
    ):
        """Callers were told that a request had not run, or it ran a second time."""
        self.store.put("config", "main", spec=configuration(7))
        numbers = itertools.count(1)
        earlier_names = []
        for form_number, form in enumerate(FORMS):
            names = [f"i-{form_number}-{n}" for n in range(2)]
            pair = [
                self.register(name, status, is_not_executed, form) for name in names
            ]
            for name in earlier_names:
                self.store.delete("servers", name)
            earlier_names = names
            self.wait_until(self.is_ready, "the host is ready")
            self.wait_until(
                lambda: f"instance={names[1]} state=ready" in self.log.read_text(),
                "the instances are known",
            )
            for _ in range(REQUESTS):
                request_id = f"{next(numbers):016x}"
                found, body = self.call("POST", "/book/1", request_id, b"x")
                runs = sum(one.runs[request_id.encode()] for one in pair)
                with self.subTest(form=form, status=found.status, runs=runs):
                    self.assertLessEqual(runs, 1)
                    if found.status in REJECTION_STATUSES:
                        self.assertEqual(runs, 0)
                    elif found.status == 200:
                        self.assertEqual(body, b"body of " + request_id.encode())
                    else:
                        # Its own response was lost with the connection.
                        self.assertIn(found.status, (502, 504))

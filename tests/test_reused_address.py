"""Two entries name one address, as an instance has started again under a new id."""

import time

from nose2.tools import params

from tests.scripted_instance import ScriptedInstance, answer, message, wait_a_moment
from tests.test_entry_host import EntryHostTest, configuration

REQUESTS = 8
# Entries at the address of a running instance; a GET request has two attempts.
ENDED_ENTRIES = {"POST": 3, "GET": 1}
REPEAT_DELAY_S = 0.003


class ReusedAddressTest(EntryHostTest):
    instances = 0

    def start_instance(self, name, zone, status, is_not_executed, repeat):
        """Start an instance that writes what it says to other ids' requests twice."""
        left_over = {}

        def respond(instance, sock, request):
            data = left_over.pop(sock, b"")
            if data:
                sock.sendall(data)
                wait_a_moment()
            if request.expected == name.encode():
                instance.runs[request.id] += 1
                sock.sendall(answer(request))
                return True
            fields = {b"X-Dogwoodtack-Request-Id": request.id}
            if is_not_executed:
                fields[b"X-Dogwoodtack-Not-Executed"] = b"1"
            response = message(status, fields)
            sock.sendall(response)
            if repeat == "soon":
                time.sleep(REPEAT_DELAY_S)
                sock.sendall(response)
            else:
                left_over[sock] = response
            return True

        instance = ScriptedInstance(name, respond)
        self.addCleanup(instance.close)
        self.register(name, instance, zone)
        return instance

    def register(self, name, instance, zone):
        entry = instance.directory_entry("jobs", zone)
        self.store.put("servers", name, **entry)
        self.wait_until(
            lambda: f"instance={name} state=ready" in self.log.read_text(),
            f"{name} is known",
        )

    def remove(self, names):
        for name in names:
            self.store.delete("servers", name)
        self.wait_until(
            lambda: all(
                f"instance={name} state=gone" in self.log.read_text() for name in names
            ),
            f"{names} are gone",
        )

    @params(
        # method, status of the repeated response, whether it says not executed, when
        ("POST", 421, False, "soon"),
        ("POST", 421, False, "with the next request"),
        ("POST", 429, True, "with the next request"),
        ("POST", 503, True, "soon"),
        ("POST", 503, True, "with the next request"),
        ("GET", 500, False, "with the next request"),
    )
    def test_repeated_response_to_an_attempt_is_not_taken_for_the_next_ones(
        self, method, status, is_not_executed, repeat
    ):
        """Both attempts shared a connection, and a booking ran at two instances."""
        self.store.put("config", "main", spec=configuration(7))
        self.wait_until(self.is_ready, "the host is ready")
        prefix, body = ("/book/", b"x") if method == "POST" else ("/look/", None)
        form = status, is_not_executed, repeat
        instances, names, statuses = [], [], []
        for number in range(REQUESTS):
            running = self.start_instance(f"i-{number}", "zone-a", *form)
            other = self.start_instance(f"other-{number}", "zone-b", *form)
            ended = [f"ended-{number}-{n}" for n in range(ENDED_ENTRIES[method])]
            for name in ended:
                self.register(name, running, "zone-a")
            self.remove(names)
            names = [running.name, other.name, *ended]
            instances += [running, other]
            response, _ = self.call(method, prefix, f"{number:016x}", body)
            statuses.append(response.status)
        wait_a_moment()
        runs = [
            sum(one.runs[f"{number:016x}".encode()] for one in instances)
            for number in range(REQUESTS)
        ]
        found = list(zip(statuses, runs, strict=True))
        wrong = [one for one in found if one not in ((200, 1), (503, 0))]
        self.assertEqual(wrong, [], self.log.read_text()[-6000:])
        self.assertIn((200, 1), found)

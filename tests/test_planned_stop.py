"""A planned stop cuts no request that was sent to an instance."""

import json
import signal
import socket
import threading
import time
import unittest
from collections import Counter
from typing import NamedTuple

from nose2.tools import params

from soak.site import Site
from tests.scripted_instance import ScriptedInstance, answer, message
from tests.test_entry_host import HOST, EntryHostTest, configuration

ROUTE_TIMEOUT_S = 4.0
GRACE_S = 6.0
INTERVAL_S = 0.12
LAST_REQUEST_S = 4.5
REJECTION_STATUSES = (408, 421, 429, 503)
# A host answers 502 instead of 504 if another attempt was refused before.
UNKNOWN_STATUSES = (502, 504)


class Load(NamedTuple):
    """Requests from the stop on, and how instances treat them.

    Attributes:
        work_s: seconds that an instance runs a request.
        refused_s: seconds after which an instance rejects each request that it gets
            while it has room; 0 if it rejects none.
        body_s: seconds from a request's head to its last byte.
        is_kept: whether requests come on connections that were opened before.
        is_known: whether the host has served such requests before.
    """

    work_s: float
    refused_s: float = 0.0
    body_s: float = 0.0
    is_kept: bool = True
    is_known: bool = True


class Caller(threading.Thread):
    """Sends one request at a time, and keeps the status of its response.

    Attributes:
        is_time_up: whether the response came at the time limit of the route.
    """

    def __init__(self, address, number, begin, load):
        super().__init__(daemon=True)
        self.id = f"{number:016x}"
        self.status = 0
        self.is_time_up = False
        self._address = address
        self._begin = begin
        self._load = load
        self._sock = None
        if load.is_kept:
            self._connect()

    def _connect(self):
        self._sock = socket.create_connection(self._address, 2.0 * GRACE_S)

    def run(self):
        time.sleep(max(0.0, self._begin - time.monotonic()))
        try:
            if self._sock is None:
                self._connect()
            with self._sock as sock:
                self._exchange(sock)
        except OSError:
            # The host has closed the connection or accepts none any more.
            pass

    def _exchange(self, sock):
        sent_at = time.monotonic()
        head = (
            f"POST /book/{self.id} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Dogwoodtack-Request-Id: {self.id}\r\n"
            "X-Dogwoodtack-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n"
        )
        sock.sendall(head.encode() + b"x")
        time.sleep(self._load.body_s)
        sock.sendall(b"y")
        data = b""
        while b"\r\n\r\n" not in data:
            piece = sock.recv(65536)
            if not piece:
                return
            data += piece
        self.status = int(data.split(b" ")[1])
        taken_s = time.monotonic() - sent_at
        is_unknown = self.status in UNKNOWN_STATUSES
        self.is_time_up = is_unknown and taken_s > 0.95 * ROUTE_TIMEOUT_S


class PlannedStopTest(EntryHostTest):
    instances = 0

    def start_instance(self, name, load):
        refusals = threading.Semaphore(10_000 if load.refused_s else 0)

        def respond(instance, sock, request):
            if refusals.acquire(blocking=False) and instance.name == "i-0":
                time.sleep(load.refused_s)
                fields = {
                    b"X-Dogwoodtack-Not-Executed": b"1",
                    b"X-Dogwoodtack-Request-Id": request.id,
                }
                sock.sendall(message(503, fields))
                return True
            instance.runs[request.id] += 1
            time.sleep(load.work_s)
            sock.sendall(answer(request))
            return True

        instance = ScriptedInstance(name, respond)
        self.addCleanup(instance.close)
        self.store.put("servers", name, **instance.directory_entry("jobs"))
        return instance

    @params(
        (Load(0.3),),
        (Load(0.3, is_kept=False, is_known=False),),
        (Load(0.3, body_s=1.0),),
        (Load(0.3, body_s=2.5),),
        (Load(0.8, refused_s=0.5),),
        (Load(2.4),),
        (Load(2.4, body_s=1.0),),
        (Load(2.4, is_known=False),),
        (Load(2.4, body_s=1.0, is_kept=False, is_known=False),),
        (Load(2.4, refused_s=0.5, body_s=0.5),),
        (Load(3.2),),
        (Load(3.2, body_s=0.5, is_known=False),),
        (Load(3.2, refused_s=0.5, is_kept=False),),
    )
    def test_no_request_that_an_instance_has_is_cut(self, load):
        """Requests were sent on that the host could not wait for any more."""
        spec = configuration(7)
        spec["routes"]["r-once"]["timeoutS"] = ROUTE_TIMEOUT_S
        self.store.put("config", "main", spec=spec)
        instances = [self.start_instance(f"i-{n}", load) for n in range(8)]
        self.wait_until(self.is_ready, "the host is ready")
        address = ("127.0.0.1", self.ports[0])
        if load.is_known:
            quick = load._replace(body_s=0.0)
            self.finish(
                [Caller(address, n, time.monotonic(), quick) for n in range(1, 7)]
            )
        begin = time.monotonic() + 0.2
        count = int(LAST_REQUEST_S / INTERVAL_S)
        callers = [
            Caller(address, 100 + n, begin + n * INTERVAL_S, load) for n in range(count)
        ]
        threading.Timer(
            begin - time.monotonic(), self.process.send_signal, (signal.SIGTERM,)
        ).start()
        self.finish(callers)
        self.assertEqual(self.process.wait(GRACE_S), 0)
        runs = {
            one.id: sum(each.runs[one.id.encode()] for each in instances)
            for one in callers
        }
        cut = [
            one.id
            for one in callers
            if runs[one.id] and one.status != 200 and not one.is_time_up
        ]
        untrue = [
            one.id
            for one in callers
            if runs[one.id] and one.status in REJECTION_STATUSES
        ]
        served = sum(one.status == 200 for one in callers)
        detail = f"{served} served, {[one.status for one in callers]}"
        self.assertEqual((cut, untrue), ([], []), detail + self.log.read_text()[-3000:])
        self.assertGreater(served, 0, self.log.read_text()[-3000:])

    @staticmethod
    def finish(callers):
        for one in callers:
            one.start()
        for one in callers:
            one.join(3 * GRACE_S)


class HandedOverStopTest(unittest.TestCase):
    """Hosts stop while one that has lost its paths hands its requests over."""

    WORK_S = 3.0
    CUT_S = 1.5

    def start_site(self):
        self.site = Site(3, 6, program="tests/cut_host.py")
        self.addCleanup(self.site.close)
        self.site.wait_ready()
        route = {
            "host": HOST,
            "pathPrefix": "/book/",
            "kind": "unsafe",
            "timeoutS": ROUTE_TIMEOUT_S,
            "targetLatencyS": 0.8,
            "priority": 1,
            "service": "jobs",
            "maxAttempts": 2,
        }
        spec = {**configuration(2), "routes": {"book": route}}
        self.site.store.put("config", "main", spec=spec)
        ports = [one.proxy.address.port for one in self.site.instances]
        cut = self.site.hosts[0].settings_path.with_suffix(".cut")
        cut.write_text(json.dumps({"mode": "reset", "ports": ports}))
        for one in self.site.instances:
            one.backend.delay_s = self.WORK_S
        time.sleep(self.CUT_S)

    @params(
        # hosts that are stopped, each so many seconds after the first one
        ((1,), 0.0),
        ((0,), 0.0),
        ((1, 2), 1.0),
        ((0, 1), 0.5),
    )
    def test_no_request_that_was_handed_over_is_cut(self, numbers, gap_s):
        """The host that took it over could not wait for it any more."""
        self.start_site()
        address = ("127.0.0.1", self.site.hosts[0].port)
        load = Load(self.WORK_S, is_kept=False)
        begin = time.monotonic() + 0.5
        count = int(LAST_REQUEST_S / INTERVAL_S)
        callers = [
            Caller(address, 1 + n, begin - 0.5 + n * INTERVAL_S, load)
            for n in range(count)
        ]
        for order, number in enumerate(numbers):
            process = self.site.hosts[number].process
            delay_s = begin + order * gap_s - time.monotonic()
            threading.Timer(delay_s, process.terminate).start()
        PlannedStopTest.finish(callers)
        for number in numbers:
            self.site.hosts[number].process.wait(GRACE_S)
        ran = Counter(
            run.request_id for one in self.site.instances for run in one.backend.ran
        )
        logs = "\n".join(host.log_text() for host in self.site.hosts)
        wrong = [
            (one.id, one.status, ran[one.id])
            for one in callers
            if ran[one.id] > 1
            or (ran[one.id] and one.status != 200 and not one.is_time_up)
        ]
        served = sum(one.status == 200 for one in callers)
        statuses = [one.status for one in callers]
        self.assertEqual(wrong, [], f"{statuses} {logs[-6000:]}")
        self.assertGreater(served, 0, f"{statuses} {logs[-6000:]}")
        self.assertIn("event=instance-paths lost=True", logs)

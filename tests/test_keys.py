"""Keys hold over concurrent callers, real processes and faults."""

import unittest

from nose2.tools import params

from lab.history import Execution, FindingKind, History, Logged, Told, check, logged_of
from lab.keys_run import Scenario, run_scenario

REQUESTS = 200
RAN = Execution("/release/1", "o.0/a", 2.0, "jt-1", "e1-1")
COPY = Told("/release/1", "o.0/a", "entry-0", 1.0, 3.0, 200, "ran", "e1", "/release/1")
UNSURE = COPY._replace(status=504, outcome="unknown", echo="")
REFUSED = UNSURE._replace(status=503, outcome="not-run")
CLOSED = COPY._replace(status=0, outcome="", answer_id="", echo="", ended_at=1.5)
LATER = REFUSED._replace(began_at=4.0, ended_at=5.0, answer_id="e2")


class CheckerTest(unittest.TestCase):
    @params(
        ([COPY], [RAN]),
        ([UNSURE], []),
        ([REFUSED], []),
        ([REFUSED], [RAN._replace(request="/release/2", key="o.0/b")]),
        ([REFUSED._replace(ended_at=1.5), COPY._replace(answer_id="e2")], []),
    )
    def test_sound_history(self, told, executions):
        if told[-1].outcome == "ran":
            executions = [RAN._replace(attempt_id=f"{told[-1].answer_id}-1")]
        self.assertEqual(check(History(told, executions, [])), [])

    @params(
        (FindingKind.EXECUTED_TWICE, [COPY], [RAN, RAN._replace(backend="jt-2")]),
        (FindingKind.NOT_RUN_BUT_EXECUTED, [REFUSED], [RAN]),
        (FindingKind.NOT_RUN_BUT_EXECUTED, [UNSURE, LATER], [RAN]),
        (
            FindingKind.NOT_RUN_BUT_EXECUTED,
            [REFUSED, LATER],
            [RAN._replace(attempt_id="e9-1", at=6.0)],
        ),
        (
            FindingKind.NOT_RUN_BUT_EXECUTED,
            [CLOSED, LATER],
            [RAN._replace(attempt_id="e9-1", at=6.0)],
        ),
        (FindingKind.RAN_BUT_NEVER_EXECUTED, [COPY], []),
        (FindingKind.WRONG_ANSWER, [COPY._replace(echo="/release/2")], [RAN]),
    )
    def test_broken_history(self, kind, told, executions):
        findings = check(History(told, executions, []))
        self.assertEqual({finding.kind for finding in findings}, {kind})

    def test_log_that_disagrees(self):
        line = "level=INFO event=request id=e1 service=jt outcome=not-run ms=1\n"
        self.assertEqual(logged_of(line), [Logged("e1", "not-run")])
        findings = check(History([COPY], [RAN], logged_of(line)))
        self.assertEqual(findings[0].kind, FindingKind.LOG_DISAGREES)


class RunTest(unittest.TestCase):
    @params(Scenario.SICK_BACKENDS, Scenario.PAUSED_HOST, Scenario.ALL_AT_ONCE)
    def test_nothing_runs_twice_and_answers_are_true(self, scenario):
        seen = run_scenario(scenario, seed=7, requests=REQUESTS)
        self.assertEqual(seen.findings, [])
        self.assertGreater(seen.executions, REQUESTS / 4)
        self.assertGreater(seen.handed_over, 0)
        for outcome in ("ran", "not-run", "unknown"):
            self.assertGreater(seen.outcomes[outcome], 0, outcome)

"""Idempotency keys prevent a second execution under concurrency and faults."""

import unittest

from nose2.tools import params

from lab.history import (
    CopyResult,
    Execution,
    FindingKind,
    History,
    LoggedOutcome,
    check,
    read_logged_outcomes,
)
from lab.keys_run import Scenario, run_scenario

REQUESTS = 200
EXECUTION = Execution("/release/1", "o.0/a", 2.0, "jt-1", "e1-1")
RAN = CopyResult(
    "/release/1", "o.0/a", "entry-0", 1.0, 3.0, 200, "ran", "e1", "/release/1"
)
UNKNOWN = RAN._replace(status=504, outcome="unknown", echo="")
NOT_RUN = UNKNOWN._replace(status=503, outcome="not-run")
NO_RESPONSE = RAN._replace(status=0, outcome="", answer_id="", echo="", ended_at=1.5)
LATER_NOT_RUN = NOT_RUN._replace(began_at=4.0, ended_at=5.0, answer_id="e2")


class CheckerTest(unittest.TestCase):
    @params(
        ([RAN], [EXECUTION]),
        ([UNKNOWN], []),
        ([NOT_RUN], []),
        ([NOT_RUN], [EXECUTION._replace(request="/release/2", key="o.0/b")]),
        ([NOT_RUN._replace(ended_at=1.5), RAN._replace(answer_id="e2")], []),
    )
    def test_valid_history(self, copies, executions):
        if copies[-1].outcome == "ran":
            executions = [EXECUTION._replace(attempt_id=f"{copies[-1].answer_id}-1")]
        self.assertEqual(check(History(copies, executions, [])), [])

    @params(
        (
            FindingKind.EXECUTED_TWICE,
            [RAN],
            [EXECUTION, EXECUTION._replace(backend="jt-2")],
        ),
        (FindingKind.NOT_RUN_BUT_EXECUTED, [NOT_RUN], [EXECUTION]),
        (FindingKind.NOT_RUN_BUT_EXECUTED, [UNKNOWN, LATER_NOT_RUN], [EXECUTION]),
        (
            FindingKind.NOT_RUN_BUT_EXECUTED,
            [NOT_RUN, LATER_NOT_RUN],
            [EXECUTION._replace(attempt_id="e9-1", at=6.0)],
        ),
        (
            FindingKind.NOT_RUN_BUT_EXECUTED,
            [NO_RESPONSE, LATER_NOT_RUN],
            [EXECUTION._replace(attempt_id="e9-1", at=6.0)],
        ),
        (FindingKind.RAN_BUT_NEVER_EXECUTED, [RAN], []),
        (FindingKind.WRONG_ANSWER, [RAN._replace(echo="/release/2")], [EXECUTION]),
    )
    def test_invalid_history(self, kind, copies, executions):
        findings = check(History(copies, executions, []))
        self.assertEqual({finding.kind for finding in findings}, {kind})

    def test_log_with_another_outcome(self):
        line = "level=INFO event=request id=e1 service=jt outcome=not-run ms=1\n"
        self.assertEqual(read_logged_outcomes(line), [LoggedOutcome("e1", "not-run")])
        findings = check(History([RAN], [EXECUTION], read_logged_outcomes(line)))
        self.assertEqual(findings[0].kind, FindingKind.LOG_DISAGREES)


class RunTest(unittest.TestCase):
    @params(Scenario.UNHEALTHY_BACKENDS, Scenario.PAUSED_HOST, Scenario.ALL_AT_ONCE)
    def test_nothing_runs_twice_and_answers_are_true(self, scenario):
        result = run_scenario(scenario, seed=7, requests=REQUESTS)
        self.assertEqual(result.findings, [])
        self.assertGreater(result.executions, REQUESTS / 4)
        self.assertGreater(result.handed_over, 0)
        for outcome in ("ran", "not-run", "unknown"):
            self.assertGreater(result.outcomes[outcome], 0, outcome)

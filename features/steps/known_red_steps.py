"""Steps for the test runner: KNOWN-RED.txt and the report of failures."""

import os
import pathlib
import subprocess
import sys
import tempfile
from typing import Any

from behave import given, then, use_step_matcher, when

from bench.fleet import ROOT
from features.run import read_known_red, split_failures

RUN_TIMEOUT_S = 60.0
ENVIRONMENT = """
from features.environment import after_step


def before_scenario(context, scenario):
    if "hook" in scenario.tags:
        raise RuntimeError("message of a hook")
"""
STEPS = """
from behave import given, then, when
from bench.fleet import Fleet, wait_for


@given("a process")
def start_process(context):
    manager = Fleet.running()
    context.fleet = manager.__enter__()
    context.add_cleanup(manager.__exit__, None, None, None)
    process = context.fleet.spawn("p", ["-c", "print('line of a process')"])
    wait_for(lambda: not process.running(), 30.0, "its end")


@then("a check passes")
def pass_check(context):
    pass


@then("a check fails")
def fail_check(context):
    measured = "value of a check"
    assert False, "message of a check"


@then("a check fails with a message of {count:d} characters")
def fail_long(context, count):
    assert False, "x" * count + "end of a message"


@when("an error occurs")
def raise_error(context):
    {}["key of an error"]
"""
FAILING_FEATURE = """Feature: Failures
  Scenario: passes
    Then a check passes
  Scenario: fails beside a process
    Given a process
    Then a check fails
  Scenario: has an error
    When an error occurs
  @hook
  Scenario: has a failing hook
    Then a check passes
"""
LONG_FEATURE = """Feature: Failures
  Scenario: fails with a long message
    Then a check fails with a message of {count} characters
"""

use_step_matcher("re")


@given('KNOWN-RED.txt names "(?P<red>.*)"')
def write_known_red(context: Any, red: str) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "KNOWN-RED.txt"
        path.write_text("".join(f"test: {name}\n" for name in red.split()))
        context.known_red = read_known_red(path)


@when('"(?P<passed>.*)" pass and "(?P<failed>.*)" fail')
def split_names(context: Any, passed: str, failed: str) -> None:
    context.failures = split_failures(
        passed.split(), failed.split(), context.known_red
    )


@then('"(?P<known>.*)" are known red and "(?P<wrong>.*)" fail the run')
def check_failures(context: Any, known: str, wrong: str) -> None:
    known_failures, unexpected = context.failures
    assert known_failures == known.split()
    assert [name.replace(" ", "_") for name in unexpected] == wrong.split()


use_step_matcher("parse")


@when("features with a failed check, an error and a failing hook are run")
def run_failing_features(context: Any) -> None:
    context.output = _run_feature(FAILING_FEATURE)


@when("a feature fails with a message of {count:d} characters")
def run_long_failure(context: Any, count: int) -> None:
    context.output = _run_feature(LONG_FEATURE.format(count=count))


def _run_feature(text: str) -> str:
    """Runs a feature file in a process; returns what the runner prints."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "some.feature"
        path.write_text(text)
        (path.parent / "environment.py").write_text(ENVIRONMENT)
        (path.parent / "steps").mkdir()
        (path.parent / "steps" / "some_steps.py").write_text(STEPS)
        completed = subprocess.run(
            [sys.executable, "-m", "features.run", str(path)],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=RUN_TIMEOUT_S,
            check=False,
        )
    assert completed.returncode == 1, completed
    return completed.stdout


@then("the output names each failing step, its place, message and values")
def check_output(context: Any) -> None:
    expected = (
        "some.feature:6 Then a check fails (failed after",
        "message of a check",
        "in fail_check",
        "measured = 'value of a check'",
        "some.feature:8 When an error occurs (error after",
        "KeyError: 'key of an error'",
        "in raise_error",
        "Scenario: has a failing hook (hook_error)",
        "message of a hook",
        "in before_scenario",
    )
    missing = [text for text in expected if text not in context.output]
    assert not missing, (missing, context.output)


@then("the output has the end of the log of a process that was running")
def check_log(context: Any) -> None:
    assert "end of the log of p:" in context.output, context.output
    assert "line of a process" in context.output, context.output


@then("the output has fewer than {count:d} characters, and the message's end")
def check_length(context: Any, count: int) -> None:
    assert len(context.output) < count, len(context.output)
    assert "end of a message" in context.output, context.output


@then('its last line is "{line}"')
def check_last_line(context: Any, line: str) -> None:
    assert context.output.splitlines()[-1] == line, context.output

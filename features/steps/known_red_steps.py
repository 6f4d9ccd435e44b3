"""Steps for the handling of KNOWN-RED.txt by the test runner."""

import pathlib
import tempfile
from typing import Any

from behave import given, then, use_step_matcher, when

from features.run import read_known_red, split_failures

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

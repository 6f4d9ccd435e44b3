"""Steps on the command that gathers log lines."""

import pathlib
import tempfile
from typing import Any

from behave import given, then, when

from hibiscuspin.commands import CommandError
from hibiscuspin.commands.trace import trace

ONE = """12.1 edge-1 {"asctime": "2026-01-01 00:00:02", "instance": "edge-1", \
"message": "second", "request_id": "r1", "targets": ["t8", "t9"]}
no json about r1
{"asctime": "2026-01-01 00:00:04", "message": "other", "request_id": "r11"}
{broken r1
"""
TWO = """{"asctime": "2026-01-01 00:00:03", "message": "third", "job": "r1"}
{"asctime": "2026-01-01 00:00:01", "message": "first", "request_id": "r1"}
"""


@given("log files of two instances")
def write_logs(context: Any) -> None:
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.log_files = []
    for name, text in (("one", ONE), ("two", TWO)):
        path = pathlib.Path(context.folder.name) / name
        path.write_text(text)
        context.log_files.append(str(path))


@when('an operator traces "{identifier}"')
def run_trace(context: Any, identifier: str) -> None:
    context.trace_error = context.traced = None
    try:
        context.traced = trace(identifier, *context.log_files)
    except CommandError as error:
        context.trace_error = error


@then('lines "{messages}" are shown in this order')
def check_lines(context: Any, messages: str) -> None:
    found = [fields["message"] for fields in context.traced.value]
    assert found == messages.split(), found
    shown = context.traced.text.splitlines()
    assert len(shown) == len(found) and found[0] in shown[0], shown


@then('the trace fails and names "{text}"')
def check_error(context: Any, text: str) -> None:
    assert context.trace_error is not None
    assert repr(text) in str(context.trace_error), context.trace_error
